"""A daemon's part in a consensus group: wires acceptor, election, replication, reconfiguration and
commands together.
"""

import abc
from collections.abc import Callable, Sequence
from typing import ClassVar, Generic, TypeVar

from stagevale.consensus.acceptor import Acceptor
from stagevale.consensus.command_queue import CommandQueue
from stagevale.consensus.commands import (
    READ_VALUE,
    Command,
    CommandAnswer,
    CommandReply,
    unavailable,
)
from stagevale.consensus.election import Election
from stagevale.consensus.group_view import GroupView
from stagevale.consensus.messages import (
    AcceptRequest,
    ConfirmRequest,
    LeaderHeartbeat,
    LeaderInfo,
    LeaderQuery,
    LeaderResigned,
    LeaveRequest,
    PrepareRequest,
    PreVoteRequest,
)
from stagevale.consensus.messenger import GroupMessenger
from stagevale.consensus.reconfiguration import Reconfiguration
from stagevale.consensus.replication import Replication, group_checksum
from stagevale.consensus.value import ReplicatedValue
from stagevale.consensus.vote_storage import VoteStore
from stagevale.consensus.voter_id import shows_lost_disk
from stagevale.consensus.withheld_answers import WithheldAnswers
from stagevale.membership.membership import Membership
from stagevale.metrics.metrics import Gauge
from stagevale.metrics.recovery import RecoveryStep, record_recovery
from stagevale.quorum.ballot import Ballot
from stagevale.quorum.rules import disk_rule, further_losses
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply, RpcTransport
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context

ValueT = TypeVar("ValueT", bound=ReplicatedValue)

INCARNATION_BITS = 32
HEARTBEATS_PER_CONTACT = 4.0
REQUESTS_PER_ACK_DEADLINE = 8.0
# In heartbeat intervals: how long the first voter of the group bears a leader's silence before it
# campaigns, how much longer each further one does, and how long to pause after a lost election.
FIRST_TIMEOUT_HEARTBEATS = 1.7
TIMEOUT_STEP_HEARTBEATS = 0.6
ELECTION_BACKOFF_HEARTBEATS = (0.1, 0.4)


# An election takes the time-out of the last voter and one look at it, then pre-votes, promises and
# the first proposal, once more where two candidates meet; a request may time out in each.
CYCLE_HEARTBEATS = 1.0
ELECTION_REQUESTS = 6


def longest_election_ms(heartbeat_ms: float, request_timeout_ms: float, voters: int) -> float:
    """For how long a group can be without a leader while a majority of it is connected.

    Args:
        heartbeat_ms: between two heartbeats of a leader.
        request_timeout_ms: of a request to a voter.
        voters: how many voters the group has.
    """
    last_timeout = FIRST_TIMEOUT_HEARTBEATS + TIMEOUT_STEP_HEARTBEATS * (voters - 1)
    waited_ms = heartbeat_ms * (last_timeout + CYCLE_HEARTBEATS)
    return waited_ms + request_timeout_ms * ELECTION_REQUESTS


class ConsensusNode(GroupMessenger, abc.ABC, Generic[ValueT]):
    """Votes and, where it leads, carries out commands. Subclasses say what the value is, how a
    command changes it, and to whom a committed value goes.

    Attributes:
        ballot: the ballot under which this daemon leads, or None.
        committed: while it leads, the newest value that majorities have accepted; None until the
            first has.
        busy: a proposal or a confirmation is under way; commands wait.
        stopping: a graceful shutdown has begun.
        lost_disks: voters that will never answer again, as far as this daemon has seen.
        disk_rule: what follows from the platform's tolerance.
    """

    program: ClassVar[str]
    port_offset: ClassVar[int]
    log_prefix: ClassVar[str]
    subject: ClassVar[str]
    # Commands of this system's own daemons, whose answers promise nobody anything.
    internal_kinds: ClassVar[frozenset[str]] = frozenset((READ_VALUE,))

    __slots__ = (
        "context",
        "membership",
        "address",
        "incarnation",
        "heartbeat_ms",
        "acceptor",
        "election",
        "replication",
        "reconfiguration",
        "commands",
        "group_view",
        "withheld",
        "lost_disks",
        "disk_rule",
        "ballot",
        "committed",
        "busy",
        "stopping",
    )

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        membership: Membership,
        storage: VoteStore[ValueT],
    ) -> None:
        bounds = context.settings.bounds
        super().__init__(rpc, bounds.ack_deadline_ms / REQUESTS_PER_ACK_DEADLINE)
        self.context = context
        self.membership = membership
        self.address = rpc.address
        self.incarnation = f"{context.random.getrandbits(INCARNATION_BITS):08x}"
        self.heartbeat_ms = bounds.contact_ms / HEARTBEATS_PER_CONTACT
        self.ballot: Ballot | None = None
        self.committed: ValueT | None = None
        self.busy = False
        self.stopping = False
        self.lost_disks: set[str] = set()
        self.disk_rule = disk_rule(context.settings.tolerance)
        self.withheld = WithheldAnswers(context, self.outlives_tolerance)
        self.group_view = GroupView(
            context, membership, self.address, self.program, self.port_offset
        )
        self.acceptor: Acceptor[ValueT] = Acceptor(self, storage)
        self.election: Election[ValueT] = Election(self)
        self.replication: Replication[ValueT] = Replication(self)
        self.reconfiguration: Reconfiguration[ValueT] = Reconfiguration(self)
        self.commands: CommandQueue[ValueT] = CommandQueue(self)
        self._set_handlers()
        self._add_metrics()

    def _add_metrics(self) -> None:
        metrics = self.context.metrics
        metrics.add_queue(f"{self.subject} commands", lambda: len(self.commands.pending))
        silence = Gauge(
            "leader_silence_seconds",
            "Seconds since this daemon heard the leader of a group.",
            "group",
            self.subject,
            lambda: self.election.since_heartbeat_ms() / MS_PER_S,
        )
        metrics.gauges.append(silence)
        metrics.add_queue(f"{self.subject} withheld answers", lambda: len(self.withheld))
        metrics.add_disks(
            self.subject,
            {
                "voters": lambda: len(self._newest_group()),
                "known lost": self._count_lost,
                "may be lost": self._count_further_losses,
            },
        )

    # messages

    def _set_handlers(self) -> None:
        acceptor, commands = self.acceptor, self.commands
        kind = MessageKind
        self.handle(
            kind.PRE_VOTE,
            PreVoteRequest,
            lambda _peer, request, reply: reply(acceptor.pre_vote(request)),
        )
        self.handle(
            kind.PREPARE,
            PrepareRequest,
            lambda _peer, request, reply: acceptor.prepare(request, reply),
        )
        self.handle(
            kind.ACCEPT,
            AcceptRequest,
            lambda _peer, request, reply: acceptor.accept(request, reply),
        )
        self.handle(kind.CONFIRM_LEADERSHIP, ConfirmRequest, self.on_confirm)
        self.handle(kind.LEADER_RESIGNED, LeaderResigned, self.election.on_resigned)
        self.handle(kind.LEADER_HEARTBEAT, LeaderHeartbeat, self._on_leader_heartbeat)
        self.handle(kind.LEAVE_GROUP, LeaveRequest, self.reconfiguration.on_leave)
        self.handle(kind.LEADER_QUERY, LeaderQuery, self._on_leader_query)
        self.rpc.handle_raw_with_terms(self.kind_offset + kind.COMMAND, commands.on_command)
        self.rpc.handle_raw_with_terms(self.kind_offset + kind.READ_VALUE, commands.on_read_value)
        self.rpc.peer_lost_hooks.append(self.election.on_peer_lost)

    # start and cycle

    def start(self) -> None:
        """Loads what the disk holds, then begins to vote."""
        self.acceptor.load()

    def start_voting(self) -> None:
        """The vote is loaded: takes part."""
        record_recovery(self.context, self.log_prefix, RecoveryStep.VOTE_LOADED)
        self.election.highest_term = self.acceptor.vote.promised.term
        self.membership.contacts.extend(sorted(self.acceptor.vote.peers))
        self._run_cycle()

    def _run_cycle(self) -> None:
        """Sends heartbeats where this daemon leads; else campaigns once the leader timed out."""
        self.context.call_later(self.heartbeat_ms, self._run_cycle)
        self.acceptor.remember_peers(self.group_view.core_addresses())
        if self.ballot is not None:
            self.replication.heartbeat()
            return
        if self.stopping or not self.is_voter():
            return
        vote = self.acceptor.vote
        rank = self.group().index(vote.voter)
        timeout_ms = self.election_timeout_ms(rank)
        if vote.accepted is None and rank == 0:
            # The first start of the whole system: nobody can lead yet.
            timeout_ms = 0.0
        if self.election.since_heartbeat_ms() > timeout_ms:
            self.election.campaign()

    def election_timeout_ms(self, rank: int) -> float:
        """How long the leader may be silent before the voter of this rank campaigns."""
        return self.heartbeat_ms * (FIRST_TIMEOUT_HEARTBEATS + TIMEOUT_STEP_HEARTBEATS * rank)

    # the group

    def group(self) -> tuple[str, ...]:
        """The voters by the newest value accepted here; before any, the founders that the first
        start named, for those that are founders themselves.
        """
        vote = self.acceptor.vote
        if vote.accepted is not None:
            return vote.accepted.group
        return vote.founders if vote.voter in vote.founders else ()

    def is_voter(self) -> bool:
        """True where this daemon's disk has a vote."""
        return self.acceptor.loaded and self.acceptor.vote.voter in self.group()

    def may_campaign(self) -> bool:
        """True where this daemon may run for the leadership."""
        return self.is_voter() and not self.stopping and self.ballot is None

    def adopt(self, value: ValueT, ballot: Ballot) -> None:
        """Takes a newer value that a voter has shown: this daemon may be out of the group by it."""
        self.acceptor.adopt(value, ballot)
        self.group_view.record(value.serial, value.group)

    def record_identity(self, voter: str, seen: str) -> None:
        """Takes in under which identity a voter's address has answered: its disk may be lost."""
        if shows_lost_disk(voter, seen) and voter not in self.lost_disks:
            self.lost_disks.add(voter)
            self.context.log.warning(
                "%s: the disk of voter %s is lost: %s answers there.", self.log_prefix, voter, seen
            )

    def outlives_tolerance(self) -> bool:
        """True where what this leader has committed is on enough disks to be acknowledged."""
        committed = self.committed
        return committed is not None and self.disk_rule.is_met(committed.group, self.lost_disks)

    def _newest_group(self) -> tuple[str, ...]:
        """The group that this daemon leads; else the newest that it has accepted."""
        return self.committed.group if self.committed is not None else self.group()

    def _count_lost(self) -> int:
        """How many disks of the group are known to be lost."""
        return sum(voter in self.lost_disks for voter in self._newest_group())

    def _count_further_losses(self) -> int:
        """How many more disks may be lost without losing what was acknowledged; below 0 too many
        have been.
        """
        return further_losses(self._newest_group(), self.lost_disks)

    def known_addresses(self) -> list[str]:
        """Where others of this group may be found: voters, members, seeds."""
        return self.group_view.known_addresses(self.group())

    def heartbeat_recipients(self) -> list[str]:
        """Who receives a leader's heartbeats: every core daemon that is reachable."""
        return self.group_view.reachable_core()

    # leading

    def leading_ballot(self) -> Ballot:
        """The ballot under which this daemon leads.

        Raises:
            RuntimeError: it doesn't lead; the caller should have checked.
        """
        if self.ballot is None:
            raise RuntimeError(f"{self.log_prefix}: not the leader")
        return self.ballot

    def become_leader(self, ballot: Ballot, value: ValueT) -> None:
        """Begins to lead: the value found in the election is proposed anew under this ballot."""
        self.ballot = ballot
        self.committed = None
        self.busy = True
        self.replication.reset()
        self.reconfiguration.reset()

        def proposed(committed: bool) -> None:
            if committed:
                record_recovery(self.context, self.log_prefix, RecoveryStep.LEADER_CONFIRMED)
                self.replication.send_heartbeats()
            self.commands.process()

        self.replication.propose(value, self.first_proposal(value), proposed)

    def on_other_ballot(self, ballot: Ballot, reason: str) -> None:
        """A ballot was promised or accepted here: a leader under another one steps down."""
        if self.ballot is not None and ballot != self.ballot:
            self.step_down(reason)

    def step_down(self, reason: str) -> None:
        """Leads no more."""
        if self.ballot is None:
            return
        self.context.log.info(
            "%s: leads the %s register no more: %s.", self.log_prefix, self.subject, reason
        )
        self.context.metrics.elections.increment(f"{self.subject}: leadership ended")
        self.ballot = None
        self.committed = None
        self.busy = False
        self.withheld.reject()
        self.election.restart_timeout()

    def on_election_lost(self) -> None:
        """An election ended without a win: pending commands are looked at after a pause."""
        pause = self.context.random.uniform(*ELECTION_BACKOFF_HEARTBEATS)
        self.context.call_later(pause * self.heartbeat_ms, self.commands.process)

    def confirm_leadership(self, on_done: Callable[[bool], object]) -> None:
        """Has a majority confirm the leadership; `on_done(confirmed)`."""
        self.replication.confirm_leadership(on_done)

    def propose(self, value: ValueT, on_done: Callable[[bool], object]) -> None:
        """Has a changed value committed; `on_done(committed)`. Commands wait meanwhile."""
        if self.committed is None:
            raise RuntimeError(f"{self.log_prefix}: nothing is committed yet")
        self.busy = True
        self.replication.propose(self.committed, value, on_done)

    def answer_when_confirmed(
        self,
        answers: Sequence[CommandAnswer],
        on_answered: Callable[[], object] = lambda: None,
    ) -> None:
        """Gives answers from the committed value, once a majority confirms that it is the newest.

        Args:
            answers: one confirmation serves any number of commands that were sent before it began.
            on_answered: called once after that.
        """

        def confirmed(success: bool) -> None:
            for command, answer in answers:
                if success:
                    self.answer(command, answer)
                else:
                    command.reply(unavailable("not confirmed"))
            on_answered()

        self.confirm_leadership(confirmed)

    def answer(self, command: Command, answer: CommandReply) -> None:
        """Gives an answer from the committed value; one that promises something waits until that
        is on enough disks.
        """
        if command.kind in self.internal_kinds:
            command.reply(answer)
        else:
            self.withheld.give(command, answer)

    def leave_group(self, on_left: Callable[[], object]) -> None:
        """Before a graceful shutdown: gives up leadership and vote; `on_left()` once agreed."""
        self.stopping = True
        self.reconfiguration.leave(on_left)

    # messages from the leader and about it

    def on_confirm(self, peer: str, request: ConfirmRequest, reply: Reply) -> None:
        """A leader asks whether its ballot is still the highest here."""
        reply(self.acceptor.confirm(request))

    def _on_leader_heartbeat(self, peer: str, message: LeaderHeartbeat, reply: Reply) -> None:
        """A confirmed leader; not heeded where a higher ballot is known here."""
        promised = self.acceptor.vote.promised
        if message.ballot < promised and message.ballot < self.election.leader_ballot:
            return
        if self.ballot is not None and message.ballot > self.ballot:
            self.step_down("another leader has been confirmed")
        if self.ballot is None:
            self.election.record_heartbeat(message.ballot)
            record_recovery(self.context, self.log_prefix, RecoveryStep.LEADER_CONFIRMED)
        if message.group_checksum != group_checksum(self.group_view.newest_group):
            self.request(
                message.ballot.address,
                MessageKind.LEADER_QUERY,
                LeaderQuery(),
                LeaderInfo,
                self._on_leader_info,
            )

    def _on_leader_info(self, info: LeaderInfo | None, error: RequestError | None) -> None:
        if info is not None:
            self.group_view.record(info.serial, info.group)

    def _on_leader_query(self, peer: str, message: LeaderQuery, reply: Reply) -> None:
        reply(self.election.leader_info())

    # what subclasses add

    @abc.abstractmethod
    def read_value(self, encoded: bytes) -> ValueT:
        """A value out of its encoded bytes.

        Raises:
            ValueError: the bytes hold no value.
            DecodeError: the bytes can't be read.
        """

    @abc.abstractmethod
    def first_value(self) -> ValueT:
        """What the register holds before anything was committed."""

    @abc.abstractmethod
    def execute(self, command: Command) -> None:
        """Carries out one command; replies to it and processes the queue in the end."""

    def first_proposal(self, value: ValueT) -> ValueT:
        """What a new leader proposes first: the value that it found."""
        return value

    def publish(self, value: ValueT) -> None:
        """Brings a committed value to those that use it."""

    def start_due_change(self) -> bool:
        """Work of the leader that comes before the next command; True while it is under way."""
        return False

    def on_leadership_confirmed(self) -> None:
        """A leader's work after each confirmation."""
        self.reconfiguration.review()
        self.commands.process()

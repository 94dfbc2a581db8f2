"""Elections: pre-votes, which change nothing, then promises by a majority of the group."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

from stagevale.consensus.messages import (
    LeaderInfo,
    LeaderQuery,
    LeaderResigned,
    PrepareReply,
    PrepareRequest,
    PreVoteReply,
    PreVoteRequest,
)
from stagevale.consensus.value import ReplicatedValue
from stagevale.consensus.vote_storage import NOTHING_ACCEPTED, VotePosition
from stagevale.consensus.voter_id import address_of
from stagevale.quorum.ballot import NO_BALLOT, Ballot, candidate_id
from stagevale.quorum.call import QuorumCall
from stagevale.rpc.errors import ConnectionLostError, RequestError
from stagevale.rpc.kinds import MessageKind

if TYPE_CHECKING:
    from stagevale.consensus.node import ConsensusNode

ValueT = TypeVar("ValueT", bound=ReplicatedValue)

# For how many heartbeat intervals after its last heartbeat a leader is still sent commands, and for
# how many it keeps others from being elected.
LEADER_KNOWN_HEARTBEATS = 2.2
LEADER_LIVE_HEARTBEATS = 1.4
# The moment of the last heartbeat of a leader that is known to have gone.
NEVER_MS = -1e12
# After a resignation the voters campaign one after the other, this share of a request time-out
# apart.
SUCCESSION_STEP_SHARE = 0.3


class Prepared(Generic[ValueT]):
    """The newest value that a candidate has been shown with the promises."""

    __slots__ = ("position", "value")

    def __init__(self) -> None:
        self.position = VotePosition(NO_BALLOT, NOTHING_ACCEPTED)
        self.value: ValueT | None = None

    def add(self, ballot: Ballot, value: ValueT) -> None:
        """Takes a voter's value, where it is newer."""
        position = VotePosition(ballot, value.serial)
        if position > self.position:
            self.position, self.value = position, value


class Election(Generic[ValueT]):
    """Who leads, as far as this daemon knows, and how it becomes the leader itself.

    Attributes:
        campaigning: whether this daemon's candidacy is under way.
        highest_term: the highest term seen in any ballot.
        leader_ballot: the ballot of the leader or, after an election, of the latest candidate.
    """

    __slots__ = (
        "node",
        "campaigning",
        "highest_term",
        "leader_ballot",
        "_last_heartbeat_ms",
        "_last_hint_ms",
        "_querying_leader",
    )

    def __init__(self, node: "ConsensusNode[ValueT]") -> None:
        self.node = node
        self.campaigning = False
        self.highest_term = 0
        self.leader_ballot = NO_BALLOT
        self._last_heartbeat_ms = node.context.now_ms()
        self._last_hint_ms = NEVER_MS
        self._querying_leader = False

    # who leads

    def record_candidate(self, ballot: Ballot) -> None:
        """Takes a candidate that was promised its ballot for the leader until it times out."""
        self.highest_term = max(self.highest_term, ballot.term)
        if ballot > self.leader_ballot:
            self.leader_ballot = ballot
            self.restart_timeout()

    def record_heartbeat(self, ballot: Ballot) -> None:
        """A majority has just confirmed the leader with this ballot."""
        self.highest_term = max(self.highest_term, ballot.term)
        self.leader_ballot = max(self.leader_ballot, ballot)
        self.restart_timeout()

    def record_hint(self, ballot: Ballot) -> None:
        """Another daemon takes this ballot's leader for live: commands may be tried there.

        It is no heartbeat. Who passed on what it was told as if it had heard the leader would keep a
        dead leader alive together with the daemon that told it.
        """
        self.highest_term = max(self.highest_term, ballot.term)
        self.leader_ballot = max(self.leader_ballot, ballot)
        self._last_hint_ms = self.node.context.now_ms()

    def restart_timeout(self) -> None:
        """Grants the leader a complete time-out from now on."""
        self._last_heartbeat_ms = self.node.context.now_ms()

    def forget_leader(self) -> None:
        """The leader is known to have gone: nobody waits for its time-out."""
        self._last_heartbeat_ms = self._last_hint_ms = NEVER_MS

    def since_heartbeat_ms(self) -> float:
        """How long ago the leader's last heartbeat was received."""
        return self.node.context.now_ms() - self._last_heartbeat_ms

    def leader_address(self) -> str | None:
        """The address of the daemon that is thought to lead, or None."""
        node = self.node
        if node.ballot is not None:
            return node.address
        address = self.leader_ballot.address
        if address in ("", node.address):
            return None
        since_word_ms = min(self.since_heartbeat_ms(), node.context.now_ms() - self._last_hint_ms)
        if since_word_ms >= node.heartbeat_ms * LEADER_KNOWN_HEARTBEATS:
            return None
        return address

    def _hears_leader(self) -> bool:
        """True where this daemon leads, or has heard the leader itself."""
        node = self.node
        if node.ballot is not None:
            return True
        known_ms = node.heartbeat_ms * LEADER_KNOWN_HEARTBEATS
        return self.leader_address() is not None and self.since_heartbeat_ms() < known_ms

    def live_leader_ballot(self, candidate: str) -> Ballot:
        """The ballot of a leader whose heartbeats arrive here and that isn't the candidate.

        Returns:
            `NO_BALLOT` where there is none: nothing speaks against the candidate.
        """
        node = self.node
        if node.ballot is not None:
            ballot = node.ballot
        elif self.since_heartbeat_ms() >= node.heartbeat_ms * LEADER_LIVE_HEARTBEATS:
            return NO_BALLOT
        elif self.leader_ballot.address == node.address:
            # A ballot of this daemon's own, which leads no more.
            return NO_BALLOT
        else:
            ballot = self.leader_ballot
        return NO_BALLOT if ballot.address == address_of(candidate) else ballot

    def leader_info(self) -> LeaderInfo:
        """What this daemon tells others of the leader and of the newest group."""
        node = self.node
        ballot = node.ballot if node.ballot is not None else self.leader_ballot
        view = node.group_view
        return LeaderInfo(self._hears_leader(), ballot, view.newest_serial, view.newest_group)

    def on_peer_lost(self, peer: str) -> None:
        """A connection to the leader ended: one that refuses a new connection has gone."""
        if self._querying_leader or self.node.ballot is not None:
            return
        if self.leader_ballot == NO_BALLOT or peer != self.leader_ballot.address:
            return
        self._querying_leader = True

        def replied(info: LeaderInfo | None, error: RequestError | None) -> None:
            self._querying_leader = False
            refused = isinstance(error, ConnectionLostError) and error.refused
            if refused or (info is not None and not info.known):
                self.forget_leader()

        self.node.request(peer, MessageKind.LEADER_QUERY, LeaderQuery(), LeaderInfo, replied)

    def _count(self, step: str) -> None:
        self.node.context.metrics.elections.increment(f"{self.node.subject}: {step}")

    # campaigning

    def campaign(self) -> None:
        """Asks the group for pre-votes and, where a majority grants them, for promises."""
        node = self.node
        if self.campaigning or not node.may_campaign():
            return
        self.campaigning = True
        self._count("begun")
        group = node.group()
        vote = node.acceptor.vote
        leaders: list[Ballot] = []
        call: QuorumCall[PreVoteReply] = QuorumCall(
            group,
            functools.partial(self._is_pre_vote, leaders),
            lambda: self._on_pre_votes_won(group),
            lambda: self._on_pre_votes_lost(leaders),
        )
        for voter in group:
            request = PreVoteRequest(voter, vote.voter, vote.accepted_ballot, vote.serial)
            node.request_voter(voter, MessageKind.PRE_VOTE, request, PreVoteReply, call.replied)

    def _is_pre_vote(self, leaders: list[Ballot], voter: str, reply: PreVoteReply) -> bool:
        """Takes in a voter's reply; returns whether it would promise."""
        self.highest_term = max(self.highest_term, reply.promised.term)
        if reply.leader_ballot > NO_BALLOT:
            leaders.append(reply.leader_ballot)
        if reply.encoded:
            self.node.adopt(self.node.read_value(reply.encoded), reply.accepted_ballot)
        return reply.granted

    def _on_pre_votes_won(self, group: tuple[str, ...]) -> None:
        """A majority would promise: goes on, unless another candidate was promised a ballot here
        meanwhile; of several that campaign at once the first goes on alone.
        """
        if self.live_leader_ballot(self.node.acceptor.vote.voter) == NO_BALLOT:
            self.prepare(group)
            return
        self.campaigning = False
        self.node.commands.process()

    def _on_pre_votes_lost(self, leaders: list[Ballot]) -> None:
        self.campaigning = False
        self._count("pre-votes lost")
        if not leaders:
            self.node.on_election_lost()
            return
        ballot = max(leaders)
        believed_gone = self._last_heartbeat_ms == NEVER_MS and ballot <= self.leader_ballot
        self.record_hint(ballot)
        if believed_gone:
            # Commands go to the leader after a pause: it was just found to be gone.
            self.node.on_election_lost()
        else:
            self.node.commands.process()

    def prepare(self, group: tuple[str, ...]) -> None:
        """Asks the group for promises of a ballot above every one that was seen."""
        node = self.node
        vote = node.acceptor.vote
        self.highest_term = max(self.highest_term, vote.promised.term) + 1
        ballot = Ballot(self.highest_term, candidate_id(node.address, node.incarnation))
        prepared: Prepared[ValueT] = Prepared()
        rejections = [ballot]

        def is_promise(_voter: str, reply: PrepareReply) -> bool:
            self.highest_term = max(self.highest_term, reply.promised.term)
            if not reply.granted:
                rejections.append(reply.promised)
                return False
            if reply.same_value and vote.accepted is not None:
                prepared.add(reply.accepted_ballot, vote.accepted)
            elif reply.encoded:
                prepared.add(reply.accepted_ballot, node.read_value(reply.encoded))
            return True

        call: QuorumCall[PrepareReply] = QuorumCall(
            group,
            is_promise,
            lambda: self._on_promised(ballot, group, prepared),
            lambda: self._on_rejected(ballot, max(rejections)),
        )
        for voter in group:
            request = PrepareRequest(
                ballot, voter, vote.voter, vote.accepted_ballot, vote.serial, vote.digest
            )
            node.request_voter(voter, MessageKind.PREPARE, request, PrepareReply, call.replied)

    def _on_rejected(self, ballot: Ballot, highest: Ballot) -> None:
        self.campaigning = False
        self._count("promises lost")
        if highest > ballot:
            self.record_candidate(highest)
        self.node.on_election_lost()

    def _on_promised(
        self, ballot: Ballot, group: tuple[str, ...], prepared: Prepared[ValueT]
    ) -> None:
        """A majority has promised: the newest value that it has shown is proposed first."""
        self.campaigning = False
        node = self.node
        found = prepared.value
        if found is not None and set(found.group) != set(group):
            node.adopt(found, prepared.position.accepted_ballot)
            node.context.log.info("%s: the group has changed; asking the new one.", node.log_prefix)
            node.context.call_later(1, self.campaign)
            return
        if node.acceptor.vote.promised > ballot:
            node.on_election_lost()
            return
        value = found if found is not None else node.first_value()
        self._count("won")
        node.context.log.info(
            "%s: elected leader of the %s register, term %d, version %d.",
            node.log_prefix,
            node.subject,
            ballot.term,
            value.serial,
        )
        node.become_leader(ballot, value)

    # resigning

    def resign(self) -> None:
        """Tells the voters that this daemon leads no more, so that the next campaigns at once."""
        node = self.node
        ballot, group = node.ballot, node.group()
        if ballot is None:
            return
        node.step_down("it resigns")
        self.forget_leader()
        for voter in group:
            if address_of(voter) != node.address:
                node.send(address_of(voter), MessageKind.LEADER_RESIGNED, LeaderResigned(ballot))

    def on_resigned(self, peer: str, message: LeaderResigned, reply: Callable[..., None]) -> None:
        """The leader has resigned: the voters campaign one after the other, without waiting."""
        node = self.node
        if message.ballot < self.leader_ballot or node.ballot is not None:
            return
        self.leader_ballot = message.ballot
        self.forget_leader()
        group = node.group()
        voter = node.acceptor.vote.voter
        if voter not in group:
            return

        def campaign() -> None:
            if self.leader_ballot == message.ballot and self._last_heartbeat_ms == NEVER_MS:
                self.campaign()

        successors = [v for v in group if address_of(v) != message.ballot.address]
        turn = successors.index(voter)
        node.context.call_later(node.request_timeout_ms * SUCCESSION_STEP_SHARE * turn, campaign)

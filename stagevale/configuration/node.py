"""A store's part in the configuration's consensus group: it carries out the operators' commands."""

from typing import Protocol

from stagevale.configuration.commands import (
    NOT_FOUND,
    OK,
    READ_KINDS,
    SUPERSEDED,
    UNAVAILABLE,
    UNVERSIONED_COMMANDS,
    CommandKind,
    FindHandler,
    Outcome,
    Subject,
    subject_of,
)
from stagevale.configuration.last_changes import LastChanges
from stagevale.configuration.messages import CommittedValue
from stagevale.configuration.outstanding_leases import OutstandingLeases
from stagevale.configuration.value import ConfigurationValue, read_configuration_value
from stagevale.consensus.commands import (
    READ_VALUE,
    Command,
    CommandAnswer,
    CommandReply,
    succeeded,
)
from stagevale.consensus.node import ConsensusNode
from stagevale.consensus.vote_storage import VoteStore
from stagevale.membership.member import REGISTRY_PROGRAM, STORE_PORT_OFFSET, STORE_PROGRAM, Member
from stagevale.membership.membership import Membership
from stagevale.quorum.ballot import Ballot
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import RpcTransport
from stagevale.runtime.context import Context

# Commands whose callers wait until leases on what was withdrawn are out of use.
LEASED_COMMANDS = (CommandKind.OFFER, CommandKind.WITHDRAW_OFFER, CommandKind.MOVE_ROLLOUT)
# Of these the callers wait whether or not they withdrew anything.
ALWAYS_LEASED_COMMANDS = (CommandKind.OFFER, CommandKind.WITHDRAW_OFFER)


class SessionGroupTask(Protocol):
    """The leader's care for session groups; see `sessions.group_manager`."""

    def run(self) -> None:
        """Starts the next change of the groups, if one is due."""


class RolloutTask(Protocol):
    """The leader's care for rollouts; see `rollouts.manager`."""

    def schedule(self) -> None:
        """Has rollouts looked at before the next command."""

    def start_due_change(self) -> bool:
        """Starts the change of a rollout that is due; True where one is under way."""

    def record_outcomes(self, payload: str) -> None:
        """Takes in what proxies report of requests under rollouts."""

    def status(self) -> str:
        """All rollouts as JSON."""


class ConfigurationNode(ConsensusNode[ConfigurationValue]):
    """A store's part in the configuration's consensus group.

    Attributes:
        leases: leases on what has been withdrawn.
        last_changes: when commands last changed what they are about.
        sessions: set by the daemon, which knows both packages.
        rollouts: likewise.
    """

    program = STORE_PROGRAM
    port_offset = STORE_PORT_OFFSET
    log_prefix = "store"
    subject = "configuration"
    internal_kinds = frozenset((READ_VALUE, CommandKind.SERIAL))

    __slots__ = ("leases", "last_changes", "find_handler", "sessions", "rollouts")

    sessions: SessionGroupTask
    rollouts: RolloutTask

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        membership: Membership,
        storage: VoteStore[ConfigurationValue],
        find_handler: FindHandler,
    ) -> None:
        super().__init__(context, rpc, membership, storage)
        self.leases = OutstandingLeases(context)
        self.last_changes = LastChanges()
        self.find_handler = find_handler

    def read_value(self, encoded: bytes) -> ConfigurationValue:
        """See `ConsensusNode.read_value`."""
        return read_configuration_value(encoded)

    def first_value(self) -> ConfigurationValue:
        """See `ConsensusNode.first_value`."""
        return ConfigurationValue(0, 0, "", (), self.group())

    def become_leader(self, ballot: Ballot, value: ConfigurationValue) -> None:
        """See `ConsensusNode.become_leader`."""
        self.leases.record_withdrawal()
        self.last_changes.reset(value.serial)
        super().become_leader(ballot, value)

    def on_leadership_confirmed(self) -> None:
        """See `ConsensusNode.on_leadership_confirmed`."""
        self.reconfiguration.review()
        self.sessions.run()
        self.rollouts.schedule()
        self.commands.process()

    def start_due_change(self) -> bool:
        """See `ConsensusNode.start_due_change`."""
        return self.rollouts.start_due_change()

    # commands

    def execute(self, command: Command) -> None:
        """See `ConsensusNode.execute`."""
        if self.committed is None:
            raise RuntimeError("a command before the first committed value")
        if command.kind in READ_KINDS:
            self._answer_reads(command, self.committed)
        else:
            self._decide(command, self.committed)

    def _answer_reads(self, first: Command, value: ConfigurationValue) -> None:
        """Answers all reads that wait by one confirmation; those that come meanwhile wait for the
        next. One by one, each would be answered after its caller had gone on, once more of them
        come than there are confirmations in that time.
        """
        commands = [first, *self.commands.take_all(READ_KINDS)]
        answers = [CommandAnswer(command, self._read(command, value)) for command in commands]
        ballot = self.ballot
        self.busy = True

        def answered() -> None:
            if self.ballot == ballot:
                self.busy = False
            self.commands.process()

        self.answer_when_confirmed(answers, answered)

    def _read(self, command: Command, value: ConfigurationValue) -> CommandReply:
        if command.kind == READ_VALUE:
            return succeeded(value.published)
        if command.kind == CommandKind.SERIAL:
            if command.payload:
                self.rollouts.record_outcomes(command.payload)
            return succeeded(str(value.serial))
        if command.kind == CommandKind.READ_ROLLOUTS:
            return succeeded(self.rollouts.status())
        outcome = self._outcome(command, value)
        return CommandReply(outcome.status, outcome.text)

    def _outcome(self, command: Command, value: ConfigurationValue) -> Outcome:
        handler = self.find_handler(command.kind)
        if handler is None:
            return Outcome(NOT_FOUND, f"unknown order {command.kind}")
        return handler(value, command.payload, self.context.settings.zones)

    def _decide(self, command: Command, value: ConfigurationValue) -> None:
        """Carries out a command that may change the value; where it doesn't, the answer is
        confirmed like a read, and the next command needn't wait for that.
        """
        outcome = self._outcome(command, value)
        if outcome.value is None:
            waits = command.kind in LEASED_COMMANDS and outcome.status == OK
            left_ms = self.leases.left_ms() if waits else None
            answer = CommandReply(outcome.status, outcome.text, left_ms)
            self.answer_when_confirmed([CommandAnswer(command, answer)])
            self.context.call_soon(self.commands.process)
            return
        subject, serial = subject_of(command.kind, command.payload), outcome.value.serial
        if subject is not None and self._is_superseded(command, subject):
            self._reject_superseded(command)
            return

        def proposed(committed: bool) -> None:
            if committed and outcome.withdraws:
                self.leases.record_withdrawal()
            if committed and subject is not None:
                self.last_changes.record(subject, serial)
            answer = self._answer_to_change(command, outcome, committed)
            if committed:
                self.answer(command, answer)
            else:
                command.reply(answer)
            self.commands.process()

        self.propose(outcome.value, proposed)

    def _is_superseded(self, command: Command, subject: Subject) -> bool:
        """True for a command whose subject was changed after the command's basis: its caller may
        have given it up, had it carried out by another daemon, and undone that since.
        """
        if command.basis_serial is None or command.kind not in UNVERSIONED_COMMANDS:
            return False
        return self.last_changes.changed_since(subject, command.basis_serial)

    def _reject_superseded(self, command: Command) -> None:
        self.context.log.info(
            "%s: %s is not carried out: changed since version %d, which its caller's daemon knew.",
            self.log_prefix,
            command.kind,
            command.basis_serial,
        )
        command.reply(CommandReply(SUPERSEDED, "changed meanwhile; ask again"))
        self.context.call_soon(self.commands.process)

    def _answer_to_change(
        self, command: Command, outcome: Outcome, committed: bool
    ) -> CommandReply:
        """The answer to a command whose change was proposed."""
        if not committed:
            return CommandReply(UNAVAILABLE, "outcome unknown")
        waits = command.kind in ALWAYS_LEASED_COMMANDS or (
            command.kind == CommandKind.MOVE_ROLLOUT and outcome.withdraws
        )
        left_ms = self.leases.left_ms() if waits else None
        return CommandReply(outcome.status, outcome.text, left_ms)

    # publishing

    def publish(self, value: ConfigurationValue) -> None:
        """Brings a committed value to one registry of each region, which passes it on there; and
        to core machines that are known but not yet, or no more, members.
        """
        regions: dict[str, list[Member]] = {}
        for member in self.membership.members(REGISTRY_PROGRAM):
            if self.membership.is_reachable(member.address):
                regions.setdefault(member.region, []).append(member)
        own_machine = self.membership.me.machine
        for members in regions.values():
            members.sort(key=lambda member: member.machine != own_machine)
            first, *rest = [member.address for member in members]
            message = CommittedValue(value.published, tuple(rest))
            self.rpc.send(first, MessageKind.COMMITTED_VALUE, message)
        for address in self.acceptor.vote.peers:
            if address not in self.membership.state.members:
                message = CommittedValue(value.published, ())
                self.rpc.send(address, MessageKind.COMMITTED_VALUE, message)

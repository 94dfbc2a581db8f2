"""Commands on their way to the leader: forwarded, queued for a moment, answered once."""

import http
from collections.abc import Callable, Container
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from stagevale.consensus.commands import (
    READ_VALUE,
    Command,
    CommandReply,
    CommandRequest,
    OnCommandReply,
    ReadValueRequest,
    unavailable,
)
from stagevale.consensus.messages import LeaderInfo, LeaderQuery
from stagevale.consensus.value import ReplicatedValue
from stagevale.quorum.ballot import NO_BALLOT
from stagevale.rpc.errors import RequestError, RequestTimeoutError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body, read_message
from stagevale.rpc.request_terms import NO_TERMS, RequestTerms
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.consensus.node import ConsensusNode

ValueT = TypeVar("ValueT", bound=ReplicatedValue)

# In request time-outs: how long a command may wait for a leader, how long the leader may take for
# a forwarded one, and how long a daemon may take to say who leads.
EXPIRY_TIMEOUTS = 1.8
FORWARD_TIMEOUTS = 0.8
LEADER_QUERY_TIMEOUTS = 0.3
# A leader that lets a command time out, but whose heartbeat is younger than this many intervals,
# is slow and not gone.
SLOW_LEADER_HEARTBEATS = 1.3
# A large command is given this much more time: what a narrow link carries beside other traffic.
COMMAND_BYTES_PER_MS = 100.0


class LeaderSearch(Generic[ValueT]):
    """Asks daemons who leads, until one knows or none does."""

    __slots__ = ("node", "unanswered", "on_done")

    def __init__(
        self, node: "ConsensusNode[ValueT]", addresses: list[str], on_done: Callable[[], object]
    ) -> None:
        self.node = node
        self.unanswered = set(addresses)
        self.on_done = on_done

    def start(self) -> None:
        """Sends the queries; `on_done()` is called at the first leader or the last reply."""
        node = self.node
        if not self.unanswered:
            node.context.call_soon(self.on_done)
            return
        timeout_ms = node.request_timeout_ms * LEADER_QUERY_TIMEOUTS
        for peer in list(self.unanswered):
            node.request(
                peer,
                MessageKind.LEADER_QUERY,
                LeaderQuery(),
                LeaderInfo,
                self._reply_handler(peer),
                timeout_ms,
            )

    def _reply_handler(self, peer: str) -> Callable[[LeaderInfo | None, RequestError | None], None]:
        return lambda info, _error: self._replied(peer, info)

    def _replied(self, peer: str, info: LeaderInfo | None) -> None:
        if not self.unanswered:
            return
        self.unanswered.discard(peer)
        if info is not None:
            self.node.group_view.record(info.serial, info.group)
            if info.known and info.leader_ballot > NO_BALLOT:
                self.unanswered.clear()
                self.node.election.record_hint(info.leader_ballot)
        if not self.unanswered:
            self.on_done()


class CommandQueue(Generic[ValueT]):
    """Takes commands from registries and other voters and has the leader carry them out in turn.

    Attributes:
        pending: commands that wait for their turn, or for a leader.
    """

    __slots__ = ("node", "pending")

    def __init__(self, node: "ConsensusNode[ValueT]") -> None:
        self.node = node
        self.pending: list[Command] = []

    def on_command(self, peer: str, body: Any, reply: Reply, terms: RequestTerms) -> None:
        """A registry or another voter sends a command."""
        request = read_message(CommandRequest, body)
        self.submit(request, lambda answer: reply(message_body(answer)), terms)

    def on_read_value(self, peer: str, body: Any, reply: Reply, terms: RequestTerms) -> None:
        """A registry or another voter asks for the complete value."""
        request = CommandRequest(READ_VALUE, "", read_message(ReadValueRequest, body).forwarded)
        self.submit(request, lambda answer: reply(message_body(answer)), terms)

    def submit(
        self, request: CommandRequest, reply: OnCommandReply, terms: RequestTerms = NO_TERMS
    ) -> None:
        """Carries a command out here, forwards it to the leader, or rejects it (503).

        Args:
            request: the command.
            reply: called exactly once.
            terms: on which it may be carried out; a caller of an earlier release sends none.
        """
        node = self.node
        if node.context.stalled():
            reply(unavailable("this daemon stood still; ask again"))
            return
        large_ms = len(request.payload) / COMMAND_BYTES_PER_MS
        timeout_ms = node.request_timeout_ms * EXPIRY_TIMEOUTS + large_ms
        expires_ms = node.context.now_ms() + timeout_ms
        if terms.deadline_ms is not None:
            expires_ms = min(expires_ms, terms.deadline_ms)
        command = Command(request.kind, request.payload, reply, expires_ms, terms.basis_serial)
        if expires_ms <= node.context.now_ms():
            self._reject([command])
        elif node.ballot is not None:
            self._enqueue(command)
            self.process()
        elif request.forwarded:
            self._submit_forwarded(command)
        elif not node.acceptor.loaded:
            reply(unavailable("the disk is still being read"))
        else:
            self._route(command)

    def _submit_forwarded(self, command: Command) -> None:
        """A command from a daemon that takes this one for the leader."""
        if self.node.election.campaigning:
            self._enqueue(command)
        else:
            command.reply(unavailable("not the leader"))

    def _enqueue(self, command: Command) -> None:
        """Keeps a command until there is a leader or it expires."""
        self.pending.append(command)
        self.node.context.call_later(
            command.expires_ms - self.node.context.now_ms(), self._reject_expired
        )

    def _route(self, command: Command) -> None:
        """Forwards a command to the leader, once that is known."""
        leader = self.node.election.leader_address()
        if leader is not None:
            self._forward(leader, command)
            return
        self._enqueue(command)
        if self.node.is_voter():
            self.node.election.campaign()
        else:
            self.find_leader(self.process)

    def find_leader(self, on_done: Callable[[], object]) -> None:
        """Asks voters and other daemons of this program who leads.

        Args:
            on_done: called at the first that knows a leader, or when none of them does.
        """
        LeaderSearch(self.node, self.node.known_addresses(), on_done).start()

    def _forward(self, leader: str, command: Command) -> None:
        """Sends a command to the leader; where that fails, it waits for the next one."""
        node = self.node

        def replied(body: Any, error: RequestError | None) -> None:
            reply = CommandReply.from_body(body) if error is None else None
            if reply is not None and reply.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
                command.reply(reply)
            else:
                self._on_forward_failed(leader, command, error)

        timeout_ms = node.request_timeout_ms * FORWARD_TIMEOUTS
        request: CommandRequest | ReadValueRequest
        if command.kind == READ_VALUE:
            kind, request = MessageKind.READ_VALUE, ReadValueRequest(True)
        else:
            kind = MessageKind.COMMAND
            request = CommandRequest(str(command.kind), command.payload, True)
        terms = RequestTerms(command.expires_ms, command.basis_serial)
        node.request_raw(leader, kind, request, replied, timeout_ms, terms)

    def _on_forward_failed(self, leader: str, command: Command, error: RequestError | None) -> None:
        node = self.node
        if node.context.now_ms() >= command.expires_ms or not node.is_voter():
            command.reply(unavailable("the leader can't be reached"))
            return
        recent_ms = node.heartbeat_ms * SLOW_LEADER_HEARTBEATS
        if (
            isinstance(error, RequestTimeoutError)
            and node.election.since_heartbeat_ms() < recent_ms
        ):
            command.reply(unavailable("the leader is slow"))
            return
        if node.election.leader_address() == leader:
            node.election.forget_leader()
        self._enqueue(command)
        self.process()

    def _reject_expired(self) -> None:
        """Rejects the commands whose callers wait no longer."""
        now_ms = self.node.context.now_ms()
        expired = [command for command in self.pending if command.expires_ms <= now_ms]
        self.pending = [command for command in self.pending if command.expires_ms > now_ms]
        self._reject(expired)

    def _reject(self, expired: list[Command]) -> None:
        """Rejects commands whose time has run out: their callers may have had them carried out
        elsewhere by now, and taken back.
        """
        for command in expired:
            self.node.context.log.info(
                "%s: %s is not carried out: its caller waits no longer.",
                self.node.log_prefix,
                command.kind,
            )
            command.reply(unavailable("not carried out in time"))

    def take_all(self, kinds: Container[str]) -> list[Command]:
        """Removes and returns all pending commands of some kinds."""
        taken = [command for command in self.pending if command.kind in kinds]
        self.pending = [command for command in self.pending if command.kind not in kinds]
        return taken

    def process(self) -> None:
        """Carries out the next command where this daemon leads and is idle; else forwards all."""
        node = self.node
        if node.busy:
            return
        if node.ballot is None:
            self._forward_all()
            return
        if node.committed is None or node.start_due_change():
            return
        self._reject_expired()
        if not self.pending:
            node.reconfiguration.review()
            return
        node.execute(self.pending.pop(0))

    def _forward_all(self) -> None:
        node = self.node
        leader = node.election.leader_address()
        self._reject_expired()
        if not self.pending:
            return
        if leader is not None and leader != node.address:
            commands, self.pending = self.pending, []
            for command in commands:
                self._forward(leader, command)
        elif node.is_voter():
            node.election.campaign()

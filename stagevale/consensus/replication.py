"""A leader's proposals: having a value accepted, having leadership confirmed, repairing voters."""

import zlib
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Generic, NamedTuple, TypeVar

from stagevale.consensus.messages import (
    AcceptReply,
    AcceptRequest,
    ConfirmReply,
    ConfirmRequest,
    LeaderHeartbeat,
)
from stagevale.consensus.value import ReplicatedValue
from stagevale.consensus.voter_id import address_of
from stagevale.quorum.ballot import Ballot
from stagevale.quorum.call import QuorumCall
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind

if TYPE_CHECKING:
    from stagevale.consensus.node import ConsensusNode

ValueT = TypeVar("ValueT", bound=ReplicatedValue)

# A leader that no majority confirms so many times running steps down.
UNCONFIRMED_HEARTBEATS = 2
# A large proposal is given this much more time: what a busy link between regions carries.
PROPOSAL_BYTES_PER_MS = 4000.0


class Payload(NamedTuple):
    """What a voter is sent of a value; `base` is empty where `data` is the complete value."""

    base: bytes
    data: bytes


class LastDelta(NamedTuple, Generic[ValueT]):
    """The delta computed last; `data` is None where only the complete value will do."""

    before: ValueT
    value: ValueT
    data: bytes | None


class Replication(Generic[ValueT]):
    """Brings the leader's value to the voters and keeps track of what each of them holds.

    Attributes:
        voter_digests: digest of the value that each voter is known to hold.
    """

    __slots__ = ("node", "voter_digests", "_unconfirmed", "_last_delta")

    def __init__(self, node: "ConsensusNode[ValueT]") -> None:
        self.node = node
        self.voter_digests: dict[str, bytes] = {}
        self._unconfirmed = 0
        self._last_delta: LastDelta[ValueT] | None = None

    def reset(self) -> None:
        """A new leadership begins: nothing is known yet of what the voters hold."""
        self.voter_digests = {}
        self._unconfirmed = 0

    # proposing

    def propose(
        self,
        before: ValueT,
        value: ValueT,
        on_done: Callable[[bool], object],
        newcomer: str | None = None,
    ) -> None:
        """Has a value accepted by majorities of the groups before and after it.

        Args:
            before: the value that the proposal changes.
            value: the value proposed.
            on_done: called once with whether the value was committed under this leadership.
            newcomer: a voter that joins with this value; it has to accept too, unless it stays
                silent until everybody else has replied: the value is to lie on no fewer disks than
                before.
        """
        node = self.node
        ballot = node.leading_ballot()

        def is_accepted(voter: str, reply: AcceptReply) -> bool:
            node.record_identity(voter, reply.voter)
            if reply.voter == voter and reply.promised > ballot:
                call.cancel()
                self.on_superseded(ballot, voter, reply.promised)
                on_done(False)
            return reply.granted

        def rejected() -> None:
            if node.ballot == ballot:
                node.step_down("no majority accepted")
            on_done(False)

        groups = (before.group, value.group)
        call: QuorumCall[AcceptReply] = QuorumCall(
            dict.fromkeys(before.group + value.group),
            is_accepted,
            lambda: on_done(self._on_accepted(ballot, value)),
            rejected,
            groups,
            newcomer,
        )
        for voter in call.members:
            self.send_value(voter, address_of(voter), before, value, call.replied)

    def _on_accepted(self, ballot: Ballot, value: ValueT) -> bool:
        """Majorities have accepted; returns whether this daemon still leads under the ballot."""
        node = self.node
        if node.ballot != ballot:
            return False
        node.busy = False
        node.committed = value
        node.group_view.record(value.serial, value.group)
        node.publish(value)
        node.withheld.release()
        return True

    def on_superseded(self, ballot: Ballot, voter: str, promised: Ballot) -> None:
        """A voter has promised a higher ballot than this leader's."""
        node = self.node
        node.election.highest_term = max(node.election.highest_term, promised.term)
        if node.ballot == ballot:
            node.step_down(f"{voter} has promised a higher ballot")

    def send_value(
        self,
        voter: str,
        address: str,
        before: ValueT | None,
        value: ValueT,
        on_reply: Callable[[str, AcceptReply | None], object],
    ) -> None:
        """Sends a value to one voter: as a delta where it holds `before`, else complete.

        Args:
            voter: the voter that is meant; empty for whatever disk stands behind the address.
            address: where it is reached.
            before: the value that the delta leads from; None where there is to be none.
            value: what is sent.
            on_reply: called once with the voter and its reply, or None.
        """
        node = self.node
        ballot = node.leading_ballot()
        payload = self._payload(voter, before, value)
        timeout_ms = node.request_timeout_ms + len(payload.data) / PROPOSAL_BYTES_PER_MS

        def replied(reply: AcceptReply | None, _error: RequestError | None) -> None:
            if (
                reply is not None
                and reply.needs_complete_value
                and payload.base
                and node.ballot == ballot
            ):
                self.voter_digests.pop(voter, None)
                self.send_value(voter, address, None, value, on_reply)
                return
            if reply is not None and reply.granted:
                self.voter_digests[reply.voter] = value.digest
            on_reply(voter, reply)

        request = AcceptRequest(ballot, voter, payload.base, payload.data)
        node.request(address, MessageKind.ACCEPT, request, AcceptReply, replied, timeout_ms)

    def _payload(self, voter: str, before: ValueT | None, value: ValueT) -> Payload:
        """What a voter has to be sent of a value; the delta is computed once for all voters."""
        if before is None or not voter or self.voter_digests.get(voter) != before.digest:
            return Payload(b"", value.encoded)
        last = self._last_delta
        if last is None or last.before is not before or last.value is not value:
            last = self._last_delta = LastDelta(before, value, value.delta_from(before))
        if last.data is None:
            return Payload(b"", value.encoded)
        return Payload(before.digest, last.data)

    # confirming

    def confirm_leadership(self, on_done: Callable[[bool], object]) -> None:
        """Asks the group whether this daemon's ballot is still the highest.

        Args:
            on_done: called once with whether a majority has confirmed it.
        """
        node = self.node
        ballot = node.leading_ballot()
        group = node.committed.group if node.committed is not None else node.group()
        rejections = [ballot]

        def is_confirmed(_voter: str, reply: ConfirmReply) -> bool:
            if not reply.granted:
                rejections.append(reply.promised)
            return reply.granted

        def rejected() -> None:
            highest = max(rejections)
            if highest > ballot:
                self.on_superseded(ballot, "a voter", highest)
            on_done(False)

        call: QuorumCall[ConfirmReply] = QuorumCall(
            group, is_confirmed, lambda: on_done(node.ballot == ballot), rejected
        )

        def replied(voter: str, reply: ConfirmReply | None) -> None:
            if reply is not None:
                self._repair_voter(voter, reply, ballot)
            call.replied(voter, reply)

        for voter in group:
            request = ConfirmRequest(ballot, voter)
            node.request_voter(
                voter, MessageKind.CONFIRM_LEADERSHIP, request, ConfirmReply, replied
            )

    def _repair_voter(self, voter: str, reply: ConfirmReply, ballot: Ballot) -> None:
        """Records what a voter holds; one that lost its disk is replaced, one that is behind gets
        the value again.
        """
        node = self.node
        if node.ballot != ballot or node.committed is None:
            return
        node.record_identity(voter, reply.voter)
        if reply.voter != voter:
            return
        self.voter_digests[voter] = reply.digest
        behind = reply.digest != node.committed.digest
        if behind and not node.busy and reply.promised <= ballot:
            self.send_value(
                voter, address_of(voter), None, node.committed, lambda _voter, _reply: None
            )

    # heartbeats

    def heartbeat(self) -> None:
        """Has the leadership confirmed and, where it is, sends heartbeats and does what is due."""
        node = self.node
        ballot = node.leading_ballot()

        def confirmed(success: bool) -> None:
            if node.ballot != ballot:
                return
            if not success:
                self._unconfirmed += 1
                if self._unconfirmed >= UNCONFIRMED_HEARTBEATS:
                    node.step_down("no majority confirms it")
                return
            self._unconfirmed = 0
            node.election.record_heartbeat(ballot)
            if node.committed is not None:
                self.send_heartbeats()
                node.on_leadership_confirmed()

        self.confirm_leadership(confirmed)

    def send_heartbeats(self) -> None:
        """Tells the core daemons who leads, and which value and group are committed."""
        node = self.node
        committed = node.committed
        if committed is None:
            return
        message = LeaderHeartbeat(
            node.leading_ballot(), committed.serial, group_checksum(committed.group)
        )
        for address in node.heartbeat_recipients():
            node.send(address, MessageKind.LEADER_HEARTBEAT, message)


def group_checksum(group: Iterable[str]) -> int:
    """A short number that is equal for equal groups."""
    return zlib.crc32(" ".join(sorted(group)).encode())

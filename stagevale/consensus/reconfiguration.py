"""Changes of the group: one voter at a time, accepted by majorities of both groups."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

from stagevale.consensus.messages import AcceptReply, LeaveReply, LeaveRequest
from stagevale.consensus.value import ReplicatedValue
from stagevale.consensus.voter_id import address_of
from stagevale.membership.member import Member, MemberState
from stagevale.quorum.rules import majority
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind

if TYPE_CHECKING:
    from stagevale.consensus.node import ConsensusNode

ValueT = TypeVar("ValueT", bound=ReplicatedValue)

# In `contactMs`: how long a voter is away until another daemon may take its place.
GONE_SHARE = 1.25
LARGEST_GROUP = 9
LEFT_STATES = (MemberState.EXITING, MemberState.REMOVED)
# For how many heartbeat intervals a daemon that left, or didn't answer, isn't invited again.
AVOID_HEARTBEATS = 2.0
# In request time-outs: how soon a voter asks again to be removed, and how long it waits for that.
LEAVE_RETRY_TIMEOUTS = 0.4
LEAVE_TIMEOUTS = 2


class Reconfiguration(Generic[ValueT]):
    """Decides and carries out the next change of the group, where this daemon leads; and asks the
    leader to remove this daemon before it shuts down.
    """

    __slots__ = (
        "node",
        "_away_since_ms",
        "_leaving",
        "_left",
        "_inviting",
        "_last_change_ms",
        "_avoid_until_ms",
        "_warned",
    )

    def __init__(self, node: "ConsensusNode[ValueT]") -> None:
        self.node = node
        self._away_since_ms: dict[str, float] = {}
        self._leaving: dict[str, Callable[[LeaveReply], None]] = {}
        # Voters that have shut down in order, and keep their votes until others take them, with the
        # incarnations that did; another one is the voter that is back.
        self._left: dict[str, int | None] = {}
        self._inviting = False
        self._last_change_ms = 0.0
        self._avoid_until_ms: dict[str, float] = {}
        self._warned = False

    def reset(self) -> None:
        """A new leadership begins: nothing is known of who is away or leaves."""
        self._away_since_ms = {}
        self._leaving = {}
        self._left = {}
        self._inviting = False
        self._warned = False

    def on_leave(
        self, peer: str, request: LeaveRequest, reply: Callable[[LeaveReply], None]
    ) -> None:
        """A voter is about to shut down: its vote goes to another daemon before it does, or stays."""
        node = self.node
        if node.ballot is None or node.committed is None:
            reply(LeaveReply(False))
            return
        if request.voter not in node.committed.group:
            reply(LeaveReply(True))
            return
        self._leaving[request.voter] = reply
        self.review()

    def _reply_to_removed(self) -> None:
        """Tells those that asked to leave and are out of the committed group."""
        node = self.node
        group = node.committed.group if node.committed is not None else ()
        until_ms = node.context.now_ms() + node.heartbeat_ms * AVOID_HEARTBEATS
        for voter in [voter for voter in self._leaving if voter not in group]:
            self._let_go(voter, until_ms)

    def _let_go(self, voter: str, avoid_until_ms: float) -> None:
        """Tells a voter that asked to leave that it may end."""
        self._leaving.pop(voter)(LeaveReply(True))
        self._avoid_until_ms[address_of(voter)] = avoid_until_ms

    # what to change

    def review(self) -> None:
        """Starts the next change of the group, if one is due and nothing else is under way."""
        node = self.node
        if node.ballot is None or node.committed is None or node.busy or self._inviting:
            return
        self._reply_to_removed()
        now_ms = node.context.now_ms()
        recently = now_ms - self._last_change_ms < node.heartbeat_ms / 2
        if not self._is_urgent(node.committed.group) and (node.commands.pending or recently):
            return
        live = self._live_members()
        self._warn_of_small_group(node.committed.group, live)
        self._start_change(node.committed, live, now_ms)

    def _is_urgent(self, group: tuple[str, ...]) -> bool:
        """True where a change of the group comes before commands: somebody waits to end, or fewer
        disks may be lost than the tolerance says.
        """
        node = self.node
        lost = any(voter in node.lost_disks for voter in group)
        spare = self._has_spare_voter(group)
        return bool(self._leaving) or lost or spare or not node.outlives_tolerance()

    def _warn_of_small_group(self, group: tuple[str, ...], live: list[Member]) -> None:
        """Says once in a leadership that there are too few daemons for the tolerance."""
        node = self.node
        seated = {address_of(voter) for voter in group}
        if self._warned or node.outlives_tolerance():
            return
        if any(member.address not in seated for member in live):
            return
        self._warned = True
        node.context.log.warning(
            "%s: %d voters, no other daemon to join: fewer disks may be lost than the tolerance of"
            " %d says; changes are made, but not acknowledged.",
            node.log_prefix,
            len(group),
            node.disk_rule.tolerated,
        )

    def _start_change(self, value: ValueT, live: list[Member], now_ms: float) -> None:
        node = self.node
        group = value.group
        departed = self._departed(group, live, now_ms)
        candidate = self._candidate(group, live, departed, now_ms)
        wanted = max(target_size(live), node.disk_rule.full_group)
        if self._has_spare_voter(group) and (departed or len(group) > wanted):
            self._remove(departed[0] if departed else self._newest_other(group), group, now_ms)
        elif candidate is not None and (departed or len(group) < wanted):
            self._invite(candidate)
        elif departed and self._has_to_give_a_seat_up(group, live):
            self._remove(departed[0], group, now_ms)
        elif departed and departed[0] in self._leaving:
            self._release(departed[0], now_ms)
        elif len(group) > wanted:
            self._remove_needless(departed, group, now_ms)

    def _has_spare_voter(self, group: tuple[str, ...]) -> bool:
        """True for a group that has a voter more than its majority needs: a voter is replaced by one
        that joins, and by going itself in a change of its own.

        In one step the majorities of the two groups need not meet: each would do without the other,
        where an uncommitted change is found by those that have accepted it only.
        """
        return len(group) > self.node.disk_rule.full_group and len(group) % 2 == 0

    def _newest_other(self, group: tuple[str, ...]) -> str:
        """The voter that joined last and isn't this daemon."""
        return next(voter for voter in reversed(group) if address_of(voter) != self.node.address)

    def _has_to_give_a_seat_up(self, group: tuple[str, ...], live: list[Member]) -> bool:
        """True where a voter that leaves, or has left, can't keep its seat.

        It may never come back: its machine may have been replaced by one at another address. In a
        group that is larger than need be it keeps the seat only while those that stay are a majority
        without it, even after as many further losses as may come. Voters that are away for another
        reason stay: they are back with their disks.
        """
        node = self.node
        if len(group) <= node.disk_rule.full_group:
            return False
        gone = {voter for voter in group if voter in self._leaving or self._has_left(voter)}
        staying = [voter for voter in group if voter not in gone | node.lost_disks]
        if gone and not node.disk_rule.bears_further(group, staying, node.lost_disks):
            return True
        present = {member.address for member in live} | {node.address}
        there = [voter for voter in staying if address_of(voter) in present]
        return bool(gone & self._leaving.keys()) and len(there) < majority(len(group))

    def _has_left(self, voter: str) -> bool:
        """True for a voter that has shut down in order and isn't back."""
        member = self.node.membership.state.members.get(address_of(voter))
        return voter in self._left or (member is not None and member.state in LEFT_STATES)

    def _release(self, leaver: str, now_ms: float) -> None:
        """Lets a voter end whose vote nobody can take: it keeps it.

        A smaller group would bear fewer lost disks, since the voter that comes back with its disk
        would have no vote. Where the others are no majority, the service rests until some are back.
        """
        self._left[leaver] = self._incarnation_of(leaver)
        self._let_go(leaver, now_ms + self.node.heartbeat_ms * AVOID_HEARTBEATS)

    def _incarnation_of(self, voter: str) -> int | None:
        """The incarnation of the daemon at a voter's address; None where it is no member."""
        member = self.node.membership.state.members.get(address_of(voter))
        return member.uid if member is not None else None

    def _remove_needless(self, departed: list[str], group: tuple[str, ...], now_ms: float) -> None:
        """Removes a voter from a group that is larger than it need be: one whose disk was lost, or
        that was away for long. From any other group nobody is removed, however long it is away: its
        disk counts when it is back.
        """
        node = self.node
        limit_ms = node.context.settings.bounds.gone_for_good_ms
        for voter in departed:
            away_ms = now_ms - self._away_since_ms.get(voter, now_ms)
            if voter in node.lost_disks or away_ms > limit_ms:
                self._remove(voter, group, now_ms)
                return

    def _remove(self, voter: str, group: tuple[str, ...], now_ms: float) -> None:
        """Proposes the group without a voter, unless it is the last one."""
        if len(group) == 1:
            return
        self._last_change_ms = now_ms
        rest = tuple(each for each in group if each != voter)
        self._propose_group(rest, f"{voter} leaves the group")

    def _live_members(self) -> list[Member]:
        """The members that run this program, are reachable and don't leave."""
        node = self.node
        return [
            member
            for member in node.membership.members(
                node.program, (MemberState.JOINING, MemberState.UP)
            )
            if node.membership.is_reachable(member.address)
        ]

    def _departed(self, group: tuple[str, ...], live: list[Member], now_ms: float) -> list[str]:
        """Voters that are to be replaced: those that leave or lost their disk first, then those
        that have left, then those that have been away for long, which may be back.
        """
        node = self.node
        present = {member.address for member in live} | {node.address}
        self._left = {
            voter: uid
            for voter, uid in self._left.items()
            if voter in group
            and (address_of(voter) not in present or uid == self._incarnation_of(voter))
        }
        self._away_since_ms = {
            voter: self._away_since_ms.get(voter, now_ms)
            for voter in group
            if address_of(voter) not in present or voter in self._left
        }
        lost_disks = node.lost_disks
        limit_ms = node.context.settings.bounds.contact_ms * GONE_SHARE
        gone = [
            voter for voter, since_ms in self._away_since_ms.items() if now_ms - since_ms > limit_ms
        ]
        first = [v for v in group if v in self._leaving or v in lost_disks]
        first += [v for v in group if v not in first and self._has_left(v)]
        return first + [voter for voter in gone if voter not in first]

    def _candidate(
        self, group: tuple[str, ...], live: list[Member], departed: list[str], now_ms: float
    ) -> str | None:
        """The address of the daemon to be invited next: of the region with the fewest voters, one
        that did not just fail to answer; or None.
        """
        seated = {address_of(voter) for voter in group if voter not in departed}
        seated |= {
            address_of(voter)
            for voter in departed
            if voter not in self.node.lost_disks and voter not in self._away_since_ms
        }
        voters_in_region: dict[str, int] = {}
        for member in self.node.membership.state.members.values():
            if member.address in seated:
                voters_in_region[member.region] = voters_in_region.get(member.region, 0) + 1
        able = [
            member
            for member in live
            if member.address not in seated
            and self._avoid_until_ms.get(member.address, 0.0) <= now_ms
        ]
        able.sort(key=lambda member: voters_in_region.get(member.region, 0))
        return able[0].address if able else None

    # changing

    def _invite(self, address: str) -> None:
        """Brings the committed value to a newcomer's disk first, then proposes the new group."""
        node = self.node
        value, ballot = node.committed, node.ballot
        if value is None or ballot is None:
            return
        self._last_change_ms = node.context.now_ms()
        self._inviting = True

        def replied(_: str, reply: AcceptReply | None) -> None:
            self._inviting = False
            if node.ballot != ballot or node.committed is None:
                return
            if reply is None or not reply.granted:
                self._on_invitation_failed(address, reply)
                return
            if node.busy or node.committed.group != value.group:
                return
            group = (*value.group, reply.voter)
            self._propose_group(group, f"{reply.voter} joins the group", reply.voter)

        node.replication.send_value("", address, None, value, replied)

    def _on_invitation_failed(self, address: str, reply: AcceptReply | None) -> None:
        node = self.node
        ballot = node.leading_ballot()
        self._avoid_until_ms[address] = node.context.now_ms() + node.heartbeat_ms * AVOID_HEARTBEATS
        if reply is not None and reply.promised > ballot:
            node.replication.on_superseded(ballot, address, reply.promised)
            node.election.campaign()

    def _propose_group(
        self, group: tuple[str, ...], reason: str, newcomer: str | None = None
    ) -> None:
        """Proposes a group; majorities of the one before and of this one have to accept."""
        node = self.node
        if node.committed is None:
            return
        node.busy = True
        node.context.log.info("%s: %s.", node.log_prefix, reason)

        def done(committed: bool) -> None:
            if committed:
                self._reply_to_removed()
            node.commands.process()

        node.replication.propose(node.committed, node.committed.with_group(group), done, newcomer)

    # leaving

    def leave(self, on_left: Callable[[], object]) -> None:
        """Gives up the leadership and has this voter removed, before a graceful shutdown.

        Args:
            on_left: called once the group is without this voter, at once where it has no vote.
        """
        node = self.node
        voter = node.acceptor.vote.voter
        if node.ballot is not None:
            node.election.resign()
        if voter not in node.group():
            on_left()
            return
        retry_ms = node.request_timeout_ms * LEAVE_RETRY_TIMEOUTS

        def replied(reply: LeaveReply | None, _error: RequestError | None) -> None:
            if reply is not None and reply.removed:
                on_left()
            else:
                node.context.call_later(retry_ms, request_removal)

        def request_removal() -> None:
            leader = node.election.leader_address()
            if leader is None or leader == node.address:
                node.commands.find_leader(
                    lambda: node.context.call_later(retry_ms, request_removal)
                )
                return
            timeout_ms = node.request_timeout_ms * LEAVE_TIMEOUTS
            node.request(
                leader,
                MessageKind.LEAVE_GROUP,
                LeaveRequest(voter),
                LeaveReply,
                replied,
                timeout_ms,
            )

        request_removal()


def target_size(live: list[Member]) -> int:
    """The largest odd group that the live machines can man: it bears any loss that leaves more
    than half of them.
    """
    machines = len({member.machine for member in live})
    return min(LARGEST_GROUP, 2 * ((max(machines, 1) - 1) // 2) + 1)

"""What the leader does (Akka Cluster Specification, Leader): only one daemon is the leader in a
converged cluster, so no election is needed.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from stagevale.membership.gossip_state import Handoff, PlacementTable
from stagevale.membership.member import Member, MemberState

if TYPE_CHECKING:
    from stagevale.membership.membership import Membership


# Members in these states keep no shard and feed nobody.
GONE_STATES = (MemberState.DOWN, MemberState.REMOVED)


class Placement(NamedTuple):
    """A placement table and the handoffs that lead to the next one."""

    table: PlacementTable
    handoffs: tuple[Handoff, ...]


PlacementRule = Callable[[dict[str, Member], PlacementTable, tuple[Handoff, ...]], Placement | None]


class LeaderActions:
    """Moves members between states and shards between members.

    Attributes:
        placement_rule: gives the next placement, or None where nothing is to change.
    """

    __slots__ = ("membership", "placement_rule")

    def __init__(self, membership: "Membership") -> None:
        self.membership = membership
        self.placement_rule: PlacementRule | None = None

    def run(self, converged: bool, now_ms: float) -> None:
        """Does what is due where this daemon is the leader: members and placement change at
        convergence only, but for members that are marked down and what is placed on them.
        """
        membership = self.membership
        if membership.leader() != membership.me.address:
            return
        if converged:
            self._change_members_and_placement(now_ms)
            return
        self._mark_down_and_replace_the_gone()

    def _mark_down_and_replace_the_gone(self) -> None:
        """Without convergence: marks down whom a majority of the core can't reach, and takes them
        out of the placement.

        The Akka Cluster Specification leaves placement to convergence as well; see `docs/design.md`
        for why this doesn't wait for it.
        """
        membership = self.membership
        state = membership.state
        downed = membership.downing.members_with_downed()
        members = downed if downed is not None else state.members
        placement = self._placement_without_the_gone(members)
        if placement is not None:
            membership.apply_own_change(
                state.changed(
                    membership.me.address,
                    members=members,
                    table_version=state.table_version + 1,
                    table=placement.table,
                    handoffs=placement.handoffs,
                )
            )
        elif downed is not None:
            membership.apply_own_change(state.changed(membership.me.address, members=downed))

    def _placement_without_the_gone(self, members: dict[str, Member]) -> Placement | None:
        """The next placement, where the table names members that are gone; else None."""
        state = self.membership.state
        placed = {address for group in state.table.values() for address in group}
        gone = {address for address, member in members.items() if member.state in GONE_STATES}
        if self.placement_rule is None or placed.isdisjoint(gone):
            return None
        return self.placement_rule(members, state.table, state.handoffs)

    def _change_members_and_placement(self, now_ms: float) -> None:
        membership = self.membership
        state = membership.state
        members, changed = self._next_members(now_ms)
        table, table_version, handoffs = state.table, state.table_version, state.handoffs
        if self.placement_rule is not None:
            placement = self.placement_rule(members, table, handoffs)
            if placement is not None:
                table, handoffs = placement
                table_version += 1
                changed = True
        if not changed:
            return
        membership.apply_own_change(
            state.with_pruned_clock(members).changed(
                membership.me.address,
                members=members,
                table_version=table_version,
                table=table,
                handoffs=handoffs,
            )
        )

    def _next_members(self, now_ms: float) -> tuple[dict[str, Member], bool]:
        """The members after the transitions that are due, and whether there are any."""
        members = dict(self.membership.state.members)
        changed = False
        for address, member in self.membership.state.members.items():
            if member.state == MemberState.JOINING:
                members[address] = member.with_state(MemberState.UP)
                changed = True
            elif member.state == MemberState.EXITING or self._is_to_be_removed(member, now_ms):
                members[address] = member.with_state(MemberState.REMOVED)
                changed = True
        return members, changed

    def _is_to_be_removed(self, member: Member, now_ms: float) -> bool:
        """True for a down proxy, and for a down core member whose machine is gone for good."""
        if member.state != MemberState.DOWN:
            return False
        return not member.is_core or self.membership.downing.is_gone(member, now_ms)

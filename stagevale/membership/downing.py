"""Downing: members that a majority of the core can't reach are marked down, later removed.

The Akka Cluster Specification gives no quorum for downing; `docs/design.md` says why this one.
"""

from typing import TYPE_CHECKING

from stagevale.membership.member import COUNTED_STATES, Member, MemberState, machine_of

if TYPE_CHECKING:
    from stagevale.membership.membership import Membership


class Downing:
    """The leader's judgement of members that can't be reached."""

    __slots__ = ("membership", "_down_since_ms")

    def __init__(self, membership: "Membership") -> None:
        self.membership = membership
        self._down_since_ms: dict[int, float] = {}

    def is_gone(self, member: Member, now_ms: float) -> bool:
        """True for a core member that has been down so long that it is to be removed."""
        since_ms = self._down_since_ms.setdefault(member.key, now_ms)
        bounds = self.membership.context.settings.bounds
        return now_ms - since_ms > bounds.gone_for_good_ms

    def members_with_downed(self) -> dict[str, Member] | None:
        """The members with those marked down that a majority of the core machines can't reach;
        None where there are none.
        """
        membership = self.membership
        members = dict(membership.state.members)
        core = {
            member.machine
            for member in members.values()
            if member.is_core and member.state != MemberState.REMOVED
        }
        changed = False
        for address in membership.failure_detector.silent:
            observers = self._observers(address)
            majority = len(observers & core) * 2 > len(core)
            if majority and members[address].state in COUNTED_STATES:
                members[address] = members[address].with_state(MemberState.DOWN)
                changed = True
        return members if changed else None

    def _observers(self, address: str) -> set[str]:
        """The core machines that can't reach a member, by their own recent reports."""
        membership = self.membership
        members = membership.state.members
        machines = {
            machine_of(observer)
            for observer, report in membership.gossip.reports.items()
            if address in report.unreachable
            and membership.is_reachable(observer)
            and membership.gossip.is_recent(observer, report.heartbeat)
            and observer in members
            and members[observer].is_core
        }
        if membership.me.is_core:
            machines.add(membership.me.machine)
        return machines

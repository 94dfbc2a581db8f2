"""Downing: what a majority of the core machines finds unreachable is marked down, later removed."""

from stagevale.membership.state import COUNTED, DOWN, REMOVED

GONE_SHARE = 8.0


class Downing:
    """The sorted leader's judgement of members that can't be reached."""

    __slots__ = ("membership", "down_since_ms")

    def __init__(self, membership):
        self.membership = membership
        self.down_since_ms = {}

    def gone(self, member, now_ms):
        """True for a core member that has been down so long that its machine must be taken for gone
        for good.
        """
        since_ms = self.down_since_ms.setdefault(member.key, now_ms)
        bounds = self.membership.context.settings.bounds
        return now_ms - since_ms > bounds.contact_ms * GONE_SHARE

    def downed(self):
        """The members with those marked down that a majority of the core machines finds
        unreachable, or None where there are none.
        """
        membership = self.membership
        members = dict(membership.state.members)
        core = {m.machine for m in members.values() if m.core and m.state != REMOVED}
        changed = False
        for address in membership.unreachable:
            witnesses = self.witnesses(address, members)
            if len(witnesses & core) * 2 > len(core) and members[address].state in COUNTED:
                members[address] = members[address].at(DOWN)
                changed = True
        return members if changed else None

    def witnesses(self, address, members):
        """The core machines that find a member unreachable, by their own recent word."""
        membership = self.membership
        found = {
            observer.rpartition(":")[0]
            for observer, (heartbeat, seen) in membership.observed.items()
            if address in seen
            and observer not in membership.unreachable
            and membership.recent(observer, heartbeat)
            and observer in members
            and members[observer].core
        }
        if membership.me.core:
            found.add(membership.me.machine)
        return found

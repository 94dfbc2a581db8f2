"""Which registry feeds a proxy: by the placement table and nearness, among those that live."""

import enum
import os
from collections.abc import Iterable

from stagevale.membership.member import REGISTRY_PROGRAM, MemberState
from stagevale.membership.membership import Membership
from stagevale.placement.rule import feed_key
from stagevale.runtime.context import Context


class Standing(enum.IntEnum):
    """How good a choice a registry is, by what is known of it; the lowest first."""

    # A member that gossip reaches.
    LIVE = enum.auto()
    # No member, or none yet: one that the settings name.
    UNKNOWN = enum.auto()
    LEAVING = enum.auto()
    # It was this proxy's feeder a moment ago, and failed.
    AVOIDED = enum.auto()
    UNREACHABLE = enum.auto()
    # It has left, or is marked down.
    GONE = enum.auto()


GONE_STATES = (MemberState.EXITING, MemberState.DOWN, MemberState.REMOVED)
# A feeder of this standing is left for a live one before it ends.
ENDING = (Standing.LEAVING, Standing.GONE)


class FeederChoice:
    """Ranks the registries that may feed this proxy.

    The placement table names who is placed, and may be older than the end of one of them: that a
    registry lives is asked of the members.
    """

    __slots__ = ("context", "membership", "_avoid_until_ms")

    def __init__(self, context: Context, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self._avoid_until_ms: dict[str, float] = {}

    def avoid(self, address: str, ms: float) -> None:
        """Has a registry come behind those that live, for a while."""
        now_ms = self.context.now_ms()
        self._avoid_until_ms = {
            each: until_ms for each, until_ms in self._avoid_until_ms.items() if until_ms > now_ms
        }
        self._avoid_until_ms[address] = now_ms + ms

    def standing(self, address: str) -> Standing:
        """What is known of a registry."""
        member = self.membership.state.members.get(address)
        if member is not None and member.state in GONE_STATES:
            return Standing.GONE
        if not self.membership.is_reachable(address):
            return Standing.UNREACHABLE
        if self.context.now_ms() < self._avoid_until_ms.get(address, 0):
            return Standing.AVOIDED
        if member is None:
            return Standing.UNKNOWN
        return Standing.LEAVING if member.state == MemberState.LEAVING else Standing.LIVE

    def best(self) -> str | None:
        """The registry to be fed by; of several that failed the one that has been left longest."""
        candidates = self._candidates()
        if not candidates:
            return None
        return min(candidates, key=self._rank)

    def _rank(self, address: str) -> tuple[Standing, float]:
        until_ms = self._avoid_until_ms.get(address, 0.0)
        return self.standing(address), until_ms if self.context.now_ms() < until_ms else 0.0

    def is_usable(self, address: str) -> bool:
        """True for a registry that may be tried at once: nothing speaks against it."""
        return self.standing(address) in (Standing.LIVE, Standing.UNKNOWN)

    def is_preferred(self, best: str, feeder: str) -> bool:
        """True where a feeder that serves is left for a better one."""
        if self.standing(best) != Standing.LIVE:
            return False
        if self.standing(feeder) in ENDING:
            return True
        placed = self._placed()
        if placed:
            return best in placed and feeder not in placed
        # Before there is a table: a registry of the own zone goes over one of another.
        members = self.membership.state.members
        zone = self.context.settings.zone
        return members[best].zone == zone and (
            feeder not in members or members[feeder].zone != zone
        )

    def _placed(self) -> tuple[str, ...]:
        """The feeders of this zone by the placement table."""
        return self.membership.state.table.get(feed_key(self.context.settings.zone), ())

    def _candidates(self) -> Iterable[str]:
        """Registries by the placement table, then by nearness, then the seeds."""
        settings = self.context.settings
        members = sorted(
            self.membership.members(REGISTRY_PROGRAM),
            key=lambda member: (
                member.zone != settings.zone,
                member.region != settings.region,
                member.address,
            ),
        )
        # Machines of one zone have addresses that begin alike.
        seeds = sorted(settings.seeds, key=lambda ip: -len(os.path.commonprefix((ip, settings.ip))))
        addresses = list(self._placed())
        addresses += [member.address for member in members]
        addresses += [f"{ip}:{settings.inner_ports[0]}" for ip in seeds]
        return dict.fromkeys(addresses)

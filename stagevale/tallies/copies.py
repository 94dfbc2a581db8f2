"""How many disks, and which, are to have an add before it is acknowledged."""

from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple

from stagevale.membership.member import Member
from stagevale.settings.settings import tolerated_disks


class CopyRule(NamedTuple):
    """How far copies have to be spread to outlive what the platform may lose at once.

    Attributes:
        copies: so many disks.
        zones, regions: in so many zones and regions.
    """

    copies: int
    zones: int
    regions: int

    def within(self, members: Collection[Member]) -> "CopyRule":
        """The rule as far as these members, all that are in reach, can meet it."""
        return CopyRule(
            min(self.copies, len(members)),
            min(self.zones, len({member.zone for member in members})),
            min(self.regions, len({member.region for member in members})),
        )

    def is_met(self, holders: Collection[Member]) -> bool:
        """True where these members' disks are enough."""
        return self.within(holders) == self


def rule_of(tolerance: Mapping[str, Any]) -> CopyRule:
    """The rule that follows from the platform's tolerance."""
    return CopyRule(
        tolerated_disks(tolerance) + 1,
        int(tolerance.get("zones", 0)) + 1,
        int(tolerance.get("regions", 0)) + 1,
    )


def next_holders(
    rule: CopyRule, holders: Collection[Member], candidates: Iterable[Member], me: Member
) -> list[Member]:
    """Whom to ask for a copy, so that the rule is met with those that have one or are being asked.

    Args:
        rule: as far as it can be met.
        holders: those that have one or are being asked, this registry included.
        candidates: the others that are in reach.
        me: this registry; near ones are asked first.
    """
    chosen = list(holders)
    left = sorted(
        candidates,
        key=lambda member: (member.region != me.region, member.zone == me.zone, member.address),
    )
    while left and not rule.is_met(chosen):
        best = min(left, key=lambda member: _rank(rule, chosen, member))
        left.remove(best)
        chosen.append(best)
    return chosen[len(holders) :]


def _rank(rule: CopyRule, chosen: Collection[Member], member: Member) -> tuple[bool, bool]:
    """Sorts first who brings a region, or a zone, that is still wanted."""
    regions = {each.region for each in chosen}
    zones = {each.zone for each in chosen}
    brings_region = len(regions) < rule.regions and member.region not in regions
    brings_zone = len(zones) < rule.zones and member.zone not in zones
    return not brings_region, not brings_zone

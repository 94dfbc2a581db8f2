"""Majorities, and how many disks hold what is acknowledged: one rule for every kind of state."""

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple


def majority(size: int) -> int:
    """How many members of a group of this size are more than half of it."""
    return size // 2 + 1


def further_losses(group: Collection[str], lost: Collection[str]) -> int:
    """How many more disks of a group may be lost: a majority is left then, and one of it has what a
    majority had accepted. Below 0 where too many are.

    Args:
        group: the members.
        lost: whose disks are known to be lost, so that they never answer again.
    """
    left = sum(member not in lost for member in group)
    return left - majority(len(group))


class DiskRule(NamedTuple):
    """What follows from the number of disks that may be lost at once.

    Attributes:
        tolerated: so many disks.
    """

    tolerated: int

    @property
    def copies(self) -> int:
        """On how many disks lies what is acknowledged."""
        return self.tolerated + 1

    @property
    def full_group(self) -> int:
        """The size of the smallest group that has a majority left, and one that knows, when as many
        disks as are tolerated are lost.
        """
        return 2 * self.tolerated + 1

    def acknowledgers(self, size: int) -> int:
        """How many members of a group of this size have what is acknowledged: a majority and, as far
        as there are so many, enough copies.
        """
        return max(majority(size), min(self.copies, size))

    def bears_further(
        self, group: Collection[str], staying: Collection[str], lost: Collection[str]
    ) -> bool:
        """True where those that stay are a majority after as many further losses as may come.

        Args:
            group: the members.
            staying: those of them that are there, or will be back with their disks.
            lost: whose disks are known to be lost; they count as some of those that may be.
        """
        known_lost = sum(member in lost for member in group)
        may_come = max(0, self.tolerated - known_lost)
        return len(staying) - may_come >= majority(len(group))

    def is_met(self, group: Collection[str], lost: Collection[str]) -> bool:
        """True where what a majority of this group has accepted may be acknowledged.

        Disks that are known to be lost already count as some of those that may be.
        """
        return len(group) >= self.full_group and further_losses(group, lost) >= 0


def disk_rule(tolerance: Mapping[str, Any]) -> DiskRule:
    """The rule that follows from the platform's tolerance; a platform that states none asks for
    majorities only.
    """
    return DiskRule(int(tolerance.get("machines", 0)))

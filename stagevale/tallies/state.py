"""The adds that a registry knows, and the totals that follow from them."""

from collections.abc import Mapping
from typing import NamedTuple

from stagevale.tallies.add import Add, LoggedAdd, Position


class OriginLog:
    """The adds of one origin.

    Attributes:
        adds: by number.
        complete: all adds up to this number are known.
        detached: numbers of adds behind a gap: digests don't tell of them.
    """

    __slots__ = ("adds", "complete", "detached")

    def __init__(self) -> None:
        self.adds: dict[int, Add] = {}
        self.complete = 0
        self.detached: set[int] = set()

    def record(self, number: int, add: Add) -> None:
        """Takes in an add that isn't known."""
        self.adds[number] = add
        self.detached.add(number)
        while self.complete + 1 in self.detached:
            self.complete += 1
            self.detached.remove(self.complete)


class KnownAdd(NamedTuple):
    """What counts of an add, and one place where it stands."""

    amount: int
    position: Position


class TallyState:
    """A set of adds that only grows: merging is a union, in any order and any number of times.

    Where two origins have an add with the same id and different amounts, the larger one counts, so
    that all registries come to the same total.

    Attributes:
        origins: logs by the name of their origin.
        totals: by tally.
    """

    __slots__ = ("origins", "totals", "_known")

    def __init__(self) -> None:
        self.origins: dict[str, OriginLog] = {}
        self.totals: dict[str, int] = {}
        self._known: dict[str, dict[str, KnownAdd]] = {}

    def merge(self, logged: LoggedAdd) -> bool:
        """Takes in an add; False where it is known from this origin."""
        position, add = logged
        origin = self.origins.setdefault(position.origin, OriginLog())
        if position.number in origin.adds:
            return False
        origin.record(position.number, add)
        adds = self._known.setdefault(add.tally, {})
        known = adds.get(add.id)
        if known is None:
            adds[add.id] = KnownAdd(add.amount, position)
            self.totals[add.tally] = self.totals.get(add.tally, 0) + add.amount
        elif add.amount > known.amount:
            adds[add.id] = KnownAdd(add.amount, position)
            self.totals[add.tally] += add.amount - known.amount
        elif add.amount == known.amount and self._is_detached(known.position):
            adds[add.id] = KnownAdd(add.amount, position)
        return True

    def _is_detached(self, position: Position) -> bool:
        return position.number in self.origins[position.origin].detached

    def detached(self) -> list[LoggedAdd]:
        """The adds behind gaps that no other origin is known to have as well."""
        found = (
            LoggedAdd(Position(name, number), origin.adds[number])
            for name, origin in self.origins.items()
            for number in origin.detached
        )
        return [logged for logged in found if self._counts(logged)]

    def _counts(self, logged: LoggedAdd) -> bool:
        """True where an add is the one that counts of all with its tally and id."""
        known = self._known[logged.add.tally][logged.add.id]
        return known.position == logged.position

    def find(self, add: Add) -> LoggedAdd | None:
        """The add with this one's tally and id, or None."""
        known = self._known.get(add.tally, {}).get(add.id)
        if known is None:
            return None
        return LoggedAdd(known.position, Add(add.tally, add.id, known.amount))

    def last_number(self, origin: str) -> int:
        """The highest number of an origin; 0 where nothing of it is known."""
        log = self.origins.get(origin)
        return max(log.adds) if log is not None else 0

    def digest(self) -> dict[str, int]:
        """Up to which number all adds are known, by origin."""
        return {origin: log.complete for origin, log in self.origins.items()}

    def missing(self, theirs: Mapping[str, int], upto: Mapping[str, int]) -> list[LoggedAdd]:
        """What a registry lacks.

        Args:
            theirs: its digest.
            upto: a digest of this state: what came after it is left out.
        """
        return [
            LoggedAdd(Position(origin, number), self.origins[origin].adds[number])
            for origin, last in upto.items()
            for number in range(theirs.get(origin, 0) + 1, last + 1)
        ]

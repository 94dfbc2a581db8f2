"""The record of changes that were applied, by which one that is sent again is recognised."""

from collections.abc import Iterable
from typing import Any, NamedTuple

CHANGES_KEPT = 256


class AppliedChange(NamedTuple):
    """A change that was applied: the version it bore, and a fingerprint of its text."""

    name: str
    fingerprint: str


class ChangeHistory:
    """The newest changes applied; immutable by convention.

    Only the newest `CHANGES_KEPT` are kept.

    Attributes:
        changes: oldest first.
        horizon: of versions up to this one some have been dropped: a change under such a number
            that isn't on record may have been applied, or may not.
    """

    __slots__ = ("changes", "horizon")

    def __init__(self, changes: Iterable[AppliedChange] = (), horizon: int = 0) -> None:
        self.changes = tuple(changes)
        self.horizon = horizon

    def contains(self, name: str, fingerprint: str) -> bool:
        """True where this very change is on record."""
        return AppliedChange(name, fingerprint) in self.changes

    def may_have_dropped(self, version: int) -> bool:
        """True where a change under this number may have been applied and dropped from the record."""
        return version <= self.horizon

    def with_change(self, name: str, fingerprint: str) -> "ChangeHistory":
        """The record with one change more."""
        changes = (*self.changes, AppliedChange(name, fingerprint))
        dropped, kept = changes[:-CHANGES_KEPT], changes[-CHANGES_KEPT:]
        numbers = [int(change.name) for change in dropped if change.name.isdigit()]
        return ChangeHistory(kept, max([self.horizon, *numbers]))

    def to_fields(self) -> list[Any]:
        """The record as lists for a message."""
        return [self.horizon, [list(change) for change in self.changes]]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> "ChangeHistory":
        """The record out of a message.

        Raises:
            ValueError, TypeError: the fields have another shape.
        """
        horizon, rows = fields
        return cls((AppliedChange(name, hashed) for name, hashed in rows), horizon)

    def added_since(self, base: "ChangeHistory") -> list[list[str]] | None:
        """The changes that were added to `base`, as lists for a message; None where this record
        didn't come about that way.
        """
        if self is base:
            return []
        for count in range(len(self.changes) + 1):
            kept = self.changes[: len(self.changes) - count]
            if len(kept) <= len(base.changes) and _ends_with(base.changes, kept):
                return [list(change) for change in self.changes[len(self.changes) - count :]]
        return None

    def with_added(self, rows: Iterable[list[str]]) -> "ChangeHistory":
        """The record with changes added that `added_since` gave."""
        history = self
        for name, fingerprint in rows:
            history = history.with_change(name, fingerprint)
        return history


def _ends_with(changes: tuple[AppliedChange, ...], kept: tuple[AppliedChange, ...]) -> bool:
    return changes[len(changes) - len(kept) :] == kept

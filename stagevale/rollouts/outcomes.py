"""What became of requests under rollouts, as a proxy counts it and reports it."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from stagevale.rollouts.rollout import Rollout, Side


class OutcomeKey(NamedTuple):
    """What outcomes are counted by; `zone` is that of the endpoints."""

    service: str
    version: int
    step: int
    zone: str
    side: Side


class OutcomeCounts:
    """Counts of requests: all, failed, and late."""

    __slots__ = ("requests", "failed", "late")

    def __init__(self, requests: int = 0, failed: int = 0, late: int = 0) -> None:
        self.requests = requests
        self.failed = failed
        self.late = late

    def add(self, other: "OutcomeCounts") -> None:
        """Adds other counts."""
        self.requests += other.requests
        self.failed += other.failed
        self.late += other.late

    @property
    def bad(self) -> int:
        """Requests that failed or were late."""
        return self.failed + self.late


class OutcomeRow(NamedTuple):
    """One count as a proxy reports it; the order of fields is part of the protocol."""

    service: str
    version: int
    step: int
    zone: str
    side: int
    requests: int
    failed: int
    late: int

    @property
    def counts(self) -> OutcomeCounts:
        """The counts alone."""
        return OutcomeCounts(self.requests, self.failed, self.late)


class Outcomes:
    """Counts since this proxy's start: reporting them twice adds nothing."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: dict[OutcomeKey, OutcomeCounts] = {}

    def count(self, rollout: Rollout, software: str, zone: str, failed: bool, late: bool) -> None:
        """Counts a request that was sent to an endpoint of this software version in this zone."""
        if not rollout.is_judged:
            return
        if software == rollout.new:
            side = Side.NEW
        elif software == rollout.stable:
            side = Side.STABLE
        else:
            return
        key = OutcomeKey(rollout.service, rollout.version, rollout.step, zone, side)
        counts = self._counts.setdefault(key, OutcomeCounts())
        counts.add(OutcomeCounts(1, int(failed), int(late and not failed)))

    def rows(self, rollouts: Mapping[str, Rollout]) -> list[Any]:
        """The counts that are still needed, as rows; those of earlier rollouts are dropped."""
        self._counts = {
            key: counts
            for key, counts in self._counts.items()
            if key.service in rollouts and rollouts[key.service].version == key.version
        }
        return [
            list(OutcomeRow(*key, counts.requests, counts.failed, counts.late))
            for key, counts in self._counts.items()
        ]

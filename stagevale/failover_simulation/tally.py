"""What became of the simulated requests of one route."""

from collections.abc import Mapping
from typing import Any

IDEMPOTENT = "repeatable"
EFFECTFUL = "at most once"
UNKNOWN_REGION = "?"


class Tally:
    """Counts of one route's requests.

    Attributes:
        kind: `IDEMPOTENT` or `EFFECTFUL`.
        requests: that came to an end: in_time, late, or rejected.
        zones: how many were sent to each zone.
        most_runs: of one request.
    """

    __slots__ = ("kind", "requests", "in_time", "late", "rejected", "zones", "most_runs")

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.requests = 0
        self.in_time = 0
        self.late = 0
        self.rejected = 0
        self.zones: dict[str, int] = {}
        self.most_runs = 0

    def add_sent(self, zone: str, runs: int) -> None:
        """Counts an attempt.

        Args:
            zone: that it is sent to.
            runs: how many attempts its request has had.
        """
        self.most_runs = max(self.most_runs, runs)
        self.zones[zone] = self.zones.get(zone, 0) + 1

    def add_rejected(self) -> None:
        """Counts a request for which no endpoint was free in time."""
        self.requests += 1
        self.rejected += 1

    def add_answered(self, is_in_time: bool) -> None:
        """Counts a request that was answered."""
        self.requests += 1
        if is_in_time:
            self.in_time += 1
        else:
            self.late += 1

    def to_row(self, region_of: Mapping[str, str]) -> dict[str, Any]:
        """The tally as the command prints it.

        Args:
            region_of: each zone's region.
        """
        regions: dict[str, int] = {}
        for zone, count in self.zones.items():
            region = region_of.get(zone, UNKNOWN_REGION)
            regions[region] = regions.get(region, 0) + count
        requests = max(1, self.requests)
        return {
            "kind": self.kind,
            "requests": self.requests,
            "inAim": round(self.in_time / requests, 3),
            "late": round(self.late / requests, 3),
            "refused": round(self.rejected / requests, 3),
            "regions": _shares(regions),
            "zones": _shares(self.zones),
            "mostRunsOfAJob": self.most_runs,
        }


def _shares(counts: Mapping[str, int]) -> dict[str, float]:
    total = max(1, sum(counts.values()))
    return {name: round(count / total, 3) for name, count in sorted(counts.items())}

"""A histogram of latencies."""

import math
from collections.abc import Mapping

BUCKETS = 64
BUCKETS_PER_DOUBLING = 4
FIRST_MS = 1.0


class Histogram:
    """Counts by fixed logarithmic buckets; two of them merge by adding."""

    __slots__ = ("counts",)

    def __init__(self, counts: Mapping[int, int] | None = None) -> None:
        self.counts: dict[int, int] = dict(counts or {})

    def add(self, ms: float) -> None:
        """Counts one latency."""
        bucket = _bucket(ms)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def merge(self, other: "Histogram") -> None:
        """Adds another histogram's counts."""
        for bucket, count in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count

    def count(self) -> int:
        """How many latencies were counted."""
        return sum(self.counts.values())

    def quantile(self, share: float) -> float:
        """The latency in ms that this share of all does not exceed: the upper end of its bucket; 0
        where nothing was counted.
        """
        wanted = share * self.count()
        passed = 0
        for bucket in sorted(self.counts):
            passed += self.counts[bucket]
            if passed >= wanted:
                return float(FIRST_MS * 2.0 ** (bucket / BUCKETS_PER_DOUBLING))
        return 0.0

    def rows(self) -> list[tuple[int, int]]:
        """Buckets and their counts, in order."""
        return sorted(self.counts.items())


def _bucket(ms: float) -> int:
    if ms <= FIRST_MS:
        return 0
    return min(BUCKETS - 1, 1 + int(math.log2(ms / FIRST_MS) * BUCKETS_PER_DOUBLING))

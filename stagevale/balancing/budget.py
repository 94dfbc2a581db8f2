"""The retry budget: each proxy spends its share of what all may spend together."""

from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import Bounds

BUCKETS = 20
# Less than the bounds allow: proxies don't know what the others spend.
RATIO_SHARE = 0.6
EXTRA_SHARE = 0.7


class Budget:
    """Requests and retries of one service in the sliding window, as this proxy has seen them."""

    __slots__ = (
        "_ratio",
        "_extra",
        "_bucket_ms",
        "_window_ms",
        "_started_ms",
        "_requests",
        "_retries",
    )

    def __init__(self, bounds: Bounds, started_ms: float) -> None:
        """Makes a budget.

        Args:
            bounds: of the settings.
            started_ms: when this proxy started: its share of the fixed part grows from then on.
        """
        self._ratio = bounds.retry_ratio
        self._extra = bounds.retry_extra
        self._window_ms = bounds.retry_window_s * MS_PER_S
        self._bucket_ms = self._window_ms / BUCKETS
        self._started_ms = started_ms
        self._requests: dict[int, int] = {}
        self._retries: dict[int, int] = {}

    def _bucket(self, now_ms: float) -> int:
        return int(now_ms / self._bucket_ms)

    def note(self, now_ms: float) -> None:
        """Counts a request of this service."""
        bucket = self._bucket(now_ms)
        self._requests[bucket] = self._requests.get(bucket, 0) + 1
        if len(self._requests) > BUCKETS + 2:
            _drop_before(self._requests, bucket - BUCKETS)

    def allows(self, now_ms: float, proxies: int) -> bool:
        """True where one more retry fits this proxy's share.

        Args:
            now_ms: the monotonic time.
            proxies: how many share the budget.
        """
        bucket = self._bucket(now_ms)
        _drop_before(self._retries, bucket - BUCKETS - 1)
        first = bucket - BUCKETS + 1
        requests = sum(count for kept, count in self._requests.items() if kept >= first)
        grown = min(1.0, (now_ms - self._started_ms) / self._window_ms)
        extra = self._extra * EXTRA_SHARE * grown / max(1, proxies + 1)
        share = self._ratio * RATIO_SHARE * requests + extra
        return sum(self._retries.values()) + 1 <= share

    def spend(self, now_ms: float) -> None:
        """Counts an arrival beyond the first of its request."""
        bucket = self._bucket(now_ms)
        self._retries[bucket] = self._retries.get(bucket, 0) + 1


def _drop_before(counts: dict[int, int], first: int) -> None:
    for old in [kept for kept in counts if kept < first]:
        del counts[old]

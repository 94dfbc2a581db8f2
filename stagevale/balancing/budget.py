"""The budget for further tries: each proxy spends its share of what all may spend together."""

BUCKETS = 20
RATIO_SHARE = 0.6
EXTRA_SHARE = 0.7


class Budget:
    """Requests and further tries of one service in the sliding window, as this proxy has seen
    them.
    """

    __slots__ = ("ratio", "extra", "bucket_ms", "window_ms", "born_ms", "requests", "spent")

    def __init__(self, bounds, now_ms):
        self.ratio = bounds.retry_ratio
        self.extra = bounds.retry_extra
        self.window_ms = bounds.retry_window_s * 1000.0
        self.bucket_ms = self.window_ms / BUCKETS
        self.born_ms = now_ms
        self.requests = {}
        self.spent = {}

    def note(self, now_ms):
        """Counts a request of this service."""
        bucket = int(now_ms / self.bucket_ms)
        self.requests[bucket] = self.requests.get(bucket, 0) + 1
        if len(self.requests) > BUCKETS + 2:
            for old in [kept for kept in self.requests if kept < bucket - BUCKETS]:
                del self.requests[old]

    def allows(self, now_ms, proxies):
        """True where one more arrival fits this proxy's share; `proxies` is how many share the
        budget.
        """
        bucket = int(now_ms / self.bucket_ms)
        for old in [kept for kept in self.spent if kept < bucket - BUCKETS - 1]:
            del self.spent[old]
        requests = sum(
            count for kept, count in self.requests.items() if kept >= bucket - BUCKETS + 1
        )
        grown = min(1.0, (now_ms - self.born_ms) / self.window_ms)
        share = self.ratio * RATIO_SHARE * requests + self.extra * EXTRA_SHARE * grown / max(
            1, proxies + 1
        )
        return sum(self.spent.values()) + 1 <= share

    def spend(self, now_ms):
        """Counts an arrival beyond the first of its request."""
        bucket = int(now_ms / self.bucket_ms)
        self.spent[bucket] = self.spent.get(bucket, 0) + 1

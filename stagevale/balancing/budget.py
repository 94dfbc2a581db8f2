"""The budget for further tries: each proxy spends its share of what all may spend together."""

BUCKETS = 20
RATIO_SHARE = 0.6
EXTRA_SHARE = 0.7


class Budget:
    """Jobs and further tries of one service in the sliding window, as this proxy has seen them."""

    __slots__ = ("ratio", "extra", "bucketMs", "windowMs", "bornMs", "jobs", "spent")

    def __init__(self, bounds, nowMs):
        self.ratio = bounds.retryRatio
        self.extra = bounds.retryExtra
        self.windowMs = bounds.retryWindowS * 1000.0
        self.bucketMs = self.windowMs / BUCKETS
        self.bornMs = nowMs
        self.jobs = {}
        self.spent = {}

    def note(self, nowMs):
        """Counts a job of this service."""
        bucket = int(nowMs / self.bucketMs)
        self.jobs[bucket] = self.jobs.get(bucket, 0) + 1
        if len(self.jobs) > BUCKETS + 2:
            for old in [kept for kept in self.jobs if kept < bucket - BUCKETS]:
                del self.jobs[old]

    def allows(self, nowMs, proxies):
        """True where one more arrival fits this proxy's share; `proxies` is how many share the budget."""
        bucket = int(nowMs / self.bucketMs)
        for old in [kept for kept in self.spent if kept < bucket - BUCKETS - 1]:
            del self.spent[old]
        jobs = sum(count for kept, count in self.jobs.items() if kept >= bucket - BUCKETS + 1)
        grown = min(1.0, (nowMs - self.bornMs) / self.windowMs)
        share = self.ratio * RATIO_SHARE * jobs + self.extra * EXTRA_SHARE * grown / max(1, proxies + 1)
        return sum(self.spent.values()) + 1 <= share

    def spend(self, nowMs):
        """Counts an arrival beyond the first of its job."""
        bucket = int(nowMs / self.bucketMs)
        self.spent[bucket] = self.spent.get(bucket, 0) + 1

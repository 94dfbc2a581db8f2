"""The phi accrual detector: how unlikely it is that a silent member still lives."""

import math

THRESHOLD = 8.0
KEPT_GAPS = 24


def chance_after(y):
    """The chance that a silence of `y` deviations over the mean still ends, by the logistic
    approximation.
    """
    exponent = -y * (1.5976 + 0.070566 * y * y)
    if exponent < -700:
        return 0.0
    e = math.exp(exponent)
    return e / (1.0 + e) if y > 0 else 1.0 - 1.0 / (1.0 + e)


def deviations_at(threshold):
    """How many deviations over the mean a silence lasts when the suspicion level reaches
    `threshold`.
    """
    low, high = 0.0, 60.0
    for _ in range(60):
        middle = (low + high) / 2.0
        if chance_after(middle) > 10.0**-threshold:
            low = middle
        else:
            high = middle
    return high


LIMIT_DEVIATIONS = deviations_at(THRESHOLD)


class Suspicion:
    """Arrival history of one member's heartbeats, with its sums kept up so that a look costs
    nothing while it speaks.
    """

    __slots__ = ("last_ms", "gaps", "total", "squares", "least_deviation_ms", "limit_ms")

    def __init__(self, now_ms, expected_ms):
        self.last_ms = now_ms
        self.gaps = [expected_ms, expected_ms * 1.5]
        self.total = expected_ms * 2.5
        self.squares = expected_ms * expected_ms * 3.25
        self.least_deviation_ms = expected_ms * 0.4
        self.limit_ms = None

    def heard(self, now_ms):
        """Notes that the member's heartbeat has advanced."""
        gaps = self.gaps
        gap = min(now_ms - self.last_ms, gaps[0] * 3)
        gaps.append(gap)
        self.total += gap
        self.squares += gap * gap
        if len(gaps) > KEPT_GAPS:
            oldest = gaps.pop(1)
            self.total -= oldest
            self.squares -= oldest * oldest
        self.last_ms = now_ms
        self.limit_ms = None

    def deviation_ms(self, mean):
        variance = max(0.0, self.squares / len(self.gaps) - mean * mean)
        return max(math.sqrt(variance), self.least_deviation_ms)

    def suspected(self, now_ms):
        """True once the suspicion level is over the threshold."""
        silent_ms = now_ms - self.last_ms
        if self.limit_ms is None:
            mean = self.total / len(self.gaps)
            if silent_ms <= mean:
                return False
            self.limit_ms = mean + LIMIT_DEVIATIONS * self.deviation_ms(mean)
        return silent_ms > self.limit_ms

    def phi(self, now_ms):
        """The suspicion level now."""
        mean = self.total / len(self.gaps)
        return -math.log10(
            max(chance_after((now_ms - self.last_ms - mean) / self.deviation_ms(mean)), 1e-300)
        )

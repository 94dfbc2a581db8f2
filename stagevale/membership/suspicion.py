"""The phi accrual detector: how unlikely it is that a silent member still lives."""
import math

THRESHOLD = 8.0
KEPT_GAPS = 24


def chanceAfter(y):
    """The chance that a silence of `y` deviations over the mean still ends, by the logistic approximation."""
    exponent = -y * (1.5976 + 0.070566 * y * y)
    if exponent < -700:
        return 0.0
    e = math.exp(exponent)
    return e / (1.0 + e) if y > 0 else 1.0 - 1.0 / (1.0 + e)


def deviationsAt(threshold):
    """How many deviations over the mean a silence lasts when the suspicion level reaches `threshold`."""
    low, high = 0.0, 60.0
    for _ in range(60):
        middle = (low + high) / 2.0
        if chanceAfter(middle) > 10.0 ** -threshold:
            low = middle
        else:
            high = middle
    return high


LIMIT_DEVIATIONS = deviationsAt(THRESHOLD)


class Suspicion:
    """Arrival history of one member's heartbeats, with its sums kept up so that a look costs nothing while it speaks."""

    __slots__ = ("lastMs", "gaps", "total", "squares", "leastDeviationMs", "limitMs")

    def __init__(self, nowMs, expectedMs):
        self.lastMs = nowMs
        self.gaps = [expectedMs, expectedMs * 1.5]
        self.total = expectedMs * 2.5
        self.squares = expectedMs * expectedMs * 3.25
        self.leastDeviationMs = expectedMs * 0.4
        self.limitMs = None

    def heard(self, nowMs):
        """Notes that the member's heartbeat has advanced."""
        gaps = self.gaps
        gap = min(nowMs - self.lastMs, gaps[0] * 3)
        gaps.append(gap)
        self.total += gap
        self.squares += gap * gap
        if len(gaps) > KEPT_GAPS:
            oldest = gaps.pop(1)
            self.total -= oldest
            self.squares -= oldest * oldest
        self.lastMs = nowMs
        self.limitMs = None

    def deviationMs(self, mean):
        variance = max(0.0, self.squares / len(self.gaps) - mean * mean)
        return max(math.sqrt(variance), self.leastDeviationMs)

    def suspected(self, nowMs):
        """True once the suspicion level is over the threshold."""
        silentMs = nowMs - self.lastMs
        if self.limitMs is None:
            mean = self.total / len(self.gaps)
            if silentMs <= mean:
                return False
            self.limitMs = mean + LIMIT_DEVIATIONS * self.deviationMs(mean)
        return silentMs > self.limitMs

    def phi(self, nowMs):
        """The suspicion level now."""
        mean = self.total / len(self.gaps)
        return -math.log10(max(chanceAfter((nowMs - self.lastMs - mean) / self.deviationMs(mean)), 1e-300))

"""The phi accrual failure detector: how unlikely it is that a silent member is still alive.

Akka Cluster Specification, Failure Detector: phi is the negative decimal logarithm of the chance
that a heartbeat still arrives, by the intervals of the heartbeats so far.
"""

import math

# The specification's default; 12 is its advice for noisy networks.
PHI_THRESHOLD = 8.0
INTERVALS_KEPT = 24
# Before any heartbeat the history holds the expected interval and one half as long again; the
# standard deviation is never taken for less than this share of the expected interval.
SECOND_INTERVAL = 1.5
LEAST_DEVIATION_SHARE = 0.4
# One missed heartbeat after another must not stretch the history without bound.
LONGEST_INTERVAL = 3
# The logistic approximation of the normal distribution's tail.
LOGISTIC_LINEAR = 1.5976
LOGISTIC_CUBIC = 0.070566
LARGEST_EXPONENT = -700
LEAST_CHANCE = 1e-300
MOST_DEVIATIONS = 60.0
BISECTIONS = 60


def chance_after(deviations: float) -> float:
    """The chance that a heartbeat arrives later than so many standard deviations over the mean."""
    exponent = -deviations * (LOGISTIC_LINEAR + LOGISTIC_CUBIC * deviations * deviations)
    if exponent < LARGEST_EXPONENT:
        return 0.0
    e = math.exp(exponent)
    return e / (1.0 + e) if deviations > 0 else 1.0 - 1.0 / (1.0 + e)


def deviations_at(threshold: float) -> float:
    """How many standard deviations over the mean phi reaches `threshold`."""
    low, high = 0.0, MOST_DEVIATIONS
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        if chance_after(middle) > 10.0**-threshold:
            low = middle
        else:
            high = middle
    return high


THRESHOLD_DEVIATIONS = deviations_at(PHI_THRESHOLD)


class HeartbeatHistory:
    """The intervals between one member's heartbeats, in milliseconds.

    The sums are kept up to date, so that asking costs nothing while the member is heard.
    """

    __slots__ = (
        "last_heartbeat_ms",
        "intervals",
        "sum_ms",
        "sum_of_squares",
        "least_deviation_ms",
        "_timeout_ms",
    )

    def __init__(self, now_ms: float, expected_interval_ms: float) -> None:
        self.last_heartbeat_ms = now_ms
        self.intervals = [expected_interval_ms, expected_interval_ms * SECOND_INTERVAL]
        self.sum_ms = expected_interval_ms * (1 + SECOND_INTERVAL)
        self.sum_of_squares = expected_interval_ms * expected_interval_ms * (1 + SECOND_INTERVAL**2)
        self.least_deviation_ms = expected_interval_ms * LEAST_DEVIATION_SHARE
        self._timeout_ms: float | None = None

    def record_heartbeat(self, now_ms: float) -> None:
        """The member's heartbeat has advanced."""
        intervals = self.intervals
        interval_ms = min(now_ms - self.last_heartbeat_ms, intervals[0] * LONGEST_INTERVAL)
        intervals.append(interval_ms)
        self.sum_ms += interval_ms
        self.sum_of_squares += interval_ms * interval_ms
        if len(intervals) > INTERVALS_KEPT:
            # The first interval is the expected one and stays.
            oldest_ms = intervals.pop(1)
            self.sum_ms -= oldest_ms
            self.sum_of_squares -= oldest_ms * oldest_ms
        self.last_heartbeat_ms = now_ms
        self._timeout_ms = None

    def _deviation_ms(self, mean_ms: float) -> float:
        variance = max(0.0, self.sum_of_squares / len(self.intervals) - mean_ms * mean_ms)
        return max(math.sqrt(variance), self.least_deviation_ms)

    def is_suspected(self, now_ms: float) -> bool:
        """True once phi is over the threshold."""
        silence_ms = now_ms - self.last_heartbeat_ms
        if self._timeout_ms is None:
            mean_ms = self.sum_ms / len(self.intervals)
            if silence_ms <= mean_ms:
                return False
            self._timeout_ms = mean_ms + THRESHOLD_DEVIATIONS * self._deviation_ms(mean_ms)
        return silence_ms > self._timeout_ms

    def phi(self, now_ms: float) -> float:
        """The suspicion level now."""
        mean_ms = self.sum_ms / len(self.intervals)
        silence_ms = now_ms - self.last_heartbeat_ms
        chance = chance_after((silence_ms - mean_ms) / self._deviation_ms(mean_ms))
        return -math.log10(max(chance, LEAST_CHANCE))

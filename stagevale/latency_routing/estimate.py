"""What one region's answers of one service take."""

from stagevale.latency_routing.histogram import Histogram
from stagevale.runtime.clock import LONG_AGO_MS

# The slowness of a region of which nothing is known: it answers as fast as the usual one.
NEUTRAL = 1.0
# An answer's weight in the running mean: the least, and the most after a pause.
LEAST_WEIGHT = 0.08
MOST_WEIGHT_AFTER_PAUSE = 0.5
# Fewer answers say nothing.
ENOUGH_ANSWERS = 8


class LatencyEstimate:
    """A proxy's own measurements, with the network's time apart from queueing and work.

    Attributes:
        slowness: queueing and work, against what the route usually takes.
        spread: its mean deviation.
        count: of answers; measured_ms: when the last one came.
        latencies: of answers, network included.
        expected_sum, measured_sum: what the answers were expected to take, and took, in ms.
    """

    __slots__ = (
        "slowness",
        "spread",
        "count",
        "measured_ms",
        "expected_sum",
        "measured_sum",
        "latencies",
    )

    def __init__(self) -> None:
        self.slowness = NEUTRAL
        self.spread = 0.0
        self.count = 0
        self.measured_ms = LONG_AGO_MS
        self.expected_sum = 0.0
        self.measured_sum = 0.0
        self.latencies = Histogram()

    def add(self, slowness: float, now_ms: float, memory_ms: float) -> None:
        """Takes in one answer; it weighs the more, the longer there was none.

        Args:
            slowness: of this answer.
            now_ms: the monotonic time.
            memory_ms: after a pause as long as this an answer weighs the most.
        """
        self.count += 1
        pause_weight = min(MOST_WEIGHT_AFTER_PAUSE, (now_ms - self.measured_ms) / memory_ms)
        weight = max(LEAST_WEIGHT, 1.0 / self.count, pause_weight)
        change = slowness - self.slowness
        self.slowness += weight * change
        self.spread += weight * (abs(change) - self.spread)
        self.measured_ms = now_ms

    def add_latency(self, took_ms: float, expected_ms: float) -> None:
        """Counts how long an answer took, for operators."""
        self.latencies.add(took_ms)
        self.measured_sum += took_ms
        self.expected_sum += expected_ms

    def freshness(self, now_ms: float, stale_ms: float) -> float:
        """How much the measurements still say: 1 when just made, fading to 0."""
        if self.count < ENOUGH_ANSWERS:
            return 0.0
        return max(0.0, 1.0 - (now_ms - self.measured_ms) / stale_ms)

    def expected_slowness(self, now_ms: float, stale_ms: float) -> float:
        """The slowness to expect now: what was learned, fading to neutral as it grows old."""
        weight = self.freshness(now_ms, stale_ms)
        return weight * self.slowness + (1.0 - weight) * NEUTRAL

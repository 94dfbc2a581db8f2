"""The phi accrual detector: how unlikely it is that a silent member still lives."""
import math

THRESHOLD = 8.0
KEPT_GAPS = 24


class Suspicion:
    """Arrival history of one member's heartbeats."""

    __slots__ = ("lastMs", "gaps", "leastDeviationMs")

    def __init__(self, nowMs, expectedMs):
        self.lastMs = nowMs
        self.gaps = [expectedMs, expectedMs * 1.5]
        self.leastDeviationMs = expectedMs * 0.4

    def heard(self, nowMs):
        """Notes that the member's heartbeat has advanced."""
        self.gaps.append(min(nowMs - self.lastMs, self.gaps[0] * 3))
        if len(self.gaps) > KEPT_GAPS:
            del self.gaps[1]
        self.lastMs = nowMs

    def phi(self, nowMs):
        """The suspicion level now."""
        mean = sum(self.gaps) / len(self.gaps)
        variance = sum((gap - mean) ** 2 for gap in self.gaps) / len(self.gaps)
        deviation = max(math.sqrt(variance), self.leastDeviationMs)
        y = (nowMs - self.lastMs - mean) / deviation
        exponent = -y * (1.5976 + 0.070566 * y * y)
        if exponent < -700:
            return 300.0
        e = math.exp(exponent)
        chance = e / (1.0 + e) if nowMs - self.lastMs > mean else 1.0 - 1.0 / (1.0 + e)
        return -math.log10(max(chance, 1e-300))

"""A proxy's claim on partner routes: without fresh word that its table is the newest it carries none."""
from stagevale.partners import CLAIM_MARGIN, claimMs


class Claim:
    """Asked for by number; counted on the steady clock from the moment of asking, never of the answer."""

    __slots__ = ("lengthMs", "asked", "askNo", "untilMs")

    def __init__(self, bounds):
        self.lengthMs = claimMs(bounds)
        self.asked = {}
        self.askNo = 0
        self.untilMs = -1e12

    def ask(self, nowMs):
        """The number of the next question, asked now."""
        self.askNo += 1
        self.asked[self.askNo] = nowMs
        self.asked = {number: ms for number, ms in self.asked.items() if nowMs - ms < self.lengthMs}
        return self.askNo

    def granted(self, askNo, newestSerial, serial):
        """Word that `newestSerial` was the newest at some moment after the question; it stands for a table not older."""
        askedMs = self.asked.get(askNo)
        if askedMs is not None and serial >= newestSerial:
            self.untilMs = max(self.untilMs, askedMs + self.lengthMs * (1.0 - CLAIM_MARGIN))

    def holds(self, nowMs):
        """True while partner routes may be offered."""
        return nowMs < self.untilMs

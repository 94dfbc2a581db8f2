"""The core's agreed time: the median of its clocks, carried by each daemon's steady clock."""

HEARD_ROUNDS = 4


class TrueTime:
    """What the time of day is by most of the core; a step of one clock changes nothing."""

    __slots__ = ("context", "offsets", "size", "agreedMs")

    def __init__(self, context, size):
        self.context = context
        self.offsets = {}
        self.size = size
        self.agreedMs = None

    def heard(self, peer, wallMs):
        """Notes another core daemon's clock, against the own steady one."""
        nowMs = self.context.nowMs()
        self.offsets[peer] = (wallMs - nowMs, nowMs)

    def now(self):
        """The agreed time in milliseconds; None until a majority of the core's clocks has been heard."""
        nowMs = self.context.nowMs()
        horizonMs = nowMs - self.context.settings.bounds.contactMs / 4.0 * HEARD_ROUNDS
        offsets = [offsetMs for offsetMs, heardMs in self.offsets.values() if heardMs > horizonMs]
        offsets.append(self.context.wallMs() - nowMs)
        if len(offsets) * 2 > self.size():
            offsets.sort()
            self.agreedMs = offsets[(len(offsets) - 1) // 2]
        return None if self.agreedMs is None else nowMs + self.agreedMs

"""The core's agreed time: the median of its clocks, carried by each daemon's steady clock."""

HEARD_ROUNDS = 4


class TrueTime:
    """What the time of day is by most of the core; a step of one clock changes nothing."""

    __slots__ = ("context", "offsets", "size", "agreed_ms")

    def __init__(self, context, size):
        self.context = context
        self.offsets = {}
        self.size = size
        self.agreed_ms = None

    def heard(self, peer, wall_ms):
        """Notes another core daemon's clock, against the own steady one."""
        now_ms = self.context.now_ms()
        self.offsets[peer] = (wall_ms - now_ms, now_ms)

    def now(self):
        """The agreed time in milliseconds; None until a majority of the core's clocks has been
        heard.
        """
        now_ms = self.context.now_ms()
        horizon_ms = now_ms - self.context.settings.bounds.contact_ms / 4.0 * HEARD_ROUNDS
        offsets = [
            offset_ms for offset_ms, heard_ms in self.offsets.values() if heard_ms > horizon_ms
        ]
        offsets.append(self.context.wall_ms() - now_ms)
        if len(offsets) * 2 > self.size():
            offsets.sort()
            self.agreed_ms = offsets[(len(offsets) - 1) // 2]
        return None if self.agreed_ms is None else now_ms + self.agreed_ms

"""Notices that this process stood still: frozen, starved, or on a machine that was."""

from stagevale.runtime.context import Context

# How often the monitor looks, and how long a stall counts after its end, as a share of the limit.
CHECK_SHARE = 0.25


class StallMonitor:
    """Tells whether what the process reads now may have waited through a stall.

    Requests that arrive during a stall are read when it ends, when whoever sent them may long have
    given them up, had them carried out elsewhere, and taken them back.
    """

    __slots__ = ("context", "limit_ms", "last_check_ms", "stalled_until_ms")

    def __init__(self, context: Context, limit_ms: float) -> None:
        self.context = context
        self.limit_ms = limit_ms
        self.last_check_ms = context.now_ms()
        self.stalled_until_ms = self.last_check_ms

    def start(self) -> None:
        """Begins to watch the clock."""
        self._check()

    def _check(self) -> None:
        now_ms = self.context.now_ms()
        if now_ms - self.last_check_ms > self.limit_ms:
            self.stalled_until_ms = now_ms + self.limit_ms * CHECK_SHARE
        self.last_check_ms = now_ms
        self.context.call_later(self.limit_ms * CHECK_SHARE, self._check)

    def stalled(self) -> bool:
        """True from the end of a stall until what had gathered meanwhile has been read."""
        now_ms = self.context.now_ms()
        return now_ms - self.last_check_ms > self.limit_ms or now_ms < self.stalled_until_ms

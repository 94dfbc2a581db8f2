"""Time in which this process could have heard others: what it stood still through doesn't count."""

from stagevale.runtime.context import Context

# Longer than this many times the expected gap between two looks, a process stood still.
LONGEST_GAP_FACTOR = 1.3


class ListeningClock:
    """A clock that passes over stalls.

    Silence of others says something only about a time in which this process read what they sent.
    """

    __slots__ = ("context", "longest_gap_ms", "_looked_ms", "_listened_ms")

    def __init__(self, context: Context, gap_ms: float) -> None:
        """Makes a clock that stands at 0.

        Args:
            context: of the daemon.
            gap_ms: how far apart calls of `look` are.
        """
        self.context = context
        self.longest_gap_ms = gap_ms * LONGEST_GAP_FACTOR
        self._looked_ms = context.now_ms()
        self._listened_ms = 0.0

    def look(self) -> None:
        """Notes that the process runs."""
        self._listened_ms = self.now_ms()
        self._looked_ms = self.context.now_ms()

    def now_ms(self) -> float:
        """How long this process has listened since its start, in milliseconds."""
        gap_ms = self.context.now_ms() - self._looked_ms
        return self._listened_ms + min(gap_ms, self.longest_gap_ms)

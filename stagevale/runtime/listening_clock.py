"""Time in which this process could have heard others: what it stood still through doesn't count."""

from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.runtime.context import Context

# Longer than this many times the expected gap between two looks, a process stood still.
LONGEST_GAP_FACTOR = 1.3


class ListeningClock:
    """A clock that passes over stalls.

    Silence of others says something only about a time in which this process read what they sent.
    """

    __slots__ = (
        "context",
        "longest_gap_ms",
        "_looked_ms",
        "_listened_ms",
        "_stall_ended_ms",
        "_stall_ms",
    )

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
        self._stall_ended_ms = LONG_AGO_MS
        self._stall_ms = 0.0

    def look(self) -> None:
        """Notes that the process runs."""
        now_ms = self.context.now_ms()
        self._listened_ms = self.now_ms()
        passed_over_ms = now_ms - self._looked_ms - self.longest_gap_ms
        if passed_over_ms > 0:
            self._stall_ended_ms = now_ms
            self._stall_ms = passed_over_ms
        self._looked_ms = now_ms

    def now_ms(self) -> float:
        """How long this process has listened since its start, in milliseconds."""
        gap_ms = self.context.now_ms() - self._looked_ms
        return self._listened_ms + min(gap_ms, self.longest_gap_ms)

    def deaf_since_ms(self, since_ms: float) -> float:
        """For how long this process could hear nothing since a moment, by its newest stall.

        Args:
            since_ms: by the monotonic clock.
        """
        return self._stall_ms if since_ms < self._stall_ended_ms else 0.0

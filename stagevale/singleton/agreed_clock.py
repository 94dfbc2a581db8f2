"""The core's agreed time of day: the median of its machines' clocks, carried by each daemon's
monotonic clock.
"""

from collections.abc import Callable
from typing import NamedTuple

from stagevale.runtime.context import Context

# Another machine's clock counts for so many pings after it was last told.
ROUNDS_KEPT = 4
ROUNDS_PER_CONTACT = 4.0


class ClockOffset(NamedTuple):
    """A machine's time of day less the own monotonic clock, and when it was told."""

    offset_ms: float
    told_ms: float


class AgreedClock:
    """What the time of day is by most of the core; a step of one clock changes nothing."""

    __slots__ = ("context", "core_size", "_offsets", "_agreed_offset_ms")

    def __init__(self, context: Context, core_size: Callable[[], int | None]) -> None:
        """Makes a clock that isn't known yet.

        Args:
            context: of the daemon.
            core_size: how many core machines are thought to live, this one included; None while
                that isn't known.
        """
        self.context = context
        self.core_size = core_size
        self._offsets: dict[str, ClockOffset] = {}
        self._agreed_offset_ms: float | None = None

    def record(self, peer: str, wall_ms: float) -> None:
        """Takes in another core machine's time of day."""
        now_ms = self.context.now_ms()
        self._offsets[peer] = ClockOffset(wall_ms - now_ms, now_ms)

    def now_ms(self) -> float | None:
        """The agreed time of day in milliseconds; None until a majority of the core's clocks has
        been told.
        """
        now_ms = self.context.now_ms()
        round_ms = self.context.settings.bounds.contact_ms / ROUNDS_PER_CONTACT
        oldest_ms = now_ms - round_ms * ROUNDS_KEPT
        offsets = [each.offset_ms for each in self._offsets.values() if each.told_ms > oldest_ms]
        offsets.append(self.context.wall_ms() - now_ms)
        size = self.core_size()
        if size is not None and len(offsets) * 2 > size:
            offsets.sort()
            self._agreed_offset_ms = offsets[(len(offsets) - 1) // 2]
        if self._agreed_offset_ms is None:
            return None
        return now_ms + self._agreed_offset_ms

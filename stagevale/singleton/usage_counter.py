"""A proxy's counts of requests by tenant and window of the core's agreed time."""

import json
from typing import Any

from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import Bounds

WINDOWS_KEPT = 8
# A difference from the told time up to this is taken over little by little.
STEP_MS = 1000.0
SMOOTHING = 0.2


class UsageCounter:
    """Counts since this proxy's start, so that no report counts twice.

    Attributes:
        offset_ms: the agreed time less the monotonic clock; None until it is told.
    """

    __slots__ = ("window_ms", "offset_ms", "_counts", "_changed")

    def __init__(self, bounds: Bounds) -> None:
        self.window_ms = bounds.report_window_s * MS_PER_S
        self.offset_ms: float | None = None
        self._counts: dict[int, dict[str, int]] = {}
        self._changed: set[int] = set()

    def set_agreed_time(self, agreed_ms: float, now_ms: float) -> None:
        """Takes in the core's agreed time, as the feeding registry tells it."""
        offset_ms = agreed_ms - now_ms
        if self.offset_ms is None or abs(offset_ms - self.offset_ms) > STEP_MS:
            self.offset_ms = offset_ms
        else:
            self.offset_ms += SMOOTHING * (offset_ms - self.offset_ms)

    def agreed_ms(self, now_ms: float) -> float:
        """The agreed time; 0 until it is told."""
        return now_ms + self.offset_ms if self.offset_ms is not None else 0.0

    def count(self, tenant: str, now_ms: float) -> int | None:
        """Counts a request that an endpoint begins now.

        Returns:
            Its window, or None before the time is known.
        """
        if self.offset_ms is None:
            return None
        window = int((now_ms + self.offset_ms) // self.window_ms)
        self._add(window, tenant, 1)
        return window

    def undo(self, window: int, tenant: str) -> None:
        """The request turned out not to have run."""
        self._add(window, tenant, -1)

    def _add(self, window: int, tenant: str, number: int) -> None:
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            for old in [kept for kept in self._counts if kept <= window - WINDOWS_KEPT]:
                del self._counts[old]
                self._changed.discard(old)
        counts[tenant] = counts.get(tenant, 0) + number
        self._changed.add(window)

    def rows(self, everything: bool) -> list[Any]:
        """The windows to report, each complete: those changed since the last report, or all that
        are kept.
        """
        windows = self._counts.keys() if everything else self._changed & self._counts.keys()
        self._changed = set()
        return [
            [window, json.dumps(self._counts[window], separators=(",", ":"))]
            for window in sorted(windows)
        ]

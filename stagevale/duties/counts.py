"""Counts of requests per tenant and window: cumulative per life of a proxy, so that no word counts
twice.
"""

import json
import zlib

WINDOWS_KEPT = 8


class WindowCounts:
    """A proxy's own counts. Windows are of the core's agreed time, never of this machine's
    clock.
    """

    __slots__ = ("window_ms", "offset_ms", "counts", "changed")

    def __init__(self, bounds):
        self.window_ms = bounds.report_window_s * 1000.0
        self.offset_ms = None
        self.counts = {}
        self.changed = set()

    def told(self, true_ms, now_ms):
        """Takes in the core's agreed time, as the feeder tells it."""
        offset_ms = true_ms - now_ms
        if self.offset_ms is None or abs(offset_ms - self.offset_ms) > 1000.0:
            self.offset_ms = offset_ms
        else:
            self.offset_ms += 0.2 * (offset_ms - self.offset_ms)

    def true_ms(self, now_ms):
        return now_ms + self.offset_ms if self.offset_ms is not None else 0.0

    def began(self, tenant, now_ms):
        """Counts a request that an endpoint begins now; returns its window, or None before the time
        is known.
        """
        if self.offset_ms is None:
            return None
        window = int((now_ms + self.offset_ms) // self.window_ms)
        self.add(window, tenant, 1)
        return window

    def undo(self, window, tenant):
        """The request turned out not to have run."""
        self.add(window, tenant, -1)

    def add(self, window, tenant, number):
        counts = self.counts.get(window)
        if counts is None:
            counts = self.counts[window] = {}
            for old in [kept for kept in self.counts if kept <= window - WINDOWS_KEPT]:
                del self.counts[old]
                self.changed.discard(old)
        counts[tenant] = counts.get(tenant, 0) + number
        self.changed.add(window)

    def rows(self, everything):
        """The windows to tell a feeder, each whole: those changed since the last time, or all that
        are kept.
        """
        windows = sorted(self.counts) if everything else sorted(self.changed & self.counts.keys())
        self.changed.clear()
        return [
            [window, json.dumps(self.counts[window], separators=(",", ":"))] for window in windows
        ]


class Told:
    """What one life of a proxy has told of its counts."""

    __slots__ = ("address", "upto_ms", "windows")

    def __init__(self, address):
        self.address = address
        self.upto_ms = 0.0
        self.windows = {}


class Ledger:
    """A registry's knowledge of its proxies' counts, summed on request."""

    __slots__ = ("window_ms", "told", "attached")

    def __init__(self, bounds, attached):
        self.window_ms = bounds.report_window_s * 1000.0
        self.told = {}
        self.attached = attached

    def take(self, peer, body):
        """Takes in a proxy's word; a later word on a window replaces the earlier one."""
        life, upto_ms, rows = body
        key = zlib.crc32(f"{peer} {life}".encode())
        told = self.told.get(key)
        if told is None:
            told = self.told[key] = Told(peer)
        told.upto_ms = max(told.upto_ms, upto_ms)
        for window, text in rows:
            counts = json.loads(text)
            if not isinstance(counts, dict) or not all(
                isinstance(number, int) for number in counts.values()
            ):
                raise ValueError("counts")
            told.windows[window] = counts
        newest = max(told.windows, default=0)
        for old in [kept for kept in told.windows if kept <= newest - WINDOWS_KEPT]:
            del told.windows[old]
        if len(self.told) > 16:
            latest_ms = max(other.upto_ms for other in self.told.values())
            self.told = {
                kept: other
                for kept, other in self.told.items()
                if other.upto_ms > latest_ms - WINDOWS_KEPT * self.window_ms
            }

    def answer(self, window, whole):
        """For the duty's holder: oldest window known, whether all proxies fed here have told all of
        the window, which proxies are in the sum, and the sum, or the counts proxy by proxy.
        """
        if window == 0:
            return [
                min((kept for told in self.told.values() for kept in told.windows), default=0),
                1,
                [],
                "{}",
            ]
        end_ms = (window + 1) * self.window_ms
        here = {
            key: told
            for key, told in self.told.items()
            if window in told.windows or told.upto_ms >= end_ms
        }
        ended = {told.address for told in self.told.values() if told.upto_ms >= end_ms}
        complete = all(address in ended for address in self.attached())
        if whole:
            return [
                0,
                int(complete),
                [],
                [
                    [key, told.upto_ms, json.dumps(told.windows.get(window, {}))]
                    for key, told in here.items()
                ],
            ]
        total = {}
        for told in here.values():
            for tenant, number in told.windows.get(window, {}).items():
                total[tenant] = total.get(tenant, 0) + number
        return [0, int(complete), list(here), json.dumps(total, separators=(",", ":"))]

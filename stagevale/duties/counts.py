"""Counts of jobs per tenant and window: cumulative per life of a proxy, so that no word counts twice."""
import json
import zlib

WINDOWS_KEPT = 8


class WindowCounts:
    """A proxy's own counts. Windows are of the core's agreed time, never of this machine's clock."""

    __slots__ = ("windowMs", "offsetMs", "counts", "changed")

    def __init__(self, bounds):
        self.windowMs = bounds.reportWindowS * 1000.0
        self.offsetMs = None
        self.counts = {}
        self.changed = set()

    def told(self, trueMs, nowMs):
        """Takes in the core's agreed time, as the feeder tells it."""
        offsetMs = trueMs - nowMs
        if self.offsetMs is None or abs(offsetMs - self.offsetMs) > 1000.0:
            self.offsetMs = offsetMs
        else:
            self.offsetMs += 0.2 * (offsetMs - self.offsetMs)

    def trueMs(self, nowMs):
        return nowMs + self.offsetMs if self.offsetMs is not None else 0.0

    def began(self, tenant, nowMs):
        """Counts a job that an endpoint begins now; returns its window, or None before the time is known."""
        if self.offsetMs is None:
            return None
        window = int((nowMs + self.offsetMs) // self.windowMs)
        self.add(window, tenant, 1)
        return window

    def undo(self, window, tenant):
        """The job turned out not to have run."""
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
        """The windows to tell a feeder, each whole: those changed since the last time, or all that are kept."""
        windows = sorted(self.counts) if everything else sorted(self.changed & self.counts.keys())
        self.changed.clear()
        return [[window, json.dumps(self.counts[window], separators=(",", ":"))] for window in windows]


class Told:
    """What one life of a proxy has told of its counts."""

    __slots__ = ("address", "uptoMs", "windows")

    def __init__(self, address):
        self.address = address
        self.uptoMs = 0.0
        self.windows = {}


class Ledger:
    """A registry's knowledge of its proxies' counts, summed on request."""

    __slots__ = ("windowMs", "told", "attached")

    def __init__(self, bounds, attached):
        self.windowMs = bounds.reportWindowS * 1000.0
        self.told = {}
        self.attached = attached

    def take(self, peer, body):
        """Takes in a proxy's word; a later word on a window replaces the earlier one."""
        life, uptoMs, rows = body
        key = zlib.crc32(f"{peer} {life}".encode())
        told = self.told.get(key)
        if told is None:
            told = self.told[key] = Told(peer)
        told.uptoMs = max(told.uptoMs, uptoMs)
        for window, text in rows:
            counts = json.loads(text)
            if not isinstance(counts, dict) or not all(isinstance(number, int) for number in counts.values()):
                raise ValueError("counts")
            told.windows[window] = counts
        newest = max(told.windows, default=0)
        for old in [kept for kept in told.windows if kept <= newest - WINDOWS_KEPT]:
            del told.windows[old]
        if len(self.told) > 16:
            latestMs = max(other.uptoMs for other in self.told.values())
            self.told = {kept: other for kept, other in self.told.items()
                         if other.uptoMs > latestMs - WINDOWS_KEPT * self.windowMs}

    def answer(self, window, whole):
        """For the duty's holder: oldest window known, whether all proxies fed here have told all of the window,
        which proxies are in the sum, and the sum, or the counts proxy by proxy."""
        if window == 0:
            return [min((kept for told in self.told.values() for kept in told.windows), default=0), 1, [], "{}"]
        endMs = (window + 1) * self.windowMs
        here = {key: told for key, told in self.told.items() if window in told.windows or told.uptoMs >= endMs}
        ended = {told.address for told in self.told.values() if told.uptoMs >= endMs}
        complete = all(address in ended for address in self.attached())
        if whole:
            return [0, int(complete), [], [[key, told.uptoMs, json.dumps(told.windows.get(window, {}))]
                                           for key, told in here.items()]]
        total = {}
        for told in here.values():
            for tenant, number in told.windows.get(window, {}).items():
                total[tenant] = total.get(tenant, 0) + number
        return [0, int(complete), list(here), json.dumps(total, separators=(",", ":"))]

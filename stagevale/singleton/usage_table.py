"""A registry's table of its proxies' counts."""

import json
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from stagevale.rpc.message import read_message
from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import Bounds
from stagevale.singleton.messages import ProxyCountsRow, UsageCountsReply, UsageReport

WINDOWS_KEPT = 8
INCARNATIONS_KEPT = 16

TenantCounts = dict[str, int]


class ProxyCounts:
    """What one incarnation of a proxy has reported."""

    __slots__ = ("address", "upto_ms", "windows")

    def __init__(self, address: str) -> None:
        self.address = address
        self.upto_ms = 0.0
        self.windows: dict[int, TenantCounts] = {}

    def record(self, report: UsageReport) -> None:
        """Takes in a report; a later count of a window replaces the earlier one."""
        self.upto_ms = max(self.upto_ms, report.upto_ms)
        for window, text in report.rows:
            self.windows[window] = read_counts(text)
        newest = max(self.windows, default=0)
        for old in [kept for kept in self.windows if kept <= newest - WINDOWS_KEPT]:
            del self.windows[old]


def read_counts(text: str) -> TenantCounts:
    """Counts by tenant out of JSON.

    Raises:
        ValueError: the text is anything else.
    """
    counts = json.loads(text)
    if not isinstance(counts, dict) or not all(isinstance(n, int) for n in counts.values()):
        raise ValueError("counts: want whole numbers by tenant")
    return counts


def add_counts(total: TenantCounts, counts: TenantCounts) -> None:
    """Adds counts to a sum."""
    for tenant, number in counts.items():
        total[tenant] = total.get(tenant, 0) + number


class UsageTable:
    """Counts of the proxies that this registry feeds, or has fed."""

    __slots__ = ("window_ms", "subscribed_proxies", "_proxies")

    def __init__(self, bounds: Bounds, subscribed_proxies: Callable[[], Iterable[str]]) -> None:
        """Makes an empty table.

        Args:
            bounds: of the settings.
            subscribed_proxies: gives the addresses of the proxies that this registry feeds.
        """
        self.window_ms = bounds.report_window_s * MS_PER_S
        self.subscribed_proxies = subscribed_proxies
        self._proxies: dict[int, ProxyCounts] = {}

    def record(self, peer: str, body: Any) -> None:
        """Takes in a proxy's report.

        Raises:
            MessageError, ValueError: the report has another shape.
        """
        report = read_message(UsageReport, body)
        key = zlib.crc32(f"{peer} {report.incarnation}".encode())
        self._proxies.setdefault(key, ProxyCounts(peer)).record(report)
        if len(self._proxies) > INCARNATIONS_KEPT:
            self._drop_old()

    def _drop_old(self) -> None:
        """Drops incarnations that have long ceased to report."""
        latest_ms = max(proxy.upto_ms for proxy in self._proxies.values())
        oldest_ms = latest_ms - WINDOWS_KEPT * self.window_ms
        self._proxies = {
            key: proxy for key, proxy in self._proxies.items() if proxy.upto_ms > oldest_ms
        }

    def oldest_window(self) -> UsageCountsReply:
        """The reply to a holder that doesn't know yet where to begin."""
        windows = (window for proxy in self._proxies.values() for window in proxy.windows)
        return UsageCountsReply(min(windows, default=0), 1, [], "{}")

    def counts(self, window: int, by_proxy: bool) -> UsageCountsReply:
        """The counts of a window, as a sum or proxy by proxy."""
        end_ms = (window + 1) * self.window_ms
        known = {
            key: proxy
            for key, proxy in self._proxies.items()
            if window in proxy.windows or proxy.upto_ms >= end_ms
        }
        ended = {proxy.address for proxy in self._proxies.values() if proxy.upto_ms >= end_ms}
        complete = int(all(address in ended for address in self.subscribed_proxies()))
        if by_proxy:
            rows = [
                ProxyCountsRow(key, proxy.upto_ms, json.dumps(proxy.windows.get(window, {})))
                for key, proxy in known.items()
            ]
            return UsageCountsReply(0, complete, [], rows)
        total: TenantCounts = {}
        for proxy in known.values():
            add_counts(total, proxy.windows.get(window, {}))
        text = json.dumps(total, separators=(",", ":"))
        return UsageCountsReply(0, complete, list(known), text)

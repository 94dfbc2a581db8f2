"""What proxies and registries say to each other about usage.

Fields are read in the order in which they stand here; order and types are part of the protocol.
"""

from typing import Any, NamedTuple


class UsageReport(NamedTuple):
    """A proxy's counts.

    Attributes:
        incarnation: of the proxy.
        upto_ms: the agreed time up to which its counts are complete.
        rows: pairs of a window and its counts by tenant as JSON.
    """

    incarnation: str
    upto_ms: float
    rows: list[Any]


class UsageCountsRequest(NamedTuple):
    """The role's holder asks a registry for a window.

    Attributes:
        window: its number; 0 asks for the oldest window known.
        by_proxy: 1 for the counts of each proxy in the place of their sum.
    """

    window: int
    by_proxy: int


class UsageCountsReply(NamedTuple):
    """A registry's counts of a window.

    Attributes:
        oldest_window: the oldest window known, where that was asked for; else 0.
        complete: 1 where all proxies fed by the registry have reported all of the window.
        proxies: keys of the proxies whose counts are in the sum.
        counts: the sum by tenant as JSON, or rows of `ProxyCountsRow`.
    """

    oldest_window: int
    complete: int
    proxies: list[Any]
    counts: Any


class ProxyCountsRow(NamedTuple):
    """One proxy's counts of a window: its key, the time they are complete to, JSON by tenant."""

    key: int
    upto_ms: float
    counts: str

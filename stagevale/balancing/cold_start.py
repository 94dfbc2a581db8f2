"""Endpoints that warm up: which proxies may use one, and how often."""

import heapq
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stagevale.balancing.snapshot import ProxyMember, Service, Snapshot
    from stagevale.balancing.target import Target
    from stagevale.runtime.context import Context

# So many proxies share what a cold endpoint bears.
COLD_PROXIES = 2
# Requests to a cold endpoint are counted over a second, and a little more.
COLD_WINDOW_MS = 1100.0
# So much of what the rules let a cold endpoint have is used.
COLD_USED_SHARE = 0.6


class ColdStart:
    """Decides whether this proxy may send a request to an endpoint that warms up.

    All proxies choose the same few without talking to each other: the nearest to the endpoint, by a
    hash among those as near.
    """

    __slots__ = ("context", "address")

    def __init__(self, context: "Context", address: str) -> None:
        self.context = context
        self.address = address

    def may_send(
        self, target: "Target", snapshot: "Snapshot", service: "Service", now_ms: float
    ) -> bool:
        """True while this proxy has sent less than its share of what the endpoint bears."""
        if not self._is_ours(target, snapshot):
            return False
        target.cold_sent = [
            sent_ms for sent_ms in target.cold_sent if now_ms - sent_ms < COLD_WINDOW_MS
        ]
        bounds = self.context.settings.bounds
        allowed = service.cold_per_s * bounds.cold_excess + bounds.cold_margin
        per_s = min(service.cold_per_s, allowed * COLD_USED_SHARE)
        return len(target.cold_sent) < max(1, int(per_s / COLD_PROXIES))

    def _is_ours(self, target: "Target", snapshot: "Snapshot") -> bool:
        """True where this proxy is among the few. Looked up once for each set of proxies: a large
        fleet would be sorted for each cold endpoint at each request.
        """
        if target.proxies_ranked is not snapshot.proxies:
            target.proxies_ranked = snapshot.proxies
            chosen = chosen_proxies(target, snapshot.proxies)
            target.is_ours_while_cold = any(proxy.address == self.address for proxy in chosen)
        return target.is_ours_while_cold


def chosen_proxies(target: "Target", proxies: "tuple[ProxyMember, ...]") -> "list[ProxyMember]":
    """The proxies that use an endpoint while it warms up."""

    def rank(proxy: "ProxyMember") -> tuple[bool, bool, int]:
        tie = zlib.crc32(f"{target.id} {proxy.address}".encode())
        return proxy.zone != target.zone, proxy.region != target.region, tie

    return heapq.nsmallest(COLD_PROXIES, proxies, key=rank)

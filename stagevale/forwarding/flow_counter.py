"""Where a proxy's requests went: what a rehearsal of a region's loss is computed from."""

from typing import Any

from stagevale.balancing.estimates import Estimates
from stagevale.balancing.snapshot import Snapshot
from stagevale.forwarding.request import Request

# Beside zones a proxy reports how many requests were retried, under this name.
RETRIES = "again"


class FlowCounter:
    """Counts requests by route, service and zone."""

    __slots__ = ("estimates", "_flows")

    def __init__(self, estimates: Estimates) -> None:
        self.estimates = estimates
        self._flows: dict[tuple[str, str], dict[str, int]] = {}

    def count_first(self, request: Request, zone: str) -> None:
        """A request goes to an endpoint of a zone for the first time."""
        self._count(request, zone)

    def count_retry(self, request: Request) -> None:
        """A request goes to another endpoint."""
        self._count(request, RETRIES)

    def _count(self, request: Request, name: str) -> None:
        flow = self._flows.setdefault((request.route.name, request.service), {})
        flow[name] = flow.get(name, 0) + 1

    def take(self, snapshot: Snapshot) -> list[list[Any]]:
        """What went where since the last call: rows of route, service, kind, work in milliseconds,
        bytes and counts by zone; routes that the snapshot no longer has are left out.
        """
        flows, self._flows = self._flows, {}
        routes = {route.name: route for rows in snapshot.hosts.values() for _, route in rows}
        return [
            [
                name,
                service,
                routes[name].pure,
                int(self.estimates.work_ms(routes[name])),
                int(self.estimates.bytes.get(name, 0)),
                counts,
            ]
            for (name, service), counts in flows.items()
            if name in routes
        ]

"""What a proxy has learned of the requests it carries and of the ways to the regions."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stagevale.balancing.snapshot import Route
    from stagevale.balancing.target import Target
    from stagevale.runtime.context import Context

# Until a route has been used, a request is taken to need this share of its latency target.
ASSUMED_WORK_SHARE = 0.25
ASSUMED_BYTES = 2000.0
# How much of a new measurement is taken into each estimate.
ROUTE_BYTES_WEIGHT = 0.05
MEAN_BYTES_WEIGHT = 0.01
SERVICE_WORK_WEIGHT = 0.03
ROUTE_WORK_WEIGHT = 0.05
SPEED_WEIGHT = 0.15
RTT_WEIGHT = 0.2
# Bounds of the estimates: of a request's size against the mean, and of one measured speed.
LEAST_SIZE_FACTOR = 0.3
MOST_SIZE_FACTOR = 3.0
LEAST_SPEED = 0.15
MOST_SPEED = 8.0
# The network takes at most this share of a measured time.
MOST_NETWORK_SHARE = 0.8


class Estimates:
    """Running means, updated with each served request and each opened connection.

    Attributes:
        work: by route, how long a request takes at an endpoint of usual speed, in ms.
        service_work: the same by service, over all its routes.
        rtt_ms: round-trip times by region.
        bytes, mean_bytes: sizes of requests with their answers, by route and over all.
    """

    __slots__ = ("context", "work", "service_work", "rtt_ms", "bytes", "mean_bytes")

    def __init__(self, context: "Context") -> None:
        self.context = context
        self.work: dict[str, float] = {}
        self.service_work: dict[str, float] = {}
        self.rtt_ms: dict[str, float] = {}
        self.bytes: dict[str, float] = {}
        self.mean_bytes = ASSUMED_BYTES

    def work_ms(self, route: "Route") -> float:
        """How long a request of this route takes at an endpoint of usual speed."""
        return self.work.get(route.name) or route.target_ms * ASSUMED_WORK_SHARE

    def size_factor(self, route: "Route") -> float:
        """How large a request of this route is, against the mean of all; bounded."""
        size = self.bytes.get(route.name, self.mean_bytes)
        return min(MOST_SIZE_FACTOR, max(LEAST_SIZE_FACTOR, size / self.mean_bytes))

    def add_size(self, route: "Route", size: int) -> None:
        """Learns how many bytes a request of this route moves."""
        known = self.bytes.get(route.name)
        if known is None:
            self.bytes[route.name] = size
        else:
            self.bytes[route.name] = known + ROUTE_BYTES_WEIGHT * (size - known)
        self.mean_bytes += MEAN_BYTES_WEIGHT * (size - self.mean_bytes)

    def add_served(
        self, route: "Route", target: "Target", took_ms: float, was_queued: bool
    ) -> None:
        """Learns from a served request.

        Args:
            route: of the request.
            target: which endpoint served it.
            took_ms: from when it was sent until its answer.
            was_queued: it waited at the endpoint: its time says nothing of the endpoint's speed.
        """
        if was_queued:
            return
        work_ms = self.work_ms(route)
        if target.region != self.context.settings.region:
            rtt_ms = self.rtt_ms.get(target.region, 0.0)
            took_ms -= min(rtt_ms, took_ms * MOST_NETWORK_SHARE)
        self._add_service_work(target.service, took_ms / target.speed)
        speed = min(MOST_SPEED, max(LEAST_SPEED, took_ms / work_ms))
        target.speed += SPEED_WEIGHT * (speed - target.speed)
        self.work[route.name] = work_ms + ROUTE_WORK_WEIGHT * (took_ms / target.speed - work_ms)

    def _add_service_work(self, service: str, work_ms: float) -> None:
        known = self.service_work.get(service)
        if known is None:
            self.service_work[service] = work_ms
        else:
            self.service_work[service] = known + SERVICE_WORK_WEIGHT * (work_ms - known)

    def add_connected(self, region: str, took_ms: float) -> None:
        """Learns the way to a region from how long opening a connection took."""
        known = self.rtt_ms.get(region)
        if known is None:
            self.rtt_ms[region] = took_ms
        else:
            self.rtt_ms[region] = known + RTT_WEIGHT * (took_ms - known)

    def one_way_ms(self, region: str) -> float:
        """About how long bytes take to a region."""
        if region == self.context.settings.region:
            return 0.0
        return self.rtt_ms.get(region, 0.0) / 2.0

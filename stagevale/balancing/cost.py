"""The cost by which endpoints are compared: a time in ms, with surcharges."""

from typing import TYPE_CHECKING

from stagevale.balancing.estimates import Estimates

if TYPE_CHECKING:
    from stagevale.balancing.snapshot import Route
    from stagevale.balancing.target import Target
    from stagevale.latency_routing.router import LatencyRouter
    from stagevale.settings.settings import Settings

# Surcharges as shares of the latency target: for another zone, and for another region.
ZONE_COST = 0.1
REGION_COST = 0.4
# For each expected ms, with a margin, beyond what is left of the latency target.
LATE_COST = 2.0
LATE_MARGIN = 1.4
# For each ms that an endpoint has been silent for longer than so many requests take.
SILENCE_COST = 2.0
SILENCE_EXPECTED = 2.0
# A cold endpoint takes so much longer.
COLD_FACTOR = 2.0
# The endpoint that a session prefers costs less.
PREFERRED_FACTOR = 0.7
# Until connections to a region have been opened, its round trip is taken for so small a part of
# `contactMs`.
ASSUMED_RTTS_PER_CONTACT = 80.0


class RequestCost:
    """The cost of one request at each endpoint; holds what is the same for all of them.

    Attributes:
        work_ms: how long the request takes at an endpoint of usual speed.
        service_work_ms: the same for the usual request of its service, of which queues consist.
        size_factor: how large it is, against the mean.
        left_ms: what is left of its latency target.
        latency_router: chooses regions, or None; region: the one chosen, or None.
    """

    __slots__ = (
        "settings",
        "estimates",
        "latency_router",
        "region",
        "service",
        "now_ms",
        "work_ms",
        "service_work_ms",
        "size_factor",
        "target_ms",
        "left_ms",
    )

    def __init__(
        self,
        settings: "Settings",
        estimates: Estimates,
        route: "Route",
        service: str,
        start_ms: float,
        now_ms: float,
    ) -> None:
        self.settings = settings
        self.estimates = estimates
        self.latency_router: LatencyRouter | None = None
        self.region: str | None = None
        self.service = service
        self.now_ms = now_ms
        self.work_ms = estimates.work_ms(route)
        self.service_work_ms = estimates.service_work.get(service, self.work_ms)
        self.size_factor = estimates.size_factor(route)
        self.target_ms = route.target_ms
        self.left_ms = route.target_ms - (now_ms - start_ms)

    def set_region(self, router: "LatencyRouter", region: str | None) -> None:
        """Takes in which region the request is routed to."""
        self.latency_router = router
        self.region = region

    def expected_ms(self, target: "Target", load: float) -> float:
        """How long the request would take at an endpoint, network included."""
        ahead = max(0.0, load + 1 - target.slots) / target.slots
        took_ms = self._speed(target) * (self.work_ms + self.service_work_ms * ahead)
        if self.now_ms < target.cold_until_ms:
            took_ms *= COLD_FACTOR
        if target.region != self.settings.region:
            rtt_ms = self.estimates.rtt_ms.get(target.region)
            if rtt_ms is None:
                rtt_ms = self.settings.bounds.contact_ms / ASSUMED_RTTS_PER_CONTACT
            took_ms += rtt_ms if target.idle else 2 * rtt_ms
        return took_ms

    def cost(self, target: "Target", expected_ms: float, is_preferred: bool) -> float:
        """The cost of the request at an endpoint where it would take so long."""
        cost = expected_ms + self._distance_cost(target)
        if self.region is not None and target.region != self.region:
            cost += self.target_ms * REGION_COST
        if is_preferred:
            cost *= PREFERRED_FACTOR
        if target.outstanding > 0:
            silent_ms = target.silent_ms(self.now_ms)
            usual_ms = SILENCE_EXPECTED * self.service_work_ms * target.speed
            cost += SILENCE_COST * max(0.0, silent_ms - usual_ms)
        return cost + max(0.0, expected_ms * LATE_MARGIN - self.left_ms) * LATE_COST

    def _speed(self, target: "Target") -> float:
        """The endpoint's own speed, or its region's where it has not answered lately and regions
        are compared.
        """
        router = self.latency_router
        if router is None or self.now_ms - target.answered_ms <= router.memory_ms:
            return target.speed
        return router.slowness(self.service, target.region, self.now_ms)

    def _distance_cost(self, target: "Target") -> float:
        if target.region == self.settings.region:
            if target.zone == self.settings.zone:
                return 0.0
            return self.target_ms * ZONE_COST * self.size_factor
        if self.latency_router is None:
            return self.target_ms * REGION_COST * self.size_factor
        return self.latency_router.price_ms(target.region, self.target_ms, self.size_factor)

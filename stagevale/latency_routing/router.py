"""Chooses a region for each request, by learned latency."""

from collections.abc import Mapping, Set
from random import Random
from typing import Any, NamedTuple

from stagevale.latency_routing.estimate import NEUTRAL, LatencyEstimate
from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.settings.settings import Bounds

# Measurements are forgotten after so many times `contactMs`; shares move once in so small a part.
STALE_PER_CONTACT = 5.0
ROUND_PER_CONTACT = 0.125
# A region must be faster by this share before requests shift to it.
MARGIN = 0.15
# What bytes between regions cost, as a share of the latency target.
REGION_PRICE = 0.1
# The share of requests that moves in a round where the gain is largest, and how it varies.
MOST_STEP = 0.12
STEP_JITTER = (0.5, 1.5)
LEAST_SHARE = 1e-3
# This share of idempotent requests goes to regions whose measurements have grown stale.
PROBE_SHARE = 0.02
STALE_FRESHNESS = 0.5
# The slowness of one answer is held in bounds; a failed one is at least so slow.
MOST_SLOWNESS = 30.0
LEAST_FAILED_SLOWNESS = 2.0
# The network takes at most this share of a measured time.
MOST_NETWORK_SHARE = 0.8


class LatencyQuery(NamedTuple):
    """What decides the region of one request.

    Attributes:
        service: that it goes to.
        work_ms: how long it usually takes at an endpoint.
        target_ms: its latency target.
        size_factor: its size against the mean.
        is_idempotent: it may be used to probe a region.
        unknown_rtt_ms: the round trip to assume for a region that was never reached.
    """

    service: str
    work_ms: float
    target_ms: float
    size_factor: float
    is_idempotent: bool
    unknown_rtt_ms: float


class LatencyRouter:
    """One proxy's latencies by service and region, and the share of each service's requests that it
    sends to each region.

    Attributes:
        estimates: by service and region.
        shares: by service and region.
        rtt_ms: round-trip times by region; kept by the chooser.
        memory_ms: an endpoint that has answered within it is known by itself.
    """

    __slots__ = (
        "random",
        "region",
        "estimates",
        "shares",
        "moved_ms",
        "stale_ms",
        "round_ms",
        "memory_ms",
        "rtt_ms",
    )

    def __init__(
        self, bounds: Bounds, region: str, random: Random, rtt_ms: Mapping[str, float]
    ) -> None:
        self.random = random
        self.region = region
        self.rtt_ms = rtt_ms
        self.estimates: dict[tuple[str, str], LatencyEstimate] = {}
        self.shares: dict[str, dict[str, float]] = {}
        self.moved_ms: dict[str, float] = {}
        self.stale_ms = bounds.contact_ms * STALE_PER_CONTACT
        self.round_ms = bounds.contact_ms * ROUND_PER_CONTACT
        self.memory_ms = bounds.contact_ms

    # measurements

    def add_answer(
        self,
        service: str,
        region: str,
        work_ms: float,
        took_ms: float,
        expected_ms: float | None,
        now_ms: float,
    ) -> None:
        """Learns from an answer.

        Args:
            service: that answered.
            region: of the endpoint.
            work_ms: how long the route usually takes.
            took_ms: from sending the request until the whole answer.
            expected_ms: what it was expected to take; None where nothing was.
            now_ms: the monotonic time.
        """
        network_ms = min(self._network_ms(region, 0.0), took_ms * MOST_NETWORK_SHARE)
        slowness = min(MOST_SLOWNESS, (took_ms - network_ms) / max(1.0, work_ms))
        estimate = self._estimate(service, region)
        estimate.add(slowness, now_ms, self.memory_ms)
        estimate.add_latency(took_ms, took_ms if expected_ms is None else expected_ms)

    def add_failure(
        self, service: str, region: str, work_ms: float, took_ms: float, now_ms: float
    ) -> None:
        """A request that broke off or timed out counts as an answer as slow as it was held."""
        slowness = max(LEAST_FAILED_SLOWNESS, took_ms / max(1.0, work_ms))
        estimate = self._estimate(service, region)
        estimate.add(min(MOST_SLOWNESS, slowness), now_ms, self.memory_ms)

    def _estimate(self, service: str, region: str) -> LatencyEstimate:
        key = (service, region)
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = LatencyEstimate()
        return estimate

    def _network_ms(self, region: str, unknown_rtt_ms: float) -> float:
        if region == self.region:
            return 0.0
        return self.rtt_ms.get(region, unknown_rtt_ms)

    # expectations

    def slowness(self, service: str, region: str, now_ms: float) -> float:
        """How slow a region's endpoints are taken for, where one has not been used lately."""
        estimate = self.estimates.get((service, region))
        if estimate is None:
            return NEUTRAL
        return estimate.expected_slowness(now_ms, self.stale_ms)

    def expected_ms(
        self, service: str, region: str, work_ms: float, now_ms: float, unknown_rtt_ms: float
    ) -> float:
        """How long an answer is expected to take from a region now."""
        slowness = self.slowness(service, region, now_ms)
        return self._network_ms(region, unknown_rtt_ms) + work_ms * slowness

    def price_ms(self, region: str, target_ms: float, size_factor: float) -> float:
        """What the bytes between regions cost, as a time."""
        if region == self.region:
            return 0.0
        return target_ms * REGION_PRICE * size_factor

    # the choice

    def choose(self, query: LatencyQuery, regions: Set[str], now_ms: float) -> str | None:
        """The region for one request, drawn by the shares; now and then an idempotent one probes a
        region whose measurements are stale.

        Args:
            query: what decides.
            regions: those where the request may be served.
            now_ms: the monotonic time.
        """
        shares = self.shares.get(query.service)
        if shares is None:
            shares = self.shares[query.service] = {self.region: 1.0}
        if now_ms - self.moved_ms.get(query.service, LONG_AGO_MS) >= self.round_ms:
            self.moved_ms[query.service] = now_ms
            self._move_shares(query, shares, regions, now_ms)
        if query.is_idempotent and self.random.random() < PROBE_SHARE:
            stale = self._stale_regions(query.service, shares, regions, now_ms)
            if stale:
                return self.random.choice(stale)
        allowed = {
            region: share for region, share in shares.items() if region in regions and share > 0.0
        }
        if allowed:
            return self._draw(allowed)
        return self._fastest(query, regions, now_ms) if regions else None

    def _stale_regions(
        self, service: str, shares: Mapping[str, float], regions: Set[str], now_ms: float
    ) -> list[str]:
        return [
            region
            for region in regions
            if shares.get(region, 0.0) < PROBE_SHARE
            and (region == self.region or self._is_stale(service, region, now_ms))
        ]

    def _is_stale(self, service: str, region: str, now_ms: float) -> bool:
        freshness = self._estimate(service, region).freshness(now_ms, self.stale_ms)
        return freshness < STALE_FRESHNESS

    def _draw(self, shares: Mapping[str, float]) -> str:
        point = self.random.random() * sum(shares.values())
        for region, share in shares.items():
            point -= share
            if point <= 0.0:
                return region
        return region

    def _fastest(self, query: LatencyQuery, regions: Set[str], now_ms: float) -> str:
        def expected_ms(region: str) -> float:
            return self.expected_ms(
                query.service, region, query.work_ms, now_ms, query.unknown_rtt_ms
            )

        return min(regions, key=expected_ms)

    def _move_shares(
        self, query: LatencyQuery, shares: dict[str, float], regions: Set[str], now_ms: float
    ) -> None:
        """Shifts a part of the shares towards the cheapest region, where the gain is beyond the
        margin. The step grows with the gain and is drawn at random: proxies that see the same don't
        all move at once.
        """
        if not regions:
            return
        costs = {region: self._cost(query, region, now_ms) for region in set(regions) | set(shares)}
        best = min(regions, key=lambda region: costs[region])
        for region in list(shares):
            if region == best:
                continue
            gain = costs[region] / max(1.0, costs[best]) - 1.0
            if region not in regions:
                gain = 1.0
            if gain <= MARGIN:
                continue
            step = MOST_STEP * min(1.0, gain) * self.random.uniform(*STEP_JITTER)
            moved = min(shares[region], step)
            shares[region] -= moved
            shares[best] = shares.get(best, 0.0) + moved
            if shares[region] < LEAST_SHARE:
                shares[best] += shares.pop(region)

    def _cost(self, query: LatencyQuery, region: str, now_ms: float) -> float:
        expected_ms = self.expected_ms(
            query.service, region, query.work_ms, now_ms, query.unknown_rtt_ms
        )
        return expected_ms + self.price_ms(region, query.target_ms, query.size_factor)

    # reports

    def rows(self, now_ms: float) -> list[dict[str, Any]]:
        """A row for each service and region, for operators."""
        return [
            self._row(service, region, estimate, now_ms)
            for (service, region), estimate in sorted(self.estimates.items())
            if estimate.latencies.count() > 0
        ]

    def _row(
        self, service: str, region: str, estimate: LatencyEstimate, now_ms: float
    ) -> dict[str, Any]:
        count = estimate.latencies.count()
        return {
            "service": service,
            "region": region,
            "share": round(self.shares.get(service, {}).get(region, 0.0), 3),
            "expectedMs": round(estimate.expected_sum / count, 1),
            "gotMs": round(estimate.measured_sum / count, 1),
            "medianMs": round(estimate.latencies.quantile(0.5), 1),
            "p95Ms": round(estimate.latencies.quantile(0.95), 1),
            "count": count,
            "slowness": round(estimate.slowness, 2),
            "spread": round(estimate.spread, 2),
            "ageMs": int(now_ms - estimate.measured_ms),
        }

"""Which endpoint a request goes to, and whether it may go to any."""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Protocol

from stagevale.balancing.cold_start import ColdStart
from stagevale.balancing.cost import ASSUMED_RTTS_PER_CONTACT, RequestCost
from stagevale.balancing.estimates import Estimates
from stagevale.balancing.snapshot import Route, Service, Snapshot
from stagevale.balancing.target import Target
from stagevale.latency_routing.router import LatencyQuery, LatencyRouter
from stagevale.leases.lease import Lease
from stagevale.rollouts.rollout import Side
from stagevale.runtime.context import Context

if TYPE_CHECKING:
    from stagevale.balancing.policies import Policy

# An endpoint with so many requests per slot gets no more: of this proxy's, and of all.
MOST_OWN_PER_SLOT = 2.0
MOST_PER_SLOT = 3
# A proxy may always open so many connections to an endpoint.
LEAST_CONNECTIONS = 2
# Costs vary by so much, so that proxies don't all choose the same endpoint.
JITTER = 0.05


class ChoosableRequest(Protocol):
    """What the chooser needs to know of a request.

    Attributes:
        tried: ids of endpoints that it was sent to already.
        homes: sets of regions; it may be served where all of them allow it.
        preferred_id: the endpoint that its session prefers, or None.
        expected_ms: set by the chooser: how long it would take at the endpoint chosen.
    """

    route: Route
    service: str
    start_ms: float
    tried: tuple[str, ...]
    homes: tuple[frozenset[str], ...]
    preferred_id: str | None
    expected_ms: float | None

    def split_key(self) -> bytes:
        """What decides which side of a rollout the request belongs to."""


class Chooser:
    """Chooses among allowed endpoints the one with the least cost.

    Attributes:
        estimates: what the costs are made of.
        cold_start: limits use of endpoints that warm up.
        policy: an operator's own costs, or None.
        lease: permits requests to new versions.
        latency_router: chooses regions by learned latency, or None.
    """

    __slots__ = ("context", "estimates", "cold_start", "policy", "lease", "latency_router")

    def __init__(self, context: Context, address: str, lease: Lease) -> None:
        self.context = context
        self.estimates = Estimates(context)
        self.cold_start = ColdStart(context, address)
        self.policy: Policy | None = None
        self.lease = lease
        self.latency_router: LatencyRouter | None = None

    def choose(self, request: ChoosableRequest, snapshot: Snapshot, now_ms: float) -> Target | None:
        """The endpoint for a request, or None; sets `request.expected_ms`.

        Under a rollout a request of the new side that finds none there, or that is tried again
        while the new version is on trial, goes to the stable one.
        """
        rollout = snapshot.rollouts.get(request.service) if snapshot.rollouts else None
        targets = snapshot.targets.get(request.service, ())
        if rollout is None:
            return self._choose_region_first(targets, request, snapshot, now_ms)
        sides = [Side.STABLE]
        if self.lease.is_held(now_ms) and rollout.side_of(request.split_key()):
            sides = [Side.NEW, Side.STABLE]
        if request.tried and rollout.is_judged:
            sides.reverse()
        for side in sides:
            allowed = [target for target in targets if rollout.allows(side, target.software)]
            chosen = self._choose_region_first(allowed, request, snapshot, now_ms)
            if chosen is not None:
                return chosen
        return None

    def may_use(self, target: Target, snapshot: Snapshot, now_ms: float) -> bool:
        """Checks again, when a request is written, whether a rollout allows the endpoint any."""
        rollout = snapshot.rollouts.get(target.service) if snapshot.rollouts else None
        if rollout is None or rollout.allows(Side.STABLE, target.software):
            return True
        return rollout.allows(Side.NEW, target.software) and self.lease.is_held(now_ms)

    def _choose_region_first(
        self,
        targets: Sequence[Target],
        request: ChoosableRequest,
        snapshot: Snapshot,
        now_ms: float,
    ) -> Target | None:
        """The best endpoint of the region that the request is routed to, if it has a free slot;
        else the best of all.
        """
        cost = RequestCost(
            self.context.settings,
            self.estimates,
            request.route,
            request.service,
            request.start_ms,
            now_ms,
        )
        if self.latency_router is None:
            return self._choose_cheapest(targets, request, snapshot, cost)
        region = self._region(self.latency_router, request, targets, snapshot, now_ms)
        cost.set_region(self.latency_router, region)
        nearest = [target for target in targets if target.region == region]
        chosen = self._choose_cheapest(nearest, request, snapshot, cost)
        if chosen is not None and chosen.load(now_ms) < chosen.slots:
            return chosen
        return self._choose_cheapest(targets, request, snapshot, cost)

    def _region(
        self,
        router: LatencyRouter,
        request: ChoosableRequest,
        targets: Sequence[Target],
        snapshot: Snapshot,
        now_ms: float,
    ) -> str | None:
        """The region that a request is routed to, among those in which it may be served."""
        regions = {
            target.region for target in targets if _is_eligible(target, request, snapshot.evacuated)
        }
        query = LatencyQuery(
            request.service,
            self.estimates.work_ms(request.route),
            request.route.target_ms,
            self.estimates.size_factor(request.route),
            request.route.pure,
            self.context.settings.bounds.contact_ms / ASSUMED_RTTS_PER_CONTACT,
        )
        return router.choose(query, regions, now_ms)

    def _choose_cheapest(
        self,
        targets: Iterable[Target],
        request: ChoosableRequest,
        snapshot: Snapshot,
        cost: RequestCost,
    ) -> Target | None:
        service = snapshot.services.get(request.service)
        if service is None:
            return None
        best: Target | None = None
        best_cost = 0.0
        request.expected_ms = None
        most_open = max(LEAST_CONNECTIONS, service.max_conns // (len(snapshot.proxies) + 2))
        random = self.context.random.random
        for target in targets:
            if not _is_eligible(target, request, snapshot.evacuated) or target.id in request.tried:
                continue
            load = target.load(cost.now_ms)
            if not self._has_room(target, load, most_open, cost.now_ms):
                continue
            if not self._may_warm_up(target, snapshot, service, cost.now_ms):
                continue
            expected_ms = cost.expected_ms(target, load)
            target_cost = cost.cost(target, expected_ms, target.id == request.preferred_id)
            if self.policy is not None:
                target_cost = self.policy.cost(request, target, target_cost, load)
            target_cost *= 1.0 + JITTER * random()
            if best is None or target_cost < best_cost:
                best = target
                best_cost = target_cost
                request.expected_ms = expected_ms
        return best

    def _has_room(self, target: Target, load: float, most_open: int, now_ms: float) -> bool:
        """False for an endpoint that is ejected, full, or can't be given another connection."""
        if now_ms < target.eject_until_ms:
            return False
        if target.outstanding >= target.slots * MOST_OWN_PER_SLOT:
            return False
        if load >= target.slots * MOST_PER_SLOT:
            return False
        return bool(target.idle) or target.open < most_open

    def _may_warm_up(
        self, target: Target, snapshot: Snapshot, service: Service, now_ms: float
    ) -> bool:
        if now_ms >= target.cold_until_ms:
            return True
        return self.cold_start.may_send(target, snapshot, service, now_ms)


def _is_eligible(target: Target, request: ChoosableRequest, evacuated: frozenset[str]) -> bool:
    """True for an endpoint that is up and stands where the request may be served."""
    if not target.is_usable or target.zone in evacuated:
        return False
    return all(target.region in homes for homes in request.homes)

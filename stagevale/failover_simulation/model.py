"""Simulated requests and proxies."""

import random

from stagevale.balancing.chooser import Chooser
from stagevale.balancing.snapshot import Limits, ProxyMember, Snapshot
from stagevale.balancing.target import Target
from stagevale.failover_simulation.plan import Flow, Plan
from stagevale.leases.lease import Lease
from stagevale.settings.settings import Bounds

LEAST_RATE = 0.001


class SimulatedSettings:
    """What the chooser reads of a proxy's settings."""

    __slots__ = ("zone", "region", "bounds")

    def __init__(self, zone: str, region: str, bounds: Bounds) -> None:
        self.zone = zone
        self.region = region
        self.bounds = bounds


class SimulatedContext:
    """What the chooser reads of a daemon's context."""

    __slots__ = ("settings", "random")

    def __init__(self, settings: SimulatedSettings, rng: random.Random) -> None:
        self.settings = settings
        self.random = rng


class SimulatedRequest:
    """One request; see `balancing.chooser.ChoosableRequest`.

    Attributes:
        flow: that it belongs to.
        proxy: that it came to.
        runs: how many endpoints it was sent to.
    """

    __slots__ = (
        "flow",
        "proxy",
        "route",
        "service",
        "homes",
        "start_ms",
        "tried",
        "preferred_id",
        "expected_ms",
        "runs",
    )

    def __init__(self, flow: Flow, proxy: str, start_ms: float) -> None:
        self.flow = flow
        self.proxy = proxy
        self.route = flow.route
        self.service = flow.service
        self.homes: tuple[frozenset[str], ...] = (flow.route.homes,) if flow.route.homes else ()
        self.start_ms = start_ms
        self.tried: tuple[str, ...] = ()
        self.preferred_id: str | None = None
        self.expected_ms: float | None = None
        self.runs = 0

    def split_key(self) -> bytes:
        """See `ChoosableRequest`; no rollouts are simulated."""
        return b""


class SimulatedProxy:
    """A proxy's own view of every endpoint, with the real chooser."""

    __slots__ = ("chooser", "snapshot")

    def __init__(
        self,
        plan: Plan,
        member: ProxyMember,
        proxies: tuple[ProxyMember, ...],
        lost_region: str,
        flows: list[Flow],
        rng: random.Random,
    ) -> None:
        settings = SimulatedSettings(member.zone, member.region, plan.bounds)
        context = SimulatedContext(settings, rng)
        # The chooser reads these two of its context, no others.
        self.chooser = Chooser(context, member.address, Lease(plan.bounds))  # type: ignore[arg-type]
        self._set_estimates(plan, member.zone, flows)
        self.snapshot = Snapshot(
            0,
            {},
            plan.services,
            Limits({}),
            plan.evacuated,
            _targets(plan, lost_region),
            proxies,
        )

    def _set_estimates(self, plan: Plan, zone: str, flows: list[Flow]) -> None:
        estimates = self.chooser.estimates
        estimates.rtt_ms = dict(plan.rtt_ms.get(zone, {}))
        for flow in flows:
            estimates.work[flow.route.name] = flow.work_ms
            estimates.bytes[flow.route.name] = flow.bytes
        if flows:
            total_bytes = sum(flow.bytes * flow.per_s for flow in flows)
            per_s = max(LEAST_RATE, sum(flow.per_s for flow in flows))
            estimates.mean_bytes = max(1.0, total_bytes / per_s)

    def one_way_ms(self, target: Target) -> float:
        """How long a message takes to an endpoint."""
        return self.chooser.estimates.one_way_ms(target.region)


def _targets(plan: Plan, lost_region: str) -> dict[str, tuple[Target, ...]]:
    by_service: dict[str, list[Target]] = {}
    for row in plan.endpoints.values():
        region = plan.region_of.get(row["zone"], "")
        if region == lost_region:
            continue
        target = Target(
            row["id"], row["service"], row["address"], row["zone"], region, row["slots"]
        )
        target.speed = plan.speeds.get(row["id"], 1.0)
        by_service.setdefault(row["service"], []).append(target)
    return {service: tuple(targets) for service, targets in by_service.items()}

"""The simulation as a table: each route before and after the loss of a region."""

from collections.abc import Mapping
from typing import Any

from stagevale.failover_simulation.errors import SimulationError
from stagevale.failover_simulation.plan import Plan, flows_without
from stagevale.failover_simulation.simulation import simulate
from stagevale.failover_simulation.tally import Tally


def make_report(plan: Plan, lost_region: str, seconds: float, seed: int) -> dict[str, Any]:
    """For each kind and route where its requests go now, in the model, and without the region.

    Args:
        plan: the running system.
        lost_region: the region to lose.
        seconds: how much traffic to simulate.
        seed: of the randomness.

    Raises:
        SimulationError: there is no such region, or no front is left without it.
    """
    regions = set(plan.region_of.values())
    if lost_region not in regions:
        there_are = ", ".join(sorted(regions))
        raise SimulationError(f"no region {lost_region}; there are {there_are}")
    calm = simulate(plan, "", seconds, seed)
    after = simulate(plan, lost_region, seconds, seed)
    names = sorted(after, key=lambda name: (after[name].kind, name))
    return {
        "region": lost_region,
        "seconds": seconds,
        "seed": seed,
        "routes": [_route_row(plan, name, calm, after, lost_region) for name in names],
        "fronts": {
            proxy: round(sum(flow.per_s for flow in flows), 1)
            for proxy, flows in sorted(flows_without(plan, lost_region).items())
        },
    }


def _route_row(
    plan: Plan,
    name: str,
    calm: Mapping[str, Tally],
    after: Mapping[str, Tally],
    lost_region: str,
) -> dict[str, Any]:
    kind = after[name].kind
    homes = plan.routes[name].homes
    seen = Tally(kind)
    seen.zones = plan.seen.get(name, {})
    return {
        "route": name,
        "kind": kind,
        "seen": seen.to_row(plan.region_of)["regions"],
        "calm": calm[name].to_row(plan.region_of) if name in calm else None,
        "lost": after[name].to_row(plan.region_of),
        "homes": sorted(homes),
        "homeLeft": not homes or bool(homes - {lost_region}),
    }

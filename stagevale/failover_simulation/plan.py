"""The state of the running system, as registries tell it, made ready for the simulation."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from stagevale.balancing.snapshot import Route, Service
from stagevale.failover_simulation.errors import SimulationError
from stagevale.forwarding.flow_counter import RETRIES
from stagevale.placement.fronts import ReadyFront, choose_fronts
from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import Bounds

# The parts of a proxy's report that are read here; others follow.
REPORT_FIELDS = 4

StatusPage = Mapping[str, Any]


class Flow(NamedTuple):
    """Requests of one route that reach one proxy.

    Attributes:
        route: their route.
        service: that they go to.
        per_s: how many begin each second.
        work_ms: how long one takes at an endpoint of usual speed.
        bytes: that one moves.
        zones: how many went to each zone.
    """

    route: Route
    service: str
    per_s: float
    work_ms: float
    bytes: float
    zones: Mapping[str, int]


class Front(NamedTuple):
    """Where a proxy serves clients."""

    address: str
    zone: str
    region: str


class Plan:
    """What the simulation starts from.

    Attributes:
        bounds: of the settings.
        routes, services: of the configuration, by name.
        evacuated: zones.
        region_of: each zone's region.
        endpoints: healthy ones, as rows of the status page, by id.
        fronts, flows: by proxy.
        speeds: of endpoints, the mean of what proxies learned.
        rtt_ms: by zone of the proxy and by region.
        seen: how many requests of each route went to each zone.

    Raises:
        SimulationError: no proxy, no requests or no endpoint is known.
    """

    __slots__ = (
        "bounds",
        "routes",
        "services",
        "evacuated",
        "region_of",
        "endpoints",
        "fronts",
        "flows",
        "speeds",
        "rtt_ms",
        "seen",
    )

    def __init__(
        self, pages: Sequence[StatusPage], config: Mapping[str, Any], bounds: Bounds
    ) -> None:
        self.bounds = bounds
        self.routes = {row["name"]: Route(row) for row in config["routes"]}
        self.services = {row["name"]: Service(row) for row in config["services"]}
        self.evacuated: frozenset[str] = frozenset(pages[0]["evacuated"]) if pages else frozenset()
        self.region_of: dict[str, str] = {}
        self.endpoints: dict[str, Mapping[str, Any]] = {}
        self.fronts: dict[str, Front] = {}
        self.flows: dict[str, list[Flow]] = {}
        self.rtt_ms: dict[str, dict[str, float]] = {}
        self.seen: dict[str, dict[str, int]] = {}
        speeds: dict[str, list[float]] = {}
        for page in pages:
            self._read_page(page, speeds)
        self.speeds = {id: sum(values) / len(values) for id, values in speeds.items()}
        self._check()

    def _read_page(self, page: StatusPage, speeds: dict[str, list[float]]) -> None:
        self.region_of.update(page["zones"])
        for row in page["endpoints"]:
            if row["state"] == "ready" and row["healthy"]:
                self.endpoints[row["id"]] = row
        for row in page["proxies"]:
            self.fronts[row["address"]] = Front(row["front"], row["zone"], row["region"])
            if row["report"]:
                self._read_report(row["address"], row["zone"], row["report"], speeds)

    def _read_report(
        self, proxy: str, zone: str, report: Sequence[Any], speeds: dict[str, list[float]]
    ) -> None:
        span_ms, flows, learned, latencies = report[:REPORT_FIELDS]
        for id, speed in learned:
            speeds.setdefault(id, []).append(speed)
        self.rtt_ms[zone] = dict(latencies)
        for name, service, _is_idempotent, work_ms, size, counts in flows:
            zones = {place: count for place, count in dict(counts).items() if place != RETRIES}
            requests = sum(zones.values())
            if name not in self.routes or not requests:
                continue
            per_s = requests * MS_PER_S / max(1, span_ms)
            flow = Flow(self.routes[name], service, per_s, work_ms, size, zones)
            self.flows.setdefault(proxy, []).append(flow)
            seen = self.seen.setdefault(name, {})
            for place, count in zones.items():
                seen[place] = seen.get(place, 0) + count

    def _check(self) -> None:
        if not self.fronts:
            raise SimulationError("no proxy is fed by the registries that were asked")
        if not self.flows:
            raise SimulationError(
                "no proxy has reported requests yet; ask again while traffic runs"
            )
        if not self.endpoints:
            raise SimulationError("no healthy endpoint is known")


def flows_without(plan: Plan, lost_region: str) -> dict[str, list[Flow]]:
    """Which flows reach which proxy once a region is lost, by the directory's own rule.

    Args:
        plan: the running system.
        lost_region: empty for none.

    Raises:
        SimulationError: no front is left.
    """
    if not lost_region:
        return {proxy: list(flows) for proxy, flows in plan.flows.items()}
    ready = {ReadyFront(*front) for front in plan.fronts.values() if front.region != lost_region}
    if not ready:
        raise SimulationError(f"without {lost_region} no front is left")
    by_front = {front.address: proxy for proxy, front in plan.fronts.items()}
    moved = {
        proxy: list(flows)
        for proxy, flows in plan.flows.items()
        if plan.fronts[proxy].region != lost_region
    }
    for proxy, flows in plan.flows.items():
        _, zone, region = plan.fronts[proxy]
        if region != lost_region:
            continue
        takers = choose_fronts(zone, region, ready).fronts
        for flow in flows:
            for address in takers:
                part = flow._replace(per_s=flow.per_s / len(takers))
                moved.setdefault(by_front[address], []).append(part)
    return moved

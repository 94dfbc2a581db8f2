"""Rehearses the loss of a region: the real rules of steering on a model of the system, beside the
real traffic.
"""

import heapq
import random

from stagevale.balancing.chooser import Chooser
from stagevale.balancing.snapshot import Limits, ProxyMember, Route, Service, Snapshot
from stagevale.balancing.target import Target
from stagevale.forwarding.forwarder import REJECT_SHARE
from stagevale.leases.lease import Lease
from stagevale.placement.fronts import ReadyFront, fronts_for

PURE, EFFECTFUL = "repeatable", "at most once"


class RehearsalFailure(Exception):
    """Why there is nothing to rehearse; the message names what is missing."""


class Flow:
    """Requests of one route that reach one front."""

    __slots__ = ("route", "service", "per_s", "work_ms", "bytes", "went")

    def __init__(self, route, service, per_s, work_ms, bytes, went):
        self.route = route
        self.service = service
        self.per_s = per_s
        self.work_ms = work_ms
        self.bytes = bytes
        self.went = went


class Tally:
    """What became of the requests of one route."""

    __slots__ = ("kind", "requests", "in_aim", "late", "refused", "zones", "runs")

    def __init__(self, kind):
        self.kind = kind
        self.requests = self.in_aim = self.late = self.refused = self.runs = 0
        self.zones = {}

    def row(self, region_of):
        regions = {}
        for zone, count in self.zones.items():
            regions[region_of.get(zone, "?")] = regions.get(region_of.get(zone, "?"), 0) + count
        sent = max(1, sum(self.zones.values()))
        requests = max(1, self.requests)
        return {
            "kind": self.kind,
            "requests": self.requests,
            "inAim": round(self.in_aim / requests, 3),
            "late": round(self.late / requests, 3),
            "refused": round(self.refused / requests, 3),
            "regions": {
                region: round(count / sent, 3) for region, count in sorted(regions.items())
            },
            "zones": {zone: round(count / sent, 3) for zone, count in sorted(self.zones.items())},
            "mostRunsOfAJob": self.runs,
        }


class Plan:
    """The stand of the running system, as the tools read it, made ready for the model."""

    __slots__ = (
        "region_of",
        "endpoints",
        "fronts",
        "flows",
        "speeds",
        "rtt_ms",
        "routes",
        "services",
        "evacuated",
        "bounds",
        "seen",
    )

    def __init__(self, stands, config, bounds):
        self.region_of = {}
        self.endpoints, self.fronts, self.flows, self.speeds, self.rtt_ms = {}, {}, {}, {}, {}
        self.bounds = bounds
        self.seen = {}
        self.evacuated = frozenset(stands[0]["evacuated"]) if stands else frozenset()
        self.routes = {row["name"]: Route(row) for row in config["routes"]}
        self.services = {row["name"]: Service(row) for row in config["services"]}
        speeds = {}
        for stand in stands:
            self.region_of.update(stand["zones"])
            for row in stand["endpoints"]:
                if row["state"] == "ready" and row["healthy"]:
                    self.endpoints[row["id"]] = row
            for row in stand["proxies"]:
                self.fronts[row["address"]] = (row["front"], row["zone"], row["region"])
                if not row["report"]:
                    continue
                span_ms, flows, learned, ways = row["report"][:4]
                for id, speed in learned:
                    speeds.setdefault(id, []).append(speed)
                self.rtt_ms[row["zone"]] = dict(ways)
                for name, service, _pure, work_ms, size, went in flows:
                    went = dict(went)
                    went.pop("again", None)
                    requests = sum(went.values())
                    if name in self.routes and requests:
                        self.flows.setdefault(row["address"], []).append(
                            Flow(
                                self.routes[name],
                                service,
                                requests * 1000.0 / max(1, span_ms),
                                work_ms,
                                size,
                                went,
                            )
                        )
                        tally = self.seen.setdefault(name, {})
                        for zone, count in went.items():
                            tally[zone] = tally.get(zone, 0) + count
        for id, values in speeds.items():
            self.speeds[id] = sum(values) / len(values)
        if not self.fronts:
            raise RehearsalFailure("no proxy is fed by the registries that were asked")
        if not self.flows:
            raise RehearsalFailure(
                "no proxy has reported requests yet; ask again while traffic runs"
            )
        if not self.endpoints:
            raise RehearsalFailure("no healthy endpoint is known")


class Place:
    """What the steering rules want to know of their surroundings, for one modelled front."""

    __slots__ = ("settings", "random", "zone", "region", "bounds")

    def __init__(self, zone, region, bounds, rng):
        self.settings = self
        self.zone, self.region, self.bounds, self.random = zone, region, bounds, rng


class Trial:
    """One request in the model."""

    __slots__ = (
        "route",
        "service",
        "start_ms",
        "tried",
        "expected_ms",
        "flow",
        "front",
        "runs",
        "homes",
        "preferred_id",
    )

    def __init__(self, flow, front, start_ms):
        self.flow, self.front = flow, front
        self.route, self.service = flow.route, flow.service
        self.homes = (flow.route.homes,) if flow.route.homes else ()
        self.preferred_id = None
        self.start_ms, self.tried, self.expected_ms, self.runs = start_ms, (), None, 0


class Front:
    """A modelled proxy: the real chooser, its own view of every endpoint."""

    __slots__ = ("chooser", "snapshot", "zone", "region")

    def __init__(self, plan, address, zone, region, proxies, lost, flows, rng):
        self.zone, self.region = zone, region
        self.chooser = Chooser(Place(zone, region, plan.bounds, rng), address, Lease(plan.bounds))
        self.chooser.estimates.rtt_ms = dict(plan.rtt_ms.get(zone, {}))
        tables = {}
        for row in plan.endpoints.values():
            its_region = plan.region_of.get(row["zone"], "")
            if its_region == lost:
                continue
            target = Target(
                row["id"], row["service"], row["address"], row["zone"], its_region, row["slots"]
            )
            target.speed = plan.speeds.get(row["id"], 1.0)
            tables.setdefault(row["service"], []).append(target)
        for flow in flows:
            self.chooser.estimates.work[flow.route.name] = flow.work_ms
            self.chooser.estimates.bytes[flow.route.name] = flow.bytes
        counted = [(flow.bytes, flow.per_s) for flow in flows]
        if counted:
            self.chooser.estimates.mean_bytes = max(
                1.0, sum(b * n for b, n in counted) / max(0.001, sum(n for _, n in counted))
            )
        self.snapshot = Snapshot(
            0,
            {},
            plan.services,
            Limits({}),
            plan.evacuated,
            {service: tuple(targets) for service, targets in tables.items()},
            proxies,
        )

    def way_ms(self, target):
        """How long a message takes from here to the endpoint."""
        return (
            0.0
            if target.region == self.region
            else self.chooser.estimates.rtt_ms.get(target.region, 0.0) / 2
        )


def shifted(plan, lost):
    """Which flows reach which front once a region is lost, by the directory's own rule."""
    if not lost:
        return {address: list(flows) for address, flows in plan.flows.items()}
    ready = {ReadyFront(*row) for row in plan.fronts.values() if row[2] != lost}
    if not ready:
        raise RehearsalFailure(f"without {lost} no front is left")
    by_front = {row[0]: address for address, row in plan.fronts.items()}
    moved = {
        address: list(flows)
        for address, flows in plan.flows.items()
        if plan.fronts[address][2] != lost
    }
    for address, flows in plan.flows.items():
        _, zone, region = plan.fronts[address]
        if region != lost:
            continue
        takers = fronts_for(zone, region, ready)
        for flow in flows:
            for front in takers:
                moved.setdefault(by_front[front], []).append(
                    Flow(
                        flow.route,
                        flow.service,
                        flow.per_s / len(takers),
                        flow.work_ms,
                        flow.bytes,
                        flow.went,
                    )
                )
    return moved


def rehearse(plan, lost="", seconds=20, seed=1):
    """Plays requests at the rates seen against the modelled endpoints; returns a tally for each
    route.
    """
    rng = random.Random(seed)
    flows = shifted(plan, lost)
    alive = {address: row for address, row in plan.fronts.items() if row[2] != lost}
    proxies = tuple(
        ProxyMember(address, zone, region) for address, (_, zone, region) in sorted(alive.items())
    )
    fronts = {
        address: Front(plan, address, zone, region, proxies, lost, flows.get(address, ()), rng)
        for address, (_, zone, region) in alive.items()
    }
    running = dict.fromkeys(plan.endpoints, 0)
    queues = {id: [] for id in plan.endpoints}
    tallies = {}
    events, order = [], 0

    def put(at_ms, kind, *what):
        nonlocal order
        order += 1
        heapq.heappush(events, (at_ms, order, kind, what))

    def start(trial, target, now_ms):
        running[target.id] += 1
        work_ms = trial.flow.work_ms * plan.speeds.get(target.id, 1.0) * rng.uniform(0.5, 1.5)
        put(now_ms + work_ms, "done", trial, target)

    def offer(trial, now_ms):
        front = fronts[trial.front]
        target = front.chooser.choose(trial, front.snapshot, now_ms)
        tally = tallies.setdefault(trial.route.name, Tally(PURE if trial.route.pure else EFFECTFUL))
        if target is None:
            if now_ms - trial.start_ms >= trial.route.target_ms * REJECT_SHARE:
                tally.requests += 1
                tally.refused += 1
            else:
                put(now_ms + trial.route.target_ms * REJECT_SHARE / 4, "offer", trial)
            return
        trial.runs += 1
        tally.runs = max(tally.runs, trial.runs)
        tally.zones[target.zone] = tally.zones.get(target.zone, 0) + 1
        target.took(now_ms)
        put(now_ms + front.way_ms(target), "arrive", trial, target)

    for address, rows in sorted(flows.items()):
        for flow in rows:
            if address in fronts and flow.per_s > 0:
                put(rng.expovariate(flow.per_s) * 1000.0, "request", flow, address)
    end_ms = seconds * 1000.0
    while events:
        now_ms, _, kind, what = heapq.heappop(events)
        if kind == "request":
            flow, address = what
            if now_ms < end_ms:
                offer(Trial(flow, address, now_ms), now_ms)
                put(now_ms + rng.expovariate(flow.per_s) * 1000.0, "request", flow, address)
        elif kind == "offer":
            offer(what[0], now_ms)
        elif kind == "arrive":
            trial, target = what
            if running[target.id] < target.slots:
                start(trial, target, now_ms)
            else:
                queues[target.id].append((trial, target))
        else:
            trial, target = what
            running[target.id] -= 1
            target.gave(now_ms)
            target.told(running[target.id], len(queues[target.id]), now_ms)
            if queues[target.id]:
                start(*queues[target.id].pop(0), now_ms)
            front = fronts[trial.front]
            tally = tallies[trial.route.name]
            tally.requests += 1
            if now_ms + front.way_ms(target) - trial.start_ms <= trial.route.target_ms:
                tally.in_aim += 1
            else:
                tally.late += 1
    return tallies


def report(plan, lost, seconds, seed):
    """The rehearsal as a table: for each kind and route where requests go now, in the model, and
    without the region.
    """
    regions = set(plan.region_of.values())
    if lost not in regions:
        raise RehearsalFailure(f"no region {lost}; there are {', '.join(sorted(regions))}")
    calm, after = rehearse(plan, "", seconds, seed), rehearse(plan, lost, seconds, seed)
    routes = []
    for name in sorted(after, key=lambda name: (after[name].kind, name)):
        seen = Tally(after[name].kind)
        seen.zones = plan.seen.get(name, {})
        homes = plan.routes[name].homes
        routes.append(
            {
                "route": name,
                "kind": after[name].kind,
                "seen": seen.row(plan.region_of)["regions"],
                "calm": calm[name].row(plan.region_of) if name in calm else None,
                "lost": after[name].row(plan.region_of),
                "homes": sorted(homes),
                "homeLeft": not homes or bool(homes - {lost}),
            }
        )
    return {
        "region": lost,
        "seconds": seconds,
        "seed": seed,
        "routes": routes,
        "fronts": {
            address: round(sum(flow.per_s for flow in flows), 1)
            for address, flows in sorted(shifted(plan, lost).items())
        },
    }

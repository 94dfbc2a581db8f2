"""Rehearses the loss of a region: the real rules of steering on a model of the system, beside the real traffic."""
import heapq
import random

from stagevale.balancing import Chooser, Target
from stagevale.balancing.digest import Digest, Limits, Route, Service
from stagevale.placement import frontsFor
from stagevale.relaying import SHED_SHARE

PURE, EFFECTFUL = "repeatable", "at most once"


class RehearsalProblem(Exception):
    """Why there is nothing to rehearse; the message names what is missing."""


class Flow:
    """Jobs of one route that reach one front."""

    __slots__ = ("route", "service", "perS", "workMs", "bytes", "went")

    def __init__(self, route, service, perS, workMs, bytes, went):
        self.route = route
        self.service = service
        self.perS = perS
        self.workMs = workMs
        self.bytes = bytes
        self.went = went


class Tally:
    """What became of the jobs of one route."""

    __slots__ = ("kind", "jobs", "inAim", "late", "shed", "areas", "runs")

    def __init__(self, kind):
        self.kind = kind
        self.jobs = self.inAim = self.late = self.shed = self.runs = 0
        self.areas = {}

    def row(self, regionOf):
        regions = {}
        for area, count in self.areas.items():
            regions[regionOf.get(area, "?")] = regions.get(regionOf.get(area, "?"), 0) + count
        sent = max(1, sum(self.areas.values()))
        jobs = max(1, self.jobs)
        return {"kind": self.kind, "jobs": self.jobs, "inAim": round(self.inAim / jobs, 3),
                "late": round(self.late / jobs, 3), "shed": round(self.shed / jobs, 3),
                "regions": {region: round(count / sent, 3) for region, count in sorted(regions.items())},
                "areas": {area: round(count / sent, 3) for area, count in sorted(self.areas.items())},
                "mostRunsOfAJob": self.runs}


class Plan:
    """The stand of the running system, as the tools read it, made ready for the model."""

    __slots__ = ("regionOf", "endpoints", "fronts", "flows", "speeds", "rttMs", "routes", "services", "evacuated",
                 "bounds", "seen")

    def __init__(self, stands, config, bounds):
        self.regionOf = {}
        self.endpoints, self.fronts, self.flows, self.speeds, self.rttMs = {}, {}, {}, {}, {}
        self.bounds = bounds
        self.seen = {}
        self.evacuated = frozenset(stands[0]["evacuated"]) if stands else frozenset()
        self.routes = {row["name"]: Route(row) for row in config["routes"]}
        self.services = {row["name"]: Service(row) for row in config["services"]}
        speeds = {}
        for stand in stands:
            self.regionOf.update(stand["areas"])
            for row in stand["endpoints"]:
                if row["state"] == "ready" and row["sound"]:
                    self.endpoints[row["id"]] = row
            for row in stand["proxies"]:
                self.fronts[row["address"]] = (row["front"], row["area"], row["region"])
                if not row["report"]:
                    continue
                spanMs, flows, learned, ways = row["report"][:4]
                for id, speed in learned:
                    speeds.setdefault(id, []).append(speed)
                self.rttMs[row["area"]] = dict(ways)
                for name, service, pure, workMs, size, went in flows:
                    went = dict(went)
                    went.pop("again", None)
                    jobs = sum(went.values())
                    if name in self.routes and jobs:
                        self.flows.setdefault(row["address"], []).append(
                            Flow(self.routes[name], service, jobs * 1000.0 / max(1, spanMs), workMs, size, went))
                        tally = self.seen.setdefault(name, {})
                        for area, count in went.items():
                            tally[area] = tally.get(area, 0) + count
        for id, values in speeds.items():
            self.speeds[id] = sum(values) / len(values)
        if not self.fronts:
            raise RehearsalProblem("no proxy is fed by the registries that were asked")
        if not self.flows:
            raise RehearsalProblem("no proxy has reported jobs yet; ask again while traffic runs")
        if not self.endpoints:
            raise RehearsalProblem("no sound endpoint is known")


class Place:
    """What the steering rules want to know of their surroundings, for one modelled front."""

    __slots__ = ("settings", "random", "area", "region", "bounds")

    def __init__(self, area, region, bounds, rng):
        self.settings = self
        self.area, self.region, self.bounds, self.random = area, region, bounds, rng


class Trial:
    """One job in the model."""

    __slots__ = ("route", "service", "startMs", "tried", "expectedMs", "flow", "front", "runs", "homes", "prefers")

    def __init__(self, flow, front, startMs):
        self.flow, self.front = flow, front
        self.route, self.service = flow.route, flow.service
        self.homes = (flow.route.homes,) if flow.route.homes else ()
        self.prefers = None
        self.startMs, self.tried, self.expectedMs, self.runs = startMs, (), None, 0


class Front:
    """A modelled proxy: the real chooser, its own view of every endpoint."""

    __slots__ = ("chooser", "digest", "area", "region")

    def __init__(self, plan, address, area, region, proxies, lost, flows, rng):
        self.area, self.region = area, region
        self.chooser = Chooser(Place(area, region, plan.bounds, rng), address)
        self.chooser.rttMs = dict(plan.rttMs.get(area, {}))
        tables = {}
        for row in plan.endpoints.values():
            itsRegion = plan.regionOf.get(row["area"], "")
            if itsRegion == lost:
                continue
            target = Target(row["id"], row["service"], row["address"], row["area"], itsRegion, row["slots"])
            target.speed = plan.speeds.get(row["id"], 1.0)
            tables.setdefault(row["service"], []).append(target)
        for flow in flows:
            self.chooser.work[flow.route.name] = flow.workMs
            self.chooser.bytes[flow.route.name] = flow.bytes
        counted = [(flow.bytes, flow.perS) for flow in flows]
        if counted:
            self.chooser.meanBytes = max(1.0, sum(b * n for b, n in counted) / max(0.001, sum(n for _, n in counted)))
        self.digest = Digest(0, {}, plan.services, Limits({}), plan.evacuated,
                             {service: tuple(targets) for service, targets in tables.items()}, proxies)

    def wayMs(self, target):
        """How long a message takes from here to the endpoint."""
        return 0.0 if target.region == self.region else self.chooser.rttMs.get(target.region, 0.0) / 2


def shifted(plan, lost):
    """Which flows reach which front once a region is lost, by the directory's own rule."""
    if not lost:
        return {address: list(flows) for address, flows in plan.flows.items()}
    ready = {row for row in plan.fronts.values() if row[2] != lost}
    if not ready:
        raise RehearsalProblem(f"without {lost} no front is left")
    byFront = {row[0]: address for address, row in plan.fronts.items()}
    moved = {address: list(flows) for address, flows in plan.flows.items() if plan.fronts[address][2] != lost}
    for address, flows in plan.flows.items():
        _, area, region = plan.fronts[address]
        if region != lost:
            continue
        takers = frontsFor(area, region, ready)
        for flow in flows:
            for front in takers:
                moved.setdefault(byFront[front], []).append(
                    Flow(flow.route, flow.service, flow.perS / len(takers), flow.workMs, flow.bytes, flow.went))
    return moved


def rehearse(plan, lost="", seconds=20, seed=1):
    """Plays jobs at the rates seen against the modelled endpoints; returns a tally for each route."""
    rng = random.Random(seed)
    flows = shifted(plan, lost)
    alive = {address: row for address, row in plan.fronts.items() if row[2] != lost}
    proxies = tuple((address, area, region) for address, (_, area, region) in sorted(alive.items()))
    fronts = {address: Front(plan, address, area, region, proxies, lost, flows.get(address, ()), rng)
              for address, (_, area, region) in alive.items()}
    running = {id: 0 for id in plan.endpoints}
    queues = {id: [] for id in plan.endpoints}
    tallies = {}
    events, order = [], 0

    def put(atMs, kind, *what):
        nonlocal order
        order += 1
        heapq.heappush(events, (atMs, order, kind, what))

    def start(trial, target, nowMs):
        running[target.id] += 1
        workMs = trial.flow.workMs * plan.speeds.get(target.id, 1.0) * rng.uniform(0.5, 1.5)
        put(nowMs + workMs, "done", trial, target)

    def offer(trial, nowMs):
        front = fronts[trial.front]
        target = front.chooser.choose(trial, front.digest, nowMs)
        tally = tallies.setdefault(trial.route.name, Tally(PURE if trial.route.pure else EFFECTFUL))
        if target is None:
            if nowMs - trial.startMs >= trial.route.targetMs * SHED_SHARE:
                tally.jobs += 1
                tally.shed += 1
            else:
                put(nowMs + trial.route.targetMs * SHED_SHARE / 4, "offer", trial)
            return
        trial.runs += 1
        tally.runs = max(tally.runs, trial.runs)
        tally.areas[target.area] = tally.areas.get(target.area, 0) + 1
        target.took(nowMs)
        put(nowMs + front.wayMs(target), "arrive", trial, target)

    for address, rows in sorted(flows.items()):
        for flow in rows:
            if address in fronts and flow.perS > 0:
                put(rng.expovariate(flow.perS) * 1000.0, "job", flow, address)
    endMs = seconds * 1000.0
    while events:
        nowMs, _, kind, what = heapq.heappop(events)
        if kind == "job":
            flow, address = what
            if nowMs < endMs:
                offer(Trial(flow, address, nowMs), nowMs)
                put(nowMs + rng.expovariate(flow.perS) * 1000.0, "job", flow, address)
        elif kind == "offer":
            offer(what[0], nowMs)
        elif kind == "arrive":
            trial, target = what
            if running[target.id] < target.slots:
                start(trial, target, nowMs)
            else:
                queues[target.id].append((trial, target))
        else:
            trial, target = what
            running[target.id] -= 1
            target.gave(nowMs)
            target.told(running[target.id], len(queues[target.id]), nowMs)
            if queues[target.id]:
                start(*queues[target.id].pop(0), nowMs)
            front = fronts[trial.front]
            tally = tallies[trial.route.name]
            tally.jobs += 1
            if nowMs + front.wayMs(target) - trial.startMs <= trial.route.targetMs:
                tally.inAim += 1
            else:
                tally.late += 1
    return tallies


def report(plan, lost, seconds, seed):
    """The rehearsal as a table: for each kind and route where jobs go now, in the model, and without the region."""
    regions = set(plan.regionOf.values())
    if lost not in regions:
        raise RehearsalProblem(f"no region {lost}; there are {', '.join(sorted(regions))}")
    calm, after = rehearse(plan, "", seconds, seed), rehearse(plan, lost, seconds, seed)
    routes = []
    for name in sorted(after, key=lambda name: (after[name].kind, name)):
        seen = Tally(after[name].kind)
        seen.areas = plan.seen.get(name, {})
        homes = plan.routes[name].homes
        routes.append({"route": name, "kind": after[name].kind,
                       "seen": seen.row(plan.regionOf)["regions"],
                       "calm": calm[name].row(plan.regionOf) if name in calm else None,
                       "lost": after[name].row(plan.regionOf),
                       "homes": sorted(homes), "homeLeft": not homes or bool(homes - {lost})})
    return {"region": lost, "seconds": seconds, "seed": seed, "routes": routes,
            "fronts": {address: round(sum(flow.perS for flow in flows), 1)
                       for address, flows in sorted(shifted(plan, lost).items())}}

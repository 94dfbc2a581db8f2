"""Balancing: which endpoint a job goes to, and whether it may go to any."""
import heapq
import zlib

from stagevale.registrations import READY

COLD_PROXIES = 2
AREA_COST = 0.1
REGION_COST = 0.4
LATE_COST = 2.0
LATE_MARGIN = 1.4
SILENCE_COST = 2.0
SILENCE_EXPECTED = 2.0
QUEUE_FACTOR = 2.0
KEEP_COST = 0.7


class Target:
    """One life of an endpoint as this proxy uses it: what is told of it and what was learned by use."""

    __slots__ = ("id", "service", "address", "area", "region", "slots", "state", "sound", "coldSeq", "coldUntilMs",
                 "outstanding", "idle", "open", "speed", "others", "othersMs", "ejectUntilMs", "problems", "coldSent",
                 "gone", "silentSinceMs", "answeredMs", "agreedOf", "agreed", "software")

    def __init__(self, id, service, address, area, region, slots, software=""):
        self.id = id
        self.service = service
        self.address = address
        self.area = area
        self.region = region
        self.slots = max(1, slots)
        self.state = READY
        self.sound = True
        self.coldSeq = 0
        self.coldUntilMs = 0.0
        self.outstanding = 0
        self.idle = []
        self.open = 0
        self.speed = 1.0
        self.others = 0.0
        self.othersMs = 0.0
        self.ejectUntilMs = 0.0
        self.problems = 0
        self.coldSent = []
        self.gone = False
        self.silentSinceMs = 0.0
        self.answeredMs = 0.0
        self.agreedOf = None
        self.agreed = False
        self.software = software

    def took(self, nowMs):
        """Counts a job that is given to the endpoint."""
        if self.outstanding == 0:
            self.silentSinceMs = nowMs
        self.outstanding += 1

    def gave(self, nowMs):
        """Counts a job that the endpoint is done with."""
        self.outstanding -= 1
        self.silentSinceMs = nowMs

    def silentMs(self, nowMs):
        """For how long the endpoint has had jobs and given nothing back."""
        return nowMs - self.silentSinceMs if self.outstanding > 0 else 0.0

    def load(self, nowMs):
        """Jobs thought to be at the endpoint now: this proxy's and, fading, what others had there."""
        ageMs = nowMs - self.othersMs
        return self.outstanding + (self.others * max(0.0, 1.0 - ageMs / 1500.0) if self.others else 0.0)

    def told(self, running, waiting, nowMs):
        """Takes in a `Server-Load`."""
        self.others = max(0.0, running + waiting - self.outstanding)
        self.othersMs = nowMs

    def failed(self, nowMs, baseMs, warmupMs, outage):
        """Notes passive evidence against the endpoint: it rests for a while, and may come back cold."""
        self.problems += 1
        if outage or self.problems >= 3:
            self.ejectUntilMs = nowMs + baseMs * min(8, 2 ** max(0, self.problems - 1))
        if outage:
            self.coldUntilMs = max(self.coldUntilMs, self.ejectUntilMs + warmupMs)

    def served(self):
        self.problems = 0


class Chooser:
    """Chooses among allowed endpoints by expected time, nearness and own outstanding jobs."""

    __slots__ = ("context", "work", "address", "rttMs", "bytes", "meanBytes", "serviceWork", "policy", "lease",
                 "steering")

    def __init__(self, context, address):
        self.context = context
        self.address = address
        self.work = {}
        self.rttMs = {}
        self.bytes = {}
        self.meanBytes = 2000.0
        self.serviceWork = {}
        self.policy = None
        self.lease = None
        self.steering = None

    def workMs(self, route):
        """What a job of this route takes at an endpoint of usual speed, as learned."""
        return self.work.get(route.name) or route.targetMs * 0.25

    def weigh(self, route, size):
        """Learns how many bytes a job of this route moves, against the mean of all jobs."""
        known = self.bytes.get(route.name)
        self.bytes[route.name] = size if known is None else known + 0.05 * (size - known)
        self.meanBytes += 0.01 * (size - self.meanBytes)

    def bulk(self, route):
        """How dear it is to carry a job of this route far: its bytes against the mean, within bounds."""
        return min(3.0, max(0.3, self.bytes.get(route.name, self.meanBytes) / self.meanBytes))

    def learn(self, route, target, tookMs, wasQueued):
        """Learns from a served job."""
        work = self.workMs(route)
        rtt = self.rttMs.get(target.region)
        if target.region != self.context.settings.region:
            tookMs -= min(rtt if rtt is not None else 0.0, tookMs * 0.8)
        if wasQueued:
            return
        mixed = self.serviceWork.get(target.service)
        plainMs = tookMs / target.speed
        self.serviceWork[target.service] = plainMs if mixed is None else mixed + 0.03 * (plainMs - mixed)
        ratio = min(8.0, max(0.15, tookMs / work))
        target.speed += 0.15 * (ratio - target.speed)
        self.work[route.name] = work + 0.05 * (tookMs / target.speed - work)

    def connected(self, target, tookMs):
        """Learns the way to a region from how long opening a stream took."""
        known = self.rttMs.get(target.region)
        self.rttMs[target.region] = tookMs if known is None else known + 0.2 * (tookMs - known)

    def wayMs(self, target):
        """About how long a job's bytes take to an endpoint."""
        if target.region == self.context.settings.region:
            return 0.0
        return self.rttMs.get(target.region, 0.0) / 2.0

    def mayUseCold(self, target, digest, service, nowMs):
        """While an endpoint is cold only few, agreed proxies use it, each with its share of what it bears."""
        if not self.agreed(target, digest):
            return False
        target.coldSent = [sentMs for sentMs in target.coldSent if nowMs - sentMs < 1100.0]
        bounds = self.context.settings.bounds
        most = (service.coldPerS * bounds.coldExcess + bounds.coldMargin) * 0.6
        share = max(1, int(min(service.coldPerS, most) / COLD_PROXIES))
        return len(target.coldSent) < share

    def agreed(self, target, digest):
        """True where this proxy is among the few that use the endpoint while it is cold; looked up once for each set of
        proxies, since a large fleet would be sorted for each cold endpoint at each request."""
        if target.agreedOf is not digest.proxies:
            target.agreedOf = digest.proxies
            ranked = heapq.nsmallest(COLD_PROXIES, digest.proxies, key=lambda proxy: (
                proxy[1] != target.area, proxy[2] != target.region, zlib.crc32(f"{target.id} {proxy[0]}".encode())))
            target.agreed = any(proxy[0] == self.address for proxy in ranked)
        return target.agreed

    def choose(self, job, digest, nowMs):
        """The target for a job, or None; sets how long the best would take in `job.expectedMs`. Under a rollout a job of
        the new side that finds none there goes to the stable one."""
        rollout = digest.rollouts.get(job.service) if digest.rollouts else None
        targets = digest.targets.get(job.service, ())
        if rollout is None:
            return self.chooseSteered(targets, job, digest, nowMs)
        if self.lease.holds(nowMs) and rollout.side(job.splitKey()):
            target = self.chooseSteered([t for t in targets if rollout.allows(1, t.software)], job, digest, nowMs)
            if target is not None:
                return target
        return self.chooseSteered([t for t in targets if rollout.allows(0, t.software)], job, digest, nowMs)

    def chooseSteered(self, targets, job, digest, nowMs):
        """Where steering is on, the best target of the region that the job is steered to, if it has a free slot; else
        the best of all."""
        if self.steering is None:
            return self.chooseAmong(targets, job, digest, nowMs)
        region = self.steeredTo(job, targets, digest, nowMs)
        target = self.chooseAmong([t for t in targets if t.region == region], job, digest, nowMs, region)
        if target is not None and target.load(nowMs) < target.slots:
            return target
        return self.chooseAmong(targets, job, digest, nowMs, region)

    def mayUse(self, target, digest, nowMs):
        """Looks again, at the moment of writing, whether a rollout lets this endpoint take anything."""
        rollout = digest.rollouts.get(target.service) if digest.rollouts else None
        return (rollout is None or rollout.allows(0, target.software)
                or rollout.allows(1, target.software) and self.lease.holds(nowMs))

    def steeredTo(self, job, targets, digest, nowMs):
        """The region that this job is steered to, among those in which it may be served at all."""
        regions = {target.region for target in targets
                   if target.state == READY and not target.gone and target.sound and target.area not in digest.evacuated
                   and not any(target.region not in homes for homes in job.homes)}
        return self.steering.choose(job.service, regions, self.workMs(job.route), job.route.targetMs, self.bulk(job.route),
                                    job.route.pure, nowMs, self.context.settings.bounds.contactMs / 80.0)

    def chooseAmong(self, targets, job, digest, nowMs, steered=None):
        """The target with the least cost among these, or None."""
        route = job.route
        settings = self.context.settings
        work = self.workMs(route)
        service = digest.services.get(job.service)
        if service is None:
            return None
        mixed = self.serviceWork.get(job.service, work)
        bulk = self.bulk(route)
        leftMs = route.targetMs - (nowMs - job.startMs)
        best, bestCost = None, None
        job.expectedMs = None
        share = max(2, service.maxConns // (len(digest.proxies) + 2))
        for target in targets:
            if (target.state != READY or target.gone or not target.sound or target.area in digest.evacuated
                    or target.id in job.tried or any(target.region not in homes for homes in job.homes)
                    or nowMs < target.ejectUntilMs):
                continue
            load = target.load(nowMs)
            if target.outstanding >= target.slots * QUEUE_FACTOR or load >= target.slots * 3:
                continue
            if not target.idle and target.open >= share:
                continue
            if nowMs < target.coldUntilMs and not self.mayUseCold(target, digest, service, nowMs):
                continue
            ahead = max(0.0, load + 1 - target.slots) / target.slots
            speed = target.speed
            if steered is not None and nowMs - target.answeredMs > self.steering.memory_ms:
                speed = self.steering.slowness(job.service, target.region, nowMs)
            tookMs = speed * (work + mixed * ahead)
            if nowMs < target.coldUntilMs:
                tookMs *= 2.0
            cost = tookMs
            if target.region != settings.region:
                rtt = self.rttMs.get(target.region, settings.bounds.contactMs / 80.0)
                tookMs += rtt if target.idle else 2 * rtt
                cost = tookMs + (route.targetMs * REGION_COST * bulk if steered is None
                                 else self.steering.price_ms(target.region, route.targetMs, bulk))
            elif target.area != settings.area:
                cost = tookMs + route.targetMs * AREA_COST * bulk
            if steered is not None and target.region != steered:
                cost += route.targetMs * REGION_COST
            if target.id == job.prefers:
                cost *= KEEP_COST
            cost += SILENCE_COST * max(0.0, target.silentMs(nowMs) - SILENCE_EXPECTED * mixed * target.speed)
            cost += max(0.0, tookMs * LATE_MARGIN - leftMs) * LATE_COST
            if self.policy is not None:
                cost = self.policy.cost(job, target, cost, load)
            cost *= 1.0 + 0.05 * self.context.random.random()
            if bestCost is None or cost < bestCost:
                best, bestCost = target, cost
                job.expectedMs = tookMs
        return best

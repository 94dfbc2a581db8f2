"""Which endpoint a request goes to, and whether it may go to any."""

import heapq
import zlib

from stagevale.discovery.instance import InstanceState
from stagevale.rollouts.rollout import Side

COLD_PROXIES = 2
ZONE_COST = 0.1
REGION_COST = 0.4
LATE_COST = 2.0
LATE_MARGIN = 1.4
SILENCE_COST = 2.0
SILENCE_EXPECTED = 2.0
QUEUE_FACTOR = 2.0
KEEP_COST = 0.7


class Chooser:
    """Chooses among allowed endpoints by expected time, nearness and own outstanding requests."""

    __slots__ = (
        "context",
        "work",
        "address",
        "rtt_ms",
        "bytes",
        "mean_bytes",
        "service_work",
        "policy",
        "lease",
        "steering",
    )

    def __init__(self, context, address):
        self.context = context
        self.address = address
        self.work = {}
        self.rtt_ms = {}
        self.bytes = {}
        self.mean_bytes = 2000.0
        self.service_work = {}
        self.policy = None
        self.lease = None
        self.steering = None

    def work_ms(self, route):
        """What a request of this route takes at an endpoint of usual speed, as learned."""
        return self.work.get(route.name) or route.target_ms * 0.25

    def weigh(self, route, size):
        """Learns how many bytes a request of this route moves, against the mean of all requests."""
        known = self.bytes.get(route.name)
        self.bytes[route.name] = size if known is None else known + 0.05 * (size - known)
        self.mean_bytes += 0.01 * (size - self.mean_bytes)

    def bulk(self, route):
        """How dear it is to carry a request of this route far: its bytes against the mean, within
        bounds.
        """
        return min(3.0, max(0.3, self.bytes.get(route.name, self.mean_bytes) / self.mean_bytes))

    def learn(self, route, target, took_ms, was_queued):
        """Learns from a served request."""
        work = self.work_ms(route)
        rtt = self.rtt_ms.get(target.region)
        if target.region != self.context.settings.region:
            took_ms -= min(rtt if rtt is not None else 0.0, took_ms * 0.8)
        if was_queued:
            return
        mixed = self.service_work.get(target.service)
        plain_ms = took_ms / target.speed
        self.service_work[target.service] = (
            plain_ms if mixed is None else mixed + 0.03 * (plain_ms - mixed)
        )
        ratio = min(8.0, max(0.15, took_ms / work))
        target.speed += 0.15 * (ratio - target.speed)
        self.work[route.name] = work + 0.05 * (took_ms / target.speed - work)

    def connected(self, target, took_ms):
        """Learns the way to a region from how long opening a connection took."""
        known = self.rtt_ms.get(target.region)
        self.rtt_ms[target.region] = took_ms if known is None else known + 0.2 * (took_ms - known)

    def way_ms(self, target):
        """About how long a request's bytes take to an endpoint."""
        if target.region == self.context.settings.region:
            return 0.0
        return self.rtt_ms.get(target.region, 0.0) / 2.0

    def may_use_cold(self, target, snapshot, service, now_ms):
        """While an endpoint is cold only few, agreed proxies use it, each with its share of what it
        bears.
        """
        if not self.agreed(target, snapshot):
            return False
        target.cold_sent = [sent_ms for sent_ms in target.cold_sent if now_ms - sent_ms < 1100.0]
        bounds = self.context.settings.bounds
        most = (service.cold_per_s * bounds.cold_excess + bounds.cold_margin) * 0.6
        share = max(1, int(min(service.cold_per_s, most) / COLD_PROXIES))
        return len(target.cold_sent) < share

    def agreed(self, target, snapshot):
        """True where this proxy is among the few that use the endpoint while it is cold; looked up
        once for each set of proxies, since a large fleet would be sorted for each cold endpoint at
        each request.
        """
        if target.agreed_of is not snapshot.proxies:
            target.agreed_of = snapshot.proxies
            ranked = heapq.nsmallest(
                COLD_PROXIES,
                snapshot.proxies,
                key=lambda proxy: (
                    proxy[1] != target.zone,
                    proxy[2] != target.region,
                    zlib.crc32(f"{target.id} {proxy[0]}".encode()),
                ),
            )
            target.agreed = any(proxy[0] == self.address for proxy in ranked)
        return target.agreed

    def choose(self, request, snapshot, now_ms):
        """The target for a request, or None; sets how long the best would take in
        `request.expected_ms`. Under a rollout a request of the new side that finds none there, or
        that is tried again while the new version is on trial, goes to the stable one.
        """
        rollout = snapshot.rollouts.get(request.service) if snapshot.rollouts else None
        targets = snapshot.targets.get(request.service, ())
        if rollout is None:
            return self.choose_steered(targets, request, snapshot, now_ms)
        sides = (
            [Side.NEW, Side.STABLE]
            if self.lease.is_held(now_ms) and rollout.side_of(request.split_key())
            else [Side.STABLE]
        )
        if request.tried and rollout.is_judged:
            sides.reverse()
        for side in sides:
            target = self.choose_steered(
                [t for t in targets if rollout.allows(side, t.software)], request, snapshot, now_ms
            )
            if target is not None:
                return target
        return None

    def choose_steered(self, targets, request, snapshot, now_ms):
        """Where steering is on, the best target of the region that the request is steered to, if it
        has a free slot; else the best of all.
        """
        if self.steering is None:
            return self.choose_among(targets, request, snapshot, now_ms)
        region = self.steered_to(request, targets, snapshot, now_ms)
        target = self.choose_among(
            [t for t in targets if t.region == region], request, snapshot, now_ms, region
        )
        if target is not None and target.load(now_ms) < target.slots:
            return target
        return self.choose_among(targets, request, snapshot, now_ms, region)

    def may_use(self, target, snapshot, now_ms):
        """Looks again, at the moment of writing, whether a rollout lets this endpoint take
        anything.
        """
        rollout = snapshot.rollouts.get(target.service) if snapshot.rollouts else None
        return (
            rollout is None
            or rollout.allows(Side.STABLE, target.software)
            or rollout.allows(Side.NEW, target.software)
            and self.lease.is_held(now_ms)
        )

    def steered_to(self, request, targets, snapshot, now_ms):
        """The region that this request is steered to, among those in which it may be served at
        all.
        """
        regions = {
            target.region
            for target in targets
            if target.state == InstanceState.READY
            and not target.gone
            and target.healthy
            and target.zone not in snapshot.evacuated
            and not any(target.region not in homes for homes in request.homes)
        }
        return self.steering.choose(
            request.service,
            regions,
            self.work_ms(request.route),
            request.route.target_ms,
            self.bulk(request.route),
            request.route.pure,
            now_ms,
            self.context.settings.bounds.contact_ms / 80.0,
        )

    def choose_among(self, targets, request, snapshot, now_ms, steered=None):
        """The target with the least cost among these, or None."""
        route = request.route
        settings = self.context.settings
        work = self.work_ms(route)
        service = snapshot.services.get(request.service)
        if service is None:
            return None
        mixed = self.service_work.get(request.service, work)
        bulk = self.bulk(route)
        left_ms = route.target_ms - (now_ms - request.start_ms)
        best, best_cost = None, None
        request.expected_ms = None
        share = max(2, service.max_conns // (len(snapshot.proxies) + 2))
        for target in targets:
            if (
                target.state != InstanceState.READY
                or target.gone
                or not target.healthy
                or target.zone in snapshot.evacuated
                or target.id in request.tried
                or any(target.region not in homes for homes in request.homes)
                or now_ms < target.eject_until_ms
            ):
                continue
            load = target.load(now_ms)
            if target.outstanding >= target.slots * QUEUE_FACTOR or load >= target.slots * 3:
                continue
            if not target.idle and target.open >= share:
                continue
            if now_ms < target.cold_until_ms and not self.may_use_cold(
                target, snapshot, service, now_ms
            ):
                continue
            ahead = max(0.0, load + 1 - target.slots) / target.slots
            speed = target.speed
            if steered is not None and now_ms - target.answered_ms > self.steering.memory_ms:
                speed = self.steering.slowness(request.service, target.region, now_ms)
            took_ms = speed * (work + mixed * ahead)
            if now_ms < target.cold_until_ms:
                took_ms *= 2.0
            cost = took_ms
            if target.region != settings.region:
                rtt = self.rtt_ms.get(target.region, settings.bounds.contact_ms / 80.0)
                took_ms += rtt if target.idle else 2 * rtt
                cost = took_ms + (
                    route.target_ms * REGION_COST * bulk
                    if steered is None
                    else self.steering.price_ms(target.region, route.target_ms, bulk)
                )
            elif target.zone != settings.zone:
                cost = took_ms + route.target_ms * ZONE_COST * bulk
            if steered is not None and target.region != steered:
                cost += route.target_ms * REGION_COST
            if target.id == request.prefers:
                cost *= KEEP_COST
            cost += SILENCE_COST * max(
                0.0, target.silent_ms(now_ms) - SILENCE_EXPECTED * mixed * target.speed
            )
            cost += max(0.0, took_ms * LATE_MARGIN - left_ms) * LATE_COST
            if self.policy is not None:
                cost = self.policy.cost(request, target, cost, load)
            cost *= 1.0 + 0.05 * self.context.random.random()
            if best_cost is None or cost < best_cost:
                best, best_cost = target, cost
                request.expected_ms = took_ms
        return best

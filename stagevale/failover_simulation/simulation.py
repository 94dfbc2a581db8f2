"""Plays requests at the rates seen against the modelled endpoints."""

import heapq
import random
from collections import deque
from collections.abc import Callable

from stagevale.balancing.snapshot import ProxyMember
from stagevale.balancing.target import Target
from stagevale.failover_simulation.model import SimulatedProxy, SimulatedRequest
from stagevale.failover_simulation.plan import Flow, Plan, flows_without
from stagevale.failover_simulation.tally import EFFECTFUL, IDEMPOTENT, Tally
from stagevale.forwarding.forwarder import REJECT_SHARE
from stagevale.runtime.clock import MS_PER_S

DEFAULT_SECONDS = 20
# A request that finds no endpoint is offered again so often before it is rejected.
OFFERS_BEFORE_REJECTION = 4
# How the work of single requests varies around the mean of their route.
WORK_JITTER = (0.5, 1.5)

Event = Callable[[float], None]


class Simulation:
    """A discrete-event simulation of proxies and endpoints.

    Attributes:
        tallies: what became of the requests, by route.
    """

    __slots__ = (
        "plan",
        "rng",
        "flows",
        "proxies",
        "tallies",
        "_events",
        "_order",
        "_running",
        "_queues",
        "_end_ms",
    )

    def __init__(self, plan: Plan, lost_region: str, seconds: float, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.flows = flows_without(plan, lost_region)
        self.tallies: dict[str, Tally] = {}
        self.proxies = self._make_proxies(lost_region)
        self._events: list[tuple[float, int, Event]] = []
        self._order = 0
        self._running = dict.fromkeys(plan.endpoints, 0)
        self._queues: dict[str, deque[tuple[SimulatedRequest, Target]]] = {
            id: deque() for id in plan.endpoints
        }
        self._end_ms = seconds * MS_PER_S

    def _make_proxies(self, lost_region: str) -> dict[str, SimulatedProxy]:
        fronts = {
            proxy: front for proxy, front in self.plan.fronts.items() if front.region != lost_region
        }
        members = {
            proxy: ProxyMember(proxy, front.zone, front.region) for proxy, front in fronts.items()
        }
        everyone = tuple(members[proxy] for proxy in sorted(members))
        return {
            proxy: SimulatedProxy(
                self.plan, member, everyone, lost_region, self.flows.get(proxy, []), self.rng
            )
            for proxy, member in members.items()
        }

    def run(self) -> dict[str, Tally]:
        """Plays the requests, and those that are under way at the end; returns the tallies."""
        for proxy, flows in sorted(self.flows.items()):
            for flow in flows:
                if proxy in self.proxies and flow.per_s > 0:
                    self._schedule_arrival(0.0, flow, proxy)
        while self._events:
            now_ms, _, event = heapq.heappop(self._events)
            event(now_ms)
        return self.tallies

    def _schedule(self, at_ms: float, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_ms, self._order, event))

    def _schedule_arrival(self, now_ms: float, flow: Flow, proxy: str) -> None:
        def arrive(now_ms: float) -> None:
            if now_ms < self._end_ms:
                self._offer(SimulatedRequest(flow, proxy, now_ms), now_ms)
                self._schedule_arrival(now_ms, flow, proxy)

        self._schedule(now_ms + self.rng.expovariate(flow.per_s) * MS_PER_S, arrive)

    def _tally(self, request: SimulatedRequest) -> Tally:
        tally = self.tallies.get(request.route.name)
        if tally is None:
            tally = Tally(IDEMPOTENT if request.route.pure else EFFECTFUL)
            self.tallies[request.route.name] = tally
        return tally

    def _offer(self, request: SimulatedRequest, now_ms: float) -> None:
        """Sends a request to the endpoint that its proxy chooses, or offers it again later."""
        proxy = self.proxies[request.proxy]
        target = proxy.chooser.choose(request, proxy.snapshot, now_ms)
        tally = self._tally(request)
        if target is None:
            patience_ms = request.route.target_ms * REJECT_SHARE
            if now_ms - request.start_ms >= patience_ms:
                tally.add_rejected()
                return
            again_ms = now_ms + patience_ms / OFFERS_BEFORE_REJECTION
            self._schedule(again_ms, lambda now_ms: self._offer(request, now_ms))
            return
        request.runs += 1
        tally.add_sent(target.zone, request.runs)
        target.took(now_ms)
        arrival_ms = now_ms + proxy.one_way_ms(target)
        self._schedule(arrival_ms, lambda now_ms: self._arrive(request, target, now_ms))

    def _arrive(self, request: SimulatedRequest, target: Target, now_ms: float) -> None:
        if self._running[target.id] < target.slots:
            self._start(request, target, now_ms)
        else:
            self._queues[target.id].append((request, target))

    def _start(self, request: SimulatedRequest, target: Target, now_ms: float) -> None:
        self._running[target.id] += 1
        speed = self.plan.speeds.get(target.id, 1.0)
        work_ms = request.flow.work_ms * speed * self.rng.uniform(*WORK_JITTER)
        self._schedule(now_ms + work_ms, lambda now_ms: self._finish(request, target, now_ms))

    def _finish(self, request: SimulatedRequest, target: Target, now_ms: float) -> None:
        queue = self._queues[target.id]
        self._running[target.id] -= 1
        target.gave(now_ms)
        target.told(self._running[target.id], len(queue), now_ms)
        if queue:
            waiting, at_target = queue.popleft()
            self._start(waiting, at_target, now_ms)
        answer_ms = now_ms + self.proxies[request.proxy].one_way_ms(target)
        is_in_time = answer_ms - request.start_ms <= request.route.target_ms
        self._tally(request).add_answered(is_in_time)


def simulate(
    plan: Plan, lost_region: str = "", seconds: float = DEFAULT_SECONDS, seed: int = 1
) -> dict[str, Tally]:
    """Simulates traffic without a region.

    Args:
        plan: the running system.
        lost_region: empty for none.
        seconds: for how long requests begin.
        seed: of the randomness; the same seed gives the same tallies.

    Raises:
        SimulationError: no front is left.
    """
    return Simulation(plan, lost_region, seconds, seed).run()

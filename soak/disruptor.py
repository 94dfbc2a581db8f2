"""Carries out the disruptions of a run, each at its time; they overlap as they were drawn."""

import asyncio
from collections.abc import Awaitable, Callable

from soak import bounds
from soak.clock import MS_PER_S, now_ms
from soak.deployment import CORE_PROGRAMS, EDGE_PROGRAMS, Deployment, Machine
from soak.endpoints import EndpointPool
from soak.history import History
from soak.operators import Operators
from soak.plan import Disruption, Kind

# How long after its time the last disruption may still wait its turn.
TURN_MS = 1000.0
EDGE_KINDS = (Kind.TERM_PROXY, Kind.KILL_PROXY, Kind.FREEZE_PROXY, Kind.HUP_PROXY)
RELOADS = (Kind.HUP_PROXY, Kind.HUP_CORE)
FROZEN_PROGRAMS = {
    Kind.FREEZE_PROXY: EDGE_PROGRAMS,
    Kind.FREEZE_CORE: CORE_PROGRAMS,
    Kind.FREEZE_REGISTRY: ("registry",),
    Kind.FREEZE_STORE: ("store",),
}


class Disruptor:
    """Brings disruptions about.

    A core machine is lost until `syncS` after it is back; as many as `tolerance` allows, which is
    one, are lost at once, so a further one waits its turn, and is left out once the time for
    disruptions is over.
    """

    def __init__(
        self,
        deployment: Deployment,
        endpoints: EndpointPool,
        operators: Operators,
        history: History,
    ) -> None:
        self.deployment = deployment
        self.endpoints = endpoints
        self.operators = operators
        self.history = history
        self._core_lost = asyncio.Lock()
        self._last_ms = 0.0

    async def run(self, disruptions: list[Disruption], began_ms: float) -> None:
        """Carries them out; returns once all are over."""
        last_s = max((disruption.at_s for disruption in disruptions), default=0.0)
        self._last_ms = began_ms + last_s * MS_PER_S
        async with asyncio.TaskGroup() as tasks:
            for disruption in disruptions:
                tasks.create_task(self._at_its_time(disruption, began_ms))

    async def _at_its_time(self, disruption: Disruption, began_ms: float) -> None:
        await asyncio.sleep(max(0.0, disruption.at_s - (now_ms() - began_ms) / MS_PER_S))
        self.history.say(f"disruption: {disruption.kind} {disruption.number} {disruption.for_s}")
        await self._carry_out(disruption)

    async def _carry_out(self, disruption: Disruption) -> None:
        number, for_s = disruption.number, disruption.for_s
        match disruption.kind:
            case Kind.CHANGE:
                await self.operators.change()
            case Kind.EVACUATE:
                await self.operators.evacuate(number, for_s)
            case Kind.DRAIN:
                await self.endpoints.depart(number, leaves_first=False)
            case Kind.LEAVE:
                await self.endpoints.depart(number, leaves_first=True)
            case Kind.CRASH_ENDPOINT:
                await self.endpoints.crash(number)
            case _:
                await self._at_a_machine(disruption)

    async def _at_a_machine(self, disruption: Disruption) -> None:
        """Does to a machine what its daemons' signals are."""
        deployment, kind = self.deployment, disruption.kind
        machines = deployment.edges if kind in EDGE_KINDS else deployment.core
        machine = machines[disruption.number % len(machines)]
        if kind == Kind.KILL_ALL_CORE:
            await self._at_core(machine, self._kill_all_core)
            return
        if kind in RELOADS:
            if not machine.busy:
                deployment.reload(machine)
            return
        signals: dict[Kind, Callable[[Machine], Awaitable[None]]] = {
            Kind.TERM_PROXY: deployment.terminate,
            Kind.TERM_CORE: deployment.terminate,
            Kind.KILL_PROXY: deployment.kill,
            Kind.KILL_CORE: deployment.kill,
        }
        frozen = FROZEN_PROGRAMS.get(kind, ())
        do = signals.get(kind, _freeze(deployment, frozen, disruption.for_s))
        await (self._at_edge if kind in EDGE_KINDS else self._at_core)(machine, do)

    async def _kill_all_core(self, _machine: Machine) -> None:
        async with asyncio.TaskGroup() as tasks:
            for machine in self.deployment.core:
                tasks.create_task(self.deployment.kill(machine))

    async def _at_edge(self, machine: Machine, what: Callable[[Machine], Awaitable[None]]) -> None:
        if not machine.busy:
            await what(machine)

    async def _at_core(self, machine: Machine, what: Callable[[Machine], Awaitable[None]]) -> None:
        async with self._core_lost:
            if now_ms() > self._last_ms + TURN_MS:
                return
            await what(machine)
            await asyncio.sleep(bounds.SYNC_S)


def _freeze(
    deployment: Deployment, programs: tuple[str, ...], for_s: float
) -> Callable[[Machine], Awaitable[None]]:
    return lambda machine: deployment.freeze(machine, programs, for_s)

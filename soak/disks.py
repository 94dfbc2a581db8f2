"""Series of ends, kills, absences, lost power and lost disks, from the first acknowledgement on: is what
was acknowledged read once all machines are back?
"""

import asyncio
import enum
import random
from typing import NamedTuple

from soak import bounds
from soak.clock import now_ms
from soak.deployment import Deployment, Machine
from soak.errors import FormationError
from soak.evidence import Break, Evidence
from soak.history import History
from soak.operators import Operators
from soak.plan import Size
from soak.rules import tallies
from soak.tallies import TallyCallers

CORE_SIZES = (3, 5)
STEPS = 8
PAUSES_S = (0.0, 0.1, 0.5, 1.5, 3.0)
# A machine that stays away for longer than eight `contactMs` once lost its seat.
ABSENCES_S = (0.3, 1.0, 4.0, 10.0)
LONG_ABSENCE_S = 45.0
LONG_SHARE = 0.1
POWER_PAUSE_S = 0.8


class DiskKind(enum.StrEnum):
    """What happens to a core machine, or to all of them."""

    END = "end"
    KILL = "kill"
    WIPE = "wipe"
    POWER = "power"


class DiskStep(NamedTuple):
    """One step of a series.

    Attributes:
        pause_s: before it.
        kind: what is done.
        number: to which machine.
        away_s: how long that stays away.
    """

    pause_s: float
    kind: DiskKind
    number: int
    away_s: float


class DiskPlan(NamedTuple):
    """A series over a core of so many machines, of whose disks so many may be lost in all."""

    seed: int
    core: int
    tolerated: int
    steps: tuple[DiskStep, ...]


class DiskOutcome(NamedTuple):
    """What became of a series.

    Attributes:
        acknowledged: the newest acknowledged version, 0 for none.
        read: the version that was read at the end, or None.
        breaks: what broke of the tallies.
        log: what happened.
    """

    acknowledged: int
    read: int | None
    breaks: list[Break]
    log: list[str]

    @property
    def held(self) -> bool:
        """True where everything acknowledged is there."""
        return self.read is not None and self.read >= self.acknowledged and not self.breaks


def draw_plan(seed: int) -> DiskPlan:
    """The series of a seed; disks are lost up to what a core of this size tolerates."""
    draw = random.Random(f"disks {seed}")
    core = draw.choice(CORE_SIZES)
    tolerated = (core - 1) // 2
    steps, lost = [], 0
    for _ in range(STEPS):
        kind = draw.choice(
            [DiskKind.END, DiskKind.KILL, DiskKind.WIPE, DiskKind.WIPE, DiskKind.POWER]
        )
        if kind is DiskKind.WIPE and lost == tolerated:
            kind = DiskKind.KILL
        lost += kind is DiskKind.WIPE
        is_long = draw.random() < LONG_SHARE
        away_s = LONG_ABSENCE_S if is_long else draw.choice(ABSENCES_S)
        steps.append(DiskStep(draw.choice(PAUSES_S), kind, draw.randrange(core), away_s))
    return DiskPlan(seed, core, tolerated, tuple(steps))


async def play_disks(plan: DiskPlan) -> DiskOutcome:
    """Plays a series.

    Raises:
        SoakError: it couldn't be played.
    """
    history = History()
    size = Size(proxies=1, core=plan.core, endpoints=0)
    deployment = Deployment(size, history, plan.tolerated)
    operators = Operators(deployment, history, plan.seed)
    callers = TallyCallers(deployment, history, plan.seed)
    try:
        deployment.start_all()
        if not await operators.change():
            raise FormationError("the first configuration wasn't taken")
        deployment.end_first_start()
        adding = asyncio.create_task(callers.run())
        series = DiskSeries(deployment)
        for step in plan.steps:
            await asyncio.sleep(step.pause_s)
            series.strike(step)
            await operators.change()
        await series.all_back()
        await asyncio.sleep(bounds.RECOVERY_S)
        adding.cancel()
        read = await operators.read_version()
        await callers.read_at_the_end()
        return _outcome(history, [machine.name for machine in deployment.core], read)
    finally:
        deployment.close(keep=False)


class DiskSeries:
    """Strikes machines; each comes back by itself. A machine that is away isn't struck again, but for
    a loss of power, which all share.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self._away: dict[str, asyncio.Task[None]] = {}

    def strike(self, step: DiskStep) -> None:
        """Begins one step."""
        core = self.deployment.core
        struck = core if step.kind is DiskKind.POWER else [core[step.number % len(core)]]
        away_s = POWER_PAUSE_S if step.kind is DiskKind.POWER else step.away_s
        self.deployment.history.say(
            f"{step.kind} {[machine.name for machine in struck]} for {away_s} s"
        )
        for machine in struck:
            task = self._away.get(machine.name)
            if task is None or task.done():
                leave = self._leave(machine, step.kind, away_s)
                self._away[machine.name] = asyncio.create_task(leave)

    async def _leave(self, machine: Machine, kind: DiskKind, away_s: float) -> None:
        deployment = self.deployment
        if kind is DiskKind.END:
            await deployment.terminate(machine, away_s)
        else:
            await deployment.kill(machine, away_s, wipe=kind is DiskKind.WIPE)

    async def all_back(self) -> None:
        """Waits until every machine is back."""
        await asyncio.gather(*self._away.values())


def _outcome(history: History, core: list[str], read: int | None) -> DiskOutcome:
    acknowledged = [c.version for c in history.changes if c.acknowledged_ms is not None]
    breaks = tallies.check(Evidence(history, core))
    log = history.between(history.began_ms, now_ms())
    return DiskOutcome(max(acknowledged, default=0), read, breaks, log)

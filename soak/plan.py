"""What a run does: its size, and the disruptions that are drawn from its seed."""

import enum
import json
import pathlib
import random
from typing import NamedTuple


class Size(NamedTuple):
    """How large a deployment is."""

    proxies: int = 3
    core: int = 3
    endpoints: int = 9


class Plan(NamedTuple):
    """A run: `seconds` of traffic, with disruptions in all but the last `QUIET_S`."""

    seed: int
    seconds: float
    size: Size


class Kind(enum.StrEnum):
    """The kinds of disruption; the texts stand in replay files."""

    TERM_PROXY = "term_proxy"
    KILL_PROXY = "kill_proxy"
    HUP_PROXY = "hup_proxy"
    FREEZE_PROXY = "freeze_proxy"
    TERM_CORE = "term_core"
    KILL_CORE = "kill_core"
    HUP_CORE = "hup_core"
    FREEZE_CORE = "freeze_core"
    FREEZE_REGISTRY = "freeze_registry"
    FREEZE_STORE = "freeze_store"
    CHANGE = "change"
    EVACUATE = "evacuate"
    DRAIN = "drain"
    LEAVE = "leave"
    CRASH_ENDPOINT = "crash_endpoint"
    KILL_ALL_CORE = "kill_all_core"


class Disruption(NamedTuple):
    """One disruption.

    Attributes:
        at_s: seconds from the start of traffic.
        kind: what is done.
        number: to which machine, zone or endpoint; taken modulo how many there are.
        for_s: how long it lasts, where it lasts.
    """

    at_s: float
    kind: Kind
    number: int
    for_s: float


class Series(NamedTuple):
    """How often a kind is drawn, how many follow one another, and how far apart, in seconds."""

    weight: int
    most: int
    gap_s: tuple[float, float]
    for_s: tuple[float, float] = (0.0, 0.0)


# Before the first disruption, and after the last, nothing is disturbed.
CALM_S = 5.0
QUIET_S = 8.0
SERIES_EVERY_S = 2.0
LEAST_KINDS = 2
# Unplanned trouble excuses much: so many runs have planned work only.
PLANNED_SHARE = 0.5
PLANNED = (
    Kind.TERM_PROXY,
    Kind.HUP_PROXY,
    Kind.TERM_CORE,
    Kind.HUP_CORE,
    Kind.CHANGE,
    Kind.EVACUATE,
    Kind.DRAIN,
    Kind.LEAVE,
)
SERIES = {
    Kind.TERM_PROXY: Series(6, 4, (0.5, 6.0)),
    Kind.KILL_PROXY: Series(2, 2, (0.2, 3.0)),
    Kind.HUP_PROXY: Series(2, 4, (0.05, 1.0)),
    Kind.FREEZE_PROXY: Series(1, 2, (0.5, 2.0), (0.3, 4.0)),
    Kind.TERM_CORE: Series(2, 3, (4.0, 9.0)),
    Kind.KILL_CORE: Series(2, 2, (3.0, 9.0)),
    Kind.HUP_CORE: Series(1, 3, (0.05, 1.0)),
    Kind.FREEZE_CORE: Series(2, 2, (2.0, 7.0), (0.5, 5.0)),
    Kind.FREEZE_REGISTRY: Series(2, 3, (0.5, 4.0), (0.3, 3.0)),
    Kind.FREEZE_STORE: Series(2, 3, (0.5, 4.0), (0.3, 3.0)),
    Kind.CHANGE: Series(5, 5, (0.1, 3.0)),
    Kind.EVACUATE: Series(4, 3, (0.3, 7.0), (0.3, 9.0)),
    Kind.DRAIN: Series(4, 4, (0.1, 2.0)),
    Kind.LEAVE: Series(3, 3, (0.1, 2.0)),
    Kind.CRASH_ENDPOINT: Series(1, 2, (0.1, 2.0)),
    Kind.KILL_ALL_CORE: Series(1, 1, (0.0, 0.0)),
}
MOST_NUMBER = 10_000


def draw_disruptions(plan: Plan) -> list[Disruption]:
    """The disruptions of a run, by its seed: series that overlap, in the order of their times.

    A run has some of the kinds only: where the core is disturbed all the while nobody is in touch,
    and most rules ask nothing.
    """
    draw = random.Random(f"disruptions {plan.seed}")
    end_s = plan.seconds - QUIET_S
    pool = list(PLANNED) if draw.random() < PLANNED_SHARE else list(SERIES)
    kinds = draw.sample(pool, draw.randint(LEAST_KINDS, len(pool) // 2))
    weights = [SERIES[kind].weight for kind in kinds]
    drawn: list[Disruption] = []
    for _ in range(max(1, int((end_s - CALM_S) / SERIES_EVERY_S))):
        (kind,) = draw.choices(kinds, weights)
        series = SERIES[kind]
        at_s = draw.uniform(CALM_S, end_s)
        number = draw.randrange(MOST_NUMBER)
        for _ in range(draw.randint(1, series.most)):
            if at_s > end_s:
                break
            for_s = min(draw.uniform(*series.for_s), end_s - at_s)
            drawn.append(Disruption(round(at_s, 3), kind, number, round(for_s, 3)))
            at_s += draw.uniform(*series.gap_s)
            if draw.random() < 1 / 2:
                number += 1
    return sorted(drawn)


def save_replay(path: pathlib.Path, plan: Plan, disruptions: list[Disruption]) -> None:
    """Writes what a run did, for `read_replay`."""
    table = {
        "seed": plan.seed,
        "seconds": plan.seconds,
        "size": plan.size._asdict(),
        "disruptions": [list(disruption) for disruption in disruptions],
    }
    path.write_text(json.dumps(table, indent=1), encoding="utf-8")


def read_replay(path: pathlib.Path) -> tuple[Plan, list[Disruption]]:
    """Reads what `save_replay` wrote."""
    table = json.loads(path.read_text(encoding="utf-8"))
    plan = Plan(table["seed"], table["seconds"], Size(**table["size"]))
    rows = table["disruptions"]
    return plan, [Disruption(at_s, Kind(kind), *rest) for at_s, kind, *rest in rows]

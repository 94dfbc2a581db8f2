"""Plays one run: a deployment, its clients, endpoints and operators, and what disturbs them."""

import asyncio
import json
from collections.abc import Coroutine
from typing import Any, NamedTuple

from soak.clients import make_clients, served_share
from soak.clock import MS_PER_S, now_ms
from soak.configuration import SERVICES
from soak.control import call
from soak.deployment import Deployment
from soak.disruptor import Disruptor
from soak.endpoints import EndpointPool
from soak.errors import FormationError
from soak.evidence import Break, Evidence
from soak.history import History
from soak.http_client import is_success
from soak.judge import judge
from soak.machine_memory import check_memory
from soak.operators import Operators
from soak.plan import QUIET_S, Disruption, Plan
from soak.starvation import watch
from soak.tallies import TallyCallers

FORMATION_LIMIT_S = 60.0
FORMATION_POLL_S = 0.1
MEMORY_POLL_S = 1.0
CANCEL_POLL_S = 0.2
CLIENTS_EACH_PROXY = 5
LEAST_CLIENTS = 12
# What one process can play beside its daemons.
MOST_CLIENTS = 36
# The share that is served at the end is that of the last seconds.
LAST_S = 4.0


class Outcome(NamedTuple):
    """What became of a run.

    Attributes:
        plan, disruptions: what was played.
        history: what was seen.
        breaks: what broke.
        served, served_last: shares of the requests answered with success, in all and at the end.
        in_touch: share of the requests that were sent to machines in touch.
        peaks_mb: the largest memory of each program's daemons at the end.
        logs: the last log lines of the machines that broke something.
    """

    plan: Plan
    disruptions: list[Disruption]
    history: History
    breaks: list[Break]
    served: float
    served_last: float
    in_touch: float
    peaks_mb: dict[str, int]
    logs: dict[str, list[str]]


async def play(
    plan: Plan, disruptions: list[Disruption], keep: bool = False, most_upload_mb: int = 0
) -> Outcome:
    """Plays a run and judges it.

    Args:
        plan: its size and length.
        disruptions: what disturbs it.
        keep: whether the daemons' files are kept.
        most_upload_mb: the largest upload; 0 for small ones only.

    Raises:
        SoakError: it couldn't be played.
    """
    history = History()
    deployment = Deployment(plan.size, history)
    pool = EndpointPool(deployment, history, SERVICES, plan.seed)
    operators = Operators(deployment, history, plan.seed)
    try:
        await form(deployment, pool, operators, plan)
        clients = make_clients(
            deployment,
            history,
            plan.seed,
            min(MOST_CLIENTS, max(LEAST_CLIENTS, CLIENTS_EACH_PROXY * plan.size.proxies)),
            most_upload_mb,
        )
        background: list[Coroutine[Any, Any, None]] = [client.run() for client in clients]
        callers = TallyCallers(deployment, history, plan.seed)
        background += [watch(deployment, history), operators.read_now_and_then(), callers.run()]
        tasks = [asyncio.create_task(each) for each in background]
        began_ms = now_ms()
        disruptor = Disruptor(deployment, pool, operators, history)
        await _while_memory_lasts(disruptor.run(disruptions, began_ms))
        rest_s = max(QUIET_S, plan.seconds - (now_ms() - began_ms) / MS_PER_S)
        await _while_memory_lasts(asyncio.sleep(rest_s))
        last_ms = now_ms() - LAST_S * MS_PER_S
        await operators.read_version()
        await callers.read_at_the_end()
        await _cancel(tasks)
        return _outcome(plan, disruptions, deployment, history, last_ms)
    finally:
        pool.close()
        deployment.close(keep)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    """Cancels tasks until all have ended: `asyncio.wait_for` passes a cancellation over where what
    it waits for is done in the same moment.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_POLL_S)


def _outcome(
    plan: Plan,
    disruptions: list[Disruption],
    deployment: Deployment,
    history: History,
    last_ms: float,
) -> Outcome:
    evidence = Evidence(history, [machine.name for machine in deployment.core])
    breaks = judge(evidence)
    logs = {name: deployment.last_log_lines(name) for name in {each.machine for each in breaks}}
    return Outcome(
        plan,
        disruptions,
        history,
        breaks,
        served_share(history, history.began_ms, last_ms),
        served_share(history, last_ms, last_ms + LAST_S * MS_PER_S),
        evidence.in_touch_share(),
        deployment.peaks_mb(),
        logs,
    )


async def _while_memory_lasts(work: Coroutine[Any, Any, None]) -> None:
    """Does some work, watching the machine's memory."""
    task = asyncio.create_task(work)
    try:
        while not task.done():
            await asyncio.wait([task], timeout=MEMORY_POLL_S)
            check_memory()
        await task
    finally:
        await _cancel([task])


async def form(
    deployment: Deployment, pool: EndpointPool, operators: Operators, plan: Plan
) -> None:
    """Starts everything and waits until all members are up and proxies ready."""
    deployment.start_all()
    if not await operators.change():
        raise FormationError("the first configuration wasn't taken")
    await pool.start(plan.size.endpoints)
    until_ms = now_ms() + FORMATION_LIMIT_S * MS_PER_S
    while not await _is_formed(deployment):
        if now_ms() > until_ms:
            raise FormationError("not all members are up")
        await asyncio.sleep(FORMATION_POLL_S)
    deployment.end_first_start()


async def _is_formed(deployment: Deployment) -> bool:
    members = sum(len(machine.programs) for machine in deployment.machines)
    for machine in deployment.core:
        reply = await call(machine.listen["control"], "GET", "/v1/stand")
        if not is_success(reply.status):
            return False
        status = json.loads(reply.body)
        up = [row for row in status["members"] if row["state"] == "up"]
        if len(up) != members or not status["inContact"]:
            return False
    for machine in deployment.edges:
        reply = await call(machine.listen["ready"], "GET", "/v1/readiness")
        if not is_success(reply.status):
            return False
    return True

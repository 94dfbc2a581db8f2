"""Notices when this machine was too busy to run the daemons, or the run itself, in time."""

import asyncio
import pathlib

from soak.clock import now_ms
from soak.deployment import Deployment
from soak.history import History, Span

SAMPLE_S = 0.5
# A process that waited for a processor so long within a sample is slowed more than threefold.
STARVED_MS = 350.0
NS_PER_MS = 1_000_000


def run_delay_ms(process_id: int) -> float | None:
    """How long a process has waited for a processor so far; None where it is gone."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/schedstat").read_text(encoding="ascii")
    except OSError:
        return None
    return int(text.split()[1]) / NS_PER_MS


async def watch(deployment: Deployment, history: History) -> None:
    """Notes spans of starvation, and processes that ended by themselves, until it is cancelled."""
    before: dict[int, float] = {}
    while True:
        begin_ms = now_ms()
        await asyncio.sleep(SAMPLE_S)
        end_ms = now_ms()
        if end_ms - begin_ms > SAMPLE_S * 1000 + STARVED_MS:
            history.spans.append(Span("", "the run itself was starved", begin_ms, end_ms))
        deployment.note_own_ends()
        for machine in deployment.machines:
            for process in machine.processes.values():
                delay_ms = run_delay_ms(process.pid)
                if delay_ms is None:
                    continue
                if delay_ms - before.get(process.pid, 0.0) > STARVED_MS:
                    history.spans.append(Span(machine.name, "starved", begin_ms, end_ms))
                before[process.pid] = delay_ms

"""DRAIN: an acknowledged `leave` is forgotten when all processes of the core are killed after it."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand"))

from client import send_once  # noqa: E402
from deployment import ZONES, CannotRunError, now_ms, play  # noqa: E402
from endpoint import Endpoint  # noqa: E402

HOST = "blocks.example"
PER_S = 20
DOWN_S = 0.5
# The endpoint serves on for longer than `drainCutoffMs`, "at times many seconds".
SERVES_ON_S = 12.0
CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": [
        {
            "name": "block-lookup",
            "host": HOST,
            "pathPrefix": "/block/",
            "variant": "pure",
            "timeoutMs": 1200,
            "targetMs": 500,
            "priority": 2,
            "service": "blockbook",
            "maxAttempts": 2,
        }
    ],
    "services": [
        {"name": "blockbook", "healthPath": "/health", "maxConns": 130, "warmupS": 3, "coldPerS": 6}
    ],
    "limits": {
        "headerMaxBytes": 16384,
        "bodyMaxBytes": 67108864,
        "headerReadMs": 3000,
        "idleMs": 15000,
    },
}


async def case(record, deploy, trouble):
    deployment = deploy()
    await deployment.form(CONFIG)
    endpoints = [
        Endpoint(deployment, record, number, "blockbook", zone, lambda *_: 20)
        for number, zone in enumerate(ZONES)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.wait_until("all proxies are ready", deployment.all_ready)
    deployment.forget_first_start()
    await asyncio.sleep(6.0)
    going = True
    sent = {}

    async def ask(edge):
        at_ms = now_ms()
        id, answer = await send_once(edge.listen["front"], "GET", HOST, "/block/1", 1200)
        sent[id] = (at_ms, edge.name, answer[0] if answer else None)

    async def traffic():
        tasks = []
        while going:
            tasks += [asyncio.create_task(ask(edge)) for edge in deployment.edges]
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    clients = asyncio.create_task(traffic())
    await asyncio.sleep(2.0)
    leaver = endpoints[0]
    before = len(leaver.runs)
    left_ms = await leaver.leave()
    if left_ms is None:
        raise CannotRunError("no daemon took the leave call")
    started_ms = left_ms
    if trouble:
        for machine in deployment.core:
            for program in machine.programs:
                deployment.signal(machine, program, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in deployment.core:
            for program in machine.programs:
                machine.processes[program].wait()
                deployment.start(machine, program)
        started_ms = now_ms()
    await asyncio.sleep(max(0.0, SERVES_ON_S - (now_ms() - left_ms) / 1000))
    going = False
    await clients
    await leaver.end()
    gone = deployment.ended_by_themselves()
    record.say(f"programs that ended by themselves: {gone or 'none'}")

    # Machines are in touch again `contactMs` after the last start of a core machine.
    touch_ms = started_ms + (deployment.bounds["contactMs"] if trouble else 0)
    cutoff_ms = left_ms + deployment.bounds["drainCutoffMs"]
    late = [run for run in leaver.runs if run.at_ms > cutoff_ms]
    broke = []
    for run in late:
        at_ms, edge, status = sent.get(run.attempt_id, (0.0, "?", None))
        record(
            f"{leaver.id} runs {run.attempt_id} {run.at_ms - left_ms:.0f} ms after its leave was "
            f"acknowledged; sent to {edge} {at_ms - started_ms:.0f} ms after the core's start: "
            f"{status}"
        )
        if at_ms > touch_ms:
            broke.append(run)
    answers = {}
    for _, _, status in sent.values():
        answers[status] = answers.get(status, 0) + 1
    record.say(f"requests by answer: {answers}; run by {leaver.id} before it left: {before}")
    record.say(
        f"run by it later than drainCutoffMs after the acknowledgement: {len(late)}, "
        f"of which taken by machines in touch: {len(broke)}"
    )
    return bool(broke)


sys.exit(play(case, FOLDER))

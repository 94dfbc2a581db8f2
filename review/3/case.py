"""LOST: a proxy that gets SIGTERM goes on reading a pipelined connection, then cuts it."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand"))

from client import Pipeline  # noqa: E402
from deployment import ZONES, CannotRunError, call, now_ms, play  # noqa: E402
from endpoint import Endpoint  # noqa: E402

HOST = "reports.example"
TIMEOUT_MS = 2500
CALM_S = 6.0
BEFORE_S = 2.0
CLIENTS = 6
DEPTH = 3
CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": [
        {
            "name": "season-report",
            "host": HOST,
            "pathPrefix": "/season/",
            "variant": "pure",
            "timeoutMs": TIMEOUT_MS,
            "targetMs": 1000,
            "priority": 2,
            "service": "vintagestore",
            "maxAttempts": 2,
        }
    ],
    "services": [
        {
            "name": "vintagestore",
            "healthPath": "/health",
            "maxConns": 130,
            "warmupS": 3,
            "coldPerS": 6,
        }
    ],
    "limits": {
        "headerMaxBytes": 16384,
        "bodyMaxBytes": 67108864,
        "headerReadMs": 3000,
        "idleMs": 15000,
    },
}


def work_ms(_fields, line, _body):
    return 400 if b"/season/long" in line else 40


async def case(record, deploy, trouble):
    deployment = deploy()
    await deployment.form(CONFIG)
    endpoints = [
        Endpoint(deployment, record, number, "vintagestore", zone, work_ms, slots=8)
        for number, zone in enumerate(list(ZONES) * 2)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.wait_until("all proxies are ready", deployment.all_ready)
    edge = deployment.edges[0]
    # Nothing was killed or started within `contactMs` before the first request.
    await asyncio.sleep(CALM_S)
    status, text = await call(
        deployment.directories(edge.zone)[0],
        "GET",
        f"/v1/resolve?name={HOST}&region={ZONES[edge.zone]}&zone={edge.zone}",
    )
    record.say(f"clients look up {HOST}: {status} {text.decode()}")
    looked_up = json.loads(text) if status == 200 else {}
    if edge.listen["front"] not in looked_up.get("addresses", ()):
        raise CannotRunError("the directory doesn't name the front")
    # "Some clients hold it three times as long": these do, so they look up again only after the end.
    held_s = 3 * min(looked_up["ttlS"], deployment.bounds["ttl_max_s"])
    if held_s < BEFORE_S + deployment.bounds["gracePeriodS"]:
        raise CannotRunError(f"clients would look up again after {held_s} s")
    term_ms = []
    ended = []
    clients = [
        Pipeline(edge.listen["front"], HOST, DEPTH, TIMEOUT_MS, ("/season/long", "/season/short"))
        for _ in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(client.run(lambda: bool(ended))) for client in clients]
    await asyncio.sleep(BEFORE_S)
    if trouble:
        deployment.signal(edge, "proxy", signal.SIGTERM)
    term_ms.append(now_ms())
    await asyncio.sleep(deployment.bounds["gracePeriodS"] + 0.5)
    ended.append(True)
    await asyncio.gather(*tasks)
    process = edge.processes["proxy"]
    record.say(f"proxy's exit code after the grace period: {process.poll()}")
    return judge(record, deployment, clients, endpoints, term_ms[0])


def judge(record, deployment, clients, endpoints, term_ms):
    """Counts requests that an endpoint had, whose connection ended without their answer."""
    grace_ms = deployment.bounds["gracePeriodS"] * 1000
    runs = {run.attempt_id: run for endpoint in endpoints for run in endpoint.runs}
    lost, lost_done, excused = [], [], []
    sent_after = answered = 0
    for client in clients:
        record(
            f"a connection: {len(client.all)} requests, {len(client.waiting)} without an answer, "
            f"told to close: {client.told_to_close}"
        )
        for sent in client.all:
            sent_after += sent.sent_ms > term_ms
            answered += sent.status == 200
            if sent.closed_ms is None:
                continue
            run = runs.get(sent.id)
            held_ms = sent.closed_ms - sent.sent_ms
            done = run is not None and run.ended_ms is not None and run.ended_ms < sent.closed_ms
            record(
                f"cut: {sent.id} {sent.path}, sent {sent.sent_ms - term_ms:.0f} ms after SIGTERM, "
                f"cut at {sent.closed_ms - term_ms:.0f}, passed on: {run is not None}, "
                f"its endpoint was done: {done}"
            )
            if run is None or held_ms >= TIMEOUT_MS:
                continue
            # The excuse: at work in the last sixth of the grace period, sent within 3 s of SIGTERM.
            late = run.ended_ms is None or run.ended_ms - term_ms > grace_ms * 5 / 6
            if late and sent.sent_ms - term_ms <= 3000:
                excused.append(sent)
                continue
            lost.append(sent)
            if done:
                lost_done.append(sent)
    record.say(
        f"requests sent: {sum(len(c.all) for c in clients)}, {sent_after} of them after SIGTERM; "
        f"answered 200: {answered}"
    )
    record.say(
        f"passed on and cut without an answer: {len(lost)} (of which {len(lost_done)} whose "
        f"endpoint had answered), excused: {len(excused)}"
    )
    return bool(lost)


sys.exit(play(case, FOLDER))

"""EVAC: an order that a leader had waiting when it froze is carried out when it wakes."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand"))

from client import send_once  # noqa: E402
from deployment import CannotRunError, call, now_ms, play  # noqa: E402
from endpoint import Endpoint  # noqa: E402

ZONES = {"puget-a": "puget", "willamette-a": "willamette", "inland-a": "inland"}
EMPTIED = "willamette-a"
HOST = "scores.example"
PER_S = 10
# `big_config` of the site's family grows the configuration by up to 1,440 routes.
GROWN_ROUTES = 1440
# `node_freeze` on a leader of the core: 4 s at most on this site.
FREEZE_S = 4.0
# Where the site has other bounds than bmvht-harvest.
BOUNDS = {"ackDeadlineMs": 5000, "syncS": 6, "retryExtra": 154, "coldMargin": 8}
WATCH_S = 14.0


def config(version, parent, timeout_ms=2000):
    routes = [
        {
            "name": "live-ticker",
            "host": HOST,
            "pathPrefix": "/ticker/",
            "variant": "pure",
            "timeoutMs": timeout_ms,
            "targetMs": 500,
            "priority": 1,
            "service": "scoreboard-api",
            "maxAttempts": 2,
        }
    ]
    routes += [
        {
            "name": f"grown-{number}",
            "host": f"grown-{number % 40}.example",
            "pathPrefix": f"/grown/{number}/",
            "variant": "pure",
            "timeoutMs": 2000,
            "targetMs": 500,
            "priority": 2,
            "service": "scoreboard-api",
            "maxAttempts": 2,
            "homeRegions": [],
        }
        for number in range(GROWN_ROUTES)
    ]
    return {
        "version": f"r{version}",
        "parentVersion": f"r{parent}" if parent else 0,
        "routes": routes,
        "services": [
            {
                "name": "scoreboard-api",
                "healthPath": "/health",
                "maxConns": 110,
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


class Order:
    """An order of an operator: goes on to the next daemon after a second of silence or a 5xx."""

    def __init__(self, record, path, body, machines):
        self.record, self.path, self.body = record, path, body
        self.machines = machines
        self.status = self.at_ms = None

    async def give(self):
        began_ms = now_ms()
        pause_s = 0.1
        limit_s = 2.0 if self.body else 1.0
        turn = 0
        while now_ms() - began_ms < 20000:
            machine = self.machines[turn % len(self.machines)]
            turn += 1
            control = machine.listen["control"]
            status, _ = await call(control, "POST", self.path, self.body, limit_s)
            self.record(f"operator: POST {self.path} at {machine.name}: {status}")
            if status is not None and status < 500:
                self.status, self.at_ms = status, now_ms()
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None


async def case(record, deploy, trouble):
    deployment = deploy(zones=ZONES, bounds=BOUNDS)
    await deployment.form(config(1, 0))
    endpoints = [
        Endpoint(deployment, record, number, "scoreboard-api", zone, lambda *_: 20)
        for number, zone in enumerate(ZONES)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    await deployment.wait_until("all proxies are ready", deployment.all_ready)
    deployment.forget_first_start()
    await asyncio.sleep(5.0)
    leader = deployment.leader()
    others = [machine for machine in deployment.core if machine is not leader]
    record.say(f"the configuration's leader is on {leader.name}")
    sent = {}
    going = True

    async def ask(edge):
        at_ms = now_ms()
        id, answer = await send_once(edge.listen["front"], "GET", HOST, "/ticker/1", 2000)
        sent[id] = (at_ms, edge.name, answer[0] if answer else None)

    async def traffic():
        tasks = []
        while going:
            tasks += [asyncio.create_task(ask(edge)) for edge in deployment.edges]
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)

    clients = asyncio.create_task(traffic())
    path = f"/v1/evacuation/{EMPTIED}"
    if await Order(record, f"{path}/begin", None, [leader, *others]).give() != 200:
        raise CannotRunError("the zone can't be emptied")
    await asyncio.sleep(2.0)

    # Two pairs of changes on the same version and, while the leader has them in its queue, the
    # order to take the zone back: five orders at once.
    changes = [
        Order(
            record,
            "/v1/config/replace",
            json.dumps(config(2 + number // 2, 1, 2001 + number)),
            [leader, *others],
        )
        for number in range(4)
    ]
    orders = [asyncio.create_task(change.give()) for change in changes]

    async def answered(count, limit_s):
        until_ms = now_ms() + limit_s * 1000
        while sum(change.status is not None for change in changes) < count:
            if now_ms() > until_ms:
                raise CannotRunError(f"fewer than {count} changes were answered")
            await asyncio.sleep(0.001)

    await answered(1, 3.0)
    finish = Order(record, f"{path}/finish", None, [leader, *others])
    orders.append(asyncio.create_task(finish.give()))
    # The leader has answered one more since: it has read its sockets, and has the order waiting.
    await answered(2, 3.0)
    if finish.status is not None:
        raise CannotRunError("the order was carried out before the freeze")
    if trouble:
        for program in leader.programs:
            deployment.signal(leader, program, signal.SIGSTOP)
        frozen_ms = now_ms()
    while finish.status is None:
        await asyncio.sleep(0.02)
    record.say(f"finish: {finish.status}")
    again = Order(record, f"{path}/begin", None, [*others, leader])
    if finish.status != 200 or await again.give() != 200:
        raise CannotRunError("the zone can't be taken back and emptied again")
    begun_ms = again.at_ms
    record.say(f"{EMPTIED} is emptied again, acknowledged")
    woke_ms = now_ms()
    if trouble:
        left_s = FREEZE_S - (now_ms() - frozen_ms) / 1000
        if left_s <= 0:
            raise CannotRunError(f"no other leader within {FREEZE_S} s")
        await asyncio.sleep(left_s)
        for program in leader.programs:
            deployment.signal(leader, program, signal.SIGCONT)
        woke_ms = now_ms()
    await asyncio.sleep(WATCH_S)
    status, text = await call(others[0].listen["control"], "GET", "/v1/stand")
    evacuated = json.loads(text)["evacuated"] if status == 200 else "?"
    record.say(f"zones that {others[0].name} knows to be evacuated: {evacuated}")
    going = False
    await clients
    await asyncio.gather(*orders)

    touch_ms = woke_ms + deployment.bounds["contactMs"]
    bound_ms = max(touch_ms, begun_ms + deployment.bounds["evacuateMs"])
    broke = []
    for endpoint in endpoints:
        if endpoint.zone != EMPTIED:
            continue
        for run in endpoint.runs:
            at_ms, edge, answer = sent.get(run.attempt_id, (0.0, "?", None))
            if run.at_ms > begun_ms and at_ms > begun_ms:
                record(
                    f"{endpoint.id} in {EMPTIED} runs {run.attempt_id} from {edge}, "
                    f"{run.at_ms - begun_ms:.0f} ms after the acknowledgement: {answer}"
                )
            if at_ms > bound_ms:
                broke.append(run)
    record.say(
        f"requests that reached {EMPTIED} later than evacuateMs after its evacuation was "
        f"acknowledged, sent by machines in touch: {len(broke)}"
    )
    return bool(broke)


sys.exit(play(case, FOLDER))

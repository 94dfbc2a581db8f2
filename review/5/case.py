"""A registry is restarted, and loses its disk right after an add to a tally that it has acknowledged:
is the add still counted?
"""

import asyncio
import json
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

import fleet as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MERGE_S = 3.0
ROUNDS = 5


class Application:
    """Stands in a machine's zone: calls the nearest `control` address first, then the others."""

    def __init__(self, fleet, near):
        self.fleet, self.near = fleet, near
        self.others = [core for core in fleet.core if core is not near]
        self.last = 0
        self.acknowledged = {}
        self.sent = {}

    async def add(self, tally):
        """One add, sent until it is acknowledged; tells who has acknowledged it."""
        self.last += 1
        id = f"{self.near.name}-{self.last:06d}"
        amount = self.last
        self.sent[id] = amount
        body = json.dumps({"id": id, "actor": amount}).encode()
        for _ in range(8):
            for machine in [self.near, *self.others]:
                answer = await stand.http(
                    machine.listen["control"], "POST", f"/v1/tallies/{tally}/amend", body
                )
                self.fleet.record.say(
                    f"application: add {id} of {amount} to {tally} at {machine.name}: "
                    f"{answer.status} {answer.body[:60]!r}"
                )
                if answer.status == 200:
                    self.acknowledged[id] = amount
                    return machine
            await asyncio.sleep(0.05)
        return None


async def totals(fleet, tally):
    """The tally's total at every core machine; None where it couldn't be read."""
    found = {}
    for machine in fleet.core:
        answer = await stand.http(machine.listen["control"], "GET", f"/v1/tallies/{tally}/read")
        found[machine.name] = answer.json()["total"] if answer.status == 200 else None
    fleet.record.say(f"application: {tally} reads {found}")
    return found


async def restart_and_lose(fleet, application, machine, tally):
    """A planned restart of one machine; the first add that it acknowledges afterwards is followed by
    the loss of its disk. Without the trouble the machine goes on.
    """
    fleet.signal(machine, signal.SIGTERM)
    ended = asyncio.create_task(fleet.ended(machine))
    while not ended.done():
        await application.add(tally)
        await asyncio.sleep(0.05)
    await fleet.restart(machine)
    end_ms = stand.now_ms() + 15000.0
    while stand.now_ms() < end_ms:
        if await application.add(tally) is machine:
            break
        await asyncio.sleep(0.01)
    else:
        return False
    if TROUBLE:
        await fleet.kill(machine)
        await asyncio.sleep(0.5)
        await fleet.restart(machine, wipe=True)
    await asyncio.sleep(5.0)
    return True


async def main():
    record = stand.Record(HERE)
    fleet = stand.Fleet(record, core=3, edges=1)
    try:
        await fleet.start_all()
        route = stand.route("alert-signup", "/alert/", "alerts")
        order = stand.configuration(1, 0, [route], ["alerts"])
        taken = await fleet.order("POST", "/v1/config/replace", order, 40.0)
        if taken.status != 200:
            return 2
        await asyncio.sleep(8.0)
        lost = False
        for number in range(ROUNDS):
            tally = f"t{number}"
            machine = fleet.core[number % 3]
            application = Application(fleet, machine)
            if not await restart_and_lose(fleet, application, machine, tally):
                record.say("the machine acknowledged no add after its restart")
                return 2
            await asyncio.sleep(MERGE_S)
            least, most = sum(application.acknowledged.values()), sum(application.sent.values())
            record.say(f"{tally}: acknowledged {least}, sent {most}")
            for name, total in (await totals(fleet, tally)).items():
                if total is None or not least <= total <= most:
                    record.say(f"{tally}: BROKEN at {name}: {total}, acknowledged are {least}")
                    lost = True
            if lost:
                return 1
        return 0
    finally:
        await fleet.close()
        record.close()


sys.exit(asyncio.run(main()))

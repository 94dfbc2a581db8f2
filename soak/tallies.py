"""Stand-ins for applications that count in tallies: adds, repeats of them, and reads, at any daemon."""

import asyncio
import json
import random

from soak.clock import now_ms
from soak.control import call
from soak.deployment import Deployment, Machine
from soak.history import History, TallyAdd, TallyRead
from soak.http_client import is_success

NAMES = ("crates", "alerts")
PAUSE_S = (0.02, 0.1)
REPEAT_SHARE, READ_SHARE = 0.3, 0.3
MOST_AMOUNT = 9
LAST_READ_LIMIT_S = 10.0
LAST_READ_PAUSE_S = 0.2


class TallyCallers:
    """Whoever counts; one call is under way at a time."""

    def __init__(self, deployment: Deployment, history: History, seed: int) -> None:
        self.deployment = deployment
        self.history = history
        self.draw = random.Random(f"tallies {seed}")
        self._sent: list[tuple[str, str, int]] = []

    async def run(self) -> None:
        """Adds and reads for as long as the run lasts."""
        while True:
            await asyncio.sleep(self.draw.uniform(*PAUSE_S))
            machine = self.draw.choice(self.deployment.core)
            if self.draw.random() < READ_SHARE:
                await self._read(machine, self.draw.choice(NAMES))
            else:
                await self._add(machine)

    async def _add(self, machine: Machine) -> None:
        """A new add, or one that was sent before, to whichever daemon."""
        if self._sent and self.draw.random() < REPEAT_SHARE:
            name, id, amount = self.draw.choice(self._sent)
        else:
            name, id = self.draw.choice(NAMES), f"id-{len(self._sent)}"
            amount = self.draw.randint(1, MOST_AMOUNT)
            self._sent.append((name, id, amount))
        add = TallyAdd(name, id, amount, machine.name, now_ms())
        self.history.tally_adds.append(add)
        body = json.dumps({"id": id, "actor": amount}).encode()
        control = machine.listen["control"]
        reply = await call(control, "POST", f"/v1/tallies/{name}/amend", body)
        add.status, add.answered_ms = reply.status, now_ms()

    async def _read(self, machine: Machine, name: str) -> int | None:
        sent_ms = now_ms()
        reply = await call(machine.listen["control"], "GET", f"/v1/tallies/{name}/read")
        if not is_success(reply.status):
            return None
        total = int(json.loads(reply.body)["total"])
        self.history.tally_reads.append(TallyRead(name, machine.name, sent_ms, total, False))
        return total

    async def read_at_the_end(self) -> None:
        """Reads every tally at every daemon, again and again for a while."""
        until_ms = now_ms() + LAST_READ_LIMIT_S * 1000
        for machine in self.deployment.core:
            for name in NAMES:
                total = await self._read(machine, name)
                while total is None and now_ms() < until_ms:
                    await asyncio.sleep(LAST_READ_PAUSE_S)
                    total = await self._read(machine, name)
                last = TallyRead(name, machine.name, now_ms(), total, True)
                self.history.tally_reads.append(last)

"""Stand-ins for operators: configurations, evacuations, reads; each order sent until it is clear."""

import asyncio
import json
import random

from soak.clock import now_ms
from soak.configuration import configuration, probe_service
from soak.control import Insisted, call, insist
from soak.deployment import ZONES, Deployment
from soak.history import Change, ConfigRead, Evacuation, History
from soak.http_client import is_success

ORDER_LIMIT_S = 20.0
READ_PAUSE_S = (0.2, 1.0)
# What share of orders has a copy whose connection is lost soon after it was sent, and how soon: its
# operator goes on at once, and the copy stays under way.
HASTY_SHARE = 0.5
HASTY_MS = (1.0, 400.0)
HASTY_COPIES = 3


class Operators:
    """Whoever gives orders; at most one order for each subject is under way at a time."""

    def __init__(self, deployment: Deployment, history: History, seed: int) -> None:
        self.deployment = deployment
        self.history = history
        self.draw = random.Random(f"operators {seed}")
        self.version = 0
        self._changing = asyncio.Lock()
        self._zones = {zone: asyncio.Lock() for zone in ZONES}

    async def change(self) -> bool:
        """Replaces the configuration; returns whether that was acknowledged."""
        async with self._changing:
            version = self.version + 1
            body = configuration(version, self.version)
            done = await self._insist("POST", "/v1/config/replace", body)
            acknowledged_ms = done.answered_ms if is_success(done.reply.status) else None
            self.history.changes.append(
                Change(version, probe_service(version), done.sent_ms, acknowledged_ms)
            )
            self.history.say(f"r{version}: {done.reply.status} by {done.machine or 'nobody'}")
            if acknowledged_ms is not None:
                self.version = version
            else:
                self.version = await self.read_version() or self.version
            return acknowledged_ms is not None

    async def read_version(self) -> int | None:
        """The version in force, read until it is known; None where that fails."""
        done = await self._insist("GET", "/v1/config/read", b"", may_be_hasty=False)
        if not is_success(done.reply.status):
            return None
        version = int(json.loads(done.reply.body)["version"][1:])
        self.history.reads.append(ConfigRead(done.sent_ms, done.machine, version))
        return version

    async def read_now_and_then(self) -> None:
        """Reads the configuration at any daemon, for as long as the run lasts."""
        while True:
            await asyncio.sleep(self.draw.uniform(*READ_PAUSE_S))
            machine = self.draw.choice(self.deployment.core)
            sent_ms = now_ms()
            reply = await call(machine.listen["control"], "GET", "/v1/config/read")
            if is_success(reply.status):
                version = int(json.loads(reply.body)["version"][1:])
                self.history.reads.append(ConfigRead(sent_ms, machine.name, version))

    async def evacuate(self, number: int, for_s: float) -> None:
        """Evacuates a zone for a while."""
        zone = list(ZONES)[number % len(ZONES)]
        async with self._zones[zone]:
            if await self._order_zone(zone, begins=True):
                await asyncio.sleep(for_s)
            await self._order_zone(zone, begins=False)

    async def _order_zone(self, zone: str, begins: bool) -> bool:
        order = "begin" if begins else "finish"
        position = len(self.history.evacuations)
        self.history.evacuations.append(Evacuation(zone, begins, now_ms(), None))
        done = await self._insist("POST", f"/v1/evacuation/{zone}/{order}", b"")
        acknowledged = is_success(done.reply.status)
        acknowledged_ms = done.answered_ms if acknowledged else None
        self.history.evacuations[position] = Evacuation(zone, begins, done.sent_ms, acknowledged_ms)
        self.history.say(f"{zone} {order}: {done.reply.status} by {done.machine or 'nobody'}")
        return acknowledged

    async def _insist(
        self, method: str, path: str, body: bytes, may_be_hasty: bool = True
    ) -> Insisted:
        sent_ms = now_ms()
        if may_be_hasty and self.draw.random() < HASTY_SHARE:
            for _ in range(self.draw.randint(1, HASTY_COPIES)):
                await self._send_and_lose(method, path, body)
        done = await insist(self.deployment.core, self.draw, method, path, body, ORDER_LIMIT_S)
        return done._replace(sent_ms=sent_ms)

    async def _send_and_lose(self, method: str, path: str, body: bytes) -> None:
        machine = self.draw.choice(self.deployment.core)
        copy = call(machine.listen["control"], method, path, body)
        limit_s = self.draw.uniform(*HASTY_MS) / 1000
        try:
            await asyncio.wait_for(copy, limit_s)
        except TimeoutError:
            self.history.say(f"{method} {path} at {machine.name}: connection lost")

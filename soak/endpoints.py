"""Stand-ins for endpoints: they serve, send heartbeats, drain, leave, crash, and keep what they ran."""

import asyncio
import contextlib
import hashlib
import json
import random
import re

import h11

from soak import bounds
from soak.clock import MS_PER_S, now_ms
from soak.control import call
from soak.deployment import ZONES, Deployment, Machine
from soak.history import Departure, History, Run
from soak.http_client import is_success, short_digest

READ_BYTES = 262144
SLOTS = 8
# How long a request takes that names no time in its path, in ms.
WORK_MS = 15.0
WORK_IN_PATH = re.compile(r"/work-(\d+)/")
SIZE_IN_PATH = re.compile(r"/size-(\d+)/")
# An endpoint answers these before it has read the body, or reads the body slowly.
EARLY_IN_PATH, SLOW_IN_PATH = b"/early/", b"/slow-read/"
SLOW_READ_S = 0.01
# How long an endpoint that has said so serves on beyond the cutoff, and how long a life's successor
# takes to come, in seconds.
SERVES_ON_S = (0.2, 2.0)
RESTART_S = (0.1, 1.0)
SAY_LIMIT_S = 8.0
COLD_MS = 0


def request_target(request: h11.Request | None) -> bytes:
    """What a request asks for; empty before its head has come."""
    return bytes(request.target) if request is not None else b""


def answer_body(run: Run) -> bytes:
    """What an endpoint answers: it says which request it is the answer to."""
    fields = (run.attempt_id, run.path, run.tenant, run.key, run.body_digest, run.endpoint)
    text = "|".join(fields).encode()
    size = SIZE_IN_PATH.search(run.path)
    return text + b"." * (int(size.group(1)) if size else 0)


class Endpoint:
    """One life of an endpoint."""

    def __init__(
        self, pool: "EndpointPool", number: int, service: str, zone: str, draw: random.Random
    ) -> None:
        self.pool = pool
        self.history = pool.history
        self.id = f"i-{service}-{number}"
        self.address = f"{pool.deployment.network.endpoint_ip(number)}"
        self.port = pool.deployment.network.ports.endpoint
        self.service = service
        self.zone = zone
        self.draw = draw
        self.ending = False
        self._call_seq = 0
        self._beat_target: str | None = None
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens, and says that it is there."""
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self._beats = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """Ends at once, without a word."""
        self.ending = True
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def depart(self, leaves_first: bool) -> None:
        """Leaves in order: says so, serves on, and ends."""
        self.ending = True
        if self._beats is not None:
            self._beats.cancel()
        orders = ["leave"] if leaves_first else ["draining"]
        await self._say(orders[0])
        await asyncio.sleep(bounds.DRAIN_CUTOFF_MS / MS_PER_S + self.draw.uniform(*SERVES_ON_S))
        if not leaves_first:
            await self._say("leave")
        self.crash()

    # calls to the registries

    async def _send_heartbeats(self) -> None:
        while True:
            await self._call_one_after_another("ready", len(self.pool.deployment.core))
            await asyncio.sleep(bounds.BEAT_MS / MS_PER_S)

    async def _say(self, order: str) -> None:
        until_ms = now_ms() + SAY_LIMIT_S * MS_PER_S
        while now_ms() < until_ms:
            if await self._call_one_after_another(order, 1):
                self.history.departures.append(Departure(self.id, order, now_ms()))
                self.history.say(f"{self.id}: {order} acknowledged")
                return
        self.history.say(f"{self.id}: {order} not acknowledged")

    async def _call_one_after_another(self, order: str, most: int) -> bool:
        machines: list[Machine] = sorted(
            self.pool.deployment.core, key=lambda machine: machine.zone != self.zone
        )
        if order != "ready":
            self.draw.shuffle(machines)
        addresses = [machine.listen["control"] for machine in machines[: max(most, 1)]]
        if self._beat_target is not None and order == "ready":
            addresses.insert(0, self._beat_target)
        for address in addresses:
            self._call_seq += 1
            path, body = self._call_of(order)
            reply = await call(address, "POST", path, body)
            if is_success(reply.status):
                with contextlib.suppress(ValueError):
                    self._beat_target = json.loads(reply.body or b"{}").get("beatTarget")
                return True
            self._beat_target = None
        return False

    def _call_of(self, order: str) -> tuple[str, bytes]:
        if order == "leave":
            return f"/v1/instances/{self.id}/leave", b""
        table = {
            "address": f"{self.address}:{self.port}",
            "details": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": SLOTS,
            },
            "status": {"state": order, "callSeq": self._call_seq, "coldLeftMs": COLD_MS},
        }
        return f"/v1/instances/{self.id}/heartbeat", json.dumps(table).encode()

    # serving

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        parser = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(reader, writer, parser):
                parser.start_next_cycle()
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError, asyncio.CancelledError):
            # The caller has gone, or the run is over.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, parser: h11.Connection
    ) -> bool:
        """Serves one request; False once the connection is done with."""
        request: h11.Request | None = None
        body = hashlib.sha256()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
                if EARLY_IN_PATH in request.target:
                    break
            elif isinstance(event, h11.Data):
                body.update(event.data)
                if SLOW_IN_PATH in request_target(request):
                    await asyncio.sleep(SLOW_READ_S)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return False
        assert request is not None
        await self._answer(writer, parser, request, short_digest(body.hexdigest()))
        return parser.our_state is h11.DONE and parser.their_state is h11.DONE

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        parser: h11.Connection,
        request: h11.Request,
        body_digest: str,
    ) -> None:
        fields = {name: value.decode("latin-1") for name, value in request.headers}
        path = request.target.decode("latin-1")
        own = [("Attempt-Id", fields.get(b"attempt-id", ""))]
        if path == "/health":
            self._write(writer, parser, 503 if self.ending else 200, [("Instance", self.id)], b"")
        elif fields.get(b"expect-instance", self.id) != self.id:
            self._write(writer, parser, 421, [*own, ("Not-Run", "1")], b"")
        else:
            run = self._run_of(request.method.decode(), path, fields, body_digest)
            async with self._slots:
                found = WORK_IN_PATH.search(path)
                await asyncio.sleep((float(found.group(1)) if found else WORK_MS) / MS_PER_S)
            run.ended_ms = now_ms()
            run.whole = not writer.is_closing()
            seal = ("Server-Seal", f"seal.{self.id}.{run.attempt_id}")
            self._write(writer, parser, 200, [*own, seal], answer_body(run))
        await writer.drain()

    def _run_of(self, method: str, path: str, fields: dict[bytes, str], body_digest: str) -> Run:
        run = Run(
            self.id,
            self.zone,
            self.service,
            fields.get(b"attempt-id", ""),
            method,
            path,
            fields.get(b"tenant", ""),
            fields.get(b"idempotency-key", ""),
            body_digest,
            now_ms(),
        )
        self.history.runs.append(run)
        return run

    def _write(
        self,
        writer: asyncio.StreamWriter,
        parser: h11.Connection,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        headers = [*headers, ("Content-Length", str(len(body)))]
        if self.ending:
            headers.append(("Connection", "close"))
        response = h11.Response(status_code=status, headers=headers)
        events = (response, h11.Data(data=body), h11.EndOfMessage())
        writer.write(b"".join(parser.send(event) or b"" for event in events))


class EndpointPool:
    """All endpoints; each life that ends is followed by another, under a new id and address."""

    def __init__(
        self, deployment: Deployment, history: History, services: list[str], seed: int
    ) -> None:
        self.deployment = deployment
        self.history = history
        self.services = services
        self.draw = random.Random(f"endpoints {seed}")
        self.living: list[Endpoint] = []
        self._started = 0

    async def start(self, count: int) -> None:
        """Starts the first lives, spread over services and zones."""
        zones = list(ZONES)
        for number in range(count):
            service = self.services[number % len(self.services)]
            zone = zones[(number // len(self.services)) % len(zones)]
            await self._start_one(service, zone)

    async def _start_one(self, service: str, zone: str) -> None:
        draw = random.Random(self.draw.random())
        endpoint = Endpoint(self, self._started, service, zone, draw)
        self._started += 1
        await endpoint.start()
        self.living.append(endpoint)
        self.history.say(f"{endpoint.id} starts in {zone}")

    async def depart(self, number: int, leaves_first: bool) -> None:
        """One endpoint leaves in order, after its successor has come."""
        endpoint = self._take(number)
        if endpoint is not None:
            await self._start_one(endpoint.service, endpoint.zone)
            await endpoint.depart(leaves_first)

    async def crash(self, number: int) -> None:
        """One endpoint ends at once; its successor comes a little later."""
        endpoint = self._take(number)
        if endpoint is not None:
            endpoint.crash()
            self.history.say(f"{endpoint.id} crashes")
            await asyncio.sleep(self.draw.uniform(*RESTART_S))
            await self._start_one(endpoint.service, endpoint.zone)

    def _take(self, number: int) -> Endpoint | None:
        if not self.living:
            return None
        return self.living.pop(number % len(self.living))

    def close(self) -> None:
        """Ends all."""
        for endpoint in self.living:
            endpoint.crash()

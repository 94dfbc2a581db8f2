"""A stand-in for an endpoint: sound, and no more than the pages allow."""

import asyncio
import contextlib
import json

from deployment import BEAT_MS, call, now_ms


class Run:
    """One request that an endpoint has run."""

    def __init__(self, at_ms, fields, line, body):
        self.at_ms = at_ms
        self.ended_ms = None
        self.attempt_id = fields.get(b"attempt-id", b"").decode()
        self.fields, self.line, self.body = fields, line, body


class Endpoint:
    """One incarnation: serves requests, sends heartbeats, drains or leaves in order.

    `work_ms(fields, line, body)` says how long a request takes; `text(run)` what its body is.
    """

    def __init__(self, deployment, record, number, service, zone, work_ms, slots=3, text=None):
        self.deployment, self.record = deployment, record
        self.id = f"i-{service}-{number}"
        self.ip = deployment.endpoint_ip(number)
        self.port = deployment.ports["endpoint"]
        self.service, self.zone, self.slots = service, zone, slots
        self.work_ms, self.text = (
            work_ms,
            text or (lambda run: b"run of " + run.attempt_id.encode()),
        )
        self.runs, self.call_seq = [], 0
        self.free = asyncio.Semaphore(slots)
        self.server = self.beats = None
        self.target = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)
        await self.beat("ready")
        self.beats = asyncio.create_task(self._beat())

    async def end(self):
        """Ends without a word, or after it was said."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()

    # calls

    async def _say(self, path, body):
        """Calls one daemon after the other until one acknowledges; returns its address."""
        addresses = self.deployment.controls(self.zone)
        if self.target is not None:
            addresses = [self.target, *addresses]
        for address in addresses:
            status, answer = await call(address, "POST", path, body)
            if status is not None and 200 <= status < 300:
                with contextlib.suppress(ValueError):
                    self.target = json.loads(answer or b"{}").get("beatTarget") or self.target
                return address
            if address == self.target:
                self.target = None
        return None

    async def beat(self, state):
        self.call_seq += 1
        body = {
            "address": f"{self.ip}:{self.port}",
            "details": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "callSeq": self.call_seq, "coldLeftMs": 0},
        }
        return await self._say(f"/v1/instances/{self.id}/heartbeat", json.dumps(body))

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_MS / 1000)
            await self.beat("ready")

    async def leave(self):
        """Leaves without having said `draining`, and serves on; returns when it was acknowledged."""
        self.beats.cancel()
        address = await self._say(f"/v1/instances/{self.id}/leave", "")
        at_ms = now_ms()
        self.record.say(f"{self.id}: leave acknowledged by {address}")
        return at_ms if address is not None else None

    # serving

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *lines = head[:-4].split(b"\r\n")
                fields = {}
                for each in lines:
                    name, _, value = each.partition(b":")
                    fields[name.strip().lower()] = value.strip()
                length = int(fields.get(b"content-length", b"0"))
                body = await reader.readexactly(length) if length else b""
                writer.write(await self._answer(line, fields, body))
                await writer.drain()
        except (
            OSError,
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, line, fields, body):
        if line.split(b" ")[1] == b"/health":
            return _http(200, [(b"Instance", self.id.encode())], b"")
        own = [(b"Attempt-Id", fields.get(b"attempt-id", b""))]
        expected = fields.get(b"expect-instance")
        if expected is not None and expected != self.id.encode():
            return _http(421, [*own, (b"Not-Run", b"1")], b"")
        async with self.free:
            run = Run(now_ms(), fields, line, body)
            self.runs.append(run)
            self.record(f"{self.id}: runs {run.attempt_id} {line.decode()}")
            await asyncio.sleep(self.work_ms(fields, line, body) / 1000)
            run.ended_ms = now_ms()
        seal = b"seal." + self.id.encode() + b"." + run.attempt_id.encode()
        return _http(200, [*own, (b"Server-Seal", seal)], self.text(run))


def _http(status, headers, body):
    lines = [b"HTTP/1.1 %d X" % status]
    lines += [name + b": " + value for name, value in headers]
    lines += [b"Content-Length: %d" % len(body), b"", b""]
    return b"\r\n".join(lines) + body

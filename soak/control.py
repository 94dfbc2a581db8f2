"""Calls to `control`, sent again to other daemons as the pages say that callers do."""

import asyncio
import random
from typing import NamedTuple

import h11

from soak.bounds import CALLER_PATIENCE_MS
from soak.clock import MS_PER_S, now_ms
from soak.deployment import Machine

READ_BYTES = 65536
FIRST_PAUSE_S, LONGEST_PAUSE_S, PAUSE_GROWTH = 0.1, 1.0, 1.5
# A large body is given this much more time.
BYTES_PER_S = 100_000.0
UNCLEAR_FROM = 500
UNCLEAR = (408, 429)


class Reply(NamedTuple):
    """The answer to a call; `status` is None where none came in time."""

    status: int | None
    body: bytes


NO_REPLY = Reply(None, b"")


async def call(address: str, method: str, path: str, body: bytes = b"") -> Reply:
    """One call on a connection of its own."""
    limit_s = CALLER_PATIENCE_MS / MS_PER_S + len(body) / BYTES_PER_S
    try:
        return await asyncio.wait_for(_exchange(address, method, path, body), limit_s)
    except (TimeoutError, OSError, h11.RemoteProtocolError):
        return NO_REPLY


async def _exchange(address: str, method: str, path: str, body: bytes) -> Reply:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        parser = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        writer.write(parser.send(h11.Request(method=method, target=path, headers=headers)) or b"")
        writer.write(parser.send(h11.Data(data=body)) or b"")
        parser.send(h11.EndOfMessage())
        return await _read_reply(reader, parser)
    finally:
        writer.close()


async def _read_reply(reader: asyncio.StreamReader, parser: h11.Connection) -> Reply:
    status, parts = None, []
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, b"".join(parts))
        else:
            return NO_REPLY


class Insisted(NamedTuple):
    """What became of a call that was sent until it had a clear answer.

    Attributes:
        reply: the clear answer; without a status where none came within the limit.
        machine: whose daemon gave it.
        sent_ms: when the call was sent first.
        answered_ms: when the answer came.
    """

    reply: Reply
    machine: str
    sent_ms: float
    answered_ms: float


async def insist(
    machines: list[Machine],
    draw: random.Random,
    method: str,
    path: str,
    body: bytes = b"",
    limit_s: float = 20.0,
) -> Insisted:
    """Sends a call to one daemon after the other until one gives a clear answer."""
    sent_ms = now_ms()
    pause_s = FIRST_PAUSE_S
    while now_ms() - sent_ms < limit_s * MS_PER_S:
        machine = draw.choice(machines)
        reply = await call(machine.listen["control"], method, path, body)
        status = reply.status
        if status is not None and status < UNCLEAR_FROM and status not in UNCLEAR:
            return Insisted(reply, machine.name, sent_ms, now_ms())
        await asyncio.sleep(pause_s)
        pause_s = min(LONGEST_PAUSE_S, pause_s * PAUSE_GROWTH)
    return Insisted(NO_REPLY, "", sent_ms, now_ms())

"""Stand-ins for clients: one request on a new connection, or a kept and pipelined connection."""

import asyncio
import itertools

from deployment import now_ms, read_answer

_numbers = itertools.count(1)


def attempt_id():
    return f"{next(_numbers):08x}"


def encode(method, host, path, id, deadline_ms, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {id}"]
    lines += [f"Deadline-Ms: {deadline_ms}", *[f"{name}: {value}" for name, value in headers]]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_once(address, method, host, path, deadline_ms, headers=(), body=b""):
    """One request on a connection of its own; the id, and status, fields and body or None."""
    id = attempt_id()
    ip, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        writer.write(encode(method, host, path, id, deadline_ms, headers, body))
        return await read_answer(reader)

    try:
        answer = await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        answer = None
    finally:
        if writer is not None:
            writer.close()
    return id, answer


class Sent:
    """One request on a kept connection."""

    def __init__(self, id, path):
        self.id, self.path, self.sent_ms = id, path, now_ms()
        self.status = self.answered_ms = self.closed_ms = None


class Pipeline:
    """A kept connection with up to `depth` requests under way; answers come in their order."""

    def __init__(self, address, host, depth, deadline_ms, paths):
        self.address, self.host, self.depth = address, host, depth
        self.deadline_ms, self.paths = deadline_ms, itertools.cycle(paths)
        self.all, self.waiting = [], []
        self.told_to_close = False

    async def run(self, until):
        """Sends until `until()` or the connection ends; heeds `Connection: close`."""
        ip, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            while True:
                while len(self.waiting) < self.depth and not until() and not self.told_to_close:
                    sent = Sent(attempt_id(), next(self.paths))
                    data = encode("GET", self.host, sent.path, sent.id, self.deadline_ms)
                    writer.write(data)
                    self.all.append(sent)
                    self.waiting.append(sent)
                if not self.waiting:
                    return
                status, fields, _ = await read_answer(reader)
                sent = self.waiting.pop(0)
                sent.status, sent.answered_ms = status, now_ms()
                if fields.get(b"attempt-id", b"").decode() != sent.id:
                    sent.status = -1
                if fields.get(b"connection", b"").lower() == b"close":
                    self.told_to_close = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for sent in self.waiting:
                sent.closed_ms = now_ms()
            writer.close()

"""Connections to a proxy: requests one behind the other, answers in their order, read by h11."""

import asyncio
import collections
import hashlib

import h11

from soak.clock import now_ms
from soak.history import Answer, Sent

READ_BYTES = 65536
DIGEST_CHARACTERS = 16
SUCCESS_FROM, SUCCESS_BELOW = 200, 300
CONNECT_LIMIT_S = 1.0


def digest(body: bytes) -> str:
    """A short text that is equal for equal bodies."""
    return short_digest(hashlib.sha256(body).hexdigest())


def short_digest(hexadecimal: str) -> str:
    """A digest as records keep it."""
    return hexadecimal[:DIGEST_CHARACTERS]


def is_success(status: int | None) -> bool:
    """True for a 2xx."""
    return status is not None and SUCCESS_FROM <= status < SUCCESS_BELOW


class Outgoing:
    """A request that waits for its answer: h11 reads each answer as that of its own request."""

    def __init__(self, sent: Sent, headers: list[tuple[str, str]]) -> None:
        self.sent = sent
        self.parser = h11.Connection(h11.CLIENT)
        request = h11.Request(method=sent.method, target=sent.path, headers=headers)
        self.head = self.parser.send(request) or b""
        self.status: int | None = None
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []


class ProxyConnection:
    """One connection of a client, used until the proxy says that it closes it, or it is gone.

    Attributes:
        told_to_close: an answer has said that it is the last one.
        ended: nothing more comes.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.waiting: collections.deque[Outgoing] = collections.deque()
        self.told_to_close = False
        self.ended = False
        self.answered = asyncio.Event()
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def open(cls, address: str) -> "ProxyConnection | None":
        """Connects to a proxy; None where that fails."""
        ip, _, port = address.rpartition(":")
        try:
            opening = asyncio.open_connection(ip, int(port))
            return cls(*await asyncio.wait_for(opening, CONNECT_LIMIT_S))
        except (OSError, TimeoutError):
            return None

    @property
    def usable(self) -> bool:
        """True while requests may be sent."""
        return not self.ended and not self.told_to_close

    async def send(
        self,
        sent: Sent,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        piece_bytes: int = 0,
        pause_s: float = 0.0,
    ) -> None:
        """Writes a request, its body in pieces with pauses where `piece_bytes` is given."""
        outgoing = Outgoing(sent, headers)
        self.waiting.append(outgoing)
        view = memoryview(body)
        step = piece_bytes or max(1, len(body))
        try:
            self.writer.write(outgoing.head)
            for start in range(0, len(body), step):
                piece = view[start : start + step]
                for data in outgoing.parser.send_with_data_passthrough(h11.Data(data=piece)) or ():  # type: ignore[arg-type]  # any buffer will do
                    self.writer.write(data)
                await self.writer.drain()
                if pause_s:
                    await asyncio.sleep(pause_s)
            outgoing.parser.send(h11.EndOfMessage())
            await self.writer.drain()
        except (OSError, h11.LocalProtocolError):
            # The proxy has ended the connection, perhaps with an answer to what it hasn't read.
            return
        sent.sent_ms = now_ms()

    async def wait(self, sent: Sent, limit_s: float) -> None:
        """Waits until a request is answered, its connection has ended, or the time is over."""
        until_ms = now_ms() + limit_s * 1000
        while sent.answered_ms is None and sent.ended_ms is None and now_ms() < until_ms:
            self.answered.clear()
            left_s = max(0.001, (until_ms - now_ms()) / 1000)
            try:
                await asyncio.wait_for(self.answered.wait(), left_s)
            except TimeoutError:
                return

    def leave(self) -> None:
        """The client closes the connection, whatever is under way."""
        for outgoing in self.waiting:
            outgoing.sent.left = True
        self.close()

    def close(self) -> None:
        """Ends the connection."""
        self._finish()
        self._task.cancel()
        self.writer.close()

    def _finish(self) -> None:
        self.ended = True
        at_ms = now_ms()
        for outgoing in self.waiting:
            outgoing.sent.ended_ms = at_ms
        self.waiting.clear()
        self.answered.set()

    async def _read(self) -> None:
        try:
            while data := await self.reader.read(READ_BYTES):
                self._received(data)
            self._received(b"")
        except (OSError, h11.RemoteProtocolError):
            pass
        self._finish()
        self.writer.close()

    def _received(self, data: bytes) -> None:
        while self.waiting:
            outgoing = self.waiting[0]
            outgoing.parser.receive_data(data)
            if not self._read_events(outgoing):
                return
            self.waiting.popleft()
            data = outgoing.parser.trailing_data[0]
            if not data:
                return

    def _read_events(self, outgoing: Outgoing) -> bool:
        """Reads what has come of an answer; True once it is complete."""
        while True:
            event = outgoing.parser.next_event()
            if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return False
            if isinstance(event, h11.Response):
                outgoing.status = event.status_code
                outgoing.fields = dict(event.headers)
            elif isinstance(event, h11.Data):
                outgoing.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete(outgoing)
                return True

    def _complete(self, outgoing: Outgoing) -> None:
        sent, fields = outgoing.sent, outgoing.fields
        sent.status = outgoing.status
        sent.answered_ms = now_ms()
        sent.answer = Answer(
            fields.get(b"attempt-id", b"").decode("latin-1"),
            b"server-seal" in fields,
            b"".join(outgoing.body),
        )
        if fields.get(b"connection", b"").lower() == b"close":
            self.told_to_close = True
        self.answered.set()

"""Connections to endpoints: one carries one request at a time, and is kept for later ones."""

import asyncio
import http
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import h11

from stagevale.balancing.target import Target
from stagevale.forwarding.answer import BODILESS_STATUSES, Answer
from stagevale.forwarding.body_writer import BodyWriter
from stagevale.forwarding.headers import without_hop_headers
from stagevale.forwarding.request import Headers, Request
from stagevale.rpc.codec import socket_address
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Timer

if TYPE_CHECKING:
    from stagevale.forwarding.forwarder import Forwarder

MOST_ANSWER_BYTES = 64 * 1024 * 1024
# A connection may take a fourteenth of `contactMs` to come up; an idle one is kept for this share of
# it where the endpoint doesn't tell.
CONNECTS_PER_CONTACT = 14.0
IDLE_SHARE = 0.9
# An idle connection is kept for this share of the time that the endpoint tells.
KEEP_ALIVE_SHARE = 0.75
LEAST_KEEP_ALIVE_MS = 200.0
# Answers to earlier requests that may come in the place of the one that is due.
MOST_SURPLUS = 2
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")
MISDIRECTED = http.HTTPStatus.MISDIRECTED_REQUEST.value
NOT_RUN_HEADER = b"not-run"
SUCCESS, REDIRECTION = 200, 300


class EndpointAnswer:
    """A complete answer of an endpoint.

    Attributes:
        headers: those that go to the client.
        fields: all headers by name, in lower case.
    """

    __slots__ = ("status", "reason", "headers", "body", "fields")

    def __init__(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        fields: dict[bytes, bytes],
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.fields = fields

    @property
    def is_success(self) -> bool:
        """True for a 2xx."""
        return SUCCESS <= self.status < REDIRECTION

    @property
    def proves_not_run(self) -> bool:
        """True where the endpoint says that it hasn't run the request."""
        return _proves_not_run(self.status, self.fields)

    def to_client(self) -> Answer:
        """The answer as it goes to the client."""
        return Answer(self.status, self.reason, self.headers, self.body)


def _proves_not_run(status: int, fields: Mapping[bytes, bytes]) -> bool:
    return NOT_RUN_HEADER in fields or status == MISDIRECTED


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint.

    Attributes:
        target: the endpoint.
        request: the request that it carries, or None.
        transport: None until the connection is up.
    """

    __slots__ = (
        "forwarder",
        "context",
        "target",
        "request",
        "transport",
        "_parser",
        "_head",
        "_body",
        "_body_bytes",
        "_keep_ms",
        "_idle_timer",
        "_opened_ms",
        "_written",
        "_closing",
        "_surplus",
        "_ended",
        "_carried",
        "_writer",
    )

    def __init__(self, forwarder: "Forwarder", target: Target) -> None:
        self.forwarder = forwarder
        self.context = forwarder.context
        self.target = target
        self.request: Request | None = None
        self.transport: Any = None
        self._parser: Any = h11.Connection(h11.CLIENT)
        self._head: Any = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._keep_ms = self.context.settings.bounds.contact_ms * IDLE_SHARE
        self._idle_timer: Timer | None = None
        self._opened_ms = self.context.now_ms()
        self._written = False
        self._closing = False
        self._surplus = 0
        self._ended = False
        self._carried = 0
        self._writer = BodyWriter()

    # opening

    def open(self, request: Request) -> None:
        """Opens the connection and then sends the request."""
        self.request = request
        self.target.open += 1
        contact_ms = self.context.settings.bounds.contact_ms
        self.context.connect(
            socket_address(self.target.address),
            self,
            self._on_not_opened,
            contact_ms / CONNECTS_PER_CONTACT,
            contact_ms,
        )

    def _on_not_opened(self, error: BaseException) -> None:
        if self.transport is not None or self._closing:
            return
        self._closing = True
        self.target.open -= 1
        request, self.request = self.request, None
        if request is not None:
            self.forwarder.on_not_sent(request, self.target, error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = self._writer.transport = transport
        took_ms = self.context.now_ms() - self._opened_ms
        self.forwarder.chooser.estimates.add_connected(self.target.region, took_ms)
        if self._closing:
            self.transport.abort()
        elif self.request is None:
            self.close()
        else:
            self._write(self.request)

    # sending

    def send(self, request: Request) -> None:
        """Sends a request on a connection that was idle."""
        self.request = request
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self._write(request)

    def _write(self, request: Request) -> None:
        self._head, self._body, self._body_bytes = None, [], 0
        left_ms = int(request.deadline_ms - self.context.now_ms())
        if left_ms <= 0:
            self.request = None
            self._park()
            self.forwarder.on_not_sent(request, self.target, None)
            return
        try:
            data = self._encode_head(request, left_ms)
        except h11.LocalProtocolError as error:
            self.request = None
            self.close()
            self.forwarder.on_broken(request, self.target, f"can't be sent: {error}")
            return
        if not self.forwarder.may_use(self.target):
            self.request = None
            self.close()
            self.forwarder.on_not_sent(request, self.target, None)
            return
        if not self.forwarder.may_send(request):
            self.request = None
            self.close()
            self.forwarder.on_not_needed(request, self.target)
            return
        self._written = True
        self._carried += 1
        self.forwarder.on_sent(request, self.target)
        self._writer.write(self._parser, data, request.body)

    def pause_writing(self) -> None:
        """The endpoint reads more slowly than the body is written."""
        self._writer.hold()

    def resume_writing(self) -> None:
        """The endpoint has read what was written."""
        self._writer.go_on()

    def _encode_head(self, request: Request, left_ms: int) -> bytes:
        """The bytes of a request's head.

        Raises:
            h11.LocalProtocolError: it can't be written in the protocol.
        """
        headers = [
            *request.headers,
            (b"Deadline-Ms", str(left_ms).encode()),
            (b"Expect-Instance", self.target.id.encode()),
        ]
        if request.body.size or request.method not in BODILESS_METHODS:
            headers.append((b"Content-Length", str(request.body.size).encode()))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data: bytes = self._parser.send(head)
        return data

    # receiving

    def data_received(self, data: bytes) -> None:
        """Reads the answer; bytes that no request waits for end the connection."""
        if self.request is None:
            self.close()
            return
        self._parser.receive_data(data)
        self._read()

    def _read(self) -> None:
        try:
            while self.request is not None:
                if not self._handle_event(self._parser.next_event()):
                    return
        except h11.RemoteProtocolError as error:
            self._fail(f"no answer in the protocol: {error}")

    def _handle_event(self, event: Any) -> bool:
        """Handles a parser's event; False where reading is to stop."""
        if event is h11.NEED_DATA:
            return False
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            if self._body_bytes > MOST_ANSWER_BYTES:
                self._fail("answer over the bound")
                return False
            self._body.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return self._on_answer()
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            self._fail("closed before an answer")
            return False
        return True

    def _on_answer(self) -> bool:
        """A complete answer has come; True where it was a surplus one and the request's may still
        follow.
        """
        request, head = self.request, self._head
        assert request is not None
        fields = dict(head.headers)
        is_framed = (
            b"content-length" in fields
            or b"transfer-encoding" in fields
            or head.status_code in BODILESS_STATUSES
            or request.method == b"HEAD"
        )
        id = fields.get(b"attempt-id")
        if id is None and _proves_not_run(head.status_code, fields):
            if self._carried > 1 and not request.route.pure:
                self._fail("a refusal without an id, perhaps of a request before this one")
                return False
        elif id != request.attempt_id:
            return self._skip_surplus(request, id, is_framed)
        if not is_framed and not self._ended:
            self._fail("an answer without a length")
            return False
        self._finish(request, fields)
        return False

    def _skip_surplus(self, request: Request, id: bytes | None, is_framed: bool) -> bool:
        """An answer to another request has come in the place of the one that is due."""
        if (
            id is None
            or not is_framed
            or self._parser.their_state is not h11.DONE
            or self._surplus >= MOST_SURPLUS
        ):
            self._fail("an answer to something else")
            return False
        self._surplus += 1
        rest = self._parser.trailing_data[0]
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(method=request.method, target=request.target, headers=[(b"Host", b"x")])
        )
        self._parser.send(h11.EndOfMessage())
        self._head, self._body, self._body_bytes = None, [], 0
        if rest:
            self._parser.receive_data(rest)
        return True

    def _finish(self, request: Request, fields: dict[bytes, bytes]) -> None:
        """Hands the request's answer over, and keeps the connection if it is clean."""
        head = self._head
        answer = EndpointAnswer(
            head.status_code,
            bytes(head.reason),
            without_hop_headers(head.headers.raw_items()),
            b"".join(self._body),
            fields,
        )
        self.request = None
        keep_alive = fields.get(b"keep-alive", b"")
        if keep_alive:
            self._read_keep_alive(keep_alive)
        if self._is_reusable():
            self._parser.start_next_cycle()
            self._park()
        else:
            self.close()
        self.forwarder.on_answer(request, self.target, answer)

    def _is_reusable(self) -> bool:
        """True where the next bytes will belong to the next request."""
        return (
            self._parser.their_state is h11.DONE
            and self._parser.our_state is h11.DONE
            and not self._parser.trailing_data[0]
            and not self._surplus
            and not self.transport.get_write_buffer_size()
        )

    def _read_keep_alive(self, text: bytes) -> None:
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                kept_ms = int(value) * MS_PER_S * KEEP_ALIVE_SHARE
                self._keep_ms = max(LEAST_KEEP_ALIVE_MS, kept_ms)

    # idle, and the end

    def _park(self) -> None:
        """Keeps the connection for a later request, for a shorter time than the endpoint does."""
        if self._closing or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self.target.idle.append(self)
        self._idle_timer = self.context.call_later(self._keep_ms, self.close)

    def _fail(self, reason: str) -> None:
        request, self.request = self.request, None
        self.close()
        if request is not None:
            self.forwarder.on_broken(request, self.target, reason)

    def give_up(self) -> None:
        """Closes the connection under its request, which nobody waits for any more."""
        self.request = None
        self.close()

    def close(self) -> None:
        """Closes the connection; one that may still carry an answer is reset."""
        if self._closing:
            return
        self._closing = True
        self._writer.give_up()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self in self.target.idle:
            self.target.idle.remove(self)
        self.target.open -= 1
        if self.transport is None:
            return
        if self.request is None and self._written:
            self.transport.abort()
        else:
            self.transport.close()

    def eof_received(self) -> bool:
        """The endpoint has ended the connection: an answer without a length is complete now."""
        self._ended = True
        if self.request is not None:
            self._parser.receive_data(b"")
            self._read()
        if self.request is not None:
            self._fail("closed before the answer was whole")
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        if self.request is not None:
            self._fail(f"lost: {exc!r}")
        self.close()

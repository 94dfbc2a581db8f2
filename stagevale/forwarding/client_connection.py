"""Connections from clients: pipelined requests are read ahead and answered in order."""

import asyncio
import http
from collections import deque
from typing import TYPE_CHECKING, Any

import h11

from stagevale.forwarding.answer import BODILESS_STATUSES, NOT_WRITTEN, Answer
from stagevale.forwarding.request import Headers, Request
from stagevale.forwarding.request_body import RequestBody
from stagevale.runtime.context import Timer

if TYPE_CHECKING:
    from stagevale.forwarding.forwarder import Forwarder

# So many requests of a connection are read before the first is answered.
MOST_READ_AHEAD = 8
# For so long a connection that was ended here is read and what comes is dropped, until the client has
# closed it too.
LINGER_MS = 1000.0
# A header line's colon, space and line end.
HEADER_OVERHEAD_BYTES = 4

BAD_REQUEST = http.HTTPStatus.BAD_REQUEST.value
TIMEOUT = http.HTTPStatus.REQUEST_TIMEOUT.value
BODY_TOO_LARGE = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value
# When a client whose body there was no room for may try again.
RETRY_AFTER_S = b"0.5"
ATTEMPT_ID = b"attempt-id"
HEAD_TOO_LARGE = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.value


class ClientConnection(asyncio.Protocol):
    """One connection of a client: owns its parser, its requests and its timer."""

    __slots__ = (
        "forwarder",
        "context",
        "transport",
        "requests",
        "_parser",
        "_head",
        "_body",
        "_timer",
        "_last_read",
        "_unread",
        "_paused",
        "_read_since_ms",
    )

    def __init__(self, forwarder: "Forwarder") -> None:
        self.forwarder = forwarder
        self.context = forwarder.context
        self.transport: Any = None
        self.requests: deque[Request] = deque()
        self._parser: Any = None
        self._head: h11.Request | None = None
        self._body = RequestBody()
        self._timer: Timer | None = None
        self._last_read = False
        self._unread = b""
        self._paused = False
        self._read_since_ms: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport
        self.forwarder.connections.add(self)
        self._read_next_request(b"")

    def close(self) -> None:
        """Closes the connection behind what was written."""
        self.transport.close()

    # shutdown

    def stop_reading(self) -> None:
        """Reads no further request: the answer to the last one that was read closes the connection.

        What a client has sent behind it counts as not read, and is dropped.
        """
        if self._last_read:
            return
        self._last_read = True
        self._read_since_ms = None
        self._stop_timer()
        self._unread = b""
        # A client that leaves is only noticed while the connection is read.
        self._resume_reading()

    def drain(self) -> None:
        """Ends the connection with what was read so far: an idle one now, one whose only request is
        still being read with the answer to it.
        """
        if self.requests:
            self.stop_reading()
        elif self._read_since_ms is None and not self._last_read:
            self.close()

    def end_requests(self) -> int:
        """Answers every request that is still under way, so that complete answers behind it go out.

        Returns:
            How many requests were given up.
        """
        self.stop_reading()
        unanswered = [request for request in self.requests if request.answer is None]
        # From the last on: an answer to the first would start those that wait for it.
        for request in reversed(unanswered):
            self.forwarder.end_request(request)
        return len(unanswered)

    def _linger(self) -> None:
        """Ends the connection behind the last answer, but goes on reading for a while.

        A close while the client still sends makes the kernel reset the connection, and the client
        loses the answers that it has not read yet (RFC 9112, 9.6).
        """
        self._last_read = True
        self._stop_timer()
        if self.transport.is_closing():
            return
        self.transport.write_eof()
        self._timer = self.context.call_later(LINGER_MS, self.close)

    # timers

    def _restart_timer(self, delay_ms: float) -> None:
        self._stop_timer()
        self._timer = self.context.call_later(delay_ms, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        """The connection was idle for too long, or a request too long in coming."""
        self._timer = None
        if self._read_since_ms is None:
            if not self.requests:
                self.transport.close()
        elif not self._last_read:
            self._answer_unread(TIMEOUT, "the request took too long to come")

    # reading

    def _read_next_request(self, data: bytes) -> None:
        """Makes ready to read the next request from the bytes that follow the last."""
        self._head = None
        self._read_since_ms = None
        self._restart_timer(self.forwarder.snapshot.limits.idle_ms)
        if data:
            self._on_first_bytes()
            self._parser.receive_data(data)

    def _on_first_bytes(self) -> None:
        """A request begins: the limits of this moment hold for it, however long the connection was
        kept before.
        """
        if self._read_since_ms is not None:
            return
        limits = self.forwarder.snapshot.limits
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_max_bytes)
        self._read_since_ms = self.context.now_ms()
        self._restart_timer(limits.header_read_ms)

    def data_received(self, data: bytes) -> None:
        """Reads requests, up to as many as are read ahead."""
        if self._last_read:
            return
        if len(self.requests) >= MOST_READ_AHEAD:
            self._hold(data)
            return
        self._on_first_bytes()
        self._parser.receive_data(data)
        self._read()

    def _hold(self, data: bytes) -> None:
        """Keeps bytes behind the requests that are read ahead until one of these is answered."""
        self._unread += data
        too_much = len(self._unread) > self.forwarder.snapshot.limits.header_max_bytes
        if too_much and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resume_reading()

    def _read(self) -> None:
        try:
            while not self._last_read and len(self.requests) < MOST_READ_AHEAD:
                if not self._handle_event(self._parser.next_event()):
                    return
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or BAD_REQUEST
            self._answer_unread(status, f"not a request in the protocol: {error}")

    def _handle_event(self, event: Any) -> bool:
        """Handles a parser's event; False where reading is to stop."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            return self._on_head(event)
        if isinstance(event, h11.Data):
            return self._on_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return self._on_end()
        if isinstance(event, h11.ConnectionClosed):
            self._last_read = True
            self._stop_timer()
            if not self.requests:
                self.transport.close()
            return False
        return True

    def _on_head(self, head: h11.Request) -> bool:
        limits = self.forwarder.snapshot.limits
        self._head, self._body = head, RequestBody(self.forwarder.bodies)
        self._restart_timer(limits.idle_ms)
        size = len(head.target)
        fields = {}
        for name, value in head.headers:
            size += len(name) + len(value) + HEADER_OVERHEAD_BYTES
            fields[name] = value
        if size > limits.header_max_bytes:
            self._answer_unread(HEAD_TOO_LARGE, "the head is over the limit")
            return False
        if b"transfer-encoding" in fields and b"content-length" in fields:
            self._answer_unread(BAD_REQUEST, "two lengths for one body")
            return False
        if not self._has_room(int(fields.get(b"content-length", b"0"))):
            return False
        if self._parser.they_are_waiting_for_100_continue and not self.requests:
            status = http.HTTPStatus.CONTINUE.value
            response = h11.InformationalResponse(status_code=status, headers=[])
            self.transport.write(self._parser.send(response))
        return True

    def _on_body(self, data: bytes) -> bool:
        limits = self.forwarder.snapshot.limits
        if self._body.size + len(data) > limits.body_max_bytes:
            self._answer_unread(BODY_TOO_LARGE, "the body is over the limit")
            return False
        if not self._body.append(data):
            self._answer_unread(UNAVAILABLE, "too many large bodies at once")
            return False
        self._restart_timer(limits.idle_ms)
        return True

    def _has_room(self, size: int) -> bool:
        """True where a body of this size may be read; one that may not is refused before it comes."""
        if size > self.forwarder.snapshot.limits.body_max_bytes:
            self._answer_unread(BODY_TOO_LARGE, "the body is over the limit")
            return False
        if not self.forwarder.bodies.has_room(size):
            self._answer_unread(UNAVAILABLE, "too many large bodies at once")
            return False
        return True

    def _on_end(self) -> bool:
        """A request has been read completely."""
        rest, _ = self._parser.trailing_data
        parser = self._parser
        closes = parser.their_state is not h11.DONE
        self._take_request(parser)
        if closes:
            self._last_read = True
            self._stop_timer()
        if self._last_read:
            return False
        if len(self.requests) >= MOST_READ_AHEAD:
            # Not given to the parser: reading goes on with what is held, once there is room.
            self._read_next_request(b"")
            self._hold(rest)
            return False
        self._read_next_request(rest)
        return True

    def _take_request(self, parser: Any) -> None:
        """A request starts at once if it may run beside the ones before it."""
        request = Request(self, parser, self._head, self._body, self.context.now_ms())
        self._body = RequestBody()
        self.requests.append(request)
        self.forwarder.read(request)
        if request.answer is not None:
            self.flush()
        elif request.route.pure or len(self.requests) == 1:
            self.forwarder.start(request)

    def _answer_unread(self, status: int, text: str) -> None:
        """Queues an answer to what could not be read, and ends the connection behind it."""
        self._last_read = True
        self._stop_timer()
        self._body.release()
        request = Request(self, self._parser, None, self._body, self.context.now_ms())
        request.closes = True
        request.answer = Answer(status, b"", self._refusal_headers(status), text.encode())
        self.requests.append(request)
        self.flush()

    def _refusal_headers(self, status: int) -> Headers:
        headers = [(b"Content-Type", b"text/plain")]
        if status == UNAVAILABLE:
            headers.append((b"Retry-After", RETRY_AFTER_S))
        id = dict(self._head.headers).get(ATTEMPT_ID) if self._head is not None else None
        if id is not None:
            headers.append((b"Attempt-Id", id))
        return headers

    # answering

    def flush(self) -> None:
        """Writes the answers that are due, in order, and starts the next request where it had to
        wait.
        """
        while self.requests and self.requests[0].answer is not None:
            if not self._write(self.requests.popleft()):
                self._on_client_gone()
                return
        if self.requests and not self.requests[0].started:
            self.forwarder.start(self.requests[0])
        if not self.requests:
            if self._last_read:
                self.transport.close()
                return
            if self._read_since_ms is None:
                self._restart_timer(self.forwarder.snapshot.limits.idle_ms)
        if self._unread and len(self.requests) < MOST_READ_AHEAD:
            data, self._unread = self._unread, b""
            self._resume_reading()
            self.data_received(data)

    def _write(self, request: Request) -> bool:
        """Writes one answer; returns False where the connection ends behind it."""
        answer = request.answer
        if self.transport.is_closing() or answer is None:
            return False
        if answer is NOT_WRITTEN:
            self.transport.abort()
            return False
        if self.forwarder.leaving:
            self.stop_reading()
        closes = request.closes or (self._last_read and not self.requests)
        try:
            data = _encode_answer(request, answer, closes)
        except h11.LocalProtocolError as error:
            self.context.log.warning("forwarder: an answer can't be written: %s.", error)
            self.transport.abort()
            return False
        self.transport.write(data)
        if closes:
            self._linger()
            return False
        if request.parser.our_state is not h11.DONE:
            self.transport.close()
            return False
        return True

    # the end

    def eof_received(self) -> bool:
        """The client has closed its side: it has gone, and what it waited for is given up."""
        self._last_read = True
        self._on_client_gone()
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self._stop_timer()
        self._body.release()
        self.forwarder.connections.discard(self)
        self._on_client_gone()

    def _on_client_gone(self) -> None:
        """Gives up every request that was read and isn't answered yet."""
        for request in self.requests:
            self.forwarder.on_client_gone(request)
        self.requests.clear()


def _encode_answer(request: Request, answer: Answer, closes: bool) -> bytes:
    """An answer's bytes.

    Raises:
        h11.LocalProtocolError: it can't be written in the protocol.
    """
    parser = request.parser
    has_length = answer.status not in BODILESS_STATUSES
    headers = list(answer.headers)
    if has_length:
        headers.append((b"Content-Length", str(len(answer.body)).encode()))
    if closes:
        headers.append((b"Connection", b"close"))
    data: bytes = parser.send(
        h11.Response(status_code=answer.status, headers=headers, reason=answer.reason)
    )
    if answer.body and has_length and request.method != b"HEAD":
        data += parser.send(h11.Data(data=answer.body))
    data += parser.send(h11.EndOfMessage())
    return data

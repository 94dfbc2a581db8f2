"""Connections from clients: pipelined requests are read ahead and answered in order."""

import asyncio
from collections import deque

import h11

from stagevale.forwarding import Request

AHEAD = 8


class ClientConnection(asyncio.Protocol):
    """One connection of a client: owns its parser, its queue of requests and its timers."""

    __slots__ = (
        "forwarder",
        "transport",
        "parser",
        "requests",
        "head",
        "body",
        "size",
        "timer",
        "last_read",
        "pending",
        "paused",
        "started_ms",
    )

    def __init__(self, forwarder):
        self.forwarder = forwarder
        self.transport = None
        self.parser = None
        self.requests = deque()
        self.head = None
        self.body = []
        self.size = 0
        self.timer = None
        self.last_read = False
        self.pending = b""
        self.paused = False
        self.started_ms = None

    def connection_made(self, transport):
        self.transport = transport
        self.forwarder.connections.add(self)
        self.fresh(b"")

    def fresh(self, data):
        """Makes ready to read the next request from the bytes that follow the last."""
        limits = self.forwarder.snapshot.limits
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_max_bytes)
        self.head = None
        self.started_ms = None
        self.watch(limits.idle_ms)
        if data:
            self.parser.receive_data(data)
            self.began()

    def began(self):
        if self.started_ms is None:
            self.started_ms = self.forwarder.context.now_ms()
            self.watch(self.forwarder.snapshot.limits.header_read_ms)

    def watch(self, delay_ms):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.forwarder.context.call_later(delay_ms, self.too_slow)

    def too_slow(self):
        self.timer = None
        if self.started_ms is None:
            if not self.requests:
                self.transport.close()
            return
        if not self.last_read:
            self.last_read = True
            self.own_answer(408, "the request took too long to come")

    def data_received(self, data):
        if self.last_read:
            return
        if len(self.requests) >= AHEAD:
            self.pending += data
            if (
                len(self.pending) > self.forwarder.snapshot.limits.header_max_bytes
                and not self.paused
            ):
                self.paused = True
                self.transport.pause_reading()
            return
        self.began()
        self.parser.receive_data(data)
        self.read()

    def read(self):
        try:
            while not self.last_read and len(self.requests) < AHEAD:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.head, self.body, self.size = event, [], 0
                    self.watch(self.forwarder.snapshot.limits.idle_ms)
                    names = [name for name, _ in event.headers]
                    if (
                        len(event.target)
                        + sum(len(name) + len(value) + 4 for name, value in event.headers)
                        > self.forwarder.snapshot.limits.header_max_bytes
                    ):
                        self.last_read = True
                        self.own_answer(431, "the head is over the limit")
                        return
                    if b"transfer-encoding" in names and b"content-length" in names:
                        self.last_read = True
                        self.own_answer(400, "two lengths for one body")
                        return
                    if self.parser.they_are_waiting_for_100_continue and not self.requests:
                        self.transport.write(
                            self.parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > self.forwarder.snapshot.limits.body_max_bytes:
                        self.last_read = True
                        self.own_answer(413, "the body is over the limit")
                        return
                    self.body.append(bytes(event.data))
                    self.watch(self.forwarder.snapshot.limits.idle_ms)
                elif isinstance(event, h11.EndOfMessage):
                    rest, _ = self.parser.trailing_data
                    parser = self.parser
                    closes = parser.their_state is not h11.DONE
                    self.take(parser)
                    if closes:
                        self.last_read = True
                        self.unwatch()
                        return
                    self.fresh(rest)
                elif isinstance(event, h11.ConnectionClosed):
                    self.last_read = True
                    self.unwatch()
                    if not self.requests:
                        self.transport.close()
                    return
        except h11.RemoteProtocolError as failure:
            self.last_read = True
            self.own_answer(
                failure.error_status_hint or 400, f"not a request in the protocol: {failure}"
            )

    def unwatch(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def take(self, parser):
        """A whole request has been read: it starts at once if it may run beside the ones
        before it.
        """
        request = Request(
            self, parser, self.head, b"".join(self.body), self.forwarder.context.now_ms()
        )
        self.requests.append(request)
        self.forwarder.read(request)
        if request.answer is None and (request.route.pure or len(self.requests) == 1):
            self.forwarder.begin(request)
        elif request.answer is not None:
            self.flush()

    def own_answer(self, status, text):
        """Queues an answer of our own for what could not be read, and ends the connection behind
        it.
        """
        self.unwatch()
        request = Request(self, self.parser, None, b"", self.forwarder.context.now_ms())
        request.closes = True
        request.answer = (status, b"", [("Content-Type", "text/plain")], text.encode())
        self.requests.append(request)
        self.flush()

    def flush(self):
        """Writes the answers that are due, in order, and starts the next request where it had to
        wait.
        """
        while self.requests and self.requests[0].answer is not None:
            request = self.requests.popleft()
            if not self.write(request):
                self.abandon_all()
                return
        if self.requests and not self.requests[0].begun:
            self.forwarder.begin(self.requests[0])
        if not self.requests:
            if self.last_read:
                self.transport.close()
                return
            if self.started_ms is None:
                self.watch(self.forwarder.snapshot.limits.idle_ms)
        if self.pending and len(self.requests) < AHEAD:
            data, self.pending = self.pending, b""
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.data_received(data)

    def write(self, request):
        """Writes one answer; returns False where the connection ends behind it."""
        if self.transport.is_closing():
            return False
        status, reason, headers, body = request.answer
        if status is None:
            self.transport.abort()
            return False
        closes = request.closes or (self.forwarder.leaving and not self.requests)
        parts = list(headers)
        if status not in (204, 304):
            parts.append(("Content-Length", str(len(body))))
        if closes:
            parts.append(("Connection", "close"))
        try:
            out = request.parser.send(
                h11.Response(status_code=status, headers=parts, reason=reason)
            )
            if body and status not in (204, 304) and request.method != b"HEAD":
                out += request.parser.send(h11.Data(data=body))
            out += request.parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as failure:
            self.forwarder.context.log.warning(
                "forwarder: an answer can't be written: %s.", failure
            )
            self.transport.abort()
            return False
        self.transport.write(out)
        if closes or request.parser.our_state is not h11.DONE:
            self.transport.close()
            return False
        return True

    def eof_received(self):
        """The client has closed its side: it has gone, and what it waited for is given up."""
        self.last_read = True
        self.abandon_all()
        return False

    def connection_lost(self, failure):
        self.unwatch()
        self.forwarder.connections.discard(self)
        self.abandon_all()

    def abandon_all(self):
        """Gives up every request that was read and isn't answered yet."""
        for request in self.requests:
            self.forwarder.abandon(request)
        self.requests.clear()

    def idle(self):
        return not self.requests and self.started_ms is None

"""Connections to endpoints: one Protocol object per connection owns its parser, its request and its
timers.
"""

import asyncio

import h11

from stagevale.rpc import codec

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
ANSWER_BYTES = 64 * 1024 * 1024


class Answer:
    """A whole answer of an endpoint."""

    __slots__ = ("status", "reason", "headers", "body", "fields")

    def __init__(self, status, reason, headers, body, fields):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body
        self.fields = fields


class EndpointConnection(asyncio.Protocol):
    """One connection to an endpoint; carries one request at a time."""

    __slots__ = (
        "forwarder",
        "target",
        "transport",
        "parser",
        "request",
        "head",
        "body",
        "size",
        "keep_ms",
        "timer",
        "opened_ms",
        "written",
        "closing",
        "surplus",
        "ended",
        "carried",
    )

    def __init__(self, forwarder, target):
        self.forwarder = forwarder
        self.target = target
        self.transport = None
        self.parser = h11.Connection(h11.CLIENT)
        self.request = None
        self.head = None
        self.body = []
        self.size = 0
        self.keep_ms = forwarder.context.settings.bounds.contact_ms * 0.9
        self.timer = None
        self.opened_ms = forwarder.context.now_ms()
        self.written = False
        self.closing = False
        self.surplus = 0
        self.ended = False
        self.carried = 0

    def open(self, request):
        """Opens the connection and then sends the request."""
        self.request = request
        self.target.open += 1
        silence_ms = self.forwarder.context.settings.bounds.contact_ms / 14.0
        self.forwarder.context.connect(
            codec.socket_address(self.target.address),
            self,
            self.not_opened,
            silence_ms,
            self.forwarder.context.settings.bounds.contact_ms,
        )

    def not_opened(self, failure):
        if self.transport is None and not self.closing:
            self.closing = True
            self.target.open -= 1
            request, self.request = self.request, None
            if request is not None:
                self.forwarder.not_sent(request, self.target, failure)

    def connection_made(self, transport):
        self.transport = transport
        self.forwarder.chooser.connected(
            self.target, self.forwarder.context.now_ms() - self.opened_ms
        )
        if self.closing:
            transport.abort()
            return
        if self.request is None:
            self.close()
            return
        self.write()

    def send(self, request):
        """Sends a request on a connection that was idle."""
        self.request = request
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.write()

    def write(self):
        request = self.request
        self.head, self.body, self.size = None, [], 0
        left_ms = int(request.deadline_ms - self.forwarder.context.now_ms())
        if left_ms <= 0:
            self.request = None
            self.park()
            self.forwarder.not_sent(request, self.target, None)
            return
        headers = request.headers + [
            (b"Deadline-Ms", str(left_ms).encode()),
            (b"Expect-Instance", self.target.id.encode()),
        ]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        try:
            data = self.parser.send(
                h11.Request(method=request.method, target=request.target, headers=headers)
            )
            if request.body:
                data += self.parser.send(h11.Data(data=request.body))
            data += self.parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as failure:
            self.request = None
            self.close()
            self.forwarder.broken(request, self.target, f"can't be sent: {failure}", False)
            return
        if not self.forwarder.may_use(self.target):
            self.request = None
            self.close()
            self.forwarder.not_sent(request, self.target, None)
            return
        if not self.forwarder.may_offer(request):
            self.request = None
            self.close()
            self.forwarder.unoffered(request, self.target)
            return
        self.written = True
        self.carried += 1
        self.forwarder.sent(request, self.target)
        self.transport.write(data)

    def data_received(self, data):
        if self.request is None:
            self.close()
            return
        self.parser.receive_data(data)
        self.read()

    def read(self):
        try:
            while self.request is not None:
                event = self.parser.next_event()
                if event is h11.NEED_DATA:
                    return
                if isinstance(event, h11.Response):
                    self.head = event
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > ANSWER_BYTES:
                        self.fail("answer over the bound")
                        return
                    self.body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if not self.complete():
                        return
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    self.fail("closed before an answer")
                    return
        except h11.RemoteProtocolError as failure:
            self.fail(f"no answer in the protocol: {failure}")

    def complete(self):
        """A whole answer has come; returns True where it was a surplus one and the request's may
        still follow.
        """
        request, head = self.request, self.head
        fields = {}
        for name, value in head.headers:
            fields[name] = value
        framed = (
            b"content-length" in fields
            or b"transfer-encoding" in fields
            or head.status_code in (204, 304)
            or request.method == b"HEAD"
        )
        id = fields.get(b"attempt-id")
        not_run = b"not-run" in fields or head.status_code == 421
        if id is None and not_run and self.carried > 1 and not request.route.pure:
            self.fail("a refusal without an id, perhaps of a request before this one")
            return False
        if id != request.attempt_id and not (id is None and not_run):
            if (
                id is None
                or not framed
                or self.parser.their_state is not h11.DONE
                or self.surplus >= 2
            ):
                self.fail("an answer to something else")
                return False
            self.surplus += 1
            rest = self.parser.trailing_data[0]
            self.parser = h11.Connection(h11.CLIENT)
            self.parser.send(
                h11.Request(method=request.method, target=request.target, headers=[(b"Host", b"x")])
            )
            self.parser.send(h11.EndOfMessage())
            self.head, self.body, self.size = None, [], 0
            if rest:
                self.parser.receive_data(rest)
            return True
        if not framed and not self.ended:
            self.fail("an answer without a length")
            return False
        headers = [
            (name, value)
            for name, value in head.headers.raw_items()
            if name.lower() not in HOP_HEADERS
        ]
        answer = Answer(head.status_code, bytes(head.reason), headers, b"".join(self.body), fields)
        self.request = None
        keep = fields.get(b"keep-alive", b"")
        if keep:
            self.read_keep_alive(keep)
        reusable = (
            self.parser.their_state is h11.DONE
            and self.parser.our_state is h11.DONE
            and not self.parser.trailing_data[0]
            and not self.surplus
            and not self.transport.get_write_buffer_size()
        )
        if reusable:
            self.parser.start_next_cycle()
            self.park()
        else:
            self.close()
        self.forwarder.answered(request, self.target, answer)
        return False

    def read_keep_alive(self, text):
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self.keep_ms = max(200.0, int(value) * 1000.0 * 0.75)

    def park(self):
        """Keeps the connection for a later request, for a shorter time than the endpoint does."""
        if self.closing or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self.target.idle.append(self)
        self.timer = self.forwarder.context.call_later(self.keep_ms, self.close)

    def fail(self, why):
        request, self.request = self.request, None
        self.close()
        if request is not None:
            self.forwarder.broken(request, self.target, why, self.head is None)

    def give_up(self):
        """Closes the connection under its request, which nobody waits for any more."""
        self.request = None
        self.close()

    def close(self):
        if self.closing:
            return
        self.closing = True
        if self.timer is not None:
            self.timer.cancel()
        if self in self.target.idle:
            self.target.idle.remove(self)
        if self.transport is not None:
            self.target.open -= 1
            self.transport.abort() if self.request is None and self.written else self.transport.close()
        else:
            self.target.open -= 1

    def eof_received(self):
        """The endpoint ended the connection in order: an answer without a length is whole now."""
        self.ended = True
        if self.request is not None:
            self.parser.receive_data(b"")
            self.read()
        if self.request is not None:
            self.fail("closed before the answer was whole")
        self.close()
        return False

    def connection_lost(self, failure):
        if self.request is not None:
            self.fail(f"lost: {failure!r}")
        self.close()

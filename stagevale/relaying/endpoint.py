"""Streams to endpoints: one Protocol object per stream owns its parser, its job and its timers."""
import asyncio

import h11

from stagevale import wire

HOP_HEADERS = frozenset((b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization",
                         b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
                         b"content-length"))
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


class EndpointStream(asyncio.Protocol):
    """One stream to an endpoint; carries one job at a time."""

    __slots__ = ("relay", "target", "transport", "parser", "job", "head", "body", "size", "keep_ms",
                 "timer", "opened_ms", "written", "closing", "surplus")

    def __init__(self, relay, target):
        self.relay = relay
        self.target = target
        self.transport = None
        self.parser = h11.Connection(h11.CLIENT)
        self.job = None
        self.head = None
        self.body = []
        self.size = 0
        self.keep_ms = relay.context.settings.bounds.contact_ms * 0.9
        self.timer = None
        self.opened_ms = relay.context.now_ms()
        self.written = False
        self.closing = False
        self.surplus = 0

    def open(self, job):
        """Opens the stream and then sends the job."""
        self.job = job
        self.target.open += 1
        silence_ms = self.relay.context.settings.bounds.contact_ms / 14.0
        self.relay.context.connect(wire.pair(self.target.address), self, self.not_opened, silence_ms,
                                   self.relay.context.settings.bounds.contact_ms)

    def not_opened(self, problem):
        if self.transport is None and not self.closing:
            self.closing = True
            self.target.open -= 1
            job, self.job = self.job, None
            if job is not None:
                self.relay.not_sent(job, self.target, problem)

    def connection_made(self, transport):
        self.transport = transport
        self.relay.chooser.connected(self.target, self.relay.context.now_ms() - self.opened_ms)
        if self.closing:
            transport.abort()
            return
        if self.job is None:
            self.close()
            return
        self.write()

    def send(self, job):
        """Sends a job on a stream that was idle."""
        self.job = job
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.write()

    def write(self):
        job = self.job
        self.head, self.body, self.size = None, [], 0
        left_ms = int(job.cutoff_ms - self.relay.context.now_ms())
        if left_ms <= 0:
            self.job = None
            self.park()
            self.relay.not_sent(job, self.target, None)
            return
        headers = job.headers + [(b"Deadline-Ms", str(left_ms).encode()),
                                 (b"Expect-Instance", self.target.id.encode())]
        if job.body or job.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"Content-Length", str(len(job.body)).encode()))
        try:
            data = self.parser.send(h11.Request(method=job.method, target=job.target, headers=headers))
            if job.body:
                data += self.parser.send(h11.Data(data=job.body))
            data += self.parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as problem:
            self.job = None
            self.close()
            self.relay.broken(job, self.target, f"can't be sent: {problem}", False)
            return
        if not self.relay.may_use(self.target):
            self.job = None
            self.close()
            self.relay.not_sent(job, self.target, None)
            return
        if not self.relay.may_offer(job):
            self.job = None
            self.close()
            self.relay.unoffered(job, self.target)
            return
        self.written = True
        self.relay.sent(job, self.target)
        self.transport.write(data)

    def data_received(self, data):
        if self.job is None:
            self.close()
            return
        self.parser.receive_data(data)
        self.read()

    def read(self):
        try:
            while self.job is not None:
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
        except h11.RemoteProtocolError as problem:
            self.fail(f"no answer in the protocol: {problem}")

    def complete(self):
        """A whole answer has come; returns True where it was a surplus one and the job's may still follow."""
        job, head = self.job, self.head
        fields = {}
        for name, value in head.headers:
            fields[name] = value
        framed = b"content-length" in fields or b"transfer-encoding" in fields or head.status_code in (204, 304) \
            or job.method == b"HEAD"
        id = fields.get(b"attempt-id")
        not_run = b"not-run" in fields or head.status_code == 421
        if id != job.attempt_id and not (id is None and not_run):
            if id is None or not framed or self.parser.their_state is not h11.DONE or self.surplus >= 2:
                self.fail("an answer to something else")
                return False
            self.surplus += 1
            rest = self.parser.trailing_data[0]
            self.parser = h11.Connection(h11.CLIENT)
            self.parser.send(h11.Request(method=job.method, target=job.target, headers=[(b"Host", b"x")]))
            self.parser.send(h11.EndOfMessage())
            self.head, self.body, self.size = None, [], 0
            if rest:
                self.parser.receive_data(rest)
            return True
        if not framed:
            self.fail("an answer without a length")
            return False
        headers = [(name, value) for name, value in head.headers.raw_items() if name.lower() not in HOP_HEADERS]
        answer = Answer(head.status_code, bytes(head.reason), headers, b"".join(self.body), fields)
        self.job = None
        keep = fields.get(b"keep-alive", b"")
        if keep:
            self.read_keep_alive(keep)
        reusable = (self.parser.their_state is h11.DONE and self.parser.our_state is h11.DONE
                    and not self.parser.trailing_data[0] and not self.surplus)
        if reusable:
            self.parser.start_next_cycle()
            self.park()
        else:
            self.close()
        self.relay.answered(job, self.target, answer)
        return False

    def read_keep_alive(self, text):
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self.keep_ms = max(200.0, int(value) * 1000.0 * 0.75)

    def park(self):
        """Keeps the stream for a later job, for a shorter time than the endpoint does."""
        if self.closing or self.transport is None or self.transport.is_closing():
            self.close()
            return
        self.target.idle.append(self)
        self.timer = self.relay.context.after(self.keep_ms, self.close)

    def fail(self, why):
        job, self.job = self.job, None
        self.close()
        if job is not None:
            self.relay.broken(job, self.target, why, self.head is None)

    def give_up(self):
        """Closes the stream under its job, which nobody waits for any more."""
        self.job = None
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
            self.transport.abort() if self.job is None and self.written else self.transport.close()
        else:
            self.target.open -= 1

    def eof_received(self):
        if self.job is not None:
            self.parser.receive_data(b"")
            self.read()
        if self.job is not None:
            self.fail("closed before the answer was whole")
        self.close()
        return False

    def connection_lost(self, problem):
        if self.job is not None:
            self.fail(f"lost: {problem!r}")
        self.close()

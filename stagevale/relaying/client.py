"""Streams from clients: pipelined jobs are read ahead and answered in order."""
import asyncio
from collections import deque

import h11

from stagevale.relaying import Job

AHEAD = 8


class ClientStream(asyncio.Protocol):
    """One stream of a client: owns its parser, its queue of jobs and its timers."""

    __slots__ = ("relay", "transport", "parser", "jobs", "request", "body", "size", "timer", "last_read",
                 "pending", "paused", "started_ms")

    def __init__(self, relay):
        self.relay = relay
        self.transport = None
        self.parser = None
        self.jobs = deque()
        self.request = None
        self.body = []
        self.size = 0
        self.timer = None
        self.last_read = False
        self.pending = b""
        self.paused = False
        self.started_ms = None

    def connection_made(self, transport):
        self.transport = transport
        self.relay.streams.add(self)
        self.fresh(b"")

    def fresh(self, data):
        """Makes ready to read the next job from the bytes that follow the last."""
        limits = self.relay.digest.limits
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_max_bytes)
        self.request = None
        self.started_ms = None
        self.watch(limits.idle_ms)
        if data:
            self.parser.receive_data(data)
            self.began()

    def began(self):
        if self.started_ms is None:
            self.started_ms = self.relay.context.now_ms()
            self.watch(self.relay.digest.limits.header_read_ms)

    def watch(self, delay_ms):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.relay.context.after(delay_ms, self.too_slow)

    def too_slow(self):
        self.timer = None
        if self.started_ms is None:
            if not self.jobs:
                self.transport.close()
            return
        if not self.last_read:
            self.last_read = True
            self.own_answer(408, "the job took too long to come")

    def data_received(self, data):
        if self.last_read:
            return
        if len(self.jobs) >= AHEAD:
            self.pending += data
            if len(self.pending) > self.relay.digest.limits.header_max_bytes and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        self.began()
        self.parser.receive_data(data)
        self.read()

    def read(self):
        try:
            while not self.last_read and len(self.jobs) < AHEAD:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body, self.size = event, [], 0
                    self.watch(self.relay.digest.limits.idle_ms)
                    names = [name for name, _ in event.headers]
                    if len(event.target) + sum(len(name) + len(value) + 4 for name, value in event.headers) \
                            > self.relay.digest.limits.header_max_bytes:
                        self.last_read = True
                        self.own_answer(431, "the head is over the limit")
                        return
                    if b"transfer-encoding" in names and b"content-length" in names:
                        self.last_read = True
                        self.own_answer(400, "two lengths for one body")
                        return
                    if self.parser.they_are_waiting_for_100_continue and not self.jobs:
                        self.transport.write(self.parser.send(h11.InformationalResponse(status_code=100, headers=[])))
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > self.relay.digest.limits.body_max_bytes:
                        self.last_read = True
                        self.own_answer(413, "the body is over the limit")
                        return
                    self.body.append(bytes(event.data))
                    self.watch(self.relay.digest.limits.idle_ms)
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
                    if not self.jobs:
                        self.transport.close()
                    return
        except h11.RemoteProtocolError as problem:
            self.last_read = True
            self.own_answer(problem.error_status_hint or 400, f"not a job in the protocol: {problem}")

    def unwatch(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def take(self, parser):
        """A whole job has been read: it starts at once if it may run beside the ones before it."""
        job = Job(self, parser, self.request, b"".join(self.body), self.relay.context.now_ms())
        self.jobs.append(job)
        self.relay.read(job)
        if job.answer is None and (job.route.pure or len(self.jobs) == 1):
            self.relay.begin(job)
        elif job.answer is not None:
            self.flush()

    def own_answer(self, status, text):
        """Queues an answer of our own for what could not be read, and ends the stream behind it."""
        self.unwatch()
        job = Job(self, self.parser, None, b"", self.relay.context.now_ms())
        job.closes = True
        job.answer = (status, b"", [("Content-Type", "text/plain")], text.encode())
        self.jobs.append(job)
        self.flush()

    def flush(self):
        """Writes the answers that are due, in order, and starts the next job where it had to wait."""
        while self.jobs and self.jobs[0].answer is not None:
            job = self.jobs.popleft()
            if not self.write(job):
                for later in self.jobs:
                    self.relay.abandon(later)
                self.jobs.clear()
                return
        if self.jobs and not self.jobs[0].begun:
            self.relay.begin(self.jobs[0])
        if not self.jobs:
            if self.last_read:
                self.transport.close()
                return
            if self.started_ms is None:
                self.watch(self.relay.digest.limits.idle_ms)
        if self.pending and len(self.jobs) < AHEAD:
            data, self.pending = self.pending, b""
            if self.paused:
                self.paused = False
                self.transport.resume_reading()
            self.data_received(data)

    def write(self, job):
        """Writes one answer; returns False where the stream ends behind it."""
        if self.transport.is_closing():
            return False
        status, reason, headers, body = job.answer
        if status is None:
            self.transport.abort()
            return False
        closes = job.closes or (self.relay.leaving and not self.jobs)
        parts = list(headers)
        if status not in (204, 304):
            parts.append(("Content-Length", str(len(body))))
        if closes:
            parts.append(("Connection", "close"))
        try:
            out = job.parser.send(h11.Response(status_code=status, headers=parts, reason=reason))
            if body and status not in (204, 304) and job.method != b"HEAD":
                out += job.parser.send(h11.Data(data=body))
            out += job.parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError as problem:
            self.relay.context.log.warning("relay: an answer can't be written: %s.", problem)
            self.transport.abort()
            return False
        self.transport.write(out)
        if closes or job.parser.our_state is not h11.DONE:
            self.transport.close()
            return False
        return True

    def eof_received(self):
        self.last_read = True
        if not self.jobs:
            return False
        return True

    def connection_lost(self, problem):
        self.unwatch()
        self.relay.streams.discard(self)
        for job in self.jobs:
            self.relay.abandon(job)
        self.jobs.clear()

    def idle(self):
        return not self.jobs and self.started_ms is None

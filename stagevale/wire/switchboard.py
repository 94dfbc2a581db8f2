"""Streams between colleagues: one Protocol object per stream, one switchboard per daemon."""
import asyncio
import struct

from stagevale import wire


class ColleagueStream(asyncio.Protocol):
    """One TCP stream to or from a colleague; frames in, frames out."""

    __slots__ = ("board", "peer", "transport", "buffer", "dialled", "waiting", "ready_to_send")

    def __init__(self, board, peer, dialled):
        self.board = board
        self.peer = peer
        self.dialled = dialled
        self.transport = None
        self.buffer = bytearray()
        self.waiting = []
        self.ready_to_send = False

    def connection_made(self, transport):
        self.transport = transport
        if self.dialled:
            self.ready_to_send = True
            self.write(wire.pack([wire.HELLO, 0, self.board.address]))
            for data in self.waiting:
                self.write(data)
            self.waiting = []

    def send(self, data):
        if self.ready_to_send:
            self.write(data)
        else:
            self.waiting.append(data)

    def write(self, data):
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(struct.pack("!I", len(data)) + data)

    def data_received(self, data):
        self.buffer += data
        while len(self.buffer) >= 4:
            size = struct.unpack_from("!I", self.buffer)[0]
            if size > wire.MAX_FRAME_BYTES:
                self.board.context.log.warning("wire: a frame of %d bytes from %s, stream closed.", size, self.peer)
                self.transport.abort()
                return
            if len(self.buffer) < 4 + size:
                return
            frame = bytes(self.buffer[4:4 + size])
            del self.buffer[:4 + size]
            try:
                message = wire.unpack(frame, "frame", self.peer)
                self.board.arrived(self, message)
            except wire.WireProblem as problem:
                self.board.context.log.warning("wire: unreadable: %s, stream closed.", problem)
                self.transport.abort()
                return
            except (ValueError, TypeError, IndexError, KeyError, AttributeError) as problem:
                self.board.context.log.warning("wire: message from %s not understood: %r, stream closed.",
                                               self.peer, problem)
                self.transport.abort()
                return

    def connection_lost(self, problem):
        self.board.lost(self, problem)


class Call:
    """A question to a colleague that still waits for its answer."""

    __slots__ = ("stream", "done", "timer", "peer")

    def __init__(self, stream, done, timer, peer):
        self.stream = stream
        self.done = done
        self.timer = timer
        self.peer = peer


class Switchboard:
    """Keeps the streams to colleagues, hands messages to their handlers, and matches answers to calls."""

    __slots__ = ("context", "address", "streams", "handlers", "calls", "call_no", "lost_hooks", "silence_ms")

    def __init__(self, context, address):
        self.context = context
        self.address = address
        self.streams = {}
        self.handlers = {}
        self.calls = {}
        self.call_no = 0
        self.lost_hooks = []
        self.silence_ms = context.settings.bounds.contact_ms * 0.35

    def start(self):
        """Begins to listen for colleagues."""
        return self.context.listen(wire.pair(self.address), lambda: ColleagueStream(self, "", False))

    def on(self, kind, handler):
        """Sets the handler of a kind: handler(peer, body, reply), where reply is None for a cast."""
        self.handlers[kind] = handler

    def stream_to(self, peer):
        streams = self.streams.get(peer)
        if streams:
            return streams[-1]
        stream = ColleagueStream(self, peer, True)
        self.streams.setdefault(peer, []).append(stream)
        self.context.connect(wire.pair(peer), stream, lambda problem: self.lost(stream, problem),
                             self.silence_ms, self.silence_ms)
        return stream

    def cast(self, peer, kind, body):
        """Sends a message that wants no answer."""
        if peer != self.address:
            self.stream_to(peer).send(wire.pack([kind, 0, body]))
        else:
            self.context.soon(self.handlers[kind], peer, body, None)

    def call(self, peer, kind, body, cutoff_ms, done):
        """Sends a question; `done(answer, problem)` is called exactly once."""
        if peer == self.address:
            self.context.soon(self.handlers[kind], peer, body, lambda answer: done(answer, None))
            return
        self.call_no += 1
        call_no = self.call_no
        stream = self.stream_to(peer)
        timer = self.context.after(cutoff_ms, self.give, call_no, None, "no answer in time")
        self.calls[call_no] = Call(stream, done, timer, peer)
        stream.send(wire.pack([kind, call_no, body]))

    def give(self, call_no, answer, problem):
        call = self.calls.pop(call_no, None)
        if call is not None:
            call.timer.cancel()
            call.done(answer, problem)

    def arrived(self, stream, message):
        kind, call_no, body = message[0], message[1], message[2]
        if kind == wire.HELLO:
            if not isinstance(body, str) or body.count(".") != 3:
                raise wire.WireProblem("hello", stream.peer, "no address")
            stream.peer = body
            stream.ready_to_send = True
            self.streams.setdefault(body, []).append(stream)
            return
        if kind == wire.ANSWER:
            self.give(call_no, body, None)
            return
        if not stream.peer:
            raise wire.WireProblem("first message", "an unnamed peer", "no hello")
        handler = self.handlers.get(kind)
        if handler is None:
            raise wire.WireProblem(f"kind {kind}", stream.peer, "not handled here")
        if call_no:
            handler(stream.peer, body, lambda answer: stream.send(wire.pack([wire.ANSWER, call_no, answer])))
        else:
            handler(stream.peer, body, None)

    def lost(self, stream, problem):
        streams = self.streams.get(stream.peer, [])
        if stream in streams:
            streams.remove(stream)
            if not streams:
                self.streams.pop(stream.peer, None)
        stream.waiting = []
        for call_no, call in list(self.calls.items()):
            if call.stream is stream:
                self.give(call_no, None, f"stream lost: {problem!r}")
        if stream.peer:
            for hook in self.lost_hooks:
                hook(stream.peer)

    def hang_up(self, peer):
        """Closes every stream to a colleague."""
        for stream in list(self.streams.get(peer, [])):
            if stream.transport is not None:
                stream.transport.abort()

"""Connections between peers: one Protocol object per connection, one switchboard per daemon."""

import asyncio
import struct

from stagevale import wire

LATE = "no answer in time"


class PeerConnection(asyncio.Protocol):
    """One TCP connection to or from a peer; frames in, frames out."""

    __slots__ = (
        "switchboard",
        "peer",
        "transport",
        "buffer",
        "dialled",
        "waiting",
        "ready_to_send",
    )

    def __init__(self, switchboard, peer, dialled):
        self.switchboard = switchboard
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
            self.write(wire.pack([wire.HELLO, 0, self.switchboard.address]))
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
                self.switchboard.context.log.warning(
                    "wire: a frame of %d bytes from %s, connection closed.", size, self.peer
                )
                self.transport.abort()
                return
            if len(self.buffer) < 4 + size:
                return
            frame = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            try:
                message = wire.unpack(frame, "frame", self.peer)
                self.switchboard.arrived(self, message)
            except wire.WireFailure as failure:
                self.switchboard.context.log.warning(
                    "wire: unreadable: %s, connection closed.", failure
                )
                self.transport.abort()
                return
            except (ValueError, TypeError, IndexError, KeyError, AttributeError) as failure:
                self.switchboard.context.log.warning(
                    "wire: message from %s not understood: %r, connection closed.",
                    self.peer,
                    failure,
                )
                self.transport.abort()
                return

    def connection_lost(self, failure):
        self.switchboard.lost(self, failure)


class Call:
    """A question to a peer that still waits for its answer."""

    __slots__ = ("connection", "done", "timer", "peer", "expires_ms")

    def __init__(self, connection, done, timer, peer, expires_ms):
        self.expires_ms = expires_ms
        self.connection = connection
        self.done = done
        self.timer = timer
        self.peer = peer


class Switchboard:
    """Keeps the connections to peers, hands messages to their handlers, and matches answers to
    calls.
    """

    __slots__ = (
        "context",
        "address",
        "connections",
        "handlers",
        "calls",
        "call_no",
        "lost_hooks",
        "silence_ms",
    )

    def __init__(self, context, address):
        self.context = context
        self.address = address
        self.connections = {}
        self.handlers = {}
        self.calls = {}
        self.call_no = 0
        self.lost_hooks = []
        self.silence_ms = context.settings.bounds.contact_ms * 0.35

    def start(self):
        """Begins to listen for peers."""
        return self.context.listen(wire.pair(self.address), lambda: PeerConnection(self, "", False))

    def on(self, kind, handler):
        """Sets the handler of a kind: handler(peer, body, reply), where reply is None for a
        cast.
        """
        self.handlers[kind] = handler

    def connection_to(self, peer):
        connections = self.connections.get(peer)
        if connections:
            return connections[-1]
        connection = PeerConnection(self, peer, True)
        self.connections.setdefault(peer, []).append(connection)
        self.context.connect(
            wire.pair(peer),
            connection,
            lambda failure: self.lost(connection, failure),
            self.silence_ms,
            self.silence_ms,
        )
        return connection

    def send(self, peer, kind, body):
        """Sends a message that wants no answer."""
        if peer != self.address:
            self.connection_to(peer).send(wire.pack([kind, 0, body]))
        else:
            self.context.soon(self.handlers[kind], peer, body, None)

    def call(self, peer, kind, body, deadline_ms, done):
        """Sends a question; `done(answer, failure)` is called exactly once."""
        if peer == self.address:
            self.context.soon(self.handlers[kind], peer, body, lambda answer: done(answer, None))
            return
        self.call_no += 1
        call_no = self.call_no
        connection = self.connection_to(peer)
        timer = self.context.after(deadline_ms, self.give, call_no, None, LATE)
        expires_ms = self.context.now_ms() + deadline_ms
        self.calls[call_no] = Call(connection, done, timer, peer, expires_ms)
        connection.send(wire.pack([kind, call_no, body]))

    def give(self, call_no, answer, failure):
        call = self.calls.pop(call_no, None)
        if call is not None:
            call.timer.cancel()
            if failure is None and self.context.now_ms() > call.expires_ms:
                answer, failure = None, LATE
            call.done(answer, failure)

    def arrived(self, connection, message):
        kind, call_no, body = message[0], message[1], message[2]
        if kind == wire.HELLO:
            if not isinstance(body, str) or body.count(".") != 3:
                raise wire.WireFailure("hello", connection.peer, "no address")
            connection.peer = body
            connection.ready_to_send = True
            self.connections.setdefault(body, []).append(connection)
            return
        if kind == wire.ANSWER:
            self.give(call_no, body, None)
            return
        if not connection.peer:
            raise wire.WireFailure("first message", "an unnamed peer", "no hello")
        handler = self.handlers.get(kind)
        if handler is None:
            raise wire.WireFailure(f"kind {kind}", connection.peer, "not handled here")
        if call_no:
            handler(
                connection.peer,
                body,
                lambda answer: connection.send(wire.pack([wire.ANSWER, call_no, answer])),
            )
        else:
            handler(connection.peer, body, None)

    def lost(self, connection, failure):
        connections = self.connections.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                self.connections.pop(connection.peer, None)
        connection.waiting = []
        for call_no, call in list(self.calls.items()):
            if call.connection is connection:
                self.give(call_no, None, f"connection lost: {failure!r}")
        if connection.peer:
            for hook in self.lost_hooks:
                hook(connection.peer)

    def hang_up(self, peer):
        """Closes every connection to a peer."""
        for connection in list(self.connections.get(peer, [])):
            if connection.transport is not None:
                connection.transport.abort()

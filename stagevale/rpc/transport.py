"""Requests and one-way messages between daemons; matches replies to requests."""

import functools
from collections.abc import Callable
from typing import Any, TypeVar

from stagevale.rpc import codec
from stagevale.rpc.connection import PeerConnection
from stagevale.rpc.errors import (
    ConnectionLostError,
    DecodeError,
    MessageError,
    ReplyError,
    RequestError,
    RequestTimeoutError,
)
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body, read_message
from stagevale.rpc.request_terms import NO_TERMS, RequestTerms
from stagevale.runtime.context import Context, Timer

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")
Reply = Callable[[Any], None]
RawHandler = Callable[[str, Any, Reply], None]
Handler = Callable[[str, MessageT, Reply], None]
TermsHandler = Callable[[str, Any, Reply, RequestTerms], None]
OnRawReply = Callable[[Any, RequestError | None], None]
OnReply = Callable[[ReplyT | None, RequestError | None], None]
PeerLostHook = Callable[[str], None]

# A connection that is silent for this share of `contactMs` is given up, so that a partition is
# noticed before the members are judged.
SILENCE_SHARE = 0.35
IPV4_DOTS = 3


def no_reply(body: Any) -> None:
    """The reply function of a message that wants none."""


class PendingRequest:
    """A request whose reply has not come yet."""

    __slots__ = ("connection", "on_reply", "timer", "expires_ms")

    def __init__(
        self, connection: PeerConnection, on_reply: OnRawReply, timer: Timer, expires_ms: float
    ) -> None:
        self.connection = connection
        self.on_reply = on_reply
        self.timer = timer
        self.expires_ms = expires_ms


class RpcTransport:
    """A daemon's connections to its peers, the handlers of their messages, and open requests.

    Attributes:
        address: `ip:port` at which this daemon listens for its peers.
        peer_lost_hooks: called with a peer's address when a connection to it has ended.
        refusal_hooks: called with a peer's address where nothing listens.
    """

    __slots__ = (
        "context",
        "address",
        "connections",
        "handlers",
        "terms_handlers",
        "pending",
        "last_request_id",
        "peer_lost_hooks",
        "refusal_hooks",
        "silence_ms",
    )

    def __init__(self, context: Context, address: str) -> None:
        self.context = context
        self.address = address
        self.connections: dict[str, list[PeerConnection]] = {}
        self.handlers: dict[int, RawHandler] = {}
        self.terms_handlers: dict[int, TermsHandler] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.last_request_id = 0
        self.peer_lost_hooks: list[PeerLostHook] = []
        self.refusal_hooks: list[PeerLostHook] = []
        self.silence_ms = context.settings.bounds.contact_ms * SILENCE_SHARE

    def start(self) -> None:
        """Begins to listen for peers."""
        self.context.listen(
            codec.socket_address(self.address), lambda: PeerConnection(self, "", False)
        )

    # handlers

    def handle_raw(self, kind: int, handler: RawHandler) -> None:
        """Sets the handler(peer, body, reply) of a kind whose body isn't a typed message."""
        self.handlers[kind] = handler

    def handle_raw_with_terms(self, kind: int, handler: TermsHandler) -> None:
        """Sets the handler(peer, body, reply, terms) of a kind whose requests may bear terms."""
        self.terms_handlers[kind] = handler

    def handle(self, kind: int, message_type: type[MessageT], handler: Handler[MessageT]) -> None:
        """Sets the handler(peer, message, reply) of a kind.

        A body of another shape raises MessageError, which closes the connection it came on.
        `reply` does nothing for a message that wants no reply.
        """

        def read_and_handle(peer: str, body: Any, reply: Reply) -> None:
            try:
                message = read_message(message_type, body)
            except MessageError as error:
                error.step = f"kind {int(kind)}"
                error.peer = peer
                raise
            handler(peer, message, reply)

        self.handlers[kind] = read_and_handle

    # sending

    def send(self, peer: str, kind: int, body: Any) -> None:
        """Sends a message that wants no reply; whether it arrives isn't known."""
        if peer == self.address:
            self.context.call_soon(self.handlers[kind], peer, body, no_reply)
        else:
            data = codec.encode([kind, 0, body])
            self._connection_to(peer).send(lambda: data)

    def request(
        self,
        peer: str,
        kind: int,
        body: Any,
        reply_type: type[ReplyT],
        on_reply: OnReply[ReplyT],
        timeout_ms: float,
    ) -> None:
        """Sends a request and reads its reply as a typed message.

        Args:
            peer: address of the daemon that is to reply; it may be this one.
            kind: the kind of message.
            body: a typed message or another value that can be encoded.
            reply_type: the type of the reply, as for `read_message`.
            on_reply: called once with the reply and None, or with None and the error.
            timeout_ms: how long to wait for the reply.
        """

        def read_reply(body: Any, error: RequestError | None) -> None:
            reply = None
            if error is None:
                try:
                    reply = read_message(reply_type, body)
                except MessageError as cause:
                    error = ReplyError(peer, cause)
                    self.context.log.warning("rpc: reply from %s: %s.", peer, error)
            on_reply(reply, error)

        self.request_raw(peer, kind, body, read_reply, timeout_ms)

    def request_raw(
        self,
        peer: str,
        kind: int,
        body: Any,
        on_reply: OnRawReply,
        timeout_ms: float,
        terms: RequestTerms = NO_TERMS,
    ) -> None:
        """Sends a request whose reply isn't a typed message.

        Args:
            peer: as for `request`.
            kind: likewise.
            body: likewise.
            on_reply: called once with the reply's body and None, or with None and the error.
            timeout_ms: how long to wait for the reply.
            terms: travel with the request: of the deadline, which may lie behind the time-out,
                what is left when the frame is written.
        """
        if peer == self.address:
            self.context.call_soon(
                self._dispatch, peer, kind, body, lambda reply: on_reply(reply, None), terms
            )
            return
        self.last_request_id += 1
        request_id = self.last_request_id
        connection = self._connection_to(peer)
        timer = self.context.call_later(
            timeout_ms, self._finish, request_id, None, RequestTimeoutError(peer)
        )
        expires_ms = self.context.now_ms() + timeout_ms
        self.pending[request_id] = PendingRequest(connection, on_reply, timer, expires_ms)
        if terms == NO_TERMS:
            data = codec.encode([kind, request_id, body])
            connection.send(lambda: data)
        else:
            connection.send(lambda: self._encode_with_terms(kind, request_id, body, terms))

    def _encode_with_terms(
        self, kind: int, request_id: int, body: Any, terms: RequestTerms
    ) -> bytes:
        left_ms = self._left_ms(terms.deadline_ms) if terms.deadline_ms is not None else None
        return codec.encode(message_body((kind, request_id, body, left_ms, terms.basis_serial)))

    def _left_ms(self, deadline_ms: float) -> int:
        return max(0, int(deadline_ms - self.context.now_ms()))

    def _connection_to(self, peer: str) -> PeerConnection:
        connections = self.connections.get(peer)
        if connections:
            return connections[-1]
        connection = PeerConnection(self, peer, True)
        self.connections.setdefault(peer, []).append(connection)
        self.context.connect(
            codec.socket_address(peer),
            connection,
            functools.partial(self.connection_lost, connection),
            self.silence_ms,
            self.silence_ms,
        )
        return connection

    def _finish(self, request_id: int, reply: Any, error: RequestError | None) -> None:
        """Ends a request, unless it has ended before."""
        request = self.pending.pop(request_id, None)
        if request is None:
            return
        request.timer.cancel()
        if error is None and self.context.now_ms() > request.expires_ms:
            # This process stood still: the reply is older than the caller may rely on.
            reply, error = None, RequestTimeoutError(request.connection.peer)
        request.on_reply(reply, error)

    # receiving

    def frame_received(self, connection: PeerConnection, frame: codec.Frame) -> None:
        """Handles a frame.

        Raises:
            DecodeError: no handler takes this kind, or the peer hasn't said hello.
            MessageError: the handler's message has another shape.
        """
        if frame.kind == MessageKind.HELLO:
            self._hello_received(connection, frame.body)
            return
        if frame.kind == MessageKind.REPLY:
            self._finish(frame.request_id, frame.body, None)
            return
        if not connection.peer:
            raise DecodeError("first message", "an unnamed peer", "no hello")
        if frame.kind not in self.handlers and frame.kind not in self.terms_handlers:
            raise DecodeError(f"kind {frame.kind}", connection.peer, "not handled here")
        reply = no_reply
        if frame.request_id:
            reply = functools.partial(self._reply, connection, frame.request_id)
        terms = NO_TERMS
        if frame.left_ms is not None or frame.basis_serial is not None:
            terms = self._terms_of(frame)
        self._dispatch(connection.peer, frame.kind, frame.body, reply, terms)

    def _terms_of(self, frame: codec.Frame) -> RequestTerms:
        deadline_ms = None
        if frame.left_ms is not None:
            deadline_ms = self.context.now_ms() + frame.left_ms
        return RequestTerms(deadline_ms, frame.basis_serial)

    def _dispatch(self, peer: str, kind: int, body: Any, reply: Reply, terms: RequestTerms) -> None:
        with_terms = self.terms_handlers.get(kind)
        if with_terms is not None:
            with_terms(peer, body, reply, terms)
        else:
            self.handlers[kind](peer, body, reply)

    def _reply(self, connection: PeerConnection, request_id: int, body: Any) -> None:
        data = codec.encode([MessageKind.REPLY, request_id, body])
        connection.send(lambda: data)

    def _hello_received(self, connection: PeerConnection, address: Any) -> None:
        if not isinstance(address, str) or address.count(".") != IPV4_DOTS:
            raise DecodeError("hello", connection.peer, "no address")
        connection.peer = address
        connection.established = True
        self.connections.setdefault(address, []).append(connection)

    def connection_lost(self, connection: PeerConnection, cause: BaseException | None) -> None:
        """Ends the requests of a connection that has ended or never came about."""
        connections = self.connections.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                self.connections.pop(connection.peer, None)
        connection.unsent = []
        for request_id, request in list(self.pending.items()):
            if request.connection is connection:
                self._finish(request_id, None, ConnectionLostError(connection.peer, cause))
        if connection.peer:
            for hook in self.peer_lost_hooks:
                hook(connection.peer)
            if isinstance(cause, ConnectionRefusedError):
                for hook in self.refusal_hooks:
                    hook(connection.peer)

    def close_connections(self, peer: str) -> None:
        """Closes every connection to a peer."""
        for connection in list(self.connections.get(peer, [])):
            connection.abort()

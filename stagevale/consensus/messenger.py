"""Requests and messages among the daemons of one consensus group."""

from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

from stagevale.consensus.voter_id import address_of
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.request_terms import RequestTerms
from stagevale.rpc.transport import OnRawReply, OnReply, Reply, RpcTransport

MessageT = TypeVar("MessageT")
ReplyT = TypeVar("ReplyT")


class GroupMessenger:
    """Sends and handles messages whose kinds are moved by the group's offset, so that a daemon can
    be part of several groups.

    Attributes:
        kind_offset: added to every kind of message.
        request_timeout_ms: the time-out of requests that name none.
    """

    kind_offset: ClassVar[int] = 0

    __slots__ = ("rpc", "request_timeout_ms")

    def __init__(self, rpc: RpcTransport, request_timeout_ms: float) -> None:
        self.rpc = rpc
        self.request_timeout_ms = request_timeout_ms

    def handle(
        self,
        kind: MessageKind,
        message_type: type[MessageT],
        handler: Callable[[str, MessageT, Reply], None],
    ) -> None:
        """Sets the handler(peer, message, reply) of a kind; see `RpcTransport.handle`."""
        self.rpc.handle(self.kind_offset + kind, message_type, handler)

    def request(
        self,
        peer: str,
        kind: MessageKind,
        message: Any,
        reply_type: type[ReplyT],
        on_reply: OnReply[ReplyT],
        timeout_ms: float | None = None,
    ) -> None:
        """Sends a request to a daemon of this group; see `RpcTransport.request`."""
        self.rpc.request(
            peer,
            self.kind_offset + kind,
            message,
            reply_type,
            on_reply,
            timeout_ms or self.request_timeout_ms,
        )

    def request_raw(
        self,
        peer: str,
        kind: MessageKind,
        body: Any,
        on_reply: OnRawReply,
        timeout_ms: float,
        terms: RequestTerms,
    ) -> None:
        """Sends a request with terms whose reply isn't a typed message; see
        `RpcTransport.request_raw`.
        """
        self.rpc.request_raw(peer, self.kind_offset + kind, body, on_reply, timeout_ms, terms)

    def request_voter(
        self,
        voter: str,
        kind: MessageKind,
        message: Any,
        reply_type: type[ReplyT],
        on_reply: Callable[[str, ReplyT | None], object],
    ) -> None:
        """Sends a request to a voter; `on_reply(voter, reply or None)` is called once."""

        def replied(reply: ReplyT | None, _error: RequestError | None) -> None:
            on_reply(voter, reply)

        self.request(address_of(voter), kind, message, reply_type, replied)

    def send(self, address: str, kind: MessageKind, message: Any) -> None:
        """Sends a message that wants no reply to a daemon of this group."""
        self.rpc.send(address, self.kind_offset + kind, message)

"""Commands to a consensus group and their replies, as they travel between daemons."""

import http
from collections.abc import Callable
from typing import Any, NamedTuple

# Reads the complete value; every register has this command. The text is part of the protocol.
READ_VALUE = "value"


class CommandRequest(NamedTuple):
    """A command as it travels between daemons.

    Attributes:
        kind: what is asked of the register; each register has its own commands.
        payload: the command's argument.
        forwarded: whether the sender takes the receiver for the leader.
    """

    kind: str
    payload: str
    forwarded: bool


class ReadValueRequest(NamedTuple):
    """Asks for the complete value; `forwarded` as in CommandRequest."""

    forwarded: bool = False


class CommandReply(NamedTuple):
    """The outcome of a command.

    Attributes:
        status: an HTTP status; 503 says that the outcome is unknown or nothing was done.
        content: a text for the caller, or the encoded value.
        lease_left_ms: for how long a lease on what was withdrawn may still be in use, or None
            where the command withdraws nothing.
    """

    status: int
    content: str | bytes
    lease_left_ms: int | None = None

    @classmethod
    def from_body(cls, body: Any) -> "CommandReply | None":
        """A reply as it came; None where it is empty."""
        return cls(*body) if body else None


def unavailable(reason: str) -> CommandReply:
    """The reply to a command that wasn't carried out, or whose outcome is unknown."""
    return CommandReply(http.HTTPStatus.SERVICE_UNAVAILABLE.value, reason)


def succeeded(content: str | bytes) -> CommandReply:
    """The reply to a command that was carried out."""
    return CommandReply(http.HTTPStatus.OK.value, content)


OnCommandReply = Callable[[CommandReply], object]


class Command:
    """A command that waits for the leader.

    Attributes:
        kind: what is asked of the register; each register has its own commands.
        payload: the command's argument.
        reply: called exactly once.
        expires_ms: until when the caller waits, by this daemon's clock; it is never carried out
            later, nor handed on with more time than is left.
        basis_serial: as in `RequestTerms`; handed on as it came.
    """

    __slots__ = ("kind", "payload", "reply", "expires_ms", "basis_serial")

    def __init__(
        self,
        kind: str,
        payload: str,
        reply: OnCommandReply,
        expires_ms: float,
        basis_serial: int | None = None,
    ) -> None:
        self.kind = kind
        self.payload = payload
        self.reply = reply
        self.expires_ms = expires_ms
        self.basis_serial = basis_serial


class CommandAnswer(NamedTuple):
    """A command with the reply that it is to get."""

    command: Command
    reply: CommandReply

"""Errors of the messages between daemons; each names the step and, where known, the peer."""


class RpcError(Exception):
    """Base class of all that can go wrong with a message or a request.

    Attributes:
        step: what was being done, in a word or two.
        peer: address of the other daemon; empty where it isn't known.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(reason)
        self.step = step
        self.peer = peer
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.step} from {self.peer}: {self.reason}"


class DecodeError(RpcError):
    """Bytes that are no frame, or a frame of a kind that isn't handled here."""


class MessageError(RpcError, ValueError):
    """A message or reply of the wrong shape; the reason names its type and field."""

    def __init__(self, reason: str, step: str = "message", peer: str = "a peer") -> None:
        RpcError.__init__(self, step, peer, reason)


class RequestError(RpcError):
    """A request that got no reply; passed to the caller's callback, never raised."""

    def __str__(self) -> str:
        return self.reason


class RequestTimeoutError(RequestError):
    """The peer didn't reply within the request's timeout."""

    def __init__(self, peer: str) -> None:
        super().__init__("request", peer, "no answer in time")


class ConnectionLostError(RequestError):
    """The connection to the peer ended, or never came about, before it replied."""

    def __init__(self, peer: str, cause: BaseException | None) -> None:
        super().__init__("request", peer, f"connection lost: {cause!r}")
        self.__cause__ = cause

    @property
    def refused(self) -> bool:
        """True where nothing listens at the peer's address: its process has ended."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ReplyError(RequestError):
    """The peer replied with something that can't be read."""

    def __init__(self, peer: str, cause: Exception) -> None:
        super().__init__("reply", peer, f"unreadable answer: {cause}")
        self.__cause__ = cause

"""One TCP connection to or from a peer: frames with a length before each."""

import asyncio
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING

from stagevale.rpc import codec
from stagevale.rpc.errors import DecodeError, MessageError
from stagevale.rpc.kinds import MessageKind

if TYPE_CHECKING:
    from stagevale.rpc.transport import RpcTransport

MAX_FRAME_BYTES = 32 * 1024 * 1024
LENGTH = struct.Struct("!I")


class PeerConnection(asyncio.Protocol):
    """A connection between two daemons.

    The side that opened it says hello with its own address first; until a connection that was
    opened from here is up, what is sent on it waits.
    """

    __slots__ = (
        "rpc",
        "peer",
        "transport",
        "buffer",
        "opened_here",
        "unsent",
        "established",
    )

    def __init__(self, rpc: "RpcTransport", peer: str, opened_here: bool) -> None:
        self.rpc = rpc
        self.peer = peer
        self.opened_here = opened_here
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.unsent: list[Callable[[], bytes]] = []
        self.established = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Says hello where this daemon opened the connection, and sends what waits."""
        self.transport = transport  # type: ignore[assignment]  # asyncio passes a Transport to Protocols
        if not self.opened_here:
            return
        self.established = True
        self._write(codec.encode([MessageKind.HELLO, 0, self.rpc.address]))
        for encode in self.unsent:
            self._write(encode())
        self.unsent = []

    def send(self, encode: Callable[[], bytes]) -> None:
        """Sends a frame, now or once the connection is up; it is encoded at that moment, so that
        what is left of a deadline is true.
        """
        if self.established:
            self._write(encode())
        else:
            self.unsent.append(encode)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(LENGTH.pack(len(data)) + data)

    def data_received(self, data: bytes) -> None:
        """Hands over every frame that is complete."""
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if size > MAX_FRAME_BYTES:
                self._close(f"a frame of {size} bytes from {self.peer}")
                return
            end = LENGTH.size + size
            if len(self.buffer) < end:
                return
            frame = bytes(self.buffer[LENGTH.size : end])
            del self.buffer[:end]
            if not self._frame_received(frame):
                return

    def _frame_received(self, data: bytes) -> bool:
        """Handles one frame; False where the connection was closed for it."""
        try:
            self.rpc.frame_received(self, codec.decode_frame(data, self.peer))
        except (DecodeError, MessageError) as error:
            self._close(f"unreadable: {error}")
            return False
        except (ValueError, TypeError, IndexError, KeyError, AttributeError) as error:
            self._close(f"message from {self.peer} not understood: {error!r}")
            return False
        return True

    def _close(self, reason: str) -> None:
        self.rpc.context.log.warning("rpc: %s, connection closed.", reason)
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the requests that wait for this connection."""
        self.rpc.connection_lost(self, exc)

"""One call to the platform: its own connection, its own timer, and a last check before the first
byte.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from stagevale.runtime.context import Context

# A connection that hasn't come up after this share of the time-out is given up.
CONNECT_SHARE = 0.5

OnDone = Callable[[int | None, str | None], object]


class PlatformRequest(NamedTuple):
    """What is sent to the platform.

    Attributes:
        path: of the call.
        text: the body, as JSON.
        holder: this daemon's name.
        fencing_token: of the role.
    """

    path: str
    text: str
    holder: str
    fencing_token: int


class PlatformCall(asyncio.Protocol):
    """Sends one report. The role is confirmed after the connection is up and right before anything
    is written, so that a former holder sends nothing.
    """

    __slots__ = (
        "context",
        "request",
        "confirm",
        "on_written",
        "on_done",
        "timeout_ms",
        "_transport",
        "_parser",
        "_status",
        "_finished",
        "_timer",
    )

    def __init__(
        self,
        context: Context,
        request: PlatformRequest,
        confirm: Callable[[Callable[[], None], Callable[[str], None]], object],
        on_written: Callable[[], object],
        on_done: OnDone,
        timeout_ms: float,
    ) -> None:
        """Makes a call that isn't opened yet.

        Args:
            context: of the daemon.
            request: what is sent.
            confirm: called with a function to go on and one to give up with a reason.
            on_written: called right before the request is written.
            on_done: called once with the status, or with None and what went wrong.
            timeout_ms: for all of the call.
        """
        self.context = context
        self.request = request
        self.confirm = confirm
        self.on_written = on_written
        self.on_done = on_done
        self.timeout_ms = timeout_ms
        self._transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.CLIENT)
        self._status: int | None = None
        self._finished = False
        self._timer = context.call_later(timeout_ms, self._finish, None, "no answer in time")

    def open(self) -> None:
        """Opens the connection."""
        platform = self.context.settings.platform
        assert platform is not None
        self.context.connect(
            platform,
            self,
            lambda error: self._finish(None, f"no connection to the platform: {error!r}"),
            self.timeout_ms * CONNECT_SHARE,
            self.timeout_ms,
        )

    def _finish(self, status: int | None, error: str | None) -> None:
        if self._finished:
            return
        self._finished = True
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        self.on_done(status, error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Has the role confirmed."""
        self._transport = transport  # type: ignore[assignment]  # asyncio passes a Transport to Protocols
        if self._finished:
            transport.abort()  # type: ignore[attr-defined]
            return
        self.confirm(self._write, lambda reason: self._finish(None, reason))

    def _write(self) -> None:
        transport = self._transport
        if self._finished or transport is None or transport.is_closing():
            self._finish(None, "the connection closed before the call")
            return
        body = self.request.text.encode()
        platform = self.context.settings.platform
        assert platform is not None
        head = h11.Request(
            method="POST",
            target=self.request.path,
            headers=[
                ("Host", f"{platform[0]}:{platform[1]}"),
                ("Duty-Holder", self.request.holder),
                ("Fence", str(self.request.fencing_token)),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Connection", "close"),
            ],
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self._parser.send(event) or b"" for event in events)
        self.on_written()
        transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Reads the answer."""
        try:
            self._parser.receive_data(data)
            while not self._finished:
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    self._finish(self._status, None)
                elif isinstance(event, h11.ConnectionClosed):
                    self._finish(None, "closed before an answer")
        except h11.ProtocolError as error:
            self._finish(None, f"no answer in the protocol: {error}")

    def eof_received(self) -> bool:
        """The platform has closed its side: that ends an answer without a length."""
        self.data_received(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._finish(None, f"the connection was lost: {exc!r}")

"""HTTP/1.1 connections of callers, by h11; calls are answered one after the other."""

import asyncio
import http
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import h11

from stagevale.api.router import Call, Dispatch
from stagevale.runtime.context import Context, Timer

MOST_BODY_BYTES = 32 * 1024 * 1024
MOST_HEAD_BYTES = 32 * 1024
JSON = "application/json"
# An idle connection is closed after so many times `contactMs`.
IDLE_CONTACTS = 4


class HttpConnection(asyncio.Protocol):
    """One connection of a caller.

    A call can have been sent at any time since the connection came up or the call before it was
    answered, and may have been held up on its way since.
    """

    __slots__ = (
        "context",
        "dispatch",
        "current_serial",
        "content_type",
        "transport",
        "_parser",
        "_request",
        "_body",
        "_body_bytes",
        "_busy",
        "_idle_timer",
        "_idle_ms",
        "_basis_serial",
    )

    def __init__(
        self,
        context: Context,
        dispatch: Dispatch,
        current_serial: Callable[[], int | None] = lambda: None,
        content_type: str = JSON,
    ) -> None:
        """Makes the protocol of a connection that was just accepted.

        Args:
            context: the daemon's.
            dispatch: handles calls.
            current_serial: the `Call.basis_serial` of a call that is sent now.
            content_type: of the answers' bodies.
        """
        self.context = context
        self.dispatch = dispatch
        self.current_serial = current_serial
        self.content_type = content_type
        self._basis_serial = current_serial()
        self.transport: asyncio.Transport | None = None
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._busy = False
        self._idle_timer: Timer | None = None
        self._idle_ms = context.settings.bounds.contact_ms * IDLE_CONTACTS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = transport  # type: ignore[assignment]  # asyncio passes a Transport to Protocols
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self.context.call_later(self._idle_ms, self._close)

    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Reads calls, unless one is being answered."""
        self._parser.receive_data(data)
        if not self._busy:
            self._read()

    def eof_received(self) -> bool:
        """The caller has closed its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def _read(self) -> None:
        try:
            while self._handle_event(self._parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._answer(error.error_status_hint, {"error": str(error)}, close=True)

    def _handle_event(self, event: Any) -> bool:
        """Handles a parser's event; False where reading is to stop."""
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self._request, self._body, self._body_bytes = event, [], 0
            self._send_continue()
        elif isinstance(event, h11.Data):
            return self._body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._busy = True
            self._dispatch()
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self._close()
            return False
        return True

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue and self.transport is not None:
            status = http.HTTPStatus.CONTINUE.value
            response = h11.InformationalResponse(status_code=status, headers=[])
            self.transport.write(self._parser.send(response) or b"")

    def _body_received(self, data: bytes) -> bool:
        self._body_bytes += len(data)
        if self._body_bytes > MOST_BODY_BYTES:
            error = {"error": f"over {MOST_BODY_BYTES} bytes"}
            self._answer(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value, error, close=True)
            return False
        self._body.append(data)
        return True

    def _dispatch(self) -> None:
        request = self._request
        assert request is not None
        path, _, query = request.target.decode("latin-1").partition("?")
        segments = tuple(unquote(segment) for segment in path.split("/")[1:])
        method = request.method.decode("latin-1")
        answered = False

        def answer(status: int, body: dict[str, Any] | str) -> None:
            nonlocal answered
            if not answered:
                answered = True
                if status >= http.HTTPStatus.BAD_REQUEST:
                    self._count_refusal(status, body, f"{method} {path}")
                self._answer(status, body)

        try:
            call = Call(
                method, segments, query, b"".join(self._body), self._basis_serial, self._is_open
            )
            self.dispatch(call, answer)
        except Exception:  # noqa: BLE001 - the edge of a call: the caller gets a 500
            self.context.log.exception("calls: %s %s failed.", method, path)
            answer(http.HTTPStatus.INTERNAL_SERVER_ERROR.value, {"error": "this call failed here"})

    def _count_refusal(self, status: int, body: dict[str, Any] | str, call: str) -> None:
        """Counts a call that is refused here; of one that isn't served, its path too."""
        metrics = self.context.metrics
        reason = body if isinstance(body, str) else body.get("error", "")
        metrics.refusals.increment(f"{status} {reason}")
        if status == http.HTTPStatus.NOT_FOUND and metrics.unknown_calls.increment(call):
            self.context.log.warning("calls: %s isn't known here.", call)

    def _answer(self, status: int, body: dict[str, Any] | str, close: bool = False) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        text = body if isinstance(body, str) else json.dumps(body, separators=(",", ":"))
        data = text.encode()
        headers = [("Content-Type", self.content_type), ("Content-Length", str(len(data)))]
        if close or self.context.stopping:
            headers.append(("Connection", "close"))
        response = h11.Response(status_code=status, headers=headers)
        try:
            events = (response, h11.Data(data=data), h11.EndOfMessage())
            output = b"".join(self._parser.send(event) or b"" for event in events)
        except h11.LocalProtocolError:
            transport.close()
            return
        transport.write(output)
        if self._parser.our_state is h11.MUST_CLOSE or self._parser.their_state is not h11.DONE:
            transport.close()
            return
        self._parser.start_next_cycle()
        if not self._parser.trailing_data[0]:
            self._basis_serial = self.current_serial()
        self._busy = False
        self._restart_idle_timer()
        self._read()

"""One request of a client."""

from typing import TYPE_CHECKING, Any, Protocol

import h11

from stagevale.balancing.snapshot import Route
from stagevale.forwarding.answer import Answer
from stagevale.forwarding.request_body import RequestBody
from stagevale.runtime.context import Timer
from stagevale.tenants.tenants import Tenant

if TYPE_CHECKING:
    from stagevale.forwarding.endpoint_connection import EndpointConnection
    from stagevale.sessions.key_reservation import KeyReservation
    from stagevale.sessions.session_id import SessionId

Headers = list[tuple[bytes, bytes]]


class AnswerWriter(Protocol):
    """The client's connection, as the forwarder sees it."""

    def flush(self) -> None:
        """Writes the answers that are due."""


class Request:
    """One request of a client, from its last byte until its answer.

    Attributes:
        connection: of the client; parser: which writes the answer.
        method, target, headers, body: as they are sent on.
        attempt_id, client_wait_ms, credentials: of its headers, or None.
        host, path: what its route is found by.
        start_ms, deadline_ms: when it was read, and until when an answer is of use.
        route, service, tenant, priority, homes: what the configuration says of it.
        admitted_serial: of the configuration value that it was admitted by.
        session, reservation, preferred_id, reservation_ms: of its session; see `sessions`.
        attempts: how many endpoints it was sent to; tried: their ids.
        connections: endpoints' connections that carry it now.
        started: it was handed to the forwarder; offered: to an endpoint.
        sent_ms, expected_ms, was_queued: of the latest attempt.
        ran: an endpoint may have begun it.
        from_endpoint: its answer is an endpoint's own.
        window: in which it was counted as usage, or None.
        timer: of its deadline.
        answer: None until there is one.
        closes: the connection ends behind the answer.
    """

    __slots__ = (
        "connection",
        "parser",
        "method",
        "target",
        "headers",
        "body",
        "attempt_id",
        "client_wait_ms",
        "credentials",
        "host",
        "path",
        "start_ms",
        "deadline_ms",
        "route",
        "service",
        "tenant",
        "priority",
        "homes",
        "admitted_serial",
        "session",
        "reservation",
        "preferred_id",
        "reservation_ms",
        "attempts",
        "tried",
        "connections",
        "started",
        "offered",
        "sent_ms",
        "expected_ms",
        "was_queued",
        "ran",
        "from_endpoint",
        "window",
        "timer",
        "answer",
        "closes",
    )

    # Set by admission, before anything else looks at them.
    route: Route
    service: str

    def __init__(
        self,
        connection: AnswerWriter,
        parser: Any,
        head: h11.Request | None,
        body: RequestBody,
        start_ms: float,
    ) -> None:
        self.connection = connection
        self.parser = parser
        self.method = head.method if head else b""
        self.target = head.target if head else b""
        self.headers: Headers = list(head.headers.raw_items()) if head else []
        self.body = body
        self.attempt_id: bytes | None = None
        self.client_wait_ms: float | None = None
        self.credentials: bytes | None = None
        self.host = self.path = ""
        self.start_ms = start_ms
        self.deadline_ms = start_ms
        self.route = None  # type: ignore[assignment]  # see above
        self.service = None  # type: ignore[assignment]  # see above
        self.tenant: Tenant | None = None
        self.priority: float = 0
        self.homes: tuple[frozenset[str], ...] = ()
        self.admitted_serial: int | None = None
        self.session: SessionId | None = None
        self.reservation: KeyReservation | None = None
        self.preferred_id: str | None = None
        self.reservation_ms = 0.0
        self.attempts = 0
        self.tried: tuple[str, ...] = ()
        self.connections: list[EndpointConnection] = []
        self.started = False
        self.offered = False
        self.sent_ms = 0.0
        self.expected_ms: float | None = None
        self.was_queued = False
        self.ran = False
        self.from_endpoint = False
        self.window: int | None = None
        self.timer: Timer | None = None
        self.answer: Answer | None = None
        self.closes = False

    def release_body(self) -> None:
        """Drops the body once the request is answered and no endpoint's connection carries it."""
        if self.answer is not None and not self.connections:
            self.body.release()

    def split_key(self) -> bytes:
        """What a rollout's share is drawn by: the session where there is one, else the attempt's
        id.
        """
        if self.session is not None:
            return self.session.name.encode("latin-1")
        return self.attempt_id or b""

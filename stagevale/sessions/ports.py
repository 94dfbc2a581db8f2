"""What a proxy's sessions need of the forwarder and its requests."""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from stagevale.configuration.value import SessionGroup
from stagevale.forwarding.answer import Answer
from stagevale.sessions.session_id import SessionId

if TYPE_CHECKING:
    from stagevale.sessions.key_reservation import KeyReservation


class RouteAffinity(Protocol):
    """How a route's sessions are told apart.

    Attributes:
        header: the header that names the session, in lower case.
        keep_ms: for how long a key's outcome is remembered.
    """

    header: bytes
    keep_ms: int


class SessionRoute(Protocol):
    """A route that asks for affinity."""

    name: str
    pure: bool
    target_ms: float
    homes: frozenset[str]

    @property
    def affinity(self) -> Any:
        """A `RouteAffinity`."""


class SessionTenant(Protocol):
    """Whose key a request bears."""

    name: str


class SessionRequest(Protocol):
    """A client's request.

    Attributes:
        host: as its route is found by.
        session: its session, or None.
        reservation: of its key; None for requests that need none.
        preferred_id: the id of the endpoint that its session keeps to, or None.
        answer: its answer, once there is one.
        offered: it was sent to an endpoint, or is about to be.
        ran: an endpoint may have begun it.
        from_endpoint: its answer is an endpoint's own.
        reservation_ms: how long it waited for its key.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    attempt_id: bytes | None
    host: str
    service: str
    start_ms: float
    deadline_ms: float
    session: SessionId | None
    reservation: "KeyReservation | None"
    preferred_id: str | None
    answer: Any
    offered: bool
    ran: bool
    from_endpoint: bool
    reservation_ms: float

    @property
    def body(self) -> Iterable[bytes]:
        """The body's pieces."""

    @property
    def route(self) -> SessionRoute:
        """The route, which asks for affinity."""

    @property
    def tenant(self) -> SessionTenant | None:
        """Whose key the request bears, or None."""


class SessionSnapshot(Protocol):
    """The part of a proxy's snapshot that sessions need."""

    @property
    def sessions(self) -> Mapping[str, SessionGroup]:
        """The session groups by name."""


class SessionForwarder(Protocol):
    """What sessions ask of the forwarder, whose own requests these are."""

    @property
    def snapshot(self) -> SessionSnapshot:
        """The snapshot in force."""

    def offer(self, request: Any) -> None:
        """Sends a request to an endpoint."""

    def answer(self, request: Any, status: int, reason: str) -> None:
        """Answers a request with a status of the proxy's own."""

    def reject(self, request: Any, reason: str) -> None:
        """Rejects a request that no endpoint has run."""

    def finish(self, request: Any, answer: Answer) -> None:
        """Answers a request."""

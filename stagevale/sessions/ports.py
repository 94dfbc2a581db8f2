"""What a proxy's sessions need of the forwarder and its requests."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Protocol

from stagevale.configuration.value import SessionGroup

if TYPE_CHECKING:
    from stagevale.sessions.key_reservation import KeyReservation

# Status, reason, headers and body.
ForwardedAnswer = tuple[Any, bytes, Any, bytes]


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

    pure: bool
    target_ms: float
    homes: frozenset[str]
    affinity: RouteAffinity


class SessionRequest(Protocol):
    """A client's request.

    Attributes:
        session: the name of its session, or None.
        note: the reservation of its key; None for requests that need none.
        prefers: the id of the endpoint that its session keeps to, or None.
        answer: its answer, once there is one.
        offered: it was sent to an endpoint, or is about to be.
        ran: an endpoint may have begun it.
        whole: its answer is an endpoint's own.
        held_ms: how long it waited for its key.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    attempt_id: bytes | None
    service: str
    route: SessionRoute
    start_ms: float
    deadline_ms: float
    session: str | None
    note: "KeyReservation | None"
    prefers: str | None
    answer: Any
    offered: bool
    ran: bool
    whole: bool
    held_ms: float


class SessionSnapshot(Protocol):
    """The part of a proxy's snapshot that sessions need."""

    sessions: Mapping[str, SessionGroup]


class SessionForwarder(Protocol):
    """What sessions ask of the forwarder."""

    snapshot: SessionSnapshot

    def offer(self, request: SessionRequest) -> None:
        """Sends a request to an endpoint."""

    def own(self, request: SessionRequest, status: int, why: str) -> None:
        """Answers a request with a status of the proxy's own."""

    def give_back(self, request: SessionRequest, why: str) -> None:
        """Rejects a request that no endpoint has run."""

    def finish(self, request: SessionRequest, answer: ForwardedAnswer) -> None:
        """Answers a request."""

"""A proxy's part in the sessions, as the forwarder uses it."""

from collections.abc import Callable

from stagevale.forwarding.answer import Answer
from stagevale.membership.membership import Membership
from stagevale.rpc.transport import RpcTransport
from stagevale.runtime.context import Context
from stagevale.sessions.endpoint_affinity import EndpointAffinity
from stagevale.sessions.group_client import GroupClient
from stagevale.sessions.groups import group_name
from stagevale.sessions.idempotency import IdempotentRequests
from stagevale.sessions.key_reservation import KeyReservation
from stagevale.sessions.ports import SessionForwarder, SessionRequest
from stagevale.sessions.records import KeyState
from stagevale.sessions.session_headers import (
    SessionHeaderError,
    fingerprint_of,
    read_session_headers,
)
from stagevale.sessions.session_id import SessionId
from stagevale.sessions.session_leases import SessionLeases


class ProxySessions:
    """All sessions of one proxy.

    Attributes:
        counts: for the tools.
        reserves_keys: False switches reservations off; only tests do, to show what they are for.
    """

    __slots__ = ("counts", "reserves_keys", "affinity", "leases", "requests")

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        forwarder: SessionForwarder,
        membership: Membership,
    ) -> None:
        self.counts = {"held": 0, "handedOver": 0, "repeats": 0, "unknown": 0, "refused": 0}
        self.reserves_keys = True
        client = GroupClient(context, rpc, membership, forwarder)
        self.affinity = EndpointAffinity(client)
        self.leases = SessionLeases(client, self.affinity, self.counts)
        self.requests = IdempotentRequests(
            client, forwarder, self.affinity, self.leases, self.counts
        )

    def read(self, request: SessionRequest) -> str:
        """Finds the session and the key in a request's headers.

        Returns:
            What is wrong with them; empty where nothing is.
        """
        route = request.route
        try:
            headers = read_session_headers(request.headers, route.affinity.header)
        except SessionHeaderError as error:
            return str(error)
        if not headers.session:
            return ""
        tenant = request.tenant.name if request.tenant is not None else ""
        name = headers.session.decode("latin-1")
        request.session = SessionId(name, tenant, request.host)
        session = request.session.encode()
        group = group_name(route.homes, headers.session)
        if route.pure:
            request.preferred_id = self.affinity.endpoint_of(session, request.service)
            if request.preferred_id is None:
                self.affinity.read_once(session, group)
        elif headers.key and self.reserves_keys:
            request.reservation = KeyReservation(
                session,
                headers.key.decode("latin-1"),
                fingerprint_of(request.method, request.target, request.body),
                group,
            )
        return ""

    def start(self, request: SessionRequest) -> None:
        """Begins a request that needs its key reserved; it is offered once that is done."""
        self.requests.start(request)

    def pin(self, session: SessionId, service: str, id: str) -> None:
        """A session was served by this endpoint."""
        self.affinity.pin(session.encode(), service, id)

    def is_live(self, request: SessionRequest) -> bool:
        """True for the request that is at work here under its key."""
        reservation = request.reservation
        return reservation is not None and self.requests.live.get(reservation.id) is request

    def settle(
        self,
        request: SessionRequest,
        answer: Answer,
        on_recorded: Callable[[Answer], object],
    ) -> None:
        """Records what a request came to; see `IdempotentRequests.settle`."""
        self.requests.settle(request, answer, on_recorded)

    def finish_unanswered(
        self, request: SessionRequest, state: KeyState, answer: Answer | None = None
    ) -> None:
        """Records the end of a request whose client has gone."""
        self.requests.finish_unanswered(request, state, answer)

    def hand_over(self) -> None:
        """Leaves the sessions held here to other proxies, before a graceful shutdown."""
        self.leases.hand_over()

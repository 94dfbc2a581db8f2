"""What the configuration says of a request: its route, its tenant, and whether it may go on."""

import http
from typing import TYPE_CHECKING, NamedTuple

from stagevale.balancing.snapshot import Route, Snapshot
from stagevale.forwarding.headers import read_headers
from stagevale.forwarding.request import Request

if TYPE_CHECKING:
    from stagevale.forwarding.forwarder import Forwarder

BAD_REQUEST = http.HTTPStatus.BAD_REQUEST.value
UNAUTHORIZED = http.HTTPStatus.UNAUTHORIZED.value
NOT_FOUND = http.HTTPStatus.NOT_FOUND.value
BAD_GATEWAY = http.HTTPStatus.BAD_GATEWAY.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value
# Headers that a request with a tenant's key doesn't keep.
KEY_HEADERS = (b"authorization", b"tenant")
TENANT_HEADER = b"Tenant"


class Rejection(NamedTuple):
    """Why a request doesn't go on."""

    status: int
    reason: str


class Admission:
    """Admits requests by the proxy's snapshot."""

    __slots__ = ("forwarder", "context")

    def __init__(self, forwarder: "Forwarder") -> None:
        self.forwarder = forwarder
        self.context = forwarder.context

    def read(self, request: Request) -> Rejection | None:
        """Finds what a request asks for.

        Returns:
            Why it can't go on, or None.
        """
        read_headers(request)
        snapshot = self.forwarder.snapshot
        if not request.path.startswith("/"):
            return Rejection(BAD_REQUEST, "the target must be a path")
        if not snapshot.hosts:
            return Rejection(UNAVAILABLE, "no configuration yet")
        route = snapshot.route(request.host, request.path)
        if route is None and snapshot.partners.routes:
            route = self._partner_route(request, snapshot)
        if route is None:
            return Rejection(NOT_FOUND, "no route")
        request.route = route
        if request.attempt_id is None:
            return Rejection(BAD_REQUEST, "no Attempt-Id")
        if not self._admit_tenant(request, snapshot):
            return Rejection(UNAUTHORIZED, "no key that is known")
        request.service = route.service(self.context.random)
        sessions = self.forwarder.sessions
        if route.affinity is not None and sessions is not None:
            reason = sessions.read(request)
            if reason:
                return Rejection(BAD_REQUEST, reason)
        return self._set_deadline(request)

    def _set_deadline(self, request: Request) -> Rejection | None:
        """Sets a request's deadline; one that lies behind the end of the process is rejected."""
        wait_ms = request.route.timeout_ms
        if request.client_wait_ms is not None:
            wait_ms = min(request.client_wait_ms, wait_ms)
        request.deadline_ms = request.start_ms + wait_ms
        end_ms = self.forwarder.end_ms
        if end_ms is not None and request.deadline_ms > end_ms:
            return Rejection(UNAVAILABLE, "this proxy shuts down")
        return None

    def _admit_tenant(self, request: Request, snapshot: Snapshot) -> bool:
        """Finds the tenant whose key the request bears; the key is withheld and `Tenant` set.

        Returns:
            False where a key is needed and there is none that is known.
        """
        route = request.route
        request.admitted_serial = snapshot.serial
        request.priority = route.priority
        request.homes = (route.homes,) if route.homes else ()
        if snapshot.keys is None:
            return True
        tenant = request.tenant = snapshot.keys.tenant(request.credentials)
        request.headers = [row for row in request.headers if row[0].lower() not in KEY_HEADERS]
        if tenant is None:
            return route.public
        request.headers.append((TENANT_HEADER, tenant.header))
        if tenant.priority is not None:
            request.priority = tenant.priority
        if tenant.homes:
            request.homes += (tenant.homes,)
        return True

    def _partner_route(self, request: Request, snapshot: Snapshot) -> Route | None:
        """The partner's route for a request: what partners withhold depends on where it came and
        whose it is.
        """
        settings = self.context.settings
        tenant = snapshot.keys.tenant(request.credentials) if snapshot.keys is not None else None
        return snapshot.partner_route(
            request.host,
            request.path,
            settings.zone,
            settings.region,
            tenant.name if tenant else "",
        )

    def may_send(self, request: Request) -> bool:
        """Looks again, at the moment of sending, whether a request may still go where it is about
        to go; one that may not gets its answer here.
        """
        snapshot = self.forwarder.snapshot
        if request.route.partner is not None and not self._may_use_partner(request, snapshot):
            return False
        if request.admitted_serial != snapshot.serial and not self._admit_tenant(request, snapshot):
            status = BAD_GATEWAY if request.ran else UNAUTHORIZED
            self.forwarder.answer(request, status, "its key was taken away")
            return False
        return True

    def _may_use_partner(self, request: Request, snapshot: Snapshot) -> bool:
        if request.admitted_serial != snapshot.serial:
            route = snapshot.route(request.host, request.path)
            route = route or self._partner_route(request, snapshot)
            if route is None or not _is_same_offer(request, route):
                status = BAD_GATEWAY if request.ran else NOT_FOUND
                self.forwarder.answer(request, status, "the partner's route was withheld")
                return False
            request.route = route
        if not self.forwarder.lease.is_held(self.context.now_ms()):
            self.forwarder.reject(request, "partner routes wait for word from the core")
            return False
        return True


def _is_same_offer(request: Request, route: Route) -> bool:
    """True where a route is the partner's that the request was admitted by."""
    before, after = request.route.partner, route.partner
    return (
        before is not None
        and after is not None
        and (after.partner, after.prefix) == (before.partner, before.prefix)
        and request.service in after.services
    )

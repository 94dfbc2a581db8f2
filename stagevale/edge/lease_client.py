"""The proxy's lease requests, while partner routes or rollouts are in force."""

from typing import TYPE_CHECKING

from stagevale.discovery.messages import LeaseGrant, LeaseRequest
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.daemons.proxy import Proxy

REQUESTS_PER_LEASE = 5.0
# Outcomes of rollouts go along with every so many requests.
REQUESTS_PER_REPORT = 3


class LeaseClient:
    """Asks the feeder again and again whether this proxy's configuration value is the newest."""

    __slots__ = ("proxy", "context", "_running", "_requests")

    def __init__(self, proxy: "Proxy") -> None:
        self.proxy = proxy
        self.context = proxy.context
        self._running = False
        self._requests = 0
        proxy.rpc.handle(MessageKind.LEASE_GRANT, LeaseGrant, self._on_grant)

    def ensure_running(self) -> None:
        """Begins to request leases, if they are needed and it hasn't begun."""
        if self._is_needed() and not self._running:
            self._running = True
            self._request()

    def _is_needed(self) -> bool:
        snapshot = self.proxy.forwarder.snapshot
        return bool(snapshot.partners.routes or snapshot.rollouts)

    def _request(self) -> None:
        if not self._is_needed():
            self._running = False
            return
        forwarder = self.proxy.forwarder
        lease = forwarder.lease
        self.context.call_later(lease.length_ms / REQUESTS_PER_LEASE, self._request)
        feed = self.proxy.feed
        if feed.feeder is None or not feed.subscribed:
            return
        self._requests += 1
        rollouts = forwarder.snapshot.rollouts
        reports = bool(rollouts) and self._requests % REQUESTS_PER_REPORT == 0
        outcomes = forwarder.outcomes.rows(rollouts) if forwarder.outcomes else []
        message = LeaseRequest(
            lease.request(self.context.now_ms()),
            self.proxy.incarnation if reports else None,
            outcomes if reports else None,
        )
        self.proxy.rpc.send(feed.feeder, MessageKind.LEASE_REQUEST, message_body(message))

    def _on_grant(self, peer: str, grant: LeaseGrant, reply: Reply) -> None:
        forwarder = self.proxy.forwarder
        forwarder.lease.grant(grant.number, grant.newest_serial, forwarder.snapshot.serial)
        if peer == self.proxy.feed.feeder:
            self.proxy.feed.pull_if_newer(grant.newest_serial)
        forwarder.offer_queued()

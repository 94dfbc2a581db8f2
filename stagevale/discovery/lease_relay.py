"""Lease requests of proxies: many are answered by one confirmation of the stores."""

import json
from typing import TYPE_CHECKING, Any

from stagevale.configuration.commands import OK, CommandKind
from stagevale.consensus.commands import CommandReply, CommandRequest
from stagevale.discovery.messages import LeaseGrant, LeaseRequest
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

CONFIRMATION_TIMEOUT_SHARE = 0.5
STORES_TRIED = 2


class LeaseRelay:
    """Asks the stores for the newest serial on behalf of all proxies that wait."""

    __slots__ = ("service", "rpc", "_requests", "_outcomes", "_confirming")

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.rpc = service.rpc
        self._requests: list[tuple[str, int]] = []
        self._outcomes: dict[str, list[Any]] = {}
        self._confirming = False
        self.rpc.handle(MessageKind.LEASE_REQUEST, LeaseRequest, self._on_request)

    def _on_request(self, peer: str, request: LeaseRequest, reply: Reply) -> None:
        self._requests.append((peer, request.number))
        if request.incarnation is not None:
            self._outcomes[peer] = [peer, request.incarnation, request.outcomes]
        self._confirm()

    def _confirm(self) -> None:
        """Serves all requests that wait, unless a confirmation is under way: it began before them."""
        if self._confirming or not self._requests:
            return
        requests, self._requests = self._requests, []
        outcomes, self._outcomes = list(self._outcomes.values()), {}
        self._confirming = True

        def replied(reply: CommandReply | None, _error: RequestError | None) -> None:
            self._confirming = False
            if reply is not None and reply.status == OK:
                self._grant(requests, int(reply.content))
            self._confirm()

        payload = json.dumps(outcomes, separators=(",", ":")) if outcomes else ""
        self.service.configuration.call_stores(
            MessageKind.COMMAND,
            CommandRequest(str(CommandKind.SERIAL), payload, False),
            replied,
            STORES_TRIED,
            self.service.interval_ms * CONFIRMATION_TIMEOUT_SHARE,
        )

    def _grant(self, requests: list[tuple[str, int]], newest_serial: int) -> None:
        for proxy, number in requests:
            self.rpc.send(proxy, MessageKind.LEASE_GRANT, LeaseGrant(number, newest_serial))
        configuration = self.service.configuration
        if configuration.value is None or newest_serial > configuration.value.serial:
            configuration.pull_value()

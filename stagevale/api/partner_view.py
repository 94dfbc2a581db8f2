"""The merged table of partner routes as operators see it."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from stagevale.api.router import Answer, BadCallError
from stagevale.configuration.commands import OK, UNAVAILABLE, CommandKind
from stagevale.configuration.value import ConfigurationValue
from stagevale.discovery.registry_service import RegistryService


class ExplainedRequest(NamedTuple):
    """A request whose route is to be explained."""

    host: str
    path: str
    zone: str
    tenant: str


class PartnerView:
    """Shows the table, after a majority has confirmed that it is the newest."""

    __slots__ = ("service",)

    def __init__(self, service: RegistryService) -> None:
        self.service = service

    def show(self, answer: Answer) -> None:
        """Answers with the table; 503 where no majority confirms it."""
        self._with_newest(answer, lambda value: answer(OK, self._table(value)))

    def _with_newest(self, answer: Answer, show: Any) -> None:
        """Calls `show(value)` with the newest value, or answers with 503."""
        configuration = self.service.configuration

        def pulled(success: bool) -> None:
            if success:
                show(configuration.value)
            else:
                answer(UNAVAILABLE, {"error": "the newest table can't be read"})

        def confirmed(status: int, text: str) -> None:
            if status != OK:
                error = f"no majority of the stores confirms the table: {text}"
                answer(UNAVAILABLE, {"error": error})
            elif configuration.value is None or int(text) > configuration.value.serial:
                configuration.pull_value(pulled)
            else:
                show(configuration.value)

        configuration.send_command(CommandKind.SERIAL, "", confirmed)

    def _table(self, value: ConfigurationValue) -> dict[str, Any]:
        partners = self.service.configuration.partners
        return {
            "serial": value.serial,
            "mark": partners.mark,
            "registry": self.service.rpc.address,
            "rows": [route.to_row() for route in partners.routes],
            "proxies": [
                {
                    "address": proxy.address,
                    "serial": proxy.partner_table.serial if proxy.partner_table else None,
                    "mark": proxy.partner_table.mark if proxy.partner_table else None,
                }
                for proxy in self.service.feeds.subscribers.values()
            ],
        }

    def explain(self, query: Mapping[str, list[str]], answer: Answer) -> None:
        """Answers which routes were weighed for a host and path, and which is used.

        Raises:
            BadCallError: the query lacks a field, or names an unknown zone.
        """
        request = ExplainedRequest(
            *(query.get(name, [""])[0] for name in ("host", "path", "zone", "tenant"))
        )
        if not request.host or not request.path.startswith("/"):
            raise BadCallError("host: want a name; path: want one that begins with a slash")
        if request.zone and request.zone not in self.service.context.settings.zones:
            raise BadCallError(f"zone: {request.zone} is not known")
        self._with_newest(answer, lambda value: answer(OK, self._explanation(value, request)))

    def _explanation(self, value: ConfigurationValue, request: ExplainedRequest) -> dict[str, Any]:
        partners = self.service.configuration.partners
        region = self.service.context.settings.zones.get(request.zone, "")
        arguments = (request.host.lower(), request.path, request.zone, region, request.tenant)
        own = [_name_of(route) for route in _own_routes(value, request)]
        route = partners.find(*arguments) if not own else None
        winner = f"partner {route.partner}, {route.prefix}" if route is not None else ""
        return {
            "serial": value.serial,
            "mark": partners.mark,
            "own": own,
            "weighed": [
                {**candidate.route.to_row(), "against": candidate.objection}
                for candidate in partners.candidates(*arguments)
            ],
            "won": f"own route {own[0]}" if own else winner,
        }


def _own_routes(value: ConfigurationValue, request: ExplainedRequest) -> list[dict[str, Any]]:
    """The configuration's own routes for a request, the longest prefix first."""
    config = json.loads(value.config) if value.config else {}
    routes = [
        route
        for route in config.get("routes", ())
        if route["host"].lower() == request.host.lower()
        and request.path.startswith(route["pathPrefix"])
    ]
    return sorted(routes, key=lambda route: -len(route["pathPrefix"]))


def _name_of(route: Mapping[str, Any]) -> str:
    return str(route.get("name") or route["pathPrefix"])

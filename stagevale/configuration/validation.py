"""Checks of an operator's configuration beyond its shape."""

from collections.abc import Collection
from typing import Any

from expression import Ok

from stagevale.configuration.documents import (
    CheckedDocument,
    Document,
    check_document,
    invalid,
)
from stagevale.configuration.schema import CONFIGURATION
from stagevale.tenants.tenants import tenants_failure


def check_configuration(text: str, regions: Collection[str] = ()) -> CheckedDocument:
    """The configuration with numbers for versions, or the first thing that is wrong.

    Args:
        text: what the operator sent.
        regions: those that tenants may have for homes; without them homes are not checked.
    """
    shaped = check_document(text, CONFIGURATION)
    if shaped.is_error():
        return shaped
    document = shaped.ok
    reason = _routes_failure(document) or tenants_failure(document.get("tenants") or (), regions)
    return invalid(reason) if reason else Ok(document)


def services_of(route: Document) -> list[str]:
    """The services that a route or an offered route sends requests to."""
    services = [route["service"]] if route.get("service") else []
    return services + [part["service"] for part in route.get("weighted") or ()]


def has_weight(route: Document) -> bool:
    """False for a route whose weights are all 0."""
    weighted = route.get("weighted")
    return not weighted or sum(part["weight"] for part in weighted) > 0


def _routes_failure(document: Document) -> str | None:
    """What is wrong with the routes, or None."""
    known = {service["name"] for service in document["services"]}
    places: set[tuple[str, str]] = set()
    for number, route in enumerate(document["routes"]):
        name = route.get("name") or f"routes[{number}]"
        place = route["host"].lower(), route["pathPrefix"]
        if place in places:
            return f"{name}: another route has this host and prefix"
        places.add(place)
        reason = _route_failure(route, known)
        if reason:
            return f"{name}: {reason}"
    return None


def _route_failure(route: dict[str, Any], known: Collection[str]) -> str | None:
    if not has_weight(route):
        return "no weight above 0"
    services = services_of(route)
    if not services:
        return "no service"
    unknown = [service for service in services if service not in known]
    return f"unknown service {unknown[0]}" if unknown else None

"""Reading and checking of partners' offers, with trafaret."""

import re
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import trafaret as t
from expression import Ok

from stagevale.configuration.documents import (
    CheckedDocument,
    Document,
    check_document,
    check_version,
    invalid,
)
from stagevale.configuration.schema import ROUTE
from stagevale.configuration.validation import has_weight, services_of
from stagevale.configuration.value import StoredOffer

PARTNER_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
NAMES = t.List(t.String()) | t.Null()
WITHHELD = t.Dict(
    {
        t.Key("host", optional=True): t.String(),
        t.Key("pathPrefix", optional=True): t.String(),
        t.Key("variant", optional=True): t.Enum("pure", "effectful"),
    }
)
AUDIENCE = t.Dict(
    {
        t.Key("regions", optional=True): NAMES,
        t.Key("zones", optional=True): NAMES,
        t.Key("tenants", optional=True): NAMES,
        t.Key("partners", optional=True): NAMES,
        t.Key("everybody", optional=True): t.Bool(),
    }
)
AUDIENCE_FIELDS = ("regions", "zones", "tenants", "partners", "everybody")
RESTRICTION = t.Dict(
    {t.Key("name"): t.String(), t.Key("withholds"): WITHHELD, t.Key("from"): AUDIENCE}
)
OFFER = t.Dict(
    {
        t.Key("version"): check_version,
        t.Key("parentVersion", default=0): check_version,
        t.Key("routes"): t.List(ROUTE),
        t.Key("restrictions", optional=True): t.List(RESTRICTION) | t.Null(),
    },
    allow_extra="*",
)

Place = tuple[str, str]


def check_offer(
    partner: str,
    text: str,
    config: Mapping[str, Any],
    offers: Mapping[str, StoredOffer],
    zones: Mapping[str, str],
) -> CheckedDocument:
    """The offer, or the first field that is wrong.

    Args:
        partner: the partner's name.
        text: the offer as the partner sent it.
        config: the configuration in force; empty before the first.
        offers: all partners' offers in force.
        zones: the region of each zone.
    """
    if not PARTNER_NAME.match(partner):
        return invalid("partner: want a name of letters, digits, dots, dashes")
    shaped = check_document(text, OFFER)
    if shaped.is_error():
        return shaped
    offer = shaped.ok
    places = [(route["host"].lower(), route["pathPrefix"]) for route in offer["routes"]]
    tenants = {tenant["name"] for tenant in config.get("tenants") or ()}
    known = {
        "regions": set(zones.values()),
        "zones": set(zones),
        "tenants": tenants,
        "partners": {name for name, kept in offers.items() if kept.text} | tenants | {partner},
    }
    reason = _routes_failure(offer["routes"], places, config) or _restrictions_failure(
        offer.get("restrictions") or (), places, known
    )
    return invalid(reason) if reason else Ok(offer)


def _routes_failure(
    routes: Iterable[Document], places: list[Place], config: Mapping[str, Any]
) -> str | None:
    """What is wrong with an offer's routes, or None."""
    known = {service["name"] for service in config.get("services", ())}
    for number, route in enumerate(routes):
        name = f"routes[{number}]"
        if places[number] in places[:number]:
            return f"{name}: another route of this offer has this host and prefix"
        weighted = {**route, "service": None} if route.get("weighted") else route
        services = services_of(weighted)
        if not services or not services[0]:
            return f"{name}.service: no service"
        if not has_weight(route):
            return f"{name}.weighted: no weight above 0"
        unknown = [service for service in services if service not in known]
        if unknown:
            return f"{name}.service: unknown service {unknown[0]}"
    return None


def _restrictions_failure(
    restrictions: Iterable[Document], places: list[Place], known: Mapping[str, Collection[str]]
) -> str | None:
    """What is wrong with an offer's restrictions, or None."""
    names: set[str] = set()
    for number, restriction in enumerate(restrictions):
        place = f"restrictions[{number}]"
        if restriction["name"] in names:
            return f"{place}.name: another restriction has this name"
        names.add(restriction["name"])
        reason = _withheld_failure(restriction["withholds"], places) or _audience_failure(
            restriction["from"], known
        )
        if reason:
            return f"{place}.{reason}"
    return None


def _withheld_failure(withheld: Document, places: list[Place]) -> str | None:
    """What is wrong with what a restriction withholds, or None."""
    prefix = withheld.get("pathPrefix", "")
    if withheld.get("pathPrefix", "/")[0] != "/":
        return "withholds.pathPrefix: does not begin with a slash"
    host = withheld.get("host")
    if host and host.lower() not in {place[0] for place in places}:
        return f"withholds.host: {host} is in no route of this offer"
    if not any(place[1].startswith(prefix) or prefix.startswith(place[1]) for place in places):
        return f"withholds.pathPrefix: no route of this offer is near {prefix}"
    return None


def _audience_failure(audience: Document, known: Mapping[str, Collection[str]]) -> str | None:
    """What is wrong with whom a restriction withholds from, or None."""
    if not any(audience.get(field) for field in AUDIENCE_FIELDS):
        return "from: names nobody"
    for field, names in known.items():
        for name in audience.get(field) or ():
            if name not in names:
                return f"from.{field}: {name} is not known"
    return None

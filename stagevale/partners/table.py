"""The merged table of partners' routes: a pure function of the configuration and the offers."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from stagevale.configuration.value import ConfigurationValue, StoredOffer

MARK_CHARACTERS = 16
DEFAULT_VARIANT = "effectful"


class Restriction:
    """What a partner withholds, and from whom; immutable by convention.

    Attributes:
        name: unique within the offer.
        host: the host that it is about; empty for all.
        prefix: the paths that it is about; empty for all.
        variant: the kind of route that it is about; empty for all.
        regions, zones, tenants: from whose requests it withholds; tenants and partners together.
        everybody: withholds from all.
    """

    __slots__ = ("name", "host", "prefix", "variant", "regions", "zones", "tenants", "everybody")

    def __init__(self, document: Mapping[str, Any]) -> None:
        withheld = document.get("withholds") or {}
        audience = document.get("from") or {}
        self.name: str = document["name"]
        self.host: str = (withheld.get("host") or "").lower()
        self.prefix: str = withheld.get("pathPrefix") or ""
        self.variant: str = withheld.get("variant") or ""
        self.regions = frozenset(audience.get("regions") or ())
        self.zones = frozenset(audience.get("zones") or ())
        tenants = frozenset(audience.get("tenants") or ())
        self.tenants = tenants | frozenset(audience.get("partners") or ())
        self.everybody = bool(audience.get("everybody"))

    def _is_about(self, route: "OfferedRoute") -> bool:
        return self.host in ("", route.host) and self.variant in ("", route.variant)

    def covers(self, route: "OfferedRoute") -> bool:
        """True where it withholds all of a route's paths."""
        return self._is_about(route) and route.prefix.startswith(self.prefix)

    def touches(self, route: "OfferedRoute") -> bool:
        """True where it withholds some of a route's paths."""
        return self._is_about(route) and (
            route.prefix.startswith(self.prefix) or self.prefix.startswith(route.prefix)
        )

    def applies_to(self, zone: str, region: str, tenant: str) -> bool:
        """True where a request from here, of this tenant or partner, is withheld from."""
        return (
            self.everybody or zone in self.zones or region in self.regions or tenant in self.tenants
        )

    def description(self) -> str:
        """What it withholds from whom, for operators."""
        audience = "; ".join(
            f"{kind} {', '.join(sorted(names))}"
            for kind, names in (
                ("regions", self.regions),
                ("zones", self.zones),
                ("tenants and partners", self.tenants),
            )
            if names
        )
        whom = "everybody" if self.everybody else audience
        return f"{self.name}: {self.prefix or 'all paths'} from {whom}"


class OfferedRoute:
    """One offered route in the merged table; immutable by convention once the table is made.

    Attributes:
        partner: who offers it.
        version: the offer's version.
        document: the route as offered.
        services: where its requests go.
        kept: whether it is used.
        reason: why it is used or isn't, for operators.
        restrictions: those that withhold some of its paths.
        route: the route that a proxy has made of it, or None.
    """

    __slots__ = (
        "partner",
        "version",
        "host",
        "prefix",
        "variant",
        "services",
        "kept",
        "reason",
        "restrictions",
        "route",
        "document",
    )

    def __init__(self, partner: str, version: int, document: Mapping[str, Any]) -> None:
        self.partner = partner
        self.version = version
        self.document = document
        self.host: str = document["host"].lower()
        self.prefix: str = document["pathPrefix"]
        self.variant: str = document.get("variant", DEFAULT_VARIANT)
        self.services = tuple(part["service"] for part in document.get("weighted") or [document])
        self.kept = True
        self.reason = "offered"
        self.restrictions: tuple[Restriction, ...] = ()
        self.route: Any = None

    @property
    def place(self) -> tuple[str, str]:
        """Host and prefix."""
        return self.host, self.prefix

    def drop(self, reason: str) -> None:
        """Marks the route as not used."""
        self.kept = False
        self.reason = reason

    def withheld_by(self, path: str, zone: str, region: str, tenant: str) -> Restriction | None:
        """The restriction that withholds a request on this path from here, or None."""
        for restriction in self.restrictions:
            if path.startswith(restriction.prefix) and restriction.applies_to(zone, region, tenant):
                return restriction
        return None

    def to_row(self) -> dict[str, Any]:
        """The route as operators are shown it."""
        return {
            "partner": self.partner,
            "offer": f"r{self.version}",
            "host": self.host,
            "pathPrefix": self.prefix,
            "variant": self.variant,
            "services": list(self.services),
            "kept": self.kept,
            "reason": self.reason,
            "withheld": [restriction.description() for restriction in self.restrictions],
        }


class Candidate(NamedTuple):
    """A partner's route for a request, and why it isn't used; empty where it may be."""

    route: OfferedRoute
    objection: str


class PartnerTable:
    """All partners' routes as every daemon holds them; immutable.

    Attributes:
        routes: all offered routes, used or not.
        mark: a hash that is equal for equal tables.
    """

    __slots__ = ("routes", "mark", "_by_host")

    def __init__(self, routes: Iterable[OfferedRoute]) -> None:
        self.routes = tuple(routes)
        self._by_host: dict[str, dict[str, list[OfferedRoute]]] = {}
        for route in self.routes:
            by_partner = self._by_host.setdefault(route.host, {})
            by_partner.setdefault(route.partner, []).append(route)
        for by_partner in self._by_host.values():
            for offered in by_partner.values():
                offered.sort(key=lambda route: -len(route.prefix))
        text = json.dumps(
            [[route.to_row(), route.document] for route in self.routes],
            sort_keys=True,
            separators=(",", ":"),
        )
        self.mark = hashlib.sha256(text.encode()).hexdigest()[:MARK_CHARACTERS]

    def candidates(
        self, host: str, path: str, zone: str, region: str, tenant: str
    ) -> list[Candidate]:
        """Each partner's route with the longest prefix for a request. A partner whose route is
        withheld or dropped has no other: the request never slips to a wider route of that partner.
        """
        candidates = []
        by_partner = self._by_host.get(host, {})
        for partner in sorted(by_partner):
            route = next((r for r in by_partner[partner] if path.startswith(r.prefix)), None)
            if route is not None:
                objection = _objection(route, path, zone, region, tenant)
                candidates.append(Candidate(route, objection))
        return candidates

    def find(
        self, host: str, path: str, zone: str, region: str, tenant: str
    ) -> OfferedRoute | None:
        """The route that takes a request: the longest prefix, between equals the first partner by
        name; or None.
        """
        best: OfferedRoute | None = None
        for route, objection in self.candidates(host, path, zone, region, tenant):
            if not objection and (best is None or len(route.prefix) > len(best.prefix)):
                best = route
        return best

    def permissions(self) -> set[tuple[Any, ...]]:
        """What the table lets through, as comparable items; a later table that lacks one of them
        lets less through.
        """
        return {
            (
                route.partner,
                route.host,
                route.prefix,
                json.dumps(route.document, sort_keys=True),
                tuple(
                    sorted(
                        restriction.description() + restriction.host + restriction.variant
                        for restriction in route.restrictions
                    )
                ),
            )
            for route in self.routes
            if route.kept
        }


def _objection(route: OfferedRoute, path: str, zone: str, region: str, tenant: str) -> str:
    """Why a route isn't used for a request; empty where it may be."""
    if not route.kept:
        return route.reason
    restriction = route.withheld_by(path, zone, region, tenant)
    return f"restriction {restriction.description()}" if restriction is not None else ""


def merge_offers(config: Mapping[str, Any], offers: Mapping[str, StoredOffer]) -> PartnerTable:
    """The table of a configuration and offers.

    Args:
        config: the configuration as a document; empty before the first.
        offers: by the partner's name; those with an empty text are withdrawn.
    """
    own = {
        (route["host"].lower(), route["pathPrefix"]): route.get("name") or route["pathPrefix"]
        for route in config.get("routes", ())
    }
    services = {service["name"] for service in config.get("services", ())}
    routes: list[OfferedRoute] = []
    first_at: dict[tuple[str, str], OfferedRoute] = {}
    for partner in sorted(offers):
        offer = offers[partner]
        for route, restrictions in _routes_of(partner, offer):
            objection = _objection_of_others(route, restrictions, own, services, first_at)
            if objection:
                route.drop(objection)
            route.restrictions = tuple(each for each in restrictions if each.touches(route))
            if route.kept:
                if route.place in first_at:
                    route.reason = (
                        f"offered; used where {first_at[route.place].partner}'s is withheld"
                    )
                elif route.restrictions:
                    route.reason = "offered, in part withheld"
                first_at.setdefault(route.place, route)
            routes.append(route)
    return PartnerTable(routes)


def _routes_of(
    partner: str, offer: StoredOffer
) -> Iterable[tuple[OfferedRoute, list[Restriction]]]:
    """The routes of an offer in order of their places, each with all restrictions of the offer."""
    if not offer.text:
        return
    document = json.loads(offer.text)
    restrictions = [Restriction(row) for row in document.get("restrictions") or ()]
    restrictions.sort(key=lambda restriction: restriction.name)
    routes = [OfferedRoute(partner, offer.version, row) for row in document["routes"]]
    for route in sorted(routes, key=lambda route: route.place):
        yield route, restrictions


def _objection_of_others(
    route: OfferedRoute,
    restrictions: Iterable[Restriction],
    own: Mapping[tuple[str, str], str],
    services: set[str],
    first_at: Mapping[tuple[str, str], OfferedRoute],
) -> str:
    """Why an offered route isn't used by anybody; empty where it is used."""
    missing = sorted(set(route.services) - services)
    if missing:
        return f"service {missing[0]} is not in the configuration"
    for restriction in restrictions:
        if restriction.everybody and restriction.covers(route):
            return f"restriction {restriction.description()}"
    if route.place in own:
        return f"own route {own[route.place]} has this host and prefix"
    first = first_at.get(route.place)
    if first is not None and not first.restrictions:
        return f"partner {first.partner} comes before"
    return ""


def table_of(value: ConfigurationValue) -> PartnerTable:
    """The merged table of a configuration value."""
    return merge_offers(json.loads(value.config) if value.config else {}, value.offers)


NO_PARTNERS = PartnerTable(())

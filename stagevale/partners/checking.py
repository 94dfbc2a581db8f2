"""Reading and checking of partners' offers, with trafaret; and what each order about them does to
the register.
"""

import json
import re

import trafaret as t
from expression import Error, Ok, Result

from stagevale.configuration.checking import (
    ROUTE,
    ConfigFailure,
    check_version,
    fingerprint,
    read_shape,
)
from stagevale.partners import table_of

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
NAMES = t.List(t.String()) | t.Null()
RESTRICTION = t.Dict(
    {
        t.Key("name"): t.String(),
        t.Key("withholds"): t.Dict(
            {
                t.Key("host", optional=True): t.String(),
                t.Key("pathPrefix", optional=True): t.String(),
                t.Key("variant", optional=True): t.Enum("pure", "effectful"),
            }
        ),
        t.Key("from"): t.Dict(
            {
                t.Key("regions", optional=True): NAMES,
                t.Key("zones", optional=True): NAMES,
                t.Key("tenants", optional=True): NAMES,
                t.Key("partners", optional=True): NAMES,
                t.Key("everybody", optional=True): t.Bool(),
            }
        ),
    }
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


def read_offer(partner, text, config, offers, zones) -> Result:
    """The text of an offer as Ok(table), or Error(ConfigFailure) with the field that is wrong."""
    if not NAME.match(partner):
        return Error(ConfigFailure(400, "partner: want a name of letters, digits, dots, dashes"))
    shaped = read_shape(text, OFFER)
    if shaped.is_error():
        return shaped
    table = shaped.ok
    services = {service["name"] for service in config.get("services", ())}
    places, names = set(), set()
    for number, route in enumerate(table["routes"]):
        where = f"routes[{number}]"
        place = route["host"].lower(), route["pathPrefix"]
        if place in places:
            return Error(
                ConfigFailure(400, f"{where}: another route of this offer has this host and prefix")
            )
        places.add(place)
        targets = [part["service"] for part in route.get("weighted") or ()] or [
            route.get("service")
        ]
        if not targets[0]:
            return Error(ConfigFailure(400, f"{where}.service: no service"))
        if route.get("weighted") and sum(part["weight"] for part in route["weighted"]) <= 0:
            return Error(ConfigFailure(400, f"{where}.weighted: no weight above 0"))
        for target in targets:
            if target not in services:
                return Error(ConfigFailure(400, f"{where}.service: unknown service {target}"))
    known = {
        "regions": set(zones.values()),
        "zones": set(zones),
        "tenants": {tenant["name"] for tenant in config.get("tenants") or ()},
    }
    known["partners"] = (
        {name for name, (_, kept) in offers.items() if kept} | known["tenants"] | {partner}
    )
    for number, row in enumerate(table.get("restrictions") or ()):
        where = f"restrictions[{number}]"
        if row["name"] in names:
            return Error(ConfigFailure(400, f"{where}.name: another restriction has this name"))
        names.add(row["name"])
        if row["withholds"].get("pathPrefix", "/")[0] != "/":
            return Error(
                ConfigFailure(400, f"{where}.withholds.pathPrefix: does not begin with a slash")
            )
        host = row["withholds"].get("host")
        if host and host.lower() not in {place[0] for place in places}:
            return Error(
                ConfigFailure(400, f"{where}.withholds.host: {host} is in no route of this offer")
            )
        prefix = row["withholds"].get("pathPrefix", "")
        if not any(place[1].startswith(prefix) or prefix.startswith(place[1]) for place in places):
            return Error(
                ConfigFailure(
                    400, f"{where}.withholds.pathPrefix: no route of this offer is near {prefix}"
                )
            )
        if not any(
            row["from"].get(what)
            for what in ("regions", "zones", "tenants", "partners", "everybody")
        ):
            return Error(ConfigFailure(400, f"{where}.from: names nobody"))
        for what in known:
            for name in row["from"].get(what) or ():
                if name not in known[what]:
                    return Error(ConfigFailure(400, f"{where}.from.{what}: {name} is not known"))
    return Ok(table)


def narrows(before, after):
    """True where the later value's table lets less through than the earlier one's."""
    return not table_of(before).allows() <= table_of(after).allows()


def offered(value, payload, zones, outcome):
    """What an offer does: `outcome(status, text, value)`; payload is the partner's name, a line
    end, the offer.
    """
    partner, _, text = payload.partition("\n")
    config = json.loads(value.config) if value.config else {}
    checked = read_offer(partner, text, config, value.offers, zones)
    if checked.is_error():
        return outcome(checked.error.status, checked.error.reason)
    table = checked.ok
    version, parent, hashed = table["version"], table["parentVersion"], fingerprint(text)
    name = f"{partner}/{version}"
    if value.answered.holds(name, hashed):
        return outcome(200)
    current = value.offers.get(partner, (0, ""))[0]
    if parent != current:
        return outcome(412, f"offer r{current} of {partner} is in place")
    if version <= current:
        return outcome(400, f"version: r{version} is not above r{current}")
    return outcome(
        200,
        "",
        value.after(
            offers={**value.offers, partner: (version, text)},
            answered=value.answered.with_order(name, hashed),
        ),
    )


def withdrawn(value, partner, outcome):
    """What a withdrawal does; the version is kept, so that no later offer goes back behind it."""
    if partner not in value.offers:
        return outcome(404, f"no partner {partner}")
    version, text = value.offers[partner]
    if not text:
        return outcome(200)
    return outcome(200, "", value.after(offers={**value.offers, partner: (version, "")}))


def read_back(value, partner, outcome):
    """The offer in force."""
    version, text = value.offers.get(partner, (0, ""))
    return outcome(200, text) if text else outcome(404, f"no offer of {partner}")

"""Reading and checking of the operator's configurations, with trafaret."""

import hashlib
import json

import trafaret as t
from expression import Error, Ok, Result

from stagevale.tenants import tenants_failure


class ConfigFailure:
    """Why a configuration can't be taken: the HTTP status and a reason that names the place."""

    __slots__ = ("status", "reason")

    def __init__(self, status, reason):
        self.status = status
        self.reason = reason


def version_number(value):
    """`r12`, `12` or 12 as 12; anything else raises ValueError."""
    if isinstance(value, bool):
        raise ValueError(f"not a version: {value!r}")
    if isinstance(value, int):
        return value
    if isinstance(value, str):
        digits = value[1:] if value[:1] == "r" else value
        if digits.isascii() and digits.isdigit():
            return int(digits)
    raise ValueError(f"not a version: {value!r}")


def check_version(value):
    try:
        return version_number(value)
    except ValueError as failure:
        raise t.DataError(str(failure)) from None


def check_prefix(value):
    if not value.startswith("/"):
        raise t.DataError("does not begin with a slash")
    return value


def check_header(value):
    if not value.isascii() or not value.replace("-", "").isalnum():
        raise t.DataError("is no name of a header")
    return value


NUMBER = t.Int(gte=0) | t.Float(gte=0)
PART = t.Dict({t.Key("service"): t.String(), t.Key("weight"): NUMBER}, allow_extra="*")
ROUTE = t.Dict(
    {
        t.Key("name", optional=True): t.String(allow_blank=True),
        t.Key("host"): t.String(),
        t.Key("pathPrefix"): t.String() & check_prefix,
        t.Key("variant", optional=True): t.Enum("pure", "effectful"),
        t.Key("timeoutMs"): t.Int(gt=0) | t.Float(gt=0),
        t.Key("targetMs", optional=True): NUMBER,
        t.Key("priority", optional=True): NUMBER,
        t.Key("maxAttempts", optional=True): t.Int(gte=1),
        t.Key("homeRegions", optional=True): t.List(t.String()) | t.Null(),
        t.Key("service", optional=True): t.String(),
        t.Key("weighted", optional=True): t.List(PART, min_length=1),
        t.Key("public", optional=True): t.Bool() | t.Null(),
        t.Key("affinity", optional=True): t.Dict(
            {
                t.Key("header"): t.String(max_length=64) & check_header,
                t.Key("keepS", optional=True): t.Int(gte=1) | t.Float(gte=1),
            }
        )
        | t.Null(),
    },
    allow_extra="*",
)
TENANT = t.Dict(
    {
        t.Key("name"): t.String(),
        t.Key("apiKeys", optional=True): t.List(t.String()) | t.Null(),
        t.Key("priority", optional=True): NUMBER | t.Null(),
        t.Key("homeRegions", optional=True): t.List(t.String()) | t.Null(),
    },
    allow_extra="*",
)
SERVICE = t.Dict(
    {
        t.Key("name"): t.String(),
        t.Key("healthPath", optional=True): t.String(),
        t.Key("maxConns", optional=True): NUMBER,
        t.Key("warmupS", optional=True): NUMBER,
        t.Key("coldPerS", optional=True): NUMBER,
    },
    allow_extra="*",
)
CONFIG = t.Dict(
    {
        t.Key("version"): check_version,
        t.Key("parentVersion", default=0): check_version,
        t.Key("routes"): t.List(ROUTE),
        t.Key("services"): t.List(SERVICE),
        t.Key("limits", optional=True): t.Dict({}, allow_extra="*"),
        t.Key("tenants", optional=True): t.List(TENANT) | t.Null(),
    },
    allow_extra="*",
)


def places_of(failure, place=""):
    """What a check found, as one `place: why` for each place."""
    why = failure.error if isinstance(failure, t.DataError) else failure
    if isinstance(why, dict):
        return [
            row
            for key, inner in why.items()
            for row in places_of(inner, f"{place}.{key}" if place else str(key))
        ]
    return [f"{place}: {why}" if place else str(why)]


def read_shape(text, shape) -> Result:
    """The text as Ok(table) of this shape, or Error(ConfigFailure) with each place that is
    wrong.
    """
    try:
        return Ok(shape.check(json.loads(text)))
    except t.DataError as failure:
        return Error(ConfigFailure(400, "; ".join(places_of(failure))))
    except (ValueError, RecursionError) as failure:
        return Error(ConfigFailure(400, f"not JSON: {failure}"))


def read_config(text, regions=()) -> Result:
    """The text of a configuration as Ok(table with numbers for versions), or Error(ConfigFailure).

    `regions` are those that tenants may have for homes; without them homes are not checked.
    """
    shaped = read_shape(text, CONFIG)
    if shaped.is_error():
        return shaped
    table = shaped.ok
    known = {service["name"] for service in table["services"]}
    places = set()
    for number, route in enumerate(table["routes"]):
        where = route.get("name") or f"routes[{number}]"
        place = route["host"].lower(), route["pathPrefix"]
        if place in places:
            return Error(ConfigFailure(400, f"{where}: another route has this host and prefix"))
        places.add(place)
        targets = [route["service"]] if route.get("service") else []
        if route.get("weighted"):
            targets += [part["service"] for part in route["weighted"]]
            if sum(part["weight"] for part in route["weighted"]) <= 0:
                return Error(ConfigFailure(400, f"{where}: no weight above 0"))
        if not targets:
            return Error(ConfigFailure(400, f"{where}: no service"))
        for target in targets:
            if target not in known:
                return Error(ConfigFailure(400, f"{where}: unknown service {target}"))
    failure = tenants_failure(table.get("tenants") or (), regions)
    if failure:
        return Error(ConfigFailure(400, failure))
    return Ok(table)


def fingerprint(text):
    """A hash that is equal for equal configurations, however they are spaced."""
    canonical = json.dumps(json.loads(text), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()[:24]

"""The shape of an operator's configuration, with trafaret."""

import trafaret as t

from stagevale.configuration.documents import check_version

MOST_HEADER_CHARACTERS = 64


def _check_prefix(value: str) -> str:
    if not value.startswith("/"):
        raise t.DataError("does not begin with a slash")
    return value


def _check_header(value: str) -> str:
    if not value.isascii() or not value.replace("-", "").isalnum():
        raise t.DataError("is no name of a header")
    return value


NUMBER = t.Int(gte=0) | t.Float(gte=0)
WEIGHTED_SERVICE = t.Dict({t.Key("service"): t.String(), t.Key("weight"): NUMBER}, allow_extra="*")
AFFINITY = t.Dict(
    {
        t.Key("header"): t.String(max_length=MOST_HEADER_CHARACTERS) & _check_header,
        t.Key("keepS", optional=True): t.Int(gte=1) | t.Float(gte=1),
    }
)
ROUTE = t.Dict(
    {
        t.Key("name", optional=True): t.String(allow_blank=True),
        t.Key("host"): t.String(),
        t.Key("pathPrefix"): t.String() & _check_prefix,
        t.Key("variant", optional=True): t.Enum("pure", "effectful"),
        t.Key("timeoutMs"): t.Int(gt=0) | t.Float(gt=0),
        t.Key("targetMs", optional=True): NUMBER,
        t.Key("priority", optional=True): NUMBER,
        t.Key("maxAttempts", optional=True): t.Int(gte=1),
        t.Key("homeRegions", optional=True): t.List(t.String()) | t.Null(),
        t.Key("service", optional=True): t.String(),
        t.Key("weighted", optional=True): t.List(WEIGHTED_SERVICE, min_length=1),
        t.Key("public", optional=True): t.Bool() | t.Null(),
        t.Key("affinity", optional=True): AFFINITY | t.Null(),
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
CONFIGURATION = t.Dict(
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

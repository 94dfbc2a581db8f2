"""The proxy's snapshot: routes, services, evacuations and members at one moment, swapped whole."""

import json

from stagevale.partners.table import NO_PARTNERS, merge_offers
from stagevale.tenants.tenants import read_keys

KEEP_S = 600


class Affinity:
    """How a route's sessions are told apart, and for how long their requests are remembered."""

    __slots__ = ("header", "keep_ms")

    def __init__(self, row):
        self.header = row["header"].lower().encode()
        self.keep_ms = int(row.get("keepS", KEEP_S) * 1000)


class Route:
    """One route of the configuration."""

    __slots__ = (
        "name",
        "pure",
        "timeout_ms",
        "target_ms",
        "priority",
        "max_attempts",
        "homes",
        "shares",
        "total",
        "public",
        "cacheable",
        "partner",
        "affinity",
    )

    def __init__(self, row):
        self.name = row.get("name", "")
        self.pure = row.get("variant", "effectful") == "pure"
        self.timeout_ms = float(row["timeoutMs"])
        self.target_ms = float(row.get("targetMs") or row["timeoutMs"])
        self.priority = row.get("priority", 0)
        self.max_attempts = int(row.get("maxAttempts") or 1)
        self.homes = frozenset(row.get("homeRegions") or ())
        self.public = bool(row.get("public"))
        self.cacheable = bool(row.get("cacheable"))
        self.partner = None
        self.affinity = Affinity(row["affinity"]) if row.get("affinity") else None
        parts = row.get("weighted") or [{"service": row["service"], "weight": 1}]
        self.shares = tuple(
            (part["service"], float(part["weight"])) for part in parts if part["weight"] > 0
        )
        self.total = sum(weight for _, weight in self.shares)

    def service(self, random):
        """A service for one request, by weight."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        point = random.random() * self.total
        for service, weight in self.shares:
            point -= weight
            if point < 0:
                return service
        return self.shares[-1][0]


class Service:
    """What the configuration says of one service."""

    __slots__ = ("name", "max_conns", "warmup_ms", "cold_per_s")

    def __init__(self, row):
        self.name = row["name"]
        self.max_conns = int(row.get("maxConns") or 100)
        self.warmup_ms = float(row.get("warmupS") or 0) * 1000.0
        self.cold_per_s = float(row.get("coldPerS") or 0)


class Limits:
    """What a client may send, and how long it may take."""

    __slots__ = ("header_max_bytes", "body_max_bytes", "header_read_ms", "idle_ms")

    def __init__(self, row):
        self.header_max_bytes = int(row.get("headerMaxBytes") or 16384)
        self.body_max_bytes = int(row.get("bodyMaxBytes") or 64 * 1024 * 1024)
        self.header_read_ms = float(row.get("headerReadMs") or 3000)
        self.idle_ms = float(row.get("idleMs") or 15000)


class Snapshot:
    """Immutable: a change makes another one."""

    __slots__ = (
        "serial",
        "hosts",
        "services",
        "limits",
        "evacuated",
        "targets",
        "proxies",
        "keys",
        "partners",
        "sessions",
        "rollouts",
    )

    def __init__(
        self,
        serial,
        hosts,
        services,
        limits,
        evacuated,
        targets,
        proxies,
        keys=None,
        partners=NO_PARTNERS,
        sessions=None,
        rollouts=None,
    ):
        self.serial = serial
        self.hosts = hosts
        self.services = services
        self.limits = limits
        self.evacuated = evacuated
        self.targets = targets
        self.proxies = proxies
        self.keys = keys
        self.partners = partners
        self.sessions = sessions or {}
        self.rollouts = rollouts or {}

    def route(self, host, path):
        """The route of this host with the longest prefix of the path, or None."""
        for prefix, route in self.hosts.get(host, ()):
            if path.startswith(prefix):
                return route
        return None

    def partner_route(self, host, path, zone, region, tenant):
        """The partner's route that takes a request for which no own route is there, or None."""
        row = self.partners.find(host, path, zone, region, tenant)
        if row is None:
            return None
        if row.route is None:
            row.route = Route(row.document)
            row.route.partner = row
        return row.route

    def with_(self, **changes):
        """This snapshot with some things changed."""
        fields = {name: getattr(self, name) for name in Snapshot.__slots__}
        return Snapshot(**{**fields, **changes})

    def with_targets(self, targets):
        return self.with_(targets=targets)

    def with_proxies(self, proxies):
        return self.with_(proxies=proxies)

    def with_value(self, value):
        """This snapshot with another version of the register's value."""
        rollouts = None
        if value.rollouts:
            from stagevale.rollouts.rollout import read_rollouts

            rollouts = read_rollouts(value.rollouts)
        if not value.config:
            return self.with_(
                serial=value.serial, evacuated=frozenset(value.evacuated), rollouts=rollouts
            )
        table = json.loads(value.config)
        hosts = {}
        for row in table["routes"]:
            hosts.setdefault(row["host"].lower(), []).append((row["pathPrefix"], Route(row)))
        for rows in hosts.values():
            rows.sort(key=lambda entry: -len(entry[0]))
        services = {row["name"]: Service(row) for row in table["services"]}
        return Snapshot(
            value.serial,
            {host: tuple(rows) for host, rows in hosts.items()},
            services,
            Limits(table.get("limits") or {}),
            frozenset(value.evacuated),
            self.targets,
            self.proxies,
            read_keys(table.get("tenants")),
            merge_offers(table, value.offers) if value.offers else NO_PARTNERS,
            value.sessions,
            rollouts,
        )


def empty_snapshot():
    """What a proxy holds before it has heard anything."""
    return Snapshot(-1, {}, {}, Limits({}), frozenset(), {}, ())

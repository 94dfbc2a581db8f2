"""The proxy's digest: routes, services, evacuations and members at one moment, swapped whole."""
import json

from stagevale.partners import NO_TABLE, mergedTable
from stagevale.tenants import readKeys


KEEP_S = 600


class Affinity:
    """How a route's sessions are told apart, and for how long their jobs are remembered."""

    __slots__ = ("header", "keepMs")

    def __init__(self, row):
        self.header = row["header"].lower().encode()
        self.keepMs = int(row.get("keepS", KEEP_S) * 1000)


class Route:
    """One route of the configuration."""

    __slots__ = ("name", "pure", "timeoutMs", "targetMs", "priority", "maxAttempts", "homes", "shares", "total",
                 "public", "cacheable", "partner", "affinity")

    def __init__(self, row):
        self.name = row.get("name", "")
        self.pure = row.get("variant", "effectful") == "pure"
        self.timeoutMs = float(row["timeoutMs"])
        self.targetMs = float(row.get("targetMs") or row["timeoutMs"])
        self.priority = row.get("priority", 0)
        self.maxAttempts = int(row.get("maxAttempts") or 1)
        self.homes = frozenset(row.get("homeRegions") or ())
        self.public = bool(row.get("public"))
        self.cacheable = bool(row.get("cacheable"))
        self.partner = None
        self.affinity = Affinity(row["affinity"]) if row.get("affinity") else None
        parts = row.get("weighted") or [{"service": row["service"], "weight": 1}]
        self.shares = tuple((part["service"], float(part["weight"])) for part in parts if part["weight"] > 0)
        self.total = sum(weight for _, weight in self.shares)

    def service(self, random):
        """A service for one job, by weight."""
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

    __slots__ = ("name", "maxConns", "warmupMs", "coldPerS")

    def __init__(self, row):
        self.name = row["name"]
        self.maxConns = int(row.get("maxConns") or 100)
        self.warmupMs = float(row.get("warmupS") or 0) * 1000.0
        self.coldPerS = float(row.get("coldPerS") or 0)


class Limits:
    """What a client may send, and how long it may take."""

    __slots__ = ("headerMaxBytes", "bodyMaxBytes", "headerReadMs", "idleMs")

    def __init__(self, row):
        self.headerMaxBytes = int(row.get("headerMaxBytes") or 16384)
        self.bodyMaxBytes = int(row.get("bodyMaxBytes") or 64 * 1024 * 1024)
        self.headerReadMs = float(row.get("headerReadMs") or 3000)
        self.idleMs = float(row.get("idleMs") or 15000)


class Digest:
    """Immutable: a change makes another one."""

    __slots__ = ("serial", "hosts", "services", "limits", "evacuated", "targets", "proxies", "keys", "partners", "sessions",
                 "rollouts")

    def __init__(self, serial, hosts, services, limits, evacuated, targets, proxies, keys=None,
                 partners=NO_TABLE, sessions=None, rollouts=None):
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

    def partnerRoute(self, host, path, area, region, tenant):
        """The partner's route that takes a job for which no own route is there, or None."""
        row = self.partners.find(host, path, area, region, tenant)
        if row is None:
            return None
        if row.route is None:
            row.route = Route(row.source)
            row.route.partner = row
        return row.route

    def with_(self, **changes):
        """This digest with some things changed."""
        fields = {name: getattr(self, name) for name in Digest.__slots__}
        return Digest(**{**fields, **changes})

    def withTargets(self, targets):
        return self.with_(targets=targets)

    def withProxies(self, proxies):
        return self.with_(proxies=proxies)

    def withValue(self, value):
        """This digest with another epoch of the register's value."""
        rollouts = None
        if value.rollouts:
            from stagevale.rollouts import read_rollouts
            rollouts = read_rollouts(value.rollouts)
        if not value.config:
            return self.with_(serial=value.serial, evacuated=frozenset(value.evacuated), rollouts=rollouts)
        table = json.loads(value.config)
        hosts = {}
        for row in table["routes"]:
            hosts.setdefault(row["host"].lower(), []).append((row["pathPrefix"], Route(row)))
        for rows in hosts.values():
            rows.sort(key=lambda entry: -len(entry[0]))
        services = {row["name"]: Service(row) for row in table["services"]}
        return Digest(value.serial, {host: tuple(rows) for host, rows in hosts.items()}, services,
                      Limits(table.get("limits") or {}), frozenset(value.evacuated), self.targets, self.proxies,
                      readKeys(table.get("tenants")),
                      mergedTable(table, value.offers) if value.offers else NO_TABLE, value.sessions, rollouts)


def emptyDigest():
    """What a proxy holds before it has heard anything."""
    return Digest(-1, {}, {}, Limits({}), frozenset(), {}, ())

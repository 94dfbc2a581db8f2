"""The proxy's snapshot: routes, services, evacuations and members at one moment."""

import json
from collections.abc import Mapping
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from stagevale.balancing.target import Target
from stagevale.configuration.value import ConfigurationValue, SessionGroup
from stagevale.partners.table import (
    DEFAULT_VARIANT,
    NO_PARTNERS,
    OfferedRoute,
    PartnerTable,
    merge_offers,
)
from stagevale.runtime.clock import MS_PER_S
from stagevale.tenants.tenants import Keys, read_keys

if TYPE_CHECKING:
    from stagevale.rollouts.rollout import Rollout

NO_SERIAL = -1
# What holds where the configuration doesn't say.
DEFAULT_KEEP_S = 600
IDEMPOTENT_VARIANT = "pure"
DEFAULT_MAX_CONNECTIONS = 100
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_READ_MS = 3000
DEFAULT_IDLE_MS = 15000

Row = Mapping[str, Any]


class Affinity:
    """How a route's sessions are told apart, and for how long their requests are remembered.

    Attributes:
        header: the header that names the session, in lower case.
        keep_ms: for how long a key's outcome is remembered.
    """

    __slots__ = ("header", "keep_ms")

    def __init__(self, row: Row) -> None:
        self.header: bytes = row["header"].lower().encode()
        self.keep_ms = int(row.get("keepS", DEFAULT_KEEP_S) * MS_PER_S)


class WeightedService(NamedTuple):
    """One of the services that a route's requests are divided among."""

    service: str
    weight: float


class Route:
    """One route of the configuration; immutable once it is made.

    Attributes:
        pure: its requests are idempotent.
        timeout_ms, target_ms: the longest that a request is held, and the latency target.
        priority: 0 is the highest.
        max_attempts: the most endpoints that one request may be sent to.
        homes: regions that its requests may be served in; empty for all.
        services: where its requests go.
        public: no tenant's key is needed.
        cacheable: its usage is counted with the answer.
        partner: the offered route that it was made of, or None.
        affinity: how sessions are told apart, or None.
    """

    __slots__ = (
        "name",
        "pure",
        "timeout_ms",
        "target_ms",
        "priority",
        "max_attempts",
        "homes",
        "services",
        "public",
        "cacheable",
        "partner",
        "affinity",
        "_total_weight",
    )

    def __init__(self, row: Row) -> None:
        self.name: str = row.get("name", "")
        self.pure: bool = row.get("variant", DEFAULT_VARIANT) == IDEMPOTENT_VARIANT
        self.timeout_ms = float(row["timeoutMs"])
        self.target_ms = float(row.get("targetMs") or row["timeoutMs"])
        self.priority: float = row.get("priority", 0)
        self.max_attempts = int(row.get("maxAttempts") or 1)
        self.homes: frozenset[str] = frozenset(row.get("homeRegions") or ())
        self.public = bool(row.get("public"))
        self.cacheable = bool(row.get("cacheable"))
        self.partner: OfferedRoute | None = None
        self.affinity = Affinity(row["affinity"]) if row.get("affinity") else None
        weighted = row.get("weighted") or [{"service": row["service"], "weight": 1}]
        self.services = tuple(
            WeightedService(part["service"], float(part["weight"]))
            for part in weighted
            if part["weight"] > 0
        )
        self._total_weight = sum(part.weight for part in self.services)

    def service(self, random: Random) -> str:
        """A service for one request, by weight."""
        if len(self.services) == 1:
            return self.services[0].service
        point = random.random() * self._total_weight
        for service, weight in self.services:
            point -= weight
            if point < 0:
                return service
        return self.services[-1].service


class Service:
    """What the configuration says of one service.

    Attributes:
        max_conns: connections that an endpoint takes from all proxies together.
        warmup_ms, cold_per_s: how long an endpoint warms up, and how many requests a second it
            bears meanwhile.
    """

    __slots__ = ("name", "max_conns", "warmup_ms", "cold_per_s")

    def __init__(self, row: Row) -> None:
        self.name: str = row["name"]
        self.max_conns = int(row.get("maxConns") or DEFAULT_MAX_CONNECTIONS)
        self.warmup_ms = float(row.get("warmupS") or 0) * MS_PER_S
        self.cold_per_s = float(row.get("coldPerS") or 0)


class Limits:
    """What a client may send, and how long it may take."""

    __slots__ = ("header_max_bytes", "body_max_bytes", "header_read_ms", "idle_ms")

    def __init__(self, row: Row) -> None:
        self.header_max_bytes = int(row.get("headerMaxBytes") or DEFAULT_HEADER_BYTES)
        self.body_max_bytes = int(row.get("bodyMaxBytes") or DEFAULT_BODY_BYTES)
        self.header_read_ms = float(row.get("headerReadMs") or DEFAULT_HEADER_READ_MS)
        self.idle_ms = float(row.get("idleMs") or DEFAULT_IDLE_MS)


class ProxyMember(NamedTuple):
    """A proxy as the chooser needs to know it."""

    address: str
    zone: str
    region: str


class RoutePrefix(NamedTuple):
    """A route and the prefix of the paths that it takes."""

    prefix: str
    route: Route


class Snapshot:
    """What a proxy knows at one moment; immutable: a change makes another one.

    Attributes:
        serial: of the configuration value; `NO_SERIAL` before the first.
        hosts: routes by host, the longest prefix first.
        services: by name.
        limits: of clients.
        evacuated: zones that are evacuated.
        targets: endpoints by service.
        proxies: all proxies of the system.
        keys: of tenants, or None where there are none.
        partners: the merged table of partner routes.
        sessions: session groups by name.
        rollouts: by service.
    """

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
        serial: int,
        hosts: Mapping[str, tuple[RoutePrefix, ...]],
        services: Mapping[str, Service],
        limits: Limits,
        evacuated: frozenset[str],
        targets: Mapping[str, tuple[Target, ...]],
        proxies: tuple[ProxyMember, ...],
        keys: Keys | None = None,
        partners: PartnerTable = NO_PARTNERS,
        sessions: Mapping[str, SessionGroup] | None = None,
        rollouts: "Mapping[str, Rollout] | None" = None,
    ) -> None:
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

    def route(self, host: str, path: str) -> Route | None:
        """The route of this host with the longest prefix of the path, or None."""
        for prefix, route in self.hosts.get(host, ()):
            if path.startswith(prefix):
                return route
        return None

    def partner_route(
        self, host: str, path: str, zone: str, region: str, tenant: str
    ) -> Route | None:
        """The partner's route that takes a request for which no own route is there, or None."""
        offered = self.partners.find(host, path, zone, region, tenant)
        if offered is None:
            return None
        if offered.route is None:
            offered.route = Route(offered.document)
            offered.route.partner = offered
        route: Route = offered.route
        return route

    def _changed(self, **changes: Any) -> "Snapshot":
        fields = {name: getattr(self, name) for name in Snapshot.__slots__}
        return Snapshot(**{**fields, **changes})

    def with_targets(self, targets: Mapping[str, tuple[Target, ...]]) -> "Snapshot":
        """This snapshot with other endpoints."""
        return self._changed(targets=targets)

    def with_proxies(self, proxies: tuple[ProxyMember, ...]) -> "Snapshot":
        """This snapshot with other proxies."""
        return self._changed(proxies=proxies)

    def with_value(self, value: ConfigurationValue) -> "Snapshot":
        """This snapshot with another version of the configuration value."""
        rollouts = _read_rollouts(value)
        if not value.config:
            return self._changed(
                serial=value.serial, evacuated=frozenset(value.evacuated), rollouts=rollouts
            )
        config = json.loads(value.config)
        hosts: dict[str, list[RoutePrefix]] = {}
        for row in config["routes"]:
            entry = RoutePrefix(row["pathPrefix"], Route(row))
            hosts.setdefault(row["host"].lower(), []).append(entry)
        for entries in hosts.values():
            entries.sort(key=lambda entry: -len(entry.prefix))
        return Snapshot(
            value.serial,
            {host: tuple(entries) for host, entries in hosts.items()},
            {row["name"]: Service(row) for row in config["services"]},
            Limits(config.get("limits") or {}),
            frozenset(value.evacuated),
            self.targets,
            self.proxies,
            read_keys(config.get("tenants")),
            merge_offers(config, value.offers) if value.offers else NO_PARTNERS,
            value.sessions,
            rollouts,
        )


def _read_rollouts(value: ConfigurationValue) -> "Mapping[str, Rollout] | None":
    if not value.rollouts:
        return None
    # Loaded with the first rollout: most systems have none.
    from stagevale.rollouts.rollout import read_rollouts

    return read_rollouts(value.rollouts)


def empty_snapshot() -> Snapshot:
    """What a proxy holds before it has received anything."""
    return Snapshot(NO_SERIAL, {}, {}, Limits({}), frozenset(), {}, ())

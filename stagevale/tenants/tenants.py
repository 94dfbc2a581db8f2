"""Tenants and their keys. Keys never leave this table: not into logs, pages or messages."""

from collections.abc import Collection, Iterable, Mapping
from typing import Any

BEARER_SCHEME = b"bearer "


class Tenant:
    """One tenant of the configuration.

    Attributes:
        name: as operators and usage reports name it.
        header: the name as the value of a header.
        priority: of its requests, where it goes over the route's; or None.
        homes: regions that its requests may be served in; empty for all.
    """

    __slots__ = ("name", "header", "priority", "homes")

    def __init__(self, row: Mapping[str, Any]) -> None:
        self.name: str = row["name"]
        self.header = self.name.encode()
        self.priority: float | None = row.get("priority")
        self.homes = frozenset(row.get("homeRegions") or ())


class Keys:
    """All keys of one configuration; immutable."""

    __slots__ = ("_tenants",)

    def __init__(self, rows: Iterable[Mapping[str, Any]]) -> None:
        self._tenants: dict[bytes, Tenant] = {}
        for row in rows:
            tenant = Tenant(row)
            for key in row.get("apiKeys") or ():
                self._tenants[key.encode()] = tenant

    def tenant(self, credentials: bytes | None) -> Tenant | None:
        """The tenant whose key stands in an `Authorization` header's value, or None."""
        if credentials is None:
            return None
        scheme = credentials[: len(BEARER_SCHEME)]
        if scheme.lower() != BEARER_SCHEME:
            return None
        return self._tenants.get(credentials[len(BEARER_SCHEME) :].strip())


def read_keys(rows: Collection[Mapping[str, Any]] | None) -> Keys | None:
    """The keys of a configuration's `tenants`, or None where it has none."""
    return Keys(rows) if rows else None


def tenants_failure(rows: Iterable[Mapping[str, Any]], regions: Collection[str]) -> str | None:
    """Why `tenants` of the right shape can't be taken, naming the place and never a key; None where
    they can.

    Args:
        rows: the tenants.
        regions: those that may be homes; empty where that isn't checked.
    """
    names: set[str] = set()
    keys: set[str] = set()
    for number, row in enumerate(rows):
        place = f"tenants[{number}]"
        if row["name"] in names:
            return f"{place}: another tenant has this name"
        names.add(row["name"])
        if not _fits_header(row["name"]):
            return f"{place}: the name can't stand in a header"
        for index, key in enumerate(row.get("apiKeys") or ()):
            if key in keys:
                return f"{place}: apiKeys[{index}] is another key's twin"
            keys.add(key)
            if not _fits_header(key):
                return f"{place}: apiKeys[{index}] can't stand in a header"
        for region in row.get("homeRegions") or ():
            if regions and region not in regions:
                return f"{place}: homeRegions names the unknown region {region}"
    return None


def _fits_header(text: str) -> bool:
    return text.isascii() and text.isprintable() and text == text.strip()

"""Tenants: whose key a request bears, and what follows from it. Keys never leave this table."""

SCHEME = b"bearer "


class Tenant:
    """One tenant of the configuration; its keys are known to the table alone."""

    __slots__ = ("name", "header", "priority", "homes")

    def __init__(self, row):
        self.name = row["name"]
        self.header = row["name"].encode()
        self.priority = row.get("priority")
        self.homes = frozenset(row.get("homeRegions") or ())


class Keys:
    """All keys of one configuration. Immutable by custom."""

    __slots__ = ("by_key",)

    def __init__(self, rows):
        self.by_key = {}
        for row in rows:
            tenant = Tenant(row)
            for key in row.get("apiKeys") or ():
                self.by_key[key.encode()] = tenant

    def tenant(self, credentials):
        """The tenant whose key stands in an `Authorization` value, or None."""
        if credentials is None or credentials[:7].lower() != SCHEME:
            return None
        return self.by_key.get(credentials[7:].strip())


def read_keys(rows):
    """The keys of a configuration's `tenants`, or None where it has none."""
    return Keys(rows) if rows else None


def tenants_failure(rows, regions):
    """Why checked rows of `tenants` can't be taken, naming the place and never a key; None where
    they can.
    """
    names, keys = set(), set()
    for number, row in enumerate(rows):
        where = f"tenants[{number}]"
        if row["name"] in names:
            return f"{where}: another tenant has this name"
        names.add(row["name"])
        if (
            not row["name"].isascii()
            or not row["name"].isprintable()
            or row["name"] != row["name"].strip()
        ):
            return f"{where}: the name can't stand in a header"
        for place, key in enumerate(row.get("apiKeys") or ()):
            if key in keys:
                return f"{where}: apiKeys[{place}] is another key's twin"
            keys.add(key)
            if not key.isascii() or not key.isprintable() or key != key.strip():
                return f"{where}: apiKeys[{place}] can't stand in a header"
        for region in row.get("homeRegions") or ():
            if regions and region not in regions:
                return f"{where}: homeRegions names the unknown region {region}"
    return None

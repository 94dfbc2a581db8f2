"""Partner routes: offers beside the configuration, and one merged table that is the same
everywhere.
"""

import hashlib
import json

OFFER_BYTES = 1024 * 1024


class Restriction:
    """What a partner declines to pass on, and to whom."""

    __slots__ = ("name", "host", "prefix", "variant", "regions", "zones", "tenants", "everybody")

    def __init__(self, row):
        withheld, whom = row.get("withholds") or {}, row.get("from") or {}
        self.name = row["name"]
        self.host = (withheld.get("host") or "").lower()
        self.prefix = withheld.get("pathPrefix") or ""
        self.variant = withheld.get("variant") or ""
        self.regions = frozenset(whom.get("regions") or ())
        self.zones = frozenset(whom.get("zones") or ())
        self.tenants = frozenset(whom.get("tenants") or ()) | frozenset(whom.get("partners") or ())
        self.everybody = bool(whom.get("everybody"))

    def about(self, host, variant):
        """True where it speaks of this host and this kind of route."""
        return self.host in ("", host) and self.variant in ("", variant)

    def covers(self, row):
        """True where it withholds all of a row's paths."""
        return self.about(row.host, row.variant) and row.prefix.startswith(self.prefix)

    def touches(self, row):
        """True where it withholds some of a row's paths."""
        return self.about(row.host, row.variant) and (
            row.prefix.startswith(self.prefix) or self.prefix.startswith(row.prefix)
        )

    def binds(self, zone, region, tenant):
        """True where a request from here, of this tenant or partner, is among those it withholds
        from.
        """
        return (
            self.everybody or zone in self.zones or region in self.regions or tenant in self.tenants
        )

    def words(self):
        whom = [
            f"{what} {', '.join(sorted(names))}"
            for what, names in (
                ("regions", self.regions),
                ("zones", self.zones),
                ("tenants and partners", self.tenants),
            )
            if names
        ]
        return f"{self.name}: {self.prefix or 'all paths'} from {'everybody' if self.everybody else '; '.join(whom)}"


class Row:
    """One offered route in the merged table, kept or dropped, and why. Immutable by custom."""

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
        "source",
    )

    def __init__(self, partner, version, source):
        self.partner = partner
        self.version = version
        self.source = source
        self.host = source["host"].lower()
        self.prefix = source["pathPrefix"]
        self.variant = source.get("variant", "effectful")
        self.services = tuple(part["service"] for part in source.get("weighted") or [source])
        self.kept = True
        self.reason = "offered"
        self.restrictions = ()
        self.route = None

    def withheld_by(self, path, zone, region, tenant):
        """The restriction that withholds a request on this path from here, or None."""
        for restriction in self.restrictions:
            if path.startswith(restriction.prefix) and restriction.binds(zone, region, tenant):
                return restriction
        return None

    def fields(self):
        return {
            "partner": self.partner,
            "offer": f"r{self.version}",
            "host": self.host,
            "pathPrefix": self.prefix,
            "variant": self.variant,
            "services": list(self.services),
            "kept": self.kept,
            "reason": self.reason,
            "withheld": [restriction.words() for restriction in self.restrictions],
        }


class Table:
    """All partners' routes as every daemon holds them. A pure function of configuration and
    offers.
    """

    __slots__ = ("rows", "by_host", "mark")

    def __init__(self, rows):
        self.rows = tuple(rows)
        self.by_host = {}
        for row in rows:
            self.by_host.setdefault(row.host, {}).setdefault(row.partner, []).append(row)
        for partners in self.by_host.values():
            for offered in partners.values():
                offered.sort(key=lambda row: -len(row.prefix))
        text = json.dumps(
            [[row.fields(), row.source] for row in rows], sort_keys=True, separators=(",", ":")
        )
        self.mark = hashlib.sha256(text.encode()).hexdigest()[:16]

    def weigh(self, host, path, zone, region, tenant):
        """Each partner's word on a request: (row, why it is not used or ""). A partner whose
        longest prefix is withheld or dropped has no other word: the request never slips to a wider
        route of that partner.
        """
        words = []
        for partner in sorted(self.by_host.get(host, ())):
            for row in self.by_host[host][partner]:
                if path.startswith(row.prefix):
                    held = row.withheld_by(path, zone, region, tenant)
                    words.append(
                        (
                            row,
                            row.reason
                            if not row.kept
                            else f"restriction {held.words()}"
                            if held is not None
                            else "",
                        )
                    )
                    break
        return words

    def find(self, host, path, zone, region, tenant):
        """The row that takes a request: the longest prefix, between equals the first partner by
        name; or None.
        """
        best = None
        for row, against in self.weigh(host, path, zone, region, tenant):
            if not against and (best is None or len(row.prefix) > len(best.prefix)):
                best = row
        return best

    def allows(self):
        """What the table lets through, as comparable items; a later table that lacks one of them is
        narrower.
        """
        return {
            (
                row.partner,
                row.host,
                row.prefix,
                json.dumps(row.source, sort_keys=True),
                tuple(
                    sorted(
                        restriction.words() + restriction.host + restriction.variant
                        for restriction in row.restrictions
                    )
                ),
            )
            for row in self.rows
            if row.kept
        }


def merged_table(config, offers):
    """The table of a configuration (read) and offers: name to (version, text); an empty text is a
    withdrawn one.
    """
    own = {
        (route["host"].lower(), route["pathPrefix"]): route.get("name") or route["pathPrefix"]
        for route in config.get("routes", ())
    }
    services = {service["name"] for service in config.get("services", ())}
    rows, taken = [], {}
    for partner in sorted(offers):
        version, text = offers[partner]
        if not text:
            continue
        offer = json.loads(text)
        restrictions = sorted(
            (Restriction(row) for row in offer.get("restrictions") or ()), key=lambda r: r.name
        )
        for source in sorted(
            offer["routes"], key=lambda route: (route["host"].lower(), route["pathPrefix"])
        ):
            row = Row(partner, version, source)
            missing = sorted(set(row.services) - services)
            whole = [r for r in restrictions if r.everybody and r.covers(row)]
            place = row.host, row.prefix
            if missing:
                row.kept, row.reason = False, f"service {missing[0]} is not in the configuration"
            elif whole:
                row.kept, row.reason = False, f"restriction {whole[0].words()}"
            elif place in own:
                row.kept, row.reason = False, f"own route {own[place]} has this host and prefix"
            elif place in taken and not taken[place].restrictions:
                row.kept, row.reason = False, f"partner {taken[place].partner} comes before"
            row.restrictions = tuple(r for r in restrictions if r.touches(row))
            if row.kept:
                if place in taken:
                    row.reason = f"offered; used where {taken[place].partner}'s is withheld"
                elif row.restrictions:
                    row.reason = "offered, in part withheld"
                taken.setdefault(place, row)
            rows.append(row)
    return Table(rows)


def table_of(value):
    """The merged table of a register's value."""
    return merged_table(json.loads(value.config) if value.config else {}, value.offers)


NO_TABLE = Table(())

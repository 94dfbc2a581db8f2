"""Registrations: the lives of endpoints, merged by (life, callSeq), with drain and leave sticky."""

import struct
import zlib

from stagevale.placement import PARTS, part_of

READY, DRAINING, GONE = range(3)
SUMMARY_ROW = struct.Struct("!II")


class Life:
    """One life of an endpoint as it is known here. Immutable by custom."""

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "call_seq",
        "unhealthy_at",
        "cold_seq",
        "cold_ms",
        "heard_ms",
        "software",
        "kept_mark",
    )

    def __init__(
        self,
        id,
        service,
        address,
        zone,
        slots,
        state,
        call_seq,
        unhealthy_at,
        cold_seq,
        cold_ms,
        heard_ms=0.0,
        software="",
    ):
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = state
        self.call_seq = call_seq
        self.unhealthy_at = unhealthy_at
        self.cold_seq = cold_seq
        self.cold_ms = cold_ms
        self.heard_ms = heard_ms
        self.software = software
        self.kept_mark = None

    @property
    def healthy(self):
        """False once it was declared unheard and has not been heard since."""
        return self.call_seq > self.unhealthy_at

    def fields(self, now_ms):
        """The life for a message; what is left of the cold time travels, not the moment of its
        end.
        """
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.call_seq,
            self.unhealthy_at,
            self.cold_seq,
            max(0, int(self.cold_ms - (now_ms - self.heard_ms))),
            self.software,
        ]

    def known(self):
        """What the proxies need to know; two lives with equal answers need no push."""
        return self.id, self.state, self.healthy, self.cold_seq

    def mark(self):
        """A short number equal for equal knowledge of the life."""
        if self.kept_mark is None:
            self.kept_mark = zlib.crc32(repr(self.known()).encode())
        return self.kept_mark

    def counts(self):
        """True while the life belongs to what registries must know alike."""
        return self.state != GONE and self.healthy


def life_from_fields(row, now_ms):
    """A life out of a message; a misshapen one raises ValueError or its kin."""
    life = Life(*row[:10], heard_ms=now_ms, software=row[10] if len(row) > 10 else "")
    if not (
        isinstance(life.id, str)
        and isinstance(life.address, str)
        and life.state in (READY, DRAINING, GONE)
    ):
        raise ValueError("life")
    int(life.call_seq), int(life.unhealthy_at), int(life.cold_ms), int(life.slots)
    return life


class Lives:
    """All lives known to one registry, by id and by part."""

    __slots__ = ("by_id", "by_key", "parts", "gone_ms", "marks")

    def __init__(self):
        self.by_id = {}
        self.by_key = {}
        self.parts = {}
        self.gone_ms = {}
        self.marks = {}

    def merge(self, comer, now_ms):
        """Takes in what is told of a life; returns the life as it is now known if that is news,
        else None.
        """
        known = self.by_id.get(comer.id)
        if known is None:
            self.put(comer)
            if comer.state == GONE:
                self.gone_ms[comer.id] = now_ms
            return comer
        state = max(known.state, comer.state)
        newer = comer if comer.call_seq > known.call_seq else known
        unhealthy_at = max(known.unhealthy_at, comer.unhealthy_at)
        colder = comer if comer.cold_seq > known.cold_seq else known
        cold_left_ms = colder.cold_ms - (now_ms - colder.heard_ms)
        after = Life(
            known.id,
            known.service,
            newer.address,
            newer.zone,
            newer.slots,
            state,
            newer.call_seq,
            unhealthy_at,
            colder.cold_seq,
            max(0, cold_left_ms),
            now_ms,
            known.software or comer.software,
        )
        news = after.known() != known.known()
        if not news:
            after.kept_mark = known.kept_mark
        self.put(after)
        if state == GONE and known.state != GONE:
            self.gone_ms[after.id] = now_ms
        return after if news else None

    def put(self, life):
        """Keeps a life; the mark of its part follows entry by entry, so that a beat costs the same
        in any fleet.
        """
        before = self.by_id.get(life.id)
        part = part_of(life.service)
        if before is None or before.mark() != life.mark():
            self.marks[part] = (
                self.mark(part)
                + (life.mark() if life.counts() else 0)
                - (before.mark() if before is not None and before.counts() else 0)
            ) & 0xFFFFFFFF
        self.by_id[life.id] = life
        self.by_key[zlib.crc32(life.id.encode())] = life
        self.parts.setdefault(part, {})[life.id] = life

    def forget(self, gone_before_ms, unheard_before_ms):
        """Drops lives that left, and unhealthy ones that were last heard, before these moments."""
        old = [id for id, since_ms in self.gone_ms.items() if since_ms < gone_before_ms]
        old += [
            life.id
            for life in self.by_id.values()
            if not life.healthy and life.heard_ms < unheard_before_ms
        ]
        for id in old:
            self.gone_ms.pop(id, None)
            life = self.by_id.pop(id, None)
            if life is not None:
                self.by_key.pop(zlib.crc32(id.encode()), None)
                part = part_of(life.service)
                self.parts[part].pop(id, None)
                if life.counts():
                    self.marks[part] = (self.mark(part) - life.mark()) & 0xFFFFFFFF

    def mark(self, part):
        """A short number equal for equal knowledge of a part; gone and unhealthy lives don't
        count.
        """
        return self.marks.get(part, 0)

    def mark_of_all(self):
        """A short number equal for equal knowledge of all parts."""
        return zlib.crc32(repr(sorted((part, self.mark(part)) for part in PARTS)).encode())

    def rows(self, part, now_ms):
        return [life.fields(now_ms) for life in self.parts.get(part, {}).values()]

    def summary(self, part):
        """The lives of a part as eight bytes each: which one, and what is known of it."""
        return b"".join(
            SUMMARY_ROW.pack(zlib.crc32(id.encode()), life.mark())
            for id, life in self.parts.get(part, {}).items()
        )

    def differing(self, part, summary, now_ms):
        """What a peer with this summary of a part lacks or knows otherwise, as rows; and the keys
        of what differs or is unknown here.
        """
        theirs = dict(SUMMARY_ROW.iter_unpack(summary))
        rows = []
        for id, life in self.parts.get(part, {}).items():
            key = zlib.crc32(id.encode())
            mark = theirs.get(key)
            if mark == life.mark():
                del theirs[key]
            else:
                rows.append(life.fields(now_ms))
        return rows, list(theirs)

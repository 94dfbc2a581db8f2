"""Registrations: the lives of endpoints, merged by (life, callSeq), with drain and leave sticky."""
import zlib

from stagevale.placement import PARTS, part_of

READY, DRAINING, GONE = range(3)


class Life:
    """One life of an endpoint as it is known here. Immutable by custom."""

    __slots__ = ("id", "service", "address", "zone", "slots", "state", "call_seq", "unhealthy_at", "cold_seq", "cold_ms",
                 "heard_ms", "software")

    def __init__(self, id, service, address, zone, slots, state, call_seq, unhealthy_at, cold_seq, cold_ms, heard_ms=0.0,
                 software=""):
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

    @property
    def healthy(self):
        """False once it was declared unheard and has not been heard since."""
        return self.call_seq > self.unhealthy_at

    def fields(self, now_ms):
        """The life for a message; what is left of the cold time travels, not the moment of its end."""
        return [self.id, self.service, self.address, self.zone, self.slots, self.state, self.call_seq,
                self.unhealthy_at, self.cold_seq, max(0, int(self.cold_ms - (now_ms - self.heard_ms))), self.software]

    def known(self):
        """What the proxies need to know; two lives with equal answers need no push."""
        return self.id, self.state, self.healthy, self.cold_seq


def life_from_fields(row, now_ms):
    """A life out of a message; a misshapen one raises ValueError or its kin."""
    life = Life(*row[:10], heard_ms=now_ms, software=row[10] if len(row) > 10 else "")
    if not (isinstance(life.id, str) and isinstance(life.address, str) and life.state in (READY, DRAINING, GONE)):
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
        """Takes in what is told of a life; returns the life as it is now known if that is news, else None."""
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
        after = Life(known.id, known.service, newer.address, newer.zone, newer.slots, state, newer.call_seq,
                     unhealthy_at, colder.cold_seq, max(0, cold_left_ms), now_ms, known.software or comer.software)
        self.put(after)
        if state == GONE and known.state != GONE:
            self.gone_ms[after.id] = now_ms
        return after if after.known() != known.known() else None

    def put(self, life):
        self.by_id[life.id] = life
        self.by_key[zlib.crc32(life.id.encode())] = life
        part = part_of(life.service)
        self.parts.setdefault(part, {})[life.id] = life
        self.marks.pop(part, None)

    def forget(self, gone_before_ms, unheard_before_ms):
        """Drops lives that left, and unhealthy ones that were last heard, before these moments."""
        old = [id for id, since_ms in self.gone_ms.items() if since_ms < gone_before_ms]
        old += [life.id for life in self.by_id.values() if not life.healthy and life.heard_ms < unheard_before_ms]
        for id in old:
            self.gone_ms.pop(id, None)
            life = self.by_id.pop(id, None)
            if life is not None:
                self.by_key.pop(zlib.crc32(id.encode()), None)
                part = part_of(life.service)
                self.parts[part].pop(id, None)
                self.marks.pop(part, None)

    def mark(self, part):
        """A short number equal for equal knowledge of a part; gone and unhealthy lives don't count."""
        mark = self.marks.get(part)
        if mark is None:
            rows = sorted(life.known() for life in self.parts.get(part, {}).values()
                          if life.state != GONE and life.healthy)
            mark = self.marks[part] = zlib.crc32(repr(rows).encode())
        return mark

    def mark_of_all(self):
        """A short number equal for equal knowledge of all parts."""
        return zlib.crc32(repr(sorted((part, self.mark(part)) for part in PARTS)).encode())

    def rows(self, part, now_ms):
        return [life.fields(now_ms) for life in self.parts.get(part, {}).values()]

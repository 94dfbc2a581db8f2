"""Registrations: the lives of endpoints, merged by (life, callSeq), with drain and leave sticky."""
import zlib

from stagevale.placement import PARTS, partOf

READY, DRAINING, GONE = range(3)


class Life:
    """One life of an endpoint as it is known here. Immutable by custom."""

    __slots__ = ("id", "service", "address", "area", "slots", "state", "callSeq", "unsoundAt", "coldSeq", "coldMs",
                 "heardMs", "software")

    def __init__(self, id, service, address, area, slots, state, callSeq, unsoundAt, coldSeq, coldMs, heardMs=0.0,
                 software=""):
        self.id = id
        self.service = service
        self.address = address
        self.area = area
        self.slots = slots
        self.state = state
        self.callSeq = callSeq
        self.unsoundAt = unsoundAt
        self.coldSeq = coldSeq
        self.coldMs = coldMs
        self.heardMs = heardMs
        self.software = software

    @property
    def sound(self):
        """False once it was declared unheard and has not been heard since."""
        return self.callSeq > self.unsoundAt

    def fields(self, nowMs):
        """The life for a message; what is left of the cold time travels, not the moment of its end."""
        return [self.id, self.service, self.address, self.area, self.slots, self.state, self.callSeq,
                self.unsoundAt, self.coldSeq, max(0, int(self.coldMs - (nowMs - self.heardMs))), self.software]

    def known(self):
        """What the proxies need to know; two lives with equal answers need no push."""
        return self.id, self.state, self.sound, self.coldSeq


def lifeFromFields(row, nowMs):
    """A life out of a message; a misshapen one raises ValueError or its kin."""
    life = Life(*row[:10], heardMs=nowMs, software=row[10] if len(row) > 10 else "")
    if not (isinstance(life.id, str) and isinstance(life.address, str) and life.state in (READY, DRAINING, GONE)):
        raise ValueError("life")
    int(life.callSeq), int(life.unsoundAt), int(life.coldMs), int(life.slots)
    return life


class Lives:
    """All lives known to one registry, by id and by part."""

    __slots__ = ("byId", "byKey", "parts", "goneMs", "marks")

    def __init__(self):
        self.byId = {}
        self.byKey = {}
        self.parts = {}
        self.goneMs = {}
        self.marks = {}

    def merge(self, comer, nowMs):
        """Takes in what is told of a life; returns the life as it is now known if that is news, else None."""
        known = self.byId.get(comer.id)
        if known is None:
            self.put(comer)
            if comer.state == GONE:
                self.goneMs[comer.id] = nowMs
            return comer
        state = max(known.state, comer.state)
        newer = comer if comer.callSeq > known.callSeq else known
        unsoundAt = max(known.unsoundAt, comer.unsoundAt)
        colder = comer if comer.coldSeq > known.coldSeq else known
        coldLeftMs = colder.coldMs - (nowMs - colder.heardMs)
        after = Life(known.id, known.service, newer.address, newer.area, newer.slots, state, newer.callSeq,
                     unsoundAt, colder.coldSeq, max(0, coldLeftMs), nowMs, known.software or comer.software)
        self.put(after)
        if state == GONE and known.state != GONE:
            self.goneMs[after.id] = nowMs
        return after if after.known() != known.known() else None

    def put(self, life):
        self.byId[life.id] = life
        self.byKey[zlib.crc32(life.id.encode())] = life
        part = partOf(life.service)
        self.parts.setdefault(part, {})[life.id] = life
        self.marks.pop(part, None)

    def forget(self, goneBeforeMs, unheardBeforeMs):
        """Drops lives that left, and unsound ones that were last heard, before these moments."""
        old = [id for id, sinceMs in self.goneMs.items() if sinceMs < goneBeforeMs]
        old += [life.id for life in self.byId.values() if not life.sound and life.heardMs < unheardBeforeMs]
        for id in old:
            self.goneMs.pop(id, None)
            life = self.byId.pop(id, None)
            if life is not None:
                self.byKey.pop(zlib.crc32(id.encode()), None)
                part = partOf(life.service)
                self.parts[part].pop(id, None)
                self.marks.pop(part, None)

    def mark(self, part):
        """A short number equal for equal knowledge of a part; gone and unsound lives don't count."""
        mark = self.marks.get(part)
        if mark is None:
            rows = sorted(life.known() for life in self.parts.get(part, {}).values()
                          if life.state != GONE and life.sound)
            mark = self.marks[part] = zlib.crc32(repr(rows).encode())
        return mark

    def markOfAll(self):
        """A short number equal for equal knowledge of all parts."""
        return zlib.crc32(repr(sorted((part, self.mark(part)) for part in PARTS)).encode())

    def rows(self, part, nowMs):
        return [life.fields(nowMs) for life in self.parts.get(part, {}).values()]

"""Sessions: records that follow a session between edge sites, kept by placed groups of
registries.
"""

import hashlib
import zlib

SESSION_PARTS = 8
GROUP_SIZE = 3
FRESH = "fresh"
HEADER_BYTES = 256
KEY_HEADER = b"idempotency-key"
ANSWER_BYTES = 64 * 1024

NOTED, UNKNOWN, FREE, ANSWERED = range(4)
STATES = ("under way", "unknown", "did not run", "answered")


def group_name(homes, session):
    """The group that keeps a session's record: by its route's homes and the hash of its name."""
    return f"{','.join(sorted(homes))}|{zlib.crc32(session) % SESSION_PARTS}"


def group_names(homes):
    """All groups of a set of homes."""
    return [f"{','.join(sorted(homes))}|{number}" for number in range(SESSION_PARTS)]


def homes_of(name):
    """The homes that a group's name stands for."""
    homes = name.partition("|")[0]
    return frozenset(homes.split(",")) if homes else frozenset()


def fingerprint_of(method, target, body):
    """What a key stands for: the same key with another fingerprint is another request under a used
    name.
    """
    return hashlib.sha256(method + b"\n" + target + b"\n" + body).hexdigest()[:24]


class Entry:
    """One at-most-once request under its key. A later turn goes over an earlier one, a later state
    within a turn too.

    A turn is the version under which the request was noted (number, holder) and a count: who notes
    anew has seen a majority's records, so an earlier turn that it didn't see was never noted by one
    and can't be any more.
    """

    __slots__ = ("turn", "state", "fingerprint", "by", "answer", "expires_ms")

    def __init__(self, turn, state, fingerprint, by, answer, expires_ms):
        self.turn = turn
        self.state = state
        self.fingerprint = fingerprint
        self.by = by
        self.answer = answer
        self.expires_ms = expires_ms

    def rank(self):
        return self.turn, self.state

    def fields(self, now_ms):
        return [
            list(self.turn),
            self.state,
            self.fingerprint,
            self.by,
            self.answer,
            int(self.expires_ms - now_ms),
        ]


def entry_from(fields, now_ms):
    turn, state, fingerprint, by, answer, left_ms = fields
    return Entry(
        (int(turn[0]), turn[1], int(turn[2])), int(state), fingerprint, by, answer, now_ms + left_ms
    )


class Record:
    """A session: its version (number and holder), the endpoint it keeps to per service, its
    requests by key.
    """

    __slots__ = ("number", "holder", "pins", "requests")

    def __init__(self, number=0, holder="", pins=None, requests=None):
        self.number = number
        self.holder = holder
        self.pins = pins or {}
        self.requests = requests or {}

    def version(self):
        return self.number, self.holder

    def fields(self, now_ms):
        return [
            self.number,
            self.holder,
            self.pins,
            {
                key: entry.fields(now_ms)
                for key, entry in self.requests.items()
                if entry.expires_ms > now_ms
            },
        ]

    def join(self, other):
        """Takes in what another copy of the record knows."""
        if other.version() > self.version():
            self.number, self.holder = other.number, other.holder
            self.pins = {**self.pins, **other.pins}
        else:
            self.pins = {**other.pins, **self.pins}
        for key, entry in other.requests.items():
            mine = self.requests.get(key)
            if mine is None or entry.rank() > mine.rank():
                self.requests[key] = entry


def record_from(fields, now_ms):
    number, holder, pins, requests = fields
    return Record(
        int(number),
        holder,
        dict(pins),
        {key: entry_from(row, now_ms) for key, row in requests.items()},
    )


def tend(sessions, wanted, registries, gone):
    """The register's next word on the groups, or None: makes those that are wanted, replaces
    members gone for good.

    `sessions` is name to (version, members, before); `registries` are those that live; `gone` are
    addresses. A group in the middle of a change is left alone until that is settled.
    """
    after = dict(sessions)
    for name in wanted:
        if name not in after:
            members = choose_members(name, registries, ())
            if members:
                after[name] = (1, members, (FRESH,))
    for name, (version, members, before) in sessions.items():
        lost = [address for address in members if address in gone]
        if before or not lost:
            continue
        kept = tuple(address for address in members if address not in lost[:1])
        comers = choose_members(name, [r for r in registries if r.address not in members], kept)
        if len(comers) > len(kept):
            after[name] = (version + 1, comers, members)
    return after if after != sessions else None


def choose_members(name, registries, kept):
    """Members for a group: those kept, then by hash, a region without one first."""
    homes = homes_of(name)
    able = sorted(
        (r for r in registries if not homes or r.region in homes),
        key=lambda r: -zlib.crc32(f"{name} {r.address}".encode()),
    )
    region_of = {r.address: r.region for r in registries}
    members = list(kept)
    for fresh in (True, False):
        for registry in able:
            taken = {region_of.get(address) for address in members}
            if (
                len(members) < GROUP_SIZE
                and registry.address not in members
                and (not fresh or registry.region not in taken)
            ):
                members.append(registry.address)
    return tuple(members)

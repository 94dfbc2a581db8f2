"""What a voter keeps on disk: a snapshot of its vote and the increments after it."""

from stagevale import wire
from stagevale.ballots import NO_BALLOT, as_ballot

SNAPSHOT, INCREMENT = 0, 1
INCREMENTS_PER_SNAPSHOT = 24
FORMER_FIELDS = 4


class Vote:
    """All that a voter must not forget. Immutable by custom."""

    __slots__ = ("voter", "founders", "promised", "accepted_ballot", "accepted", "peers")

    def __init__(
        self,
        voter,
        founders=(),
        promised=NO_BALLOT,
        accepted_ballot=NO_BALLOT,
        accepted=None,
        peers=(),
    ):
        self.voter = voter
        self.founders = tuple(founders)
        self.promised = promised
        self.accepted_ballot = accepted_ballot
        self.accepted = accepted
        self.peers = tuple(peers)

    def position(self):
        """What was accepted, in the order in which values supersede each other."""
        return self.accepted_ballot, self.accepted.serial if self.accepted else -1

    def snapshot(self):
        """The whole vote as a record."""
        packed = self.accepted.packed if self.accepted else b""
        return wire.pack(
            [
                SNAPSHOT,
                self.voter,
                list(self.founders),
                list(self.promised),
                list(self.accepted_ballot),
                packed,
                list(self.peers),
            ]
        )

    def increment(self, before):
        """The record that leads from the vote `before` to this one, or None where only a snapshot
        does.
        """
        if self.voter != before.voter or self.founders != before.founders:
            return None
        delta = b""
        if self.accepted is not before.accepted:
            delta = self.accepted.delta(before.accepted) if before.accepted else None
            if delta is None:
                return None
        return wire.pack(
            [
                INCREMENT,
                list(self.promised),
                list(self.accepted_ballot),
                delta,
                list(self.peers) if self.peers != before.peers else [],
            ]
        )

    def after(self, fields):
        """The vote that an increment's fields lead to."""
        promised, accepted_ballot, delta, peers = fields
        return Vote(
            self.voter,
            self.founders,
            as_ballot(promised),
            as_ballot(accepted_ballot),
            self.accepted.applied(delta) if delta else self.accepted,
            peers or self.peers,
        )


def read_vote(fields, read_value):
    """The vote out of a snapshot's fields; one written before voters had identities has none yet."""
    if len(fields) == FORMER_FIELDS:
        promised, accepted_ballot, packed, peers = fields
        accepted = read_value(packed) if packed else None
        return Vote("", (), as_ballot(promised), as_ballot(accepted_ballot), accepted, peers)
    voter, founders, promised, accepted_ballot, packed, peers = fields
    accepted = read_value(packed) if packed else None
    return Vote(voter, founders, as_ballot(promised), as_ballot(accepted_ballot), accepted, peers)


class DamagedDisk(Exception):
    """The folder holds files of a register, but no vote that can be trusted."""


class VoteStorage:
    """Saves and loads a voter's vote. Every call belongs on the disk thread.

    Each save is a table of its own number and counts once its files and the folder are synced. A
    snapshot stands alone; an increment builds on the save with the number before it. After a save
    that failed, and after each start, a snapshot comes next, so a gap in the numbers behind a
    snapshot can't come from a save that was never acknowledged.
    """

    __slots__ = ("tables", "read_value", "number", "first", "last", "written_bytes")

    def __init__(self, tables, read_value):
        self.tables = tables
        self.read_value = read_value
        self.number = 0
        self.first = 0
        self.last = None
        self.written_bytes = 0

    def load(self):
        """The newest vote whose every part is whole, or None for no tables at all.

        Raises DamagedDisk where there are files but no vote can be trusted.
        """
        numbers = self.tables.numbers()
        if not numbers:
            return None
        self.number = numbers[-1]
        records = {number: self.read(number) for number in numbers}
        snapshots = [
            number for number in numbers if records[number] and records[number][0] == SNAPSHOT
        ]
        if not snapshots:
            raise DamagedDisk(f"no whole snapshot among {len(numbers)} saves")
        at = snapshots[-1]
        try:
            vote = read_vote(records[at][1:], self.read_value)
            while records.get(at + 1):
                at += 1
                vote = vote.after(records[at][1:])
        except (ValueError, TypeError, IndexError, KeyError, wire.WireFailure) as failure:
            raise DamagedDisk(f"save {at} holds no vote: {failure}") from None
        stranded = [number for number in numbers if number > at and records[number]]
        if stranded:
            raise DamagedDisk(f"save {at + 1} is unreadable, but {stranded[0]} builds on it")
        return vote

    def read(self, number):
        data = self.tables.read(number)
        try:
            return wire.unpack(data, "load", "disk") if data is not None else None
        except wire.WireFailure:
            return None

    def save(self, vote):
        """Brings a vote to disk: as an increment where that will do, else as a snapshot."""
        last, self.last = self.last, None
        record = None
        if last is not None and self.number - self.first < INCREMENTS_PER_SNAPSHOT:
            record = vote.increment(last)
        self.number += 1
        whole = record is None
        if whole:
            record = vote.snapshot()
        self.tables.write(self.number, record)
        self.written_bytes += len(record)
        self.last = vote
        if whole:
            self.drop_before(self.number)

    def drop_before(self, number):
        """Removes the saves that a snapshot has replaced."""
        self.first = number
        for old in self.tables.numbers():
            if old < number:
                self.tables.drop(old)

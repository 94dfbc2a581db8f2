"""What a voter keeps on disk: a snapshot of its vote and the increments after it."""

import enum
from collections.abc import Callable, Iterable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from stagevale.consensus.value import ReplicatedValue
from stagevale.quorum.ballot import NO_BALLOT, Ballot
from stagevale.rpc import codec
from stagevale.rpc.errors import DecodeError
from stagevale.rpc.message import read_message

# Reading a vote costs reading this many increments at most.
INCREMENTS_PER_SNAPSHOT = 24
NOTHING_ACCEPTED = -1
# Fields of a snapshot written before voters had identities of their own.
FIELDS_WITHOUT_IDENTITY = 4

ValueT = TypeVar("ValueT", bound=ReplicatedValue)


class RecordKind(enum.IntEnum):
    """What a record on disk holds."""

    SNAPSHOT = 0
    INCREMENT = 1


class VotePosition(NamedTuple):
    """What was accepted, in the order in which values supersede each other."""

    accepted_ballot: Ballot
    serial: int


class SnapshotRecord(NamedTuple):
    """A complete vote on disk; `encoded` is empty where nothing was accepted."""

    voter: str
    founders: tuple[str, ...]
    promised: Ballot
    accepted_ballot: Ballot
    encoded: bytes
    peers: tuple[str, ...]


class IncrementRecord(NamedTuple):
    """What changed since the save before; empty fields mean no change of value or peers."""

    promised: Ballot
    accepted_ballot: Ballot
    delta: bytes
    peers: tuple[str, ...]


class SnapshotWithoutIdentity(NamedTuple):
    """A snapshot written before voters had identities of their own."""

    promised: Ballot
    accepted_ballot: Ballot
    encoded: bytes
    peers: tuple[str, ...]


class Vote(Generic[ValueT]):
    """All that a voter must not forget; immutable by convention.

    Attributes:
        voter: the identity of this disk.
        founders: the voters that the first start of the whole system named.
        promised: the highest ballot promised.
        accepted_ballot: the ballot of the value accepted.
        accepted: the value accepted, or None.
        peers: addresses of other core daemons, for a start whose seeds have gone.
    """

    __slots__ = ("voter", "founders", "promised", "accepted_ballot", "accepted", "peers")

    def __init__(
        self,
        voter: str,
        founders: Iterable[str] = (),
        promised: Ballot = NO_BALLOT,
        accepted_ballot: Ballot = NO_BALLOT,
        accepted: ValueT | None = None,
        peers: Iterable[str] = (),
    ) -> None:
        self.voter = voter
        self.founders = tuple(founders)
        self.promised = promised
        self.accepted_ballot = accepted_ballot
        self.accepted = accepted
        self.peers = tuple(peers)

    @property
    def serial(self) -> int:
        """The serial of the value accepted, or `NOTHING_ACCEPTED`."""
        return self.accepted.serial if self.accepted is not None else NOTHING_ACCEPTED

    @property
    def digest(self) -> bytes:
        """The digest of the value accepted; empty where there is none."""
        return self.accepted.digest if self.accepted is not None else b""

    def position(self) -> VotePosition:
        """How new the value accepted is."""
        return VotePosition(self.accepted_ballot, self.serial)

    def changed(self, **fields: Any) -> "Vote[ValueT]":
        """A vote with these fields changed."""
        values = {name: getattr(self, name) for name in Vote.__slots__}
        return Vote(**{**values, **fields})

    def snapshot(self) -> bytes:
        """The complete vote as a record."""
        encoded = self.accepted.encoded if self.accepted is not None else b""
        record = SnapshotRecord(
            self.voter, self.founders, self.promised, self.accepted_ballot, encoded, self.peers
        )
        return codec.encode([RecordKind.SNAPSHOT, *record])

    def increment_from(self, before: "Vote[ValueT]") -> bytes | None:
        """The record that leads from `before` to this vote; None where only a snapshot will do."""
        if self.voter != before.voter or self.founders != before.founders:
            return None
        delta: bytes | None = b""
        if self.accepted is not before.accepted:
            if self.accepted is None or before.accepted is None:
                return None
            delta = self.accepted.delta_from(before.accepted)
        if delta is None:
            return None
        peers = self.peers if self.peers != before.peers else ()
        record = IncrementRecord(self.promised, self.accepted_ballot, delta, peers)
        return codec.encode([RecordKind.INCREMENT, *record])

    def with_increment(self, record: IncrementRecord) -> "Vote[ValueT]":
        """The vote that an increment leads to.

        Raises:
            ValueError: the increment's delta doesn't belong to the value accepted.
        """
        accepted = self.accepted
        if record.delta:
            if accepted is None:
                raise ValueError("a delta of no value")
            accepted = accepted.with_delta(record.delta)
        return Vote(
            self.voter,
            self.founders,
            record.promised,
            record.accepted_ballot,
            accepted,
            record.peers or self.peers,
        )


class StorageError(Exception):
    """Base class of the errors of vote storage."""


class DamagedDiskError(StorageError):
    """The folder holds files of a voter, but no vote that can be trusted."""


class Tables(Protocol):
    """Numbered records on disk; see `stagevale.storage.tables`."""

    def numbers(self) -> list[int]:
        """The numbers of the records, in rising order."""

    def read(self, number: int) -> bytes | None:
        """A record, or None where it is torn or missing."""

    def write(self, number: int, record: bytes) -> None:
        """Writes a record; it is on disk when this returns."""

    def remove(self, number: int) -> None:
        """Removes a record."""


class VoteStore(Protocol[ValueT]):
    """Where an acceptor keeps its vote. Every call belongs on the disk thread."""

    def load(self) -> Vote[ValueT] | None:
        """The vote saved last, or None for an empty disk."""

    def save(self, vote: Vote[ValueT]) -> None:
        """Brings a vote to disk."""


class VoteStorage(Generic[ValueT]):
    """Saves and loads a voter's vote. Every call belongs on the disk thread.

    Each save is a record of its own number and counts once its files and the folder are synced. A
    snapshot stands alone; an increment builds on the save with the number before it. After a save
    that failed, and after each start, a snapshot comes next, so a gap in the numbers behind a
    snapshot can't come from a save that was never acknowledged.

    Attributes:
        written_bytes: sum of all records written, for measurements.
    """

    __slots__ = ("tables", "read_value", "number", "snapshot_number", "last_saved", "written_bytes")

    def __init__(self, tables: Tables, read_value: Callable[[bytes], ValueT]) -> None:
        self.tables = tables
        self.read_value = read_value
        self.number = 0
        self.snapshot_number = 0
        self.last_saved: Vote[ValueT] | None = None
        self.written_bytes = 0

    def load(self) -> Vote[ValueT] | None:
        """The newest vote of which every record is complete, or None for an empty folder.

        Raises:
            DamagedDiskError: there are files, but no vote that can be trusted.
        """
        numbers = self.tables.numbers()
        if not numbers:
            return None
        self.number = numbers[-1]
        records = {number: self._read_record(number) for number in numbers}
        snapshots = [
            number
            for number, record in records.items()
            if record is not None and record[0] == RecordKind.SNAPSHOT
        ]
        if not snapshots:
            raise DamagedDiskError(f"no whole snapshot among {len(numbers)} saves")
        vote, last_number = self._replay(records, snapshots[-1])
        stranded = [number for number in numbers if number > last_number and records[number]]
        if stranded:
            raise DamagedDiskError(
                f"save {last_number + 1} is unreadable, but {stranded[0]} builds on it"
            )
        return vote

    def _replay(
        self, records: dict[int, list[Any] | None], number: int
    ) -> tuple[Vote[ValueT], int]:
        """The vote of a snapshot and the increments after it, and the number of the last."""
        try:
            vote = self._read_snapshot((records[number] or [])[1:])
            while increment := records.get(number + 1):
                number += 1
                vote = vote.with_increment(read_message(IncrementRecord, increment[1:]))
        except (ValueError, TypeError, IndexError, KeyError, DecodeError) as cause:
            raise DamagedDiskError(f"save {number} holds no vote: {cause}") from cause
        return vote, number

    def _read_snapshot(self, fields: list[Any]) -> Vote[ValueT]:
        if len(fields) == FIELDS_WITHOUT_IDENTITY:
            former = read_message(SnapshotWithoutIdentity, fields)
            return Vote(
                "",
                (),
                former.promised,
                former.accepted_ballot,
                self._read_accepted(former.encoded),
                former.peers,
            )
        record = read_message(SnapshotRecord, fields)
        return Vote(
            record.voter,
            record.founders,
            record.promised,
            record.accepted_ballot,
            self._read_accepted(record.encoded),
            record.peers,
        )

    def _read_accepted(self, encoded: bytes) -> ValueT | None:
        return self.read_value(encoded) if encoded else None

    def _read_record(self, number: int) -> list[Any] | None:
        data = self.tables.read(number)
        if data is None:
            return None
        try:
            return codec.decode(data, "load", "disk")
        except DecodeError:
            return None

    def save(self, vote: Vote[ValueT]) -> None:
        """Brings a vote to disk: as an increment where that will do, else as a snapshot.

        Raises:
            OSError: the disk failed; the next save is a snapshot.
        """
        last_saved, self.last_saved = self.last_saved, None
        record = None
        if last_saved is not None and self.number - self.snapshot_number < INCREMENTS_PER_SNAPSHOT:
            record = vote.increment_from(last_saved)
        self.number += 1
        is_snapshot = record is None
        if record is None:
            record = vote.snapshot()
        self.tables.write(self.number, record)
        self.written_bytes += len(record)
        self.last_saved = vote
        if is_snapshot:
            self._remove_before(self.number)

    def _remove_before(self, number: int) -> None:
        """Removes the saves that a snapshot has replaced."""
        self.snapshot_number = number
        for old in self.tables.numbers():
            if old < number:
                self.tables.remove(old)

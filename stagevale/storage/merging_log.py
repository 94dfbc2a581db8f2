"""A log of rows that are never taken back, on disk in tables that are merged as they grow old."""

import contextlib
import struct
from collections.abc import Callable
from typing import NamedTuple

from stagevale.rpc import codec
from stagevale.storage.folder import Folder
from stagevale.storage.row_log import Rows
from stagevale.storage.tables import numbers_of, read_table, remove_table, write_table

ROWS_KEY = b"rows"
# So many tables of one level become one of the next: each row is written once more for each level.
FAN_OUT = 16
LEVELS = 6
# Tables that are larger together stay as they are, so that no merge holds up the saves behind it.
MOST_MERGED_BYTES = 8 * 1024 * 1024
# A table is a series of batches, each behind its length.
LENGTH = struct.Struct("!I")


class RowCodec(NamedTuple):
    """How a batch of rows becomes bytes."""

    encode: Callable[[Rows], bytes]
    decode: Callable[[bytes], Rows]


JSON_ROWS = RowCodec(codec.encode_rows, codec.decode_rows)


class Lifetime(NamedTuple):
    """For how long rows are kept.

    Attributes:
        now_ms: the monotonic clock.
        longest_ms: the longest that a row of a batch is wanted.
    """

    now_ms: Callable[[], float]
    longest_ms: Callable[[Rows], float]


class Table(NamedTuple):
    """A table of the log.

    Attributes:
        expires_ms: when it may be removed.
        size: its bytes.
    """

    expires_ms: float
    size: int


class MergingLog:
    """Appends batches; the cost of one doesn't grow with all that is there.

    After a loss of power tables that were merged may be there beside the merged one, so that rows
    can come twice and out of their order. Every call belongs on the disk thread.
    """

    __slots__ = ("folder", "row_codec", "lifetime", "_known", "_last")

    def __init__(
        self, folder: Folder, row_codec: RowCodec = JSON_ROWS, lifetime: Lifetime | None = None
    ) -> None:
        """Makes a log.

        Args:
            folder: where it is.
            row_codec: how rows are written.
            lifetime: for how long rows are kept; None for ever.
        """
        self.folder = folder
        self.row_codec = row_codec
        self.lifetime = lifetime
        # The tables of each level by number; None until the folder was looked at.
        self._known: list[dict[int, Table]] | None = None
        # The highest number of each level; those of removed tables aren't used again.
        self._last = [0] * LEVELS

    def load(self) -> Rows:
        """All rows of complete tables, older ones first."""
        rows: Rows = []
        for level in reversed(range(LEVELS)):
            tables = self._tables(level)
            for number in sorted(tables):
                batches = self._batches(level, number)
                if batches is None:
                    continue
                loaded = [row for batch in batches for row in self.row_codec.decode(batch)]
                size = sum(map(len, batches))
                tables[number] = Table(self._expiry_of(loaded), size)
                rows += loaded
        return rows

    def wants_snapshot(self) -> bool:
        """Rows aren't taken back: there is nothing that a snapshot would leave out."""
        return False

    def append(self, rows: Rows, is_snapshot: bool) -> None:
        """Writes a batch; it is on disk when this returns.

        Raises:
            OSError: the disk failed.
        """
        self._write(0, [self.row_codec.encode(rows)], self._expiry_of(rows))
        # The batch is on disk: tables that can't be merged now are merged after another one.
        with contextlib.suppress(OSError):
            self._remove_expired()
            self._merge_full_levels()

    def _expiry_of(self, rows: Rows) -> float:
        if self.lifetime is None:
            return float("inf")
        return self.lifetime.now_ms() + self.lifetime.longest_ms(rows)

    def _remove_expired(self) -> None:
        if self.lifetime is None:
            return
        now_ms = self.lifetime.now_ms()
        for level in range(LEVELS):
            tables = self._tables(level)
            for number in [each for each, table in tables.items() if table.expires_ms < now_ms]:
                remove_table(self.folder, _name(level, number))
                del tables[number]

    def _merge_full_levels(self) -> None:
        for level in range(LEVELS - 1):
            tables = self._tables(level)
            size = sum(table.size for table in tables.values())
            if len(tables) < FAN_OUT or size > MOST_MERGED_BYTES:
                break
            self._merge(level)

    def _merge(self, level: int) -> None:
        """Puts one table of the next level in the place of all tables of this one; one that can't
        be read stays.
        """
        tables = self._tables(level)
        found = {number: self._batches(level, number) for number in sorted(tables)}
        readable = {number: batches for number, batches in found.items() if batches is not None}
        merged = [batch for batches in readable.values() for batch in batches]
        self._write(level + 1, merged, max(table.expires_ms for table in tables.values()))
        for number in readable:
            remove_table(self.folder, _name(level, number))
        tables.clear()

    def _tables(self, level: int) -> dict[int, Table]:
        if self._known is None:
            found = [numbers_of(self.folder, _prefix(each)) for each in range(LEVELS)]
            self._last = [max(numbers, default=0) for numbers in found]
            # What hasn't been read yet stays.
            unread = Table(float("inf"), 0)
            self._known = [dict.fromkeys(numbers, unread) for numbers in found]
        return self._known[level]

    def _batches(self, level: int, number: int) -> list[bytes] | None:
        """The encoded batches of a table, or None where it can't be read."""
        data = read_table(self.folder, _name(level, number), ROWS_KEY)
        if data is None:
            return None
        batches = []
        start = 0
        while start < len(data):
            (size,) = LENGTH.unpack_from(data, start)
            start += LENGTH.size
            batches.append(data[start : start + size])
            start += size
        return batches

    def _write(self, level: int, batches: list[bytes], expires_ms: float) -> None:
        tables = self._tables(level)
        self._last[level] += 1
        number = self._last[level]
        data = b"".join(LENGTH.pack(len(batch)) + batch for batch in batches)
        write_table(self.folder, _name(level, number), ROWS_KEY, data)
        tables[number] = Table(expires_ms, len(data))


def _prefix(level: int) -> str:
    return f"level{level}"


def _name(level: int, number: int) -> str:
    return f"{_prefix(level)}-{number}"

"""A log of rows that are never taken back, on disk in tables that are merged as they grow old."""

import contextlib

from stagevale.rpc import codec
from stagevale.storage.folder import Folder
from stagevale.storage.row_log import Rows
from stagevale.storage.tables import numbers_of, read_table, remove_table, write_table

ROWS_KEY = b"rows"
# So many tables of one level become one of the next: each row is written once more for each level.
FAN_OUT = 16
LEVELS = 6


class MergingLog:
    """Appends batches; the cost of one doesn't grow with all that is there.

    After a loss of power tables that were merged may be there beside the merged one, so that rows
    can come twice. Every call belongs on the disk thread.
    """

    __slots__ = ("folder", "_numbers", "_last")

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self._numbers: list[list[int]] | None = None
        # The highest number of each level; those of removed tables aren't used again.
        self._last = [0] * LEVELS

    def load(self) -> Rows:
        """All rows of complete tables, older ones first."""
        rows: Rows = []
        for level in reversed(range(LEVELS)):
            for number in self._numbers_of(level):
                rows += self._read(level, number) or []
        return rows

    def wants_snapshot(self) -> bool:
        """Rows aren't taken back: there is nothing that a snapshot would leave out."""
        return False

    def append(self, rows: Rows, is_snapshot: bool) -> None:
        """Writes a batch; it is on disk when this returns.

        Raises:
            OSError: the disk failed.
        """
        self._write(0, rows)
        # The batch is on disk: tables that can't be merged now are merged after another one.
        with contextlib.suppress(OSError):
            self._merge_full_levels()

    def _merge_full_levels(self) -> None:
        for level in range(LEVELS - 1):
            if len(self._numbers_of(level)) < FAN_OUT:
                break
            self._merge(level)

    def _merge(self, level: int) -> None:
        """Puts one table of the next level in the place of all tables of this one; one that can't
        be read stays.
        """
        numbers = self._numbers_of(level)
        tables = {number: self._read(level, number) for number in numbers}
        read = {number: rows for number, rows in tables.items() if rows is not None}
        self._write(level + 1, [row for rows in read.values() for row in rows])
        for number in read:
            remove_table(self.folder, _name(level, number))
        numbers.clear()

    def _numbers_of(self, level: int) -> list[int]:
        if self._numbers is None:
            self._numbers = [numbers_of(self.folder, _prefix(level)) for level in range(LEVELS)]
            self._last = [max(numbers, default=0) for numbers in self._numbers]
        return self._numbers[level]

    def _read(self, level: int, number: int) -> Rows | None:
        data = read_table(self.folder, _name(level, number), ROWS_KEY)
        return codec.decode_rows(data) if data is not None else None

    def _write(self, level: int, rows: Rows) -> None:
        numbers = self._numbers_of(level)
        self._last[level] += 1
        number = self._last[level]
        write_table(self.folder, _name(level, number), ROWS_KEY, codec.encode_rows(rows))
        numbers.append(number)


def _prefix(level: int) -> str:
    return f"level{level}"


def _name(level: int, number: int) -> str:
    return f"{_prefix(level)}-{number}"

"""A log of rows on disk, in batches, each a table that is synced before it counts."""

from typing import Any

from stagevale.rpc import codec
from stagevale.storage.folder import Folder
from stagevale.storage.tables import numbers_of, read_table, remove_table, write_table

PREFIX = "batch"
ROWS_KEY = b"rows"
# Encoded batches begin with a whole number, as every message does.
BATCH_KIND = 0
BATCHES_KEPT = 64

Rows = list[list[Any]]


class RowLog:
    """Appends batches; after some a snapshot takes the place of all. Every call belongs on the disk
    thread.
    """

    __slots__ = ("folder", "_number", "_oldest")

    def __init__(self, folder: Folder) -> None:
        self.folder = folder
        self._number = 0
        self._oldest = 1

    def load(self) -> Rows:
        """All rows of complete batches, oldest first."""
        numbers = numbers_of(self.folder, PREFIX)
        rows: Rows = []
        for number in numbers:
            data = read_table(self.folder, self._name(number), ROWS_KEY)
            if data is None:
                continue
            _, is_snapshot, batch = codec.decode(codec.decompress(data), "load", "disk")
            rows = batch if is_snapshot else rows + batch
        if numbers:
            self._number, self._oldest = numbers[-1], numbers[0]
        return rows

    def wants_snapshot(self) -> bool:
        """True where so many batches stand that a snapshot should take their place."""
        return self._number - self._oldest >= BATCHES_KEPT

    def append(self, rows: Rows, is_snapshot: bool) -> None:
        """Writes a batch; it is on disk when this returns. A snapshot replaces all before it.

        Raises:
            OSError: the disk failed.
        """
        self._number += 1
        batch = codec.encode([BATCH_KIND, 1 if is_snapshot else 0, rows])
        write_table(self.folder, self._name(self._number), ROWS_KEY, codec.compress(batch))
        if is_snapshot:
            for old in range(self._oldest, self._number):
                remove_table(self.folder, self._name(old))
            self._oldest = self._number

    def _name(self, number: int) -> str:
        return f"{PREFIX}-{number}"

"""Where a registry keeps session records on disk: batches of rows, each a dbm.dumb table that is
synced before it counts.
"""

import re

from stagevale import wire
from stagevale.configuration.disk import read_table, write_table

NAME = re.compile(r"^batch-(\d+)\.dir$")
BATCHES_KEPT = 64


class SessionLog:
    """Appends batches; after some it is written whole again. Every call belongs on the disk
    thread.
    """

    __slots__ = ("folder", "number", "oldest")

    def __init__(self, folder):
        self.folder = folder
        self.number = 0
        self.oldest = 1

    def load(self):
        """All rows of whole batches, oldest first."""
        numbers = sorted(
            int(match.group(1)) for match in map(NAME.match, self.folder.names()) if match
        )
        rows = []
        for number in numbers:
            batch = self.read(number)
            if batch is None:
                continue
            rows = batch[1] if batch[0] else rows + batch[1]
        if numbers:
            self.number, self.oldest = numbers[-1], numbers[0]
        return rows

    def read(self, number):
        data = read_table(self.folder, f"batch-{number}", b"rows")
        if data is None:
            return None
        _, whole, rows = wire.unpack(wire.unsqueeze(data), "load", "disk")
        return whole, rows

    def wants_whole(self):
        """True where so many batches stand that one whole one should take their place."""
        return self.number - self.oldest >= BATCHES_KEPT

    def append(self, rows, whole):
        """Writes a batch, syncs it, and drops what a whole one replaces."""
        number = self.number + 1
        self.number = number
        write_table(
            self.folder,
            f"batch-{number}",
            b"rows",
            wire.squeeze(wire.pack([0, 1 if whole else 0, rows])),
        )
        if whole:
            for old in range(self.oldest, number):
                for ending in (".dir", ".dat", ".bak"):
                    self.folder.remove(f"batch-{old}{ending}")
            self.oldest = number

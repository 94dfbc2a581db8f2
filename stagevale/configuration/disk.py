"""What a store keeps on disk: whole generations of a dbm.dumb table, synced before they count."""

import contextlib
import dbm.dumb
import os
import re
import zlib

NAME = re.compile(r"^register-(\d+)\.dir$")
GENERATIONS_KEPT = 2


class Folder:
    """The few file calls that the disk register needs; tests bring one that tears writes."""

    __slots__ = ("path",)

    def __init__(self, path):
        self.path = path

    def names(self):
        return os.listdir(self.path)

    def sync(self, name):
        number = os.open(os.path.join(self.path, name) if name else self.path, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def remove(self, name):
        with contextlib.suppress(FileNotFoundError):
            os.remove(os.path.join(self.path, name))


def read_table(folder, name, key):
    """What a whole table holds under `key`, or None where it is torn or missing."""
    try:
        table = dbm.dumb.open(os.path.join(folder.path, name), "r")
        try:
            data, check = table[key], table[b"check"]
        finally:
            table.close()
    except Exception:
        return None
    return data if check == str(zlib.crc32(data)).encode() else None


def drop_table(folder, name):
    """Removes a table's files; the index goes first, without which the data is never read."""
    for ending in (".dir", ".dat", ".bak"):
        folder.remove(name + ending)


def write_table(folder, name, key, data):
    """Writes a fresh table with its check and syncs its files and the folder; only then does it
    count.
    """
    drop_table(folder, name)
    table = dbm.dumb.open(os.path.join(folder.path, name), "n")
    table[key] = data
    table[b"check"] = str(zlib.crc32(data)).encode()
    table.close()
    folder.sync(name + ".dat")
    folder.sync(name + ".dir")
    folder.sync("")
    folder.remove(name + ".bak")


class NumberedTables:
    """Tables of one record each, `register-N`, in a folder. Every call belongs on the disk
    thread.
    """

    __slots__ = ("folder",)

    def __init__(self, folder):
        self.folder = folder

    def numbers(self):
        """The numbers of the tables that the folder names, whole or not, in rising order."""
        return sorted(
            int(match.group(1)) for match in map(NAME.match, self.folder.names()) if match
        )

    def read(self, number):
        """A table's record, or None where it is torn or missing."""
        return read_table(self.folder, f"register-{number}", b"record")

    def write(self, number, record):
        """Writes a table and syncs it."""
        write_table(self.folder, f"register-{number}", b"record", record)

    def drop(self, number):
        """Removes a table; after a loss of power it may be there again."""
        drop_table(self.folder, f"register-{number}")


class DiskRegister:
    """Saves and loads a record of bytes. Every call belongs on the disk thread."""

    __slots__ = ("tables", "generation")

    def __init__(self, folder):
        self.tables = NumberedTables(folder)
        self.generation = 0

    def load(self):
        """The newest record that is whole, or None where there is none."""
        generations = self.tables.numbers()
        if generations:
            self.generation = generations[-1]
        for generation in reversed(generations):
            record = self.tables.read(generation)
            if record is not None:
                return record
        return None

    def save(self, record):
        """Writes a fresh generation, syncs its files and the folder, then drops old ones."""
        self.generation += 1
        self.tables.write(self.generation, record)
        old = self.generation - GENERATIONS_KEPT
        if old > 0:
            self.tables.drop(old)

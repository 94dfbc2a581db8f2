"""Tables of one record each, with a checksum; a torn one reads as missing."""

import contextlib
import dbm.dumb
import re
import zlib

from stagevale.storage.folder import Folder

CHECKSUM_KEY = b"check"
RECORD_KEY = b"record"
# The index goes first when a table is removed: without it the data is never read.
INDEX_SUFFIX, DATA_SUFFIX, BACKUP_SUFFIX = ".dir", ".dat", ".bak"
SUFFIXES = (INDEX_SUFFIX, DATA_SUFFIX, BACKUP_SUFFIX)
# What dbm.dumb raises on a missing index, a torn index and a torn record.
TORN_TABLE_ERRORS = (
    OSError,
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    SyntaxError,
    MemoryError,
    RecursionError,
)


def read_table(folder: Folder, name: str, key: bytes) -> bytes | None:
    """What a table holds under `key`, or None where it is torn or missing."""
    try:
        with contextlib.closing(dbm.dumb.open(folder.file(name), "r")) as table:
            data, checksum = table[key], table[CHECKSUM_KEY]
    except TORN_TABLE_ERRORS:
        return None
    return data if checksum == _checksum_of(data) else None


def write_table(folder: Folder, name: str, key: bytes, data: bytes) -> None:
    """Writes a table anew; it is on disk when this returns.

    Raises:
        OSError: the disk failed; what is there reads as missing.
    """
    remove_table(folder, name)
    # The table has to be closed before its files are synced.
    with contextlib.closing(dbm.dumb.open(folder.file(name), "n")) as table:
        table[key] = data
        table[CHECKSUM_KEY] = _checksum_of(data)
    folder.sync(name + DATA_SUFFIX)
    folder.sync(name + INDEX_SUFFIX)
    folder.sync("")
    folder.remove(name + BACKUP_SUFFIX)


def remove_table(folder: Folder, name: str) -> None:
    """Removes a table's files."""
    for suffix in SUFFIXES:
        folder.remove(name + suffix)


def numbers_of(folder: Folder, prefix: str) -> list[int]:
    """The numbers of the tables `PREFIX-N` that a folder names, whole or not, in rising order."""
    pattern = re.compile(rf"^{re.escape(prefix)}-(\d+){re.escape(INDEX_SUFFIX)}$")
    matches = (pattern.match(name) for name in folder.names())
    return sorted(int(match.group(1)) for match in matches if match)


def _checksum_of(data: bytes) -> bytes:
    return str(zlib.crc32(data)).encode()


class NumberedTables:
    """Tables `register-N` in a folder. Every call belongs on the disk thread."""

    PREFIX = "register"

    __slots__ = ("folder",)

    def __init__(self, folder: Folder) -> None:
        self.folder = folder

    def numbers(self) -> list[int]:
        """The numbers of the tables that the folder names, whole or not, in rising order."""
        return numbers_of(self.folder, self.PREFIX)

    def read(self, number: int) -> bytes | None:
        """A table's record, or None where it is torn or missing."""
        return read_table(self.folder, f"{self.PREFIX}-{number}", RECORD_KEY)

    def write(self, number: int, record: bytes) -> None:
        """Writes a table; it is on disk when this returns.

        Raises:
            OSError: the disk failed.
        """
        write_table(self.folder, f"{self.PREFIX}-{number}", RECORD_KEY, record)

    def remove(self, number: int) -> None:
        """Removes a table; after a loss of power it may be there again."""
        remove_table(self.folder, f"{self.PREFIX}-{number}")

"""Tells whether a file has changed, without reading it."""

import os
from typing import NamedTuple


class FileStamp(NamedTuple):
    """What tells one content of a file from another."""

    modified_ns: int
    size: int


def stamp_of(path: str) -> FileStamp | None:
    """The stamp of a file, or None where there is none."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return FileStamp(stat.st_mtime_ns, stat.st_size)

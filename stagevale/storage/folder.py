"""The few calls on files that tables need."""

import contextlib
import os


class Folder:
    """A folder of tables; tests bring one that tears writes.

    Attributes:
        path: of the folder, which exists.
    """

    __slots__ = ("path",)

    def __init__(self, path: str) -> None:
        self.path = path

    def names(self) -> list[str]:
        """The names of all files."""
        return os.listdir(self.path)

    def file(self, name: str) -> str:
        """The path of a file."""
        return os.path.join(self.path, name)

    def sync(self, name: str) -> None:
        """Has a file's content on disk when it returns; with an empty name, the folder's entries.

        Raises:
            OSError: the disk failed.
        """
        descriptor = os.open(self.file(name) if name else self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Removes a file, if it is there."""
        with contextlib.suppress(FileNotFoundError):
            os.remove(self.file(name))

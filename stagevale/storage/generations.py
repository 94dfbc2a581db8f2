"""One record of bytes, kept in a few generations of tables."""

from stagevale.storage.folder import Folder
from stagevale.storage.tables import NumberedTables

GENERATIONS_KEPT = 2


class GenerationFile:
    """Saves and loads a record. Every call belongs on the disk thread."""

    __slots__ = ("tables", "generation")

    def __init__(self, folder: Folder) -> None:
        self.tables = NumberedTables(folder)
        self.generation = 0

    def load(self) -> bytes | None:
        """The newest record that is complete, or None where there is none."""
        generations = self.tables.numbers()
        if generations:
            self.generation = generations[-1]
        for generation in reversed(generations):
            record = self.tables.read(generation)
            if record is not None:
                return record
        return None

    def save(self, record: bytes) -> None:
        """Writes a new generation, then removes old ones.

        Raises:
            OSError: the disk failed; the generation before is still there.
        """
        self.generation += 1
        self.tables.write(self.generation, record)
        old = self.generation - GENERATIONS_KEPT
        if old > 0:
            self.tables.remove(old)

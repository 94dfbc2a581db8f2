"""Saving the rows of a log in batches, without stopping the loop."""

from collections.abc import Callable
from typing import Any, Protocol

from stagevale.runtime.context import Context
from stagevale.storage.row_log import Rows

RETRY_SAVE_MS = 200.0
RETRY_LOAD_MS = 500.0


class Log(Protocol):
    """A log of rows; see `RowLog`."""

    def load(self) -> Rows:
        """All rows."""

    def wants_snapshot(self) -> bool:
        """True where the next batch should be a snapshot."""

    def append(self, rows: Rows, is_snapshot: bool) -> None:
        """Writes a batch."""


class RowLogWriter:
    """Saves rows; those that come during a save go together in the next."""

    __slots__ = ("context", "log", "snapshot", "subject", "_unsaved", "_saving")

    def __init__(
        self, context: Context, log: Log, snapshot: Callable[[], Rows], subject: str
    ) -> None:
        """Makes a writer.

        Args:
            context: of the daemon.
            log: where rows are kept.
            snapshot: gives the rows of everything that is known.
            subject: what the log holds, for the daemon's log.
        """
        self.context = context
        self.subject = subject
        self.log = log
        self.snapshot = snapshot
        self._unsaved: list[tuple[list[Any], Callable[[], object] | None]] = []
        self._saving = False

    def load(self, on_loaded: Callable[[Rows], object]) -> None:
        """Reads all rows; tried again until the disk can be read."""

        def loaded(rows: Rows | None, error: Exception | None) -> None:
            if error is not None:
                text = "%s: the disk can't be read: %s; trying again."
                self.context.log.error(text, self.subject, error)
                self.context.call_later(RETRY_LOAD_MS, self.load, on_loaded)
                return
            on_loaded(rows or [])

        self.context.run_on_disk(self.log.load, loaded)

    def save(self, row: list[Any], on_saved: Callable[[], object] | None = None) -> None:
        """Brings a row to disk; `on_saved()` is called once it is there."""
        self._unsaved.append((row, on_saved))
        if not self._saving:
            self._save_next()

    def _save_next(self) -> None:
        if not self._unsaved:
            return
        batch, self._unsaved, self._saving = self._unsaved, [], True

        def saved(_: Any, error: Exception | None) -> None:
            self._saving = False
            if error is not None:
                self.context.log.error("%s: saving failed: %s.", self.subject, error)
                self._unsaved = batch + self._unsaved
                self.context.call_later(RETRY_SAVE_MS, self._save_next)
                return
            for _row, on_saved in batch:
                if on_saved is not None:
                    on_saved()
            if not self._saving:
                self._save_next()

        is_snapshot = self.log.wants_snapshot()
        rows = self.snapshot() if is_snapshot else [row for row, _ in batch]
        self.context.run_on_disk(lambda: self.log.append(rows, is_snapshot), saved)

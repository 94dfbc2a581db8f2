"""Adds on a registry's disk."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from stagevale.runtime.context import Context
from stagevale.storage.row_log import Rows
from stagevale.storage.row_log_writer import Log, RowLogWriter
from stagevale.tallies.add import Add, LoggedAdd, Position

ORIGIN_ROW = "origin"
ADD_ROW = "add"
ORIGIN_BITS = 48
# How long adds of other registries may wait for each other to be saved together.
SAVE_LATER_MS = 500.0
# A save that takes so long stands for a disk that hangs or is full.
STUCK_MS = 300.0


class LoadedAdds:
    """What a disk had.

    Attributes:
        origin: the name under which this disk accepts adds; empty for one that has accepted none.
        adds: all adds.
    """

    __slots__ = ("origin", "adds")

    def __init__(self, origin: str, adds: list[LoggedAdd]) -> None:
        self.origin = origin
        self.adds = adds


class TallyJournal:
    """Saves adds, in the order in which they are given.

    Its rows are `[ORIGIN_ROW, name]` and `[ADD_ROW, origin, number, tally, id, amount]`; an add may
    stand there more than once.
    """

    __slots__ = ("context", "_writer", "_unsaved", "_being_saved", "_save_planned")

    def __init__(self, context: Context, log: Log) -> None:
        self.context = context
        self._writer = RowLogWriter(context, log, list, "tallies")
        self._unsaved: dict[Position, LoggedAdd] = {}
        self._being_saved: dict[Position, float] = {}
        self._save_planned = False

    def load(self, on_loaded: Callable[[LoadedAdds], object]) -> None:
        """Reads the disk."""
        self._writer.load(lambda rows: on_loaded(self._read(rows)))

    def _read(self, rows: Rows) -> LoadedAdds:
        origin = ""
        adds = []
        for kind, *fields in rows:
            if kind == ORIGIN_ROW:
                (origin,) = fields
            else:
                adds.append(_read_add(fields))
        return LoadedAdds(origin, adds)

    def draw_origin(self) -> str:
        """A name for this disk, which is saved before the first add under it."""
        origin = f"{self.context.random.getrandbits(ORIGIN_BITS):012x}"
        self._writer.save([ORIGIN_ROW, origin])
        return origin

    def save_later(self, adds: Iterable[LoggedAdd]) -> None:
        """Saves adds together with what else comes within a moment."""
        self._unsaved.update((logged.position, logged) for logged in adds)
        if self._unsaved and not self._save_planned:
            self._save_planned = True
            self.context.call_later(SAVE_LATER_MS, self._save_unsaved)

    def ensure_saved(self, adds: Sequence[LoggedAdd], on_saved: Callable[[], object]) -> None:
        """Calls `on_saved()` once all of these, which were given to `save_later`, are on disk."""
        waiting = [
            logged
            for logged in adds
            if logged.position in self._unsaved or logged.position in self._being_saved
        ]
        if not waiting:
            on_saved()
            return
        # Rows are written in order: with the last one all that were given before are there.
        if self._unsaved:
            self._save_unsaved(on_saved)
        else:
            self._save(waiting[-1], on_saved)

    def is_stuck(self) -> bool:
        """True while the disk takes far longer than it should."""
        oldest_ms = next(iter(self._being_saved.values()), None)
        return oldest_ms is not None and self.context.now_ms() - oldest_ms > STUCK_MS

    def _save_unsaved(self, on_saved: Callable[[], object] | None = None) -> None:
        self._save_planned = False
        if not self._unsaved:
            return
        *first, last = self._unsaved.values()
        self._unsaved = {}
        for logged in first:
            self._save(logged)
        self._save(last, on_saved)

    def _save(self, logged: LoggedAdd, on_saved: Callable[[], object] | None = None) -> None:
        position, add = logged
        self._being_saved.setdefault(position, self.context.now_ms())

        def saved() -> None:
            self._being_saved.pop(position, None)
            if on_saved is not None:
                on_saved()

        self._writer.save([ADD_ROW, *position, *add], saved)


def _read_add(fields: list[Any]) -> LoggedAdd:
    origin, number, tally, id, amount = fields
    return LoggedAdd(Position(origin, number), Add(tally, id, amount))

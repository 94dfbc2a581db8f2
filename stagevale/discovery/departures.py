"""Drains and leaves on disk: what a registry acknowledges outlives its process."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from stagevale.discovery.instance import Instance, InstanceState
from stagevale.storage.row_log import Rows
from stagevale.storage.row_log_writer import Log, RowLogWriter

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService


def has_departed(instance: Instance) -> bool:
    """True for an instance that drains or has left: it gets no new requests any more."""
    return instance.state != InstanceState.READY


class Departures:
    """The instances that drain or have left, on this registry's disk.

    Hints are saved now and then and name an endpoint as ready that has left since; a departure is
    saved before it is acknowledged, and goes over them.
    """

    __slots__ = ("service", "context", "_writer", "_saved")

    def __init__(self, service: "RegistryService", log: Log) -> None:
        self.service = service
        self.context = service.context
        self._writer = RowLogWriter(self.context, log, self._all_rows, "registry")
        self._saved: dict[str, InstanceState] = {}
        self._writer.load(self._on_loaded)

    def _on_loaded(self, rows: Rows) -> None:
        now_ms = self.context.now_ms()
        changed = []
        for row in rows:
            departed = Instance.from_row(row, now_ms)
            self._saved[departed.id] = departed.state
            merged = self.service.instances.merge(departed, now_ms)
            if merged is not None:
                changed.append(merged)
        self.service.feeds.publish(changed)

    def _all_rows(self) -> Rows:
        """The departures that the registry still remembers."""
        instances = self.service.instances.by_id
        departed = [instance for instance in instances.values() if has_departed(instance)]
        self._saved = {instance.id: instance.state for instance in departed}
        now_ms = self.context.now_ms()
        return [instance.to_row(now_ms) for instance in departed]

    def save(self, instances: Iterable[Instance], on_saved: Callable[[], object]) -> None:
        """Brings departures to disk.

        Args:
            instances: what was learned; those that are ready, or saved already, cost nothing.
            on_saved: called once all of them are there, at once where nothing is to be saved.
        """
        now_ms = self.context.now_ms()
        unsaved = [
            instance
            for instance in instances
            if has_departed(instance)
            and self._saved.get(instance.id, InstanceState.READY) < instance.state
        ]
        if not unsaved:
            on_saved()
            return
        *first, last = unsaved
        for instance in first:
            self._writer.save(instance.to_row(now_ms))
        # Rows are written in order: with the last one all are there.
        self._writer.save(last.to_row(now_ms), lambda: self._on_saved(unsaved, on_saved))

    def _on_saved(self, instances: list[Instance], on_saved: Callable[[], object]) -> None:
        for instance in instances:
            self._saved[instance.id] = instance.state
        on_saved()

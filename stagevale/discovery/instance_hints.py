"""What a registry remembers of instances over a restart: hints, until heartbeats say more."""

from typing import TYPE_CHECKING, Any

from stagevale.discovery.instance import Instance
from stagevale.discovery.instance_table import rows_of
from stagevale.rpc import codec
from stagevale.storage.generations import GenerationFile

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

# Encoded hints begin with a whole number, as every message does.
HINTS_KIND = 0


class InstanceHints:
    """Saves the healthy instances where they have changed."""

    __slots__ = ("service", "context", "file", "_saved_checksum", "_saving")

    def __init__(self, service: "RegistryService", file: GenerationFile) -> None:
        self.service = service
        self.context = service.context
        self.file = file
        self._saved_checksum: int | None = None
        self._saving = False

    def load(self) -> None:
        """Reads the hints; a disk without any, or that fails, changes nothing."""
        self.context.run_on_disk(self.file.load, self._on_loaded)

    def _on_loaded(self, record: bytes | None, error: Exception | None) -> None:
        if error is not None or record is None:
            return
        now_ms = self.context.now_ms()
        instances = self.service.instances
        for row in codec.decode(record, "load", "disk")[1]:
            instance = Instance.from_row(row, now_ms)
            if instance.id not in instances.by_id:
                instances.merge(instance, now_ms)
        self._saved_checksum = instances.checksum_of_all()
        self.service.feeds.publish(list(instances.by_id.values()))
        self.context.log.info("registry: remembers %d endpoints.", len(instances.by_id))

    def save(self) -> None:
        """Saves the instances, if they have changed and no save is under way."""
        instances = self.service.instances
        checksum = instances.checksum_of_all()
        if self._saving or checksum == self._saved_checksum:
            return
        self._saving = True
        healthy = [instance for instance in instances.by_id.values() if instance.is_counted]
        record = codec.encode([HINTS_KIND, rows_of(healthy, self.context.now_ms())])

        def saved(_: Any, error: Exception | None) -> None:
            self._saving = False
            if error is None:
                self._saved_checksum = checksum

        self.context.run_on_disk(lambda: self.file.save(record), saved)

"""The endpoints that a proxy may send requests to, kept up to date by its feed."""

from typing import Any

from stagevale.balancing.snapshot import Snapshot
from stagevale.balancing.target import Target
from stagevale.discovery.instance import Instance, InstanceState
from stagevale.runtime.context import Context

# An endpoint counts as warming up a little longer than it says: the word was under way.
WARMUP_MARGIN_MS = 200
# For so many times `contactMs` an instance that left is not taken for a new one.
GONE_KEPT_CONTACTS = 30


class TargetTable:
    """Targets by the id of their instance.

    Attributes:
        by_id: all targets that are not gone.
    """

    __slots__ = ("context", "by_id", "_gone_ms")

    def __init__(self, context: Context) -> None:
        self.context = context
        self.by_id: dict[str, Target] = {}
        # By id, when an instance left: a registry that has just started may know it as ready yet.
        self._gone_ms: dict[str, float] = {}

    def update(self, instance: Instance) -> None:
        """Takes in what the feed says of an instance; drained, left and unhealthy ones get no new
        requests.
        """
        target = self.by_id.get(instance.id)
        if instance.state == InstanceState.GONE:
            self._remember_gone(instance.id)
            if target is not None:
                target.gone = True
                del self.by_id[instance.id]
                _close_idle(target)
            return
        if instance.id in self._gone_ms:
            return
        if target is None:
            target = self._add(instance)
        if instance.state != InstanceState.READY and target.state == InstanceState.READY:
            target.state = instance.state
            _close_idle(target)
        target.slots = max(1, instance.slots)
        self._update_warmup(target, instance)
        self._update_health(target, instance)

    def _remember_gone(self, id: str) -> None:
        """An instance has left for good: its id never comes back."""
        now_ms = self.context.now_ms()
        self._gone_ms[id] = now_ms
        kept_ms = self.context.settings.bounds.contact_ms * GONE_KEPT_CONTACTS
        for old, since_ms in list(self._gone_ms.items()):
            if now_ms - since_ms < kept_ms:
                break
            del self._gone_ms[old]

    def _add(self, instance: Instance) -> Target:
        region = self.context.settings.zones.get(instance.zone, "")
        target = Target(
            instance.id,
            instance.service,
            instance.address,
            instance.zone,
            region,
            instance.slots,
            instance.software,
        )
        self.by_id[instance.id] = target
        return target

    def _update_warmup(self, target: Target, instance: Instance) -> None:
        if instance.warmup_ms > 0 and instance.warmup_seq >= target.cold_seq:
            until_ms = self.context.now_ms() + instance.warmup_ms + WARMUP_MARGIN_MS
            target.cold_until_ms = max(target.cold_until_ms, until_ms)
        target.cold_seq = max(target.cold_seq, instance.warmup_seq)

    def _update_health(self, target: Target, instance: Instance) -> None:
        if instance.is_healthy and not target.healthy:
            target.eject_until_ms = 0.0
        if not instance.is_healthy and target.healthy:
            _close_idle(target)
        target.healthy = instance.is_healthy

    def end_evacuation(self, zone: str, snapshot: Snapshot) -> None:
        """Endpoints of a zone whose evacuation ended count as warming up until they say otherwise."""
        now_ms = self.context.now_ms()
        for target in self.by_id.values():
            service = snapshot.services.get(target.service)
            if target.zone == zone and service is not None:
                until_ms = now_ms + service.warmup_ms + self.context.settings.beat_ms
                target.cold_until_ms = max(target.cold_until_ms, until_ms)

    def by_service(self) -> dict[str, tuple[Target, ...]]:
        """The targets of each service."""
        services: dict[str, list[Target]] = {}
        for target in self.by_id.values():
            services.setdefault(target.service, []).append(target)
        return {service: tuple(targets) for service, targets in services.items()}

    def slow_rows(self) -> list[Any]:
        """Targets that are slower or faster than usual, as rows of a report."""
        return [
            [target.id, round(target.speed, 2)]
            for target in self.by_id.values()
            if target.speed != 1.0
        ]


def _close_idle(target: Target) -> None:
    for connection in list(target.idle):
        connection.close()

"""Rollouts as operators see them, and checks that need the instances that are known here."""

import http
import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from stagevale.api.router import Answer
from stagevale.configuration.commands import OK, CommandKind
from stagevale.discovery.instance import InstanceState
from stagevale.discovery.registry_service import RegistryService
from stagevale.placement.shards import shard_of


class VersionCapacity(NamedTuple):
    """The healthy endpoints of one software version and their slots."""

    endpoints: int
    slots: int


class RolloutView:
    """Shows rollouts, and starts them once endpoints of both versions are known."""

    __slots__ = ("service",)

    def __init__(self, service: RegistryService) -> None:
        self.service = service

    def start(self, service: str, text: str, answer: Callable[[int, str], object]) -> None:
        """Forwards an operator's rollout."""
        # Loaded with the first rollout: most systems have none.
        from stagevale.rollouts.documents import check_rollout

        checked = check_rollout(text)
        if checked.is_error():
            answer(checked.error.status, checked.error.reason)
            return
        known = self._capacity_of(service)
        for field in ("from", "to"):
            version = checked.ok[field]
            if known and version not in known:
                answer(
                    http.HTTPStatus.BAD_REQUEST.value,
                    f"{field}: no endpoint of {service} runs {version}; known are "
                    f"{', '.join(sorted(known))}",
                )
                return
        self.service.configuration.send_command(
            CommandKind.START_ROLLOUT, f"{service}\n{text}", answer
        )

    def _capacity_of(self, service: str) -> dict[str, VersionCapacity]:
        """Healthy endpoints and their slots by software version."""
        capacity: dict[str, VersionCapacity] = {}
        for instance in self.service.instances.in_shard(shard_of(service)):
            if (
                instance.service == service
                and instance.state == InstanceState.READY
                and instance.is_healthy
            ):
                known = capacity.get(instance.software, VersionCapacity(0, 0))
                capacity[instance.software] = VersionCapacity(
                    known.endpoints + 1, known.slots + instance.slots
                )
        return capacity

    def show(self, service: str, answer: Answer) -> None:
        """Answers with all rollouts, or one, as the leader of the stores confirms them; with
        warnings before they hurt.

        Args:
            service: whose rollout; empty for all.
            answer: of the call.
        """

        def shown(status: int, text: str) -> None:
            if status != OK:
                answer(status, {"error": text})
                return
            rows = [
                {**row, **self._with_endpoints(row)}
                for row in json.loads(text)["rollouts"]
                if service in ("", row["service"])
            ]
            if service and not rows:
                answer(http.HTTPStatus.NOT_FOUND.value, {"error": f"no rollout of {service}"})
            else:
                answer(OK, rows[0] if service else {"rollouts": rows})

        self.service.configuration.send_command(CommandKind.READ_ROLLOUTS, "", shown)

    def _with_endpoints(self, row: Mapping[str, Any]) -> dict[str, Any]:
        capacity = self._capacity_of(row["service"])
        endpoints = {
            name: {"endpoints": known.endpoints, "slots": known.slots}
            for name, known in sorted(capacity.items())
        }
        return {"endpoints": endpoints, "warnings": _warnings(row, capacity)}


def _warnings(row: Mapping[str, Any], capacity: Mapping[str, VersionCapacity]) -> list[str]:
    """What would hurt at a rollback: too few endpoints of the stable version to carry what the new
    one carries.
    """
    stable, new = row["from"], row["to"]
    all_slots = sum(known.slots for known in capacity.values())
    stable_slots = sum(
        known.slots
        for name, known in capacity.items()
        if name != new and name not in row["withheld"]
    )
    warnings = []
    if stable_slots == 0:
        warnings.append(
            f"no healthy endpoint runs {stable}: after a fallback requests are refused with 503"
        )
    elif stable_slots * 2 < all_slots:
        warnings.append(
            f"{stable} has {stable_slots} of {all_slots} slots: a fallback would crowd them"
        )
    if new not in capacity:
        warnings.append(f"no healthy endpoint runs {new}: its share goes to {stable}")
    return warnings

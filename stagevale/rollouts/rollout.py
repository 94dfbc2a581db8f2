"""One service's rollout, as it lies in the configuration value."""

import enum
import json
import zlib
from collections.abc import Mapping
from typing import Any

HASH_RANGE = 4294967296.0


class RolloutState(enum.StrEnum):
    """Where a rollout is; the texts are shown to operators and lie in the configuration value."""

    SHIFTING = "shifting"
    PAUSED = "paused"
    DONE = "done"
    ROLLED_BACK = "fallen"
    ENDED = "ended"


class Side(enum.IntEnum):
    """The two versions of a rollout."""

    STABLE = 0
    NEW = 1


class Rollout:
    """A rollout; immutable by convention.

    Attributes:
        service: whose requests are shifted.
        version: the rollout's own, which rises with each rollout of the service.
        stable: the software version that requests are shifted from.
        new: the one that they are shifted to.
        steps: the rising shares of requests that go to the new version.
        failure_share: by how much the new version's share of failed and late requests may be over
            the stable one's.
        least_requests: how many requests of a step the judgement needs.
        watch_s: how long a step lasts at least, in seconds.
        state: where the rollout is.
        step: the index of the step.
        withheld: versions of earlier rollouts that get no requests.
        reason: why the state is what it is, for operators.
        fingerprint: of the document that started it.
    """

    __slots__ = (
        "service",
        "version",
        "stable",
        "new",
        "steps",
        "failure_share",
        "least_requests",
        "watch_s",
        "state",
        "step",
        "withheld",
        "reason",
        "fingerprint",
    )

    def __init__(self, row: Mapping[str, Any]) -> None:
        """A rollout out of its row, as `to_row` gives it."""
        self.service: str = row["service"]
        self.version: int = row["version"]
        self.stable: str = row["from"]
        self.new: str = row["to"]
        self.steps: tuple[float, ...] = tuple(row["steps"])
        self.failure_share: float = row["failureShare"]
        self.least_requests: int = row["leastRequests"]
        self.watch_s: float = row["watchS"]
        self.state = RolloutState(row["state"])
        self.step: int = row["step"]
        self.withheld: tuple[str, ...] = tuple(row.get("withheld") or ())
        self.reason: str = row.get("reason") or ""
        self.fingerprint: str = row.get("hashed") or ""

    @classmethod
    def from_json(cls, text: str) -> "Rollout":
        """A rollout out of its text in the configuration value."""
        return cls(json.loads(text))

    def to_row(self) -> dict[str, Any]:
        """The rollout as it lies in the configuration value and is shown."""
        return {
            "service": self.service,
            "version": self.version,
            "from": self.stable,
            "to": self.new,
            "steps": list(self.steps),
            "failureShare": self.failure_share,
            "leastRequests": self.least_requests,
            "watchS": self.watch_s,
            "state": self.state,
            "step": self.step,
            "withheld": list(self.withheld),
            "reason": self.reason,
            "hashed": self.fingerprint,
        }

    def to_json(self) -> str:
        """The text of the rollout in the configuration value."""
        return json.dumps(self.to_row(), separators=(",", ":"), sort_keys=True)

    def changed(self, **fields: Any) -> "Rollout":
        """This rollout with some fields of its row changed."""
        return Rollout({**self.to_row(), **fields})

    @property
    def share(self) -> float:
        """The share of requests that go to the new version."""
        if self.state in (RolloutState.ROLLED_BACK, RolloutState.ENDED):
            return 0.0
        return 1.0 if self.state == RolloutState.DONE else self.steps[self.step]

    @property
    def is_active(self) -> bool:
        """True while it decides where requests go."""
        return self.state != RolloutState.ENDED

    @property
    def is_judged(self) -> bool:
        """True while outcomes of requests are counted for it."""
        return self.state in (RolloutState.SHIFTING, RolloutState.PAUSED)

    def side_of(self, key: bytes) -> Side:
        """Which version a request goes to, by a stable hash of its session or id: a share that
        rises only adds requests to the new one.
        """
        return Side.NEW if zlib.crc32(key) < self.share * HASH_RANGE else Side.STABLE

    def allows(self, side: Side, software: str) -> bool:
        """True where an endpoint of this software version may take a request of this side."""
        if side == Side.NEW:
            return software == self.new and self.share > 0.0
        return software != self.new and software not in self.withheld


def read_rollouts(texts: Mapping[str, str]) -> dict[str, Rollout]:
    """The rollouts that decide anything, by service, out of the configuration value's texts."""
    rollouts = {service: Rollout.from_json(text) for service, text in texts.items()}
    return {service: rollout for service, rollout in rollouts.items() if rollout.is_active}

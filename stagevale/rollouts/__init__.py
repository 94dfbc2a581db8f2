"""Rollouts: the stepwise shift of a service's requests from one software version of its endpoints
to another.
"""

import json
import zlib

SHIFTING, PAUSED, DONE, FALLEN, ENDED = "shifting", "paused", "done", "fallen", "ended"
STABLE, NEW = 0, 1
REQUESTS, FAILURES, SLOW = 0, 1, 2


class Rollout:
    """One service's rollout as the register holds it. Immutable by custom."""

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
        "hashed",
    )

    def __init__(self, row):
        self.service = row["service"]
        self.version = row["version"]
        self.stable = row["from"]
        self.new = row["to"]
        self.steps = tuple(row["steps"])
        self.failure_share = row["failureShare"]
        self.least_requests = row["leastRequests"]
        self.watch_s = row["watchS"]
        self.state = row["state"]
        self.step = row["step"]
        self.withheld = tuple(row.get("withheld") or ())
        self.reason = row.get("reason") or ""
        self.hashed = row.get("hashed") or ""

    def row(self):
        """The rollout as it lies in the register and is shown."""
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
            "hashed": self.hashed,
        }

    def text(self):
        return json.dumps(self.row(), separators=(",", ":"), sort_keys=True)

    def after(self, **changes):
        """This rollout with some fields of its row changed."""
        return Rollout({**self.row(), **changes})

    @property
    def share(self):
        """The share of requests that go to the new version."""
        if self.state in (FALLEN, ENDED):
            return 0.0
        return 1.0 if self.state == DONE else self.steps[self.step]

    def active(self):
        """True while it decides where requests go."""
        return self.state != ENDED

    def side(self, key):
        """Which version a request goes to, by a stable hash of its session or id: a share that
        rises only adds.
        """
        return NEW if zlib.crc32(key) < self.share * 4294967296.0 else STABLE

    def allows(self, side, software):
        """True where an endpoint of this software version may take a request of this side."""
        if side == NEW:
            return software == self.new and self.share > 0.0
        return software != self.new and software not in self.withheld


def read_rollouts(texts):
    """The rollouts that decide anything, by service, out of the register's texts."""
    rollouts = {}
    for service, text in texts.items():
        rollout = Rollout(json.loads(text))
        if rollout.active():
            rollouts[service] = rollout
    return rollouts


class Outcomes:
    """What became of requests offered under rollouts, as sums of this proxy's life: telling them
    twice adds nothing.
    """

    __slots__ = ("sums",)

    def __init__(self):
        self.sums = {}

    def count(self, rollout, software, zone, failed, slow):
        """One request that an endpoint of this software version in this zone was offered has come
        to its end.
        """
        side = NEW if software == rollout.new else STABLE if software == rollout.stable else None
        if side is None or rollout.state not in (SHIFTING, PAUSED):
            return
        sums = self.sums.setdefault(
            (rollout.service, rollout.version, rollout.step, zone, side), [0, 0, 0]
        )
        sums[REQUESTS] += 1
        sums[FAILURES] += int(failed)
        sums[SLOW] += int(slow and not failed)

    def rows(self, rollouts):
        """The sums that are still asked about; what belongs to earlier rollouts is dropped."""
        self.sums = {
            key: sums
            for key, sums in self.sums.items()
            if key[0] in rollouts and rollouts[key[0]].version == key[1]
        }
        return [[*key, *sums] for key, sums in self.sums.items()]

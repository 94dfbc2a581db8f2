"""Closing faults for whole fleets: disks are lost, all other machines lose power, proxies too; then
an operator reads back what was acknowledged. How long until an answer comes is measured.
"""

import json
import random
from typing import NamedTuple

from register_model import TOLERATED_WIPES, ModelFleet, payload_of
from support.attempts import Attempt
from support.endpoints import send_heartbeat

CORE = 6
PROXIES = 3
CONTACT_MS = 4000.0
# The pages: calm machines are in touch twice `contactMs` after a fault that took most of the core.
ANSWER_BOUND_MS = 2 * CONTACT_MS
# For how long reads are sent on after the bound, so that a figure can be given for a late one.
WATCHED_MS = 30000.0
READ_EVERY_MS = 100.0
DOWN_MS = (500.0, 1600.0)
SPREAD_MS = 300.0
TIMED_MS = (5.0, 400.0)
BEAT_MS = 300.0
ENDPOINT = {"service": "s", "zone": "a1", "version": "v1", "slots": 4}


class Recovery(NamedTuple):
    """What was seen after a closing fault; times are in milliseconds from the last machine's start.

    Attributes:
        first_answer_ms: when the first read was answered; None where none was.
        all_answer_ms: when the last caller had its answer; None where one never had.
        ready_ms: when the last proxy was ready; None where one never was.
        wrong: what is wrong with the answers, or empty.
    """

    first_answer_ms: float | None
    all_answer_ms: float | None
    ready_ms: float | None
    wrong: list[str]


class Caller:
    """Sends the same order to one registry, again and again, as the pages say of operators.

    Attributes:
        first_ms: when the first good answer came in time; None before.
    """

    def __init__(self, run, number, kind, payload=""):
        self.run, self.number = run, number
        self.kind, self.payload = kind, payload
        self.first_ms = None
        self.ask()

    def ask(self):
        attempt = Attempt(self.run.world, self.answered, self.ask)
        client = self.run.fleet.registries[self.number].service.configuration
        client.send_command(self.kind, self.payload, attempt.answered)

    def answered(self, status, text):
        world = self.run.world
        if status == 200:
            self.first_ms = world.env.now if self.first_ms is None else self.first_ms
            self.take(text)
        world.later(READ_EVERY_MS, self.ask)

    def take(self, text):
        """A good answer has come."""


class Reader(Caller):
    """An operator that reads the configuration.

    Attributes:
        versions: what was read.
    """

    def __init__(self, run, number):
        self.versions = set()
        super().__init__(run, number, "read")

    def take(self, text):
        self.versions.add(int(json.loads(text)["version"][1:]))


class ClosingRun:
    """One day in small: some changes, a prelude, and a closing fault.

    Attributes:
        acknowledged: the version that an operator was told is in force.
        sent: the version that was sent last; it may be in force.
        payload: what was sent with it.
    """

    def __init__(self, seed, how, prelude):
        self.draw = random.Random(seed)
        self.fleet = ModelFleet(seed, PROXIES)
        self.world = self.fleet.world
        self.acknowledged = self.sent = 0
        assert self.world.until(
            lambda: len(self.fleet.leaders()) == 1 and len(self.fleet.voters()) == 5, 30000
        )
        self.beats = 0
        self.beat()
        for _ in range(self.draw.randint(1, 3)):
            self.change()
        PRELUDES[prelude](self)
        CLOSINGS[how](self)

    def beat(self):
        """An endpoint's heartbeat, to any registry that runs: proxies that know none aren't ready."""
        self.world.later(BEAT_MS, self.beat)
        self.beats += 1
        status = {"state": "ready", "callSeq": self.beats, "coldLeftMs": 0}
        table = {"address": "10.128.0.9:8080", "details": ENDPOINT, "status": status}
        registry = self.fleet.registries[self.draw.randrange(CORE)]
        if registry.context.alive:
            send_heartbeat(registry.service, "i-1", table, lambda *_: None)

    # orders

    def change(self, wait=True):
        """Sends a change; waits for its acknowledgement unless told otherwise."""
        version = self.sent + 1
        payload = payload_of(version, self.acknowledged, f"v{version}.example")
        self.sent, self.payload = version, payload
        if not wait:
            registry = self.fleet.registries[self.draw.randrange(CORE)]
            registry.service.configuration.send_command("replace", payload, self.answered)
            return
        numbers = self.draw.sample(range(CORE), CORE)
        answer = self.fleet.insist(numbers, "replace", payload)
        assert answer is not None, "no acknowledgement before the fault"
        self.answered(*answer)

    def answered(self, status, _text):
        if status == 200:
            self.acknowledged = self.sent

    # preludes

    def nothing(self):
        self.world.run(2000)

    def disk_lost_before(self):
        """A disk is lost and the machine has had its time to come back."""
        number = self.draw.randrange(CORE)
        self.fleet.kill_core(number)
        self.fleet.wipe(number)
        self.world.run(1000)
        self.fleet.start_core(number, False)
        self.world.run(self.draw.uniform(10000, 14000))

    def rolling_restart(self):
        """Every core machine restarts in order, one after the other."""
        for number in self.draw.sample(range(CORE), CORE):
            self.fleet.end_core(number)
            self.world.until(lambda n=number: not self.fleet.running(n), 10000)
            self.fleet.start_core(number, False)
            self.world.run(self.draw.uniform(500, 1500))

    def killed_twice(self):
        """All core machines are killed, and again while the first recovery is under way."""
        for pause_ms in (self.draw.uniform(300, 2500), 12000.0):
            for number in range(CORE):
                self.fleet.kill_core(number)
            self.world.run(600)
            for number in range(CORE):
                self.fleet.start_core(number, False)
            self.world.run(pause_ms)

    def leader_cut_off(self):
        """The leader was cut off for a while and has been back for as long as the pages ask."""
        leader = self.fleet.leaders()[0]
        rest = [f"10.0.0.{n + 1}" for n in range(CORE) if n != leader - 1]
        self.world.cut([f"10.0.0.{leader}"], rest)
        self.world.run(self.draw.uniform(3000, 12000))
        self.world.join()
        self.world.run(10000)
        self.change()

    # closing faults

    def close(self, wiped):
        """The machines of `wiped` lose their disks; all, proxies too, lose power, at this moment."""
        fleet, world = self.fleet, self.world
        for number in range(CORE):
            fleet.kill_core(number)
            if number in wiped:
                fleet.wipe(number)
            else:
                world.disks[f"10.0.0.{number + 1}"].tables.lose_power(self.draw)
        for proxy in fleet.proxies.values():
            world.kill(proxy.context)
        down_ms = self.draw.uniform(*DOWN_MS)
        for number in range(CORE):
            self.start_later(down_ms, fleet.start_core, number, False)
        for number in range(PROXIES):
            self.start_later(down_ms, fleet.start_proxy, number)
        world.run(down_ms + SPREAD_MS)

    def start_later(self, down_ms, start, *arguments):
        self.world.later(down_ms + self.draw.uniform(0, SPREAD_MS), start, *arguments)

    def holders_first(self):
        """The voters with the newest change, the leader in front."""
        leader = self.fleet.leaders()[0] - 1
        voters = self.fleet.voters()
        return [leader, *[n for n in self.draw.sample(voters, len(voters)) if n != leader]]

    def aimed(self):
        """Right after an acknowledgement, at those that hold the change."""
        self.change()
        self.close(self.holders_first()[:TOLERATED_WIPES])

    def drawn(self):
        """Right after an acknowledgement, at machines drawn by lot."""
        self.change()
        self.close(self.draw.sample(range(CORE), TOLERATED_WIPES))

    def timed(self):
        """Soon after a change was sent, acknowledged or not."""
        holders = self.holders_first()
        self.change(wait=False)
        self.world.run(self.draw.uniform(*TIMED_MS))
        self.close(holders[:TOLERATED_WIPES])

    def oldest(self):
        """The stores whose disks have lasted longest."""
        self.change()
        voters = sorted(self.fleet.voters(), key=self.age_of_voter)
        self.close(voters[:TOLERATED_WIPES])

    def age_of_voter(self, number):
        return self.fleet.stores[number].acceptor.vote.voter

    # afterwards

    def watch(self, callers=1):
        """Reads at every registry, again and again, by so many callers each; returns what was
        seen.
        """
        started_ms = self.world.env.now
        readers = [Reader(self, number % CORE) for number in range(CORE * callers)]
        ready_ms = {}
        while self.world.env.now < started_ms + WATCHED_MS:
            for number, proxy in self.fleet.proxies.items():
                if proxy.is_ready():
                    ready_ms.setdefault(number, self.world.env.now - started_ms)
            if len(ready_ms) == PROXIES and all(reader.versions for reader in readers):
                break
            self.world.run(READ_EVERY_MS)
        return self.recovery(started_ms, readers, ready_ms)

    def recovery(self, started_ms, readers, ready_ms):
        firsts = [reader.first_ms - started_ms for reader in readers if reader.first_ms is not None]
        wrong = [
            f"registry {reader.number} reads {version} after {self.acknowledged} was acknowledged"
            for reader in readers
            for version in reader.versions
            if not self.acknowledged <= version <= self.sent
        ]
        return Recovery(
            min(firsts, default=None),
            max(firsts) if len(firsts) == len(readers) else None,
            max(ready_ms.values()) if len(ready_ms) == PROXIES else None,
            wrong,
        )


PRELUDES = {
    "nothing": ClosingRun.nothing,
    "disk lost before": ClosingRun.disk_lost_before,
    "rolling restart": ClosingRun.rolling_restart,
    "killed twice": ClosingRun.killed_twice,
    "leader cut off": ClosingRun.leader_cut_off,
}
CLOSINGS = {
    "aimed": ClosingRun.aimed,
    "drawn": ClosingRun.drawn,
    "timed": ClosingRun.timed,
    "oldest": ClosingRun.oldest,
}


def faults(recovery):
    """What is wrong with a recovery: a list of texts, empty where it held."""
    found = list(recovery.wrong)
    for name in ("first_answer_ms", "all_answer_ms", "ready_ms"):
        value = getattr(recovery, name)
        if value is None or value > ANSWER_BOUND_MS:
            found.append(f"{name}: {value}, bound {ANSWER_BOUND_MS}")
    return found


def main():
    """A longer run by hand: python3 tests/recovery_model.py FIRST LAST."""
    import sys

    first, last = int(sys.argv[1]), int(sys.argv[2])
    seen = []
    for seed in range(first, last):
        for prelude in PRELUDES:
            for how in CLOSINGS:
                recovery = ClosingRun(seed, how, prelude).watch()
                seen.append(recovery)
                for fault in faults(recovery):
                    print(f"seed {seed}, {prelude}, {how}: {fault}", flush=True)
    print(f"{len(seen)} closing faults")
    for name in ("first_answer_ms", "all_answer_ms", "ready_ms"):
        values = sorted(getattr(each, name) or WATCHED_MS for each in seen)
        median, most = values[len(values) // 2] / 1000, values[-1] / 1000
        print(f"{name}: median {median:.2f} s, most {most:.2f} s")


if __name__ == "__main__":
    main()

"""Tallies under random partitions, restarts and lost disks, judged by what callers were told.

    PYTHONPATH=.:tests python3 tests/tally_model.py FIRST LAST

plays the seeds from FIRST to LAST and prints each that breaks a rule.
"""

import random
import sys

from test_tallies import CONTACT_MS, MERGE_MS, amend, call, formed, total

CORE = range(6)
TALLIES = ("t1", "t2")
STEPS = 60
LONGEST_STEP_MS = 400
FAULT_CHANCE = 0.12
REPEAT_CHANCE = 0.3
# Disks that may be lost at once, and how long a machine that lost one takes to have all again.
TOLERATED_DISKS = 2
SETTLED_MS = CONTACT_MS + MERGE_MS


class Caller:
    """Sends adds and remembers what may and what must count.

    Attributes:
        possible: adds that may count: amounts by tally and id.
        acknowledged: those that must.
        last: the number of the registry that acknowledged the newest one.
        by_life: what each life of a registry has acknowledged: amounts by tally and id.
    """

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.possible = {}
        self.acknowledged = {}
        self.last = 0
        self.by_life = {}

    def add(self):
        """Sends a new add, or one that was sent before, to any registry that runs."""
        number = self.draw.choice([n for n in CORE if self.fleet.registries[n].context.alive])
        key = (self.draw.choice(TALLIES), f"id-{len(self.possible)}")
        if self.possible and self.draw.random() < REPEAT_CHANCE:
            key = self.draw.choice(list(self.possible))
        amount = self.possible.get(key) or self.draw.randint(1, 9)
        status = amend(self.fleet, number, key[1], amount, key[0])
        if status != 503:
            self.possible[key] = amount
        if status == 200:
            self.acknowledged[key] = amount
            self.last = number
            self.by_life.setdefault(self.fleet.registries[number], {})[key] = amount

    def read(self):
        """Reads a tally; the rule that the total breaks, or None."""
        number = self.draw.choice([n for n in CORE if self.fleet.registries[n].context.alive])
        tally = self.draw.choice(TALLIES)
        seen = total(self.fleet, number, tally)
        if seen is None:
            return None
        if seen > sum_of(self.possible, tally):
            return f"TWICE: {tally} reads {seen} at registry {number + 1}"
        own = self.by_life.get(self.fleet.registries[number], {})
        if seen < sum_of(own, tally):
            return f"STALE: {tally} reads {seen} at registry {number + 1}, which acknowledged more"
        return None


def sum_of(adds, tally):
    return sum(amount for (name, _), amount in adds.items() if name == tally)


class Faults:
    """Partitions, restarts, freezes and lost disks, within the tolerance."""

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.is_cut = False
        self.calm_since_ms = 0.0

    def strike(self):
        kinds = [self.join] if self.is_cut else [self.cut, self.wipe]
        self.draw.choice([*kinds, self.restart, self.freeze])()
        self.calm_since_ms = self.fleet.world.env.now

    def cut(self):
        side = self.draw.sample(list(CORE), self.draw.randint(1, 3))
        others = [number for number in CORE if number not in side]
        self.is_cut = True
        way = self.draw.choice([self.fleet.world.cut, self.fleet.world.cut_one_way])
        way([ip_of(number) for number in side], [ip_of(number) for number in others])

    def join(self):
        self.is_cut = False
        self.fleet.world.join()

    def restart(self):
        number = self.draw.choice(list(CORE))
        self.fleet.kill_core(number)
        self.fleet.world.run(self.draw.randint(50, 800))
        self.fleet.start_core(number, False)

    def freeze(self):
        number = self.draw.choice(list(CORE))
        self.fleet.world.freeze(self.fleet.registries[number].context, self.draw.randint(300, 4000))

    def wipe(self):
        """Some disks are lost, at times while all others lose power; none that is the only one to
        have what was acknowledged in a partition.
        """
        if self.fleet.world.env.now - self.calm_since_ms < SETTLED_MS:
            return
        lost = self.draw.sample(list(CORE), TOLERATED_DISKS)
        if self.draw.random() < 0.5:
            self.fleet.lose_power(wiped=lost)
            return
        for number in lost:
            self.fleet.kill_core(number)
            self.fleet.wipe(number)
        self.fleet.world.run(500)
        for number in lost:
            self.fleet.start_core(number, False)


def ip_of(number):
    return f"10.0.0.{number + 1}"


def play(seed):
    """One day; returns the first rule that it breaks, or None."""
    draw = random.Random(seed)
    fleet = formed(seed)
    caller, faults = Caller(fleet, draw), Faults(fleet, draw)
    for _ in range(STEPS):
        if draw.random() < FAULT_CHANCE:
            faults.strike()
        caller.add()
        broken = caller.read()
        if broken:
            return broken
        fleet.world.run(draw.randint(1, LONGEST_STEP_MS))
    faults.join()
    fleet.world.run(SETTLED_MS)
    caller.add()
    # The machine that has just acknowledged is one of those that lose their disks.
    other = draw.choice([number for number in CORE if number != caller.last])
    fleet.lose_power(wiped=[caller.last, other])
    fleet.world.run(SETTLED_MS)
    return judge_end(fleet, caller)


def judge_end(fleet, caller):
    """What a day's end owes: all registries read the same, and nothing acknowledged is missing."""
    for tally in TALLIES:
        answers = [call(fleet, number, "GET", f"tallies/{tally}/read") for number in CORE]
        seen = {answer[1].get("total") for answer in answers if answer}
        if len(seen) != 1 or None in seen:
            return f"LOST: {tally} reads {seen}"
        (only,) = seen
        if only < sum_of(caller.acknowledged, tally):
            return f"LOST: {tally} reads {only}, acknowledged {sum_of(caller.acknowledged, tally)}"
        if only > sum_of(caller.possible, tally):
            return f"TWICE: {tally} reads {only}, sent {sum_of(caller.possible, tally)}"
    return None


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, last + 1):
        broken = play(seed)
        if broken:
            print(seed, broken)
    print(f"seeds {first} to {last} are played")


if __name__ == "__main__":
    main()

"""A small model of the voters: every interleaving of elections, proposals, changes of the group, ends,
starts and lost disks, to a depth, or random walks. It uses the real rules of quorums and copies and
nothing else of the code.

What has to hold: a leader that has its first proposal accepted has the newest acknowledged content; and
in each state, were all machines up, one could be elected and commit.
"""

import itertools
import random
from typing import NamedTuple

from stagevale.quorum import rules

FOUNDERS = 3
NO_BALLOT = (0, -1)


class Value(NamedTuple):
    """What voters accept; a voter in a group is (address, which disk stands there)."""

    serial: int
    group: tuple
    content: int


class Disk(NamedTuple):
    """What stands behind an address."""

    number: int
    is_up: bool
    promised: tuple
    accepted_under: tuple
    value: Value | None


class Leader(NamedTuple):
    """A daemon that was promised a ballot; `committed` once its first proposal was accepted."""

    ballot: tuple
    value: Value
    committed: bool


class State(NamedTuple):
    """All that matters; equal states are one."""

    disks: tuple
    leaders: tuple
    acknowledged: int
    lost: int
    # Machines that have left for good, and how many of them still count as lost.
    gone: tuple = ()
    unsettled: int = 0


class WrongError(Exception):
    """The property doesn't hold."""


class Model:
    """The transitions, for a number of machines and a tolerance of lost disks.

    Attributes:
        most_content: so many changes are made at most.
        gives_seats_up: a guard taken out: a voter that is away is removed from any group.
        acknowledges_early: likewise: whatever is committed is acknowledged.
        replaces_in_one_step: likewise: one voter goes and another comes with the same value.
        survivors_decide: a rule that was weighed: all voters that aren't known to be lost decide
            too, as long as the lost ones are no majority.
    """

    def __init__(self, machines, tolerated, most_content=1):
        self.machines = machines
        self.rule = rules.DiskRule(tolerated)
        self.most_content = most_content
        self.gives_seats_up = self.acknowledges_early = self.survivors_decide = False
        self.replaces_in_one_step = False
        founders = tuple((address, 0) for address in range(min(FOUNDERS, machines)))
        self.founders = founders
        blank = Disk(0, True, NO_BALLOT, NO_BALLOT, None)
        self.first = State((blank,) * machines, (None,) * machines, 0, 0)

    # what the daemons see

    def group_of(self, state, address):
        disk = state.disks[address]
        if disk.value is not None:
            return disk.value.group
        return self.founders if (address, disk.number) in self.founders else ()

    def lost_in(self, state, group):
        """The voters whose address answers with another disk."""
        return frozenset(
            voter
            for voter in group
            if state.disks[voter[0]].is_up and state.disks[voter[0]].number != voter[1]
        )

    def there(self, state, group):
        """The voters that answer."""
        return [
            voter
            for voter in group
            if state.disks[voter[0]].is_up and state.disks[voter[0]].number == voter[1]
        ]

    def is_quorum(self, state, group, granted):
        needed = rules.majority(len(group))
        if sum(voter in granted for voter in group) >= needed:
            return True
        lost = self.lost_in(state, group)
        left = [voter for voter in group if voter not in lost]
        return self.survivors_decide and len(lost) < needed and set(left) <= set(granted)

    # transitions

    def following(self, state):
        """All states that one step leads to."""
        for address in range(self.machines):
            yield from self.machine_steps(state, address)
            if state.disks[address].is_up:
                yield from self.elections(state, address)
                yield from self.proposals(state, address)

    def machine_steps(self, state, address):
        disk = state.disks[address]
        if not disk.is_up:
            yield with_disk(state, address, disk._replace(is_up=True))
            return
        down = with_leader(state, address, None)
        yield with_disk(down, address, disk._replace(is_up=False))
        if state.lost < self.rule.tolerated:
            blank = Disk(disk.number + 1, False, NO_BALLOT, NO_BALLOT, None)
            yield with_disk(down, address, blank)._replace(lost=state.lost + 1)

    def elections(self, state, address):
        group = self.group_of(state, address)
        own = (address, state.disks[address].number)
        if own not in group or state.leaders[address] is not None:
            return
        for promising in subsets(self.there(state, group)):
            if own in promising and self.is_quorum(state, group, promising):
                yield self.elected(state, address, promising)

    def elected(self, state, address, promising):
        group = self.group_of(state, address)
        term = max(state.disks[voter[0]].promised[0] for voter in promising) + 1
        found = max((position_of(state.disks[voter[0]]), voter[0]) for voter in promising)
        newest = state.disks[found[1]]
        for each, _ in promising:
            state = with_disk(state, each, state.disks[each]._replace(promised=(term, address)))
            state = with_leader(state, each, None)
        value = newest.value or Value(0, group, 0)
        if set(value.group) != set(group):
            mine = state.disks[address]
            adopted = mine._replace(value=value, accepted_under=newest.accepted_under)
            return with_disk(state, address, adopted)
        return with_leader(state, address, Leader((term, address), value, False))

    def proposals(self, state, address):
        leader = state.leaders[address]
        if leader is None:
            return
        if not leader.committed:
            yield from self.accepted(state, address, leader.value)
            return
        value = leader.value
        if value.content < self.most_content:
            yield from self.accepted(
                state, address, value._replace(serial=value.serial + 1, content=value.content + 1)
            )
        for group in self.next_groups(state, value.group):
            yield from self.accepted(
                state, address, value._replace(serial=value.serial + 1, group=group)
            )

    def next_groups(self, state, group):
        """The groups that a leader may propose after this one."""
        seated = {address for address, _ in self.there(state, group)}
        there = self.there(state, group)
        free = [
            (address, disk.number)
            for address, disk in enumerate(state.disks)
            if disk.is_up and address not in seated
        ]
        for newcomer in free:
            is_wanted = len(group) < self.rule.full_group or (
                len(group) % 2 and len(there) < len(group)
            )
            if is_wanted:
                yield (*group, newcomer)
            for gone in (set(group) - set(there)) if self.replaces_in_one_step else ():
                yield (*(voter for voter in group if voter != gone), newcomer)
        for gone in set(group) - set(there):
            if len(group) > self.rule.full_group or (self.gives_seats_up and len(group) > 1):
                yield tuple(voter for voter in group if voter != gone)

    def accepted(self, state, address, value):
        """What becomes of a proposal: any subset of those that can accept it do."""
        leader = state.leaders[address]
        before = leader.value.group
        voters = dict.fromkeys(before + value.group)
        able = [
            voter
            for voter in self.there(state, voters)
            if state.disks[voter[0]].promised <= leader.ballot
            and position_of(state.disks[voter[0]]) <= (leader.ballot, value.serial)
        ]
        newcomers = set(value.group) - set(before)
        for accepting in subsets(able):
            after = state
            for each, _ in accepting:
                disk = state.disks[each]._replace(
                    promised=leader.ballot, accepted_under=leader.ballot, value=value
                )
                after = with_disk(after, each, disk)
            done = newcomers <= set(accepting) and all(
                self.is_quorum(state, group, accepting) for group in (before, value.group)
            )
            if not done:
                if accepting:
                    yield with_leader(after, address, None)
                continue
            if not leader.committed and value.content < state.acknowledged:
                raise WrongError(
                    f"{value} is committed anew, {state.acknowledged} was acknowledged"
                )
            after = with_leader(after, address, Leader(leader.ballot, value, True))
            lost = self.lost_in(state, value.group)
            if self.acknowledges_early or self.rule.is_met(value.group, lost):
                after = after._replace(acknowledged=max(state.acknowledged, value.content))
            yield after

    # the property

    def check(self, state):
        """Were all machines up now, one of them could be elected with all that was acknowledged."""
        if state.acknowledged == 0:
            return
        disks = tuple(
            disk._replace(is_up=address not in state.gone)
            for address, disk in enumerate(state.disks)
        )
        state = state._replace(disks=disks, leaders=(None,) * self.machines)
        for _ in range(self.machines + 1):
            for address in range(self.machines):
                group = self.group_of(state, address)
                there = self.there(state, group)
                own = (address, state.disks[address].number)
                if own not in there or not self.is_quorum(state, group, there):
                    continue
                after = self.elected(state, address, tuple(there))
                leader = after.leaders[address]
                if leader is None:
                    state = after
                elif leader.value.content >= state.acknowledged:
                    return
                else:
                    raise WrongError(f"{leader.value} would be elected")
        raise WrongError("nobody could be elected")


class MovingModel(Model):
    """Machines leave for good, while others are there to take their seats; the group grows to what
    the machines can man. A machine that left counts as lost until the leader has found no more to do
    with all others there, which are as many as a full group has.

    Attributes:
        keeps_departed_seats: a guard taken out: a voter that has departed keeps its seat.
    """

    def __init__(self, machines, tolerated, most_content=1):
        super().__init__(machines, tolerated, most_content)
        self.keeps_departed_seats = False

    def machine_steps(self, state, address):
        if address in state.gone:
            return
        may_strike = state.lost + state.unsettled < self.rule.tolerated
        for after in super().machine_steps(state, address):
            if after.lost == state.lost or may_strike:
                yield after
        left = self.machines - len(state.gone)
        if state.disks[address].is_up and may_strike and left > self.rule.full_group:
            disk = state.disks[address]._replace(is_up=False)
            after = with_disk(with_leader(state, address, None), address, disk)
            yield after._replace(gone=(*state.gone, address), unsettled=state.unsettled + 1)

    def next_groups(self, state, group):
        there = self.there(state, group)
        absent = [voter for voter in group if voter not in there]
        departed = [voter for voter in absent if voter[0] in state.gone]
        seated = {address for address, _ in there}
        up = [address for address, disk in enumerate(state.disks) if disk.is_up]
        free = [(each, state.disks[each].number) for each in up if each not in seated]
        wanted = max(self.rule.full_group, 2 * ((max(len(up), 1) - 1) // 2) + 1)
        is_large = len(group) > self.rule.full_group
        if is_large and len(group) % 2 == 0 and (absent or len(group) > wanted):
            going = departed or absent or group[-1:]
        elif free and (absent or len(group) < wanted):
            return [(*group, newcomer) for newcomer in free]
        elif is_large and departed and not self.bears(state, group, departed):
            going = departed
        else:
            going = []
        return [tuple(voter for voter in group if voter != each) for each in going]

    def bears(self, state, group, departed):
        lost = self.lost_in(state, group)
        staying = [voter for voter in group if voter not in departed and voter not in lost]
        return self.keeps_departed_seats or self.rule.bears_further(group, staying, lost)

    def accepted(self, state, address, value):
        for after in super().accepted(state, address, value):
            yield after._replace(unsettled=0) if self.is_settled(after, address) else after

    def is_settled(self, state, address):
        leader = state.leaders[address]
        up = [each for each, disk in enumerate(state.disks) if disk.is_up]
        all_there = len(up) == self.machines - len(state.gone) >= self.rule.full_group
        done = leader is not None and leader.committed
        return done and all_there and not self.next_groups(state, leader.value.group)


def position_of(disk):
    """How new a disk's accepted value is."""
    return (disk.accepted_under, disk.value.serial if disk.value is not None else -1)


def subsets(items):
    for size in range(len(items) + 1):
        yield from itertools.combinations(items, size)


def with_disk(state, address, disk):
    disks = (*state.disks[:address], disk, *state.disks[address + 1 :])
    return state._replace(disks=disks)


def with_leader(state, address, leader):
    leaders = (*state.leaders[:address], leader, *state.leaders[address + 1 :])
    return state._replace(leaders=leaders)


def explore(model, depth, start=None):
    """Looks at every state within a number of steps; returns how many there are.

    Raises:
        WrongError: the property doesn't hold in one of them.
    """
    start = start or model.first
    seen, edge = {start}, [start]
    for _ in range(depth):
        following = []
        for state in edge:
            for after in model.following(state):
                if after not in seen:
                    seen.add(after)
                    model.check(after)
                    following.append(after)
        edge = following
    return len(seen)


# Chances in a step of a walk: that a machine is struck, that one that is down starts, and that
# a leader's proposal comes about.
STRIKE_SHARE, START_SHARE, DONE_SHARE = 0.3, 0.2, 0.8


def walk(model, seed, steps, start=None):
    """One random walk, from the first state if no other is given.

    Raises:
        WrongError: the property doesn't hold on the way.
    """
    draw = random.Random(f"walk {seed}")
    state = start or model.first
    for _ in range(steps):
        address = draw.randrange(model.machines)
        is_up = state.disks[address].is_up
        if draw.random() < (STRIKE_SHARE if is_up else START_SHARE):
            choices = list(model.machine_steps(state, address))
        elif not is_up:
            continue
        elif state.leaders[address] is None:
            choices = list(model.elections(state, address))
        else:
            choices = list(model.proposals(state, address))
            whole = [each for each in choices if each.leaders[address] is not None]
            choices = whole if whole and draw.random() < DONE_SHARE else choices
        if choices:
            state = draw.choice(choices)
            model.check(state)
    return state


def settled(model):
    """The state with a leader and a full group, or as large a one as the machines can man."""
    state = model.first
    wanted = min(model.rule.full_group, model.machines)
    everybody = tuple(model.there(state, model.founders))
    state = model.elected(state, 0, everybody)
    value = state.leaders[0].value
    state = largest(model.accepted(state, 0, value))
    while len(state.leaders[0].value.group) < wanted:
        value = state.leaders[0].value
        newcomer = (len(value.group), 0)
        grown = Value(value.serial + 1, (*value.group, newcomer), value.content)
        state = largest(model.accepted(state, 0, grown))
    value = state.leaders[0].value
    return largest(model.accepted(state, 0, value._replace(serial=value.serial + 1, content=1)))


def grown(model):
    """The settled state with as large a group as the machines can man."""
    state = settled(model)
    while model.next_groups(state, state.leaders[0].value.group):
        value = state.leaders[0].value
        group = model.next_groups(state, value.group)[0]
        proposal = value._replace(serial=value.serial + 1, group=group)
        state = largest(model.accepted(state, 0, proposal))
    return state


def largest(states):
    """The last of the outcomes: everybody has accepted."""
    *_, last = states
    return last


def main():
    """A longer run by hand: python3 tests/quorum_model.py FIRST LAST STEPS [DEPTH]."""
    import sys

    first, last, steps = map(int, sys.argv[1:4])
    for machines, tolerated in ((3, 1), (4, 1), (5, 1), (5, 2), (6, 2)):
        model = Model(machines, tolerated, most_content=3)
        for seed in range(first, last):
            walk(model, seed, steps)
        print(f"{machines} machines, tolerance {tolerated}: {last - first} walks held", flush=True)
    for machines, tolerated in ((5, 1), (6, 1), (8, 2)):
        model = MovingModel(machines, tolerated, most_content=3)
        for seed in range(first, last):
            walk(model, seed, steps, grown(model))
        print(f"{machines} machines that move, tolerance {tolerated}: held", flush=True)
    for machines, tolerated, depth in ((3, 1, int(sys.argv[4])), (5, 2, int(sys.argv[4]) - 1)):
        model = Model(machines, tolerated, most_content=2)
        count = explore(model, depth, settled(model))
        print(f"{machines}, {tolerated}: {count} states to depth {depth} held", flush=True)


if __name__ == "__main__":
    main()

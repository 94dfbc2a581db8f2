"""Random schedules for whole core fleets, and a checker of the history that operators saw."""

import json
import random
from typing import NamedTuple

from support.attempts import Attempt
from support.fleet import Fleet

from stagevale.configuration.node import ConfigurationNode
from stagevale.configuration.value import read_configuration_value
from stagevale.consensus.vote_storage import VoteStorage

CORE = 6
TOLERATED_WIPES = 2
LOST_MS = 6000.0
ZONE = "c2"
QUIET_MS = 20000.0


class MemoryTables:
    """Numbered tables that behave like files: one that was dropped may be back after power went,
    one that was being written is torn.
    """

    def __init__(self):
        self.whole, self.dropped, self.torn = {}, {}, set()

    def numbers(self):
        return sorted(set(self.whole) | self.torn)

    def read(self, number):
        return self.whole.get(number)

    def write(self, number, record):
        self.torn.discard(number)
        self.whole[number] = record

    def remove(self, number):
        self.torn.discard(number)
        record = self.whole.pop(number, None)
        if record is not None:
            self.dropped[number] = record

    def lose_power(self, draw):
        """Each file that was removed is kept or lost by itself; an unfinished write may show."""
        for number, record in self.dropped.items():
            if draw.random() < 0.5:
                self.whole[number] = record
        self.dropped = {}
        if self.whole and draw.random() < 0.5:
            self.torn.add(max(self.whole) + 1)


class TableDisk(VoteStorage):
    """A store's real storage on tables in memory; loads anew at each start of its daemon."""

    __slots__ = ()

    def __init__(self):
        super().__init__(MemoryTables(), read_configuration_value)

    def load(self):
        self.last_saved, self.snapshot_number = None, 0
        return super().load()


class Published(NamedTuple):
    """A value that a leader had committed."""

    at_ms: float
    serial: int
    evacuated: tuple[str, ...]


class WatchedNode(ConfigurationNode):
    """A store's node whose committed values the checker sees."""

    __slots__ = ()

    def publish(self, value):
        world = self.context.world
        world.published.append(Published(world.env.now, value.serial, value.evacuated))
        super().publish(value)


class ModelFleet(Fleet):
    """A fleet of core machines whose stores keep their votes by the real storage."""

    def __init__(self, seed, proxies=0):
        self.cycled = set()
        super().__init__(seed, proxies)
        self.world.published = []

    def start_store(self, number, first=False):
        self.world.disks.setdefault(f"10.0.0.{number + 1}", TableDisk())
        super().start_store(number, first)
        self.stores[number].__class__ = WatchedNode

    def wipe(self, number):
        super().wipe(number)
        self.world.disks[f"10.0.0.{number + 1}"] = TableDisk()


class Call:
    """One call of an operator: what it asked, when, and what it came to."""

    __slots__ = ("kind", "version", "parent", "host", "start_ms", "end_ms", "outcome")

    def __init__(self, kind, version, parent, host, start_ms):
        self.kind, self.version, self.parent, self.host = kind, version, parent, host
        self.start_ms, self.end_ms, self.outcome = start_ms, None, None

    def __repr__(self):
        fields = (self.kind, self.version, self.parent, self.host, self.start_ms, self.end_ms)
        return f"{fields} -> {self.outcome}"


def payload_of(version, parent, host):
    return json.dumps(
        {
            "version": f"r{version}",
            "parentVersion": f"r{parent}" if parent else 0,
            "routes": [
                {
                    "name": "r",
                    "host": host,
                    "pathPrefix": "/a/",
                    "timeoutMs": 1000,
                    "service": "s",
                }
            ],
            "services": [{"name": "s"}],
        }
    )


class Operator:
    """Sends one order after the other, each again and again until there is a clear answer."""

    def __init__(self, run, number):
        self.run, self.number = run, number
        self.seen = 1
        self.turn = 0
        self.next()

    def next(self):
        run = self.run
        if run.over:
            return
        self.turn += 1
        now_ms = run.world.env.now
        if run.draw.random() < 0.3:
            call = Call("read", 0, 0, "", now_ms)
        else:
            version = self.seen + run.draw.randint(1, 2)
            host = f"o{self.number}-{self.turn}.example"
            call = Call("replace", version, self.seen, host, now_ms)
        run.history.append(call)
        self.send(call)

    def send(self, call):
        run = self.run
        if run.over and run.world.env.now > run.deadline_ms:
            return
        registry = run.fleet.registries[run.draw.randrange(CORE)]

        def answered(status, text):
            if status in (200, 400, 404, 412) and run.draw.random() >= run.lost_share:
                self.done(call, status, text)
            else:
                run.world.later(run.draw.uniform(50, 300), self.send, call)

        attempt = Attempt(run.world, answered, lambda: self.send(call))
        if registry.context.alive and not run.world.thaw_ms(registry.context):
            payload = (
                "" if call.kind == "read" else payload_of(call.version, call.parent, call.host)
            )
            registry.service.configuration.send_command(call.kind, payload, attempt.answered)

    def done(self, call, status, text):
        run = self.run
        call.end_ms, call.outcome = run.world.env.now, status
        if call.kind == "read" and status == 200:
            table = json.loads(text)
            call.version = int(table["version"][1:])
            call.host = table["routes"][0]["host"]
            self.seen = call.version
        elif status == 200:
            self.seen = call.version
        elif call.kind == "replace":
            self.seen = max(self.seen, run.newest_seen())
        run.world.later(run.draw.uniform(20, 400), self.next)


class ZoneOrder:
    """An order to evacuate a zone or to end that, until its acknowledgement."""

    __slots__ = ("zone", "kind", "start_ms", "end_ms")

    def __init__(self, zone, kind, start_ms):
        self.zone, self.kind, self.start_ms, self.end_ms = zone, kind, start_ms, None

    def __repr__(self):
        return f"{self.kind} {self.zone}, {self.start_ms:.0f} to {self.end_ms}"


class ZoneOperator:
    """Evacuates a zone of its own and ends that, in turn, each order sent until it is acknowledged:
    to the next registry after a second of silence or once its connection is lost, whatever becomes
    of the calls before.
    """

    def __init__(self, run, zone):
        self.run, self.zone = run, zone
        self.lose_connection = lambda: None
        self.next()

    def next(self):
        run = self.run
        if run.over:
            return
        kind = "evacuate"
        if run.orders and run.orders[-1].kind == "evacuate":
            kind = "takeBack"
        order = ZoneOrder(self.zone, kind, run.world.env.now)
        run.orders.append(order)
        self.send(order)

    def send(self, order):
        run = self.run
        if order.end_ms is not None or (run.over and run.world.env.now > run.deadline_ms):
            return
        registry = run.fleet.registries[run.draw.randrange(CORE)]

        def answered(status, _text):
            if status == 200 and run.draw.random() >= run.lost_share:
                order.end_ms = run.world.env.now
                run.world.later(run.draw.uniform(20, 600), self.next)
            else:
                run.world.later(run.draw.uniform(50, 300), self.send, order)

        attempt = Attempt(run.world, answered, lambda: self.send(order))
        self.lose_connection = attempt.give_up
        client = registry.service.configuration
        # What a frozen registry's socket holds is read when it thaws, and rests on this value.
        arguments = (order.kind, order.zone, attempt.answered, client.basis_serial)
        registry.context.call_soon(client.send_command, *arguments)


class Run:
    """One schedule: troubles and operators for some seconds, then a quiet end."""

    def __init__(self, seed, length_ms=14000.0, troubles=8, kinds=None, operators=3):
        self.draw = random.Random(seed)
        self.fleet = ModelFleet(seed)
        self.world = self.fleet.world
        self.history, self.over, self.lost_share = [], False, 0.3
        self.orders = []
        self.deadline_ms = 1e12
        self.back_ms = {}
        self.wiped_ms = {}
        world, fleet = self.world, self.fleet
        assert world.until(lambda: len(fleet.leaders()) == 1 and len(fleet.voters()) == 5, 30000)
        first = Call("replace", 1, 0, "first.example", world.env.now)
        self.history.append(first)
        assert fleet.insist([0], "replace", payload_of(1, 0, "first.example"))[0] == 200
        first.end_ms, first.outcome = world.env.now, 200
        for number in range(operators):
            Operator(self, number)
        self.zone_operator = ZoneOperator(self, ZONE)
        kinds = kinds or list(TROUBLES)
        for _ in range(troubles):
            kind = self.draw.choice(kinds)
            world.later(self.draw.uniform(0, length_ms), TROUBLES[kind], self)
        world.run(length_ms)
        self.heal()

    def newest_seen(self):
        return max([c.version for c in self.history if c.outcome == 200] or [1])

    def heal(self):
        """All troubles end; operators stop with their last order; then one more order is due."""
        self.over = True
        world, fleet = self.world, self.fleet
        world.join()
        world.stalled.clear()
        self.lost_share = 0.0
        world.run(21000)
        for number in range(CORE):
            self.start(number)
        self.deadline_ms = world.env.now + QUIET_MS
        started_ms = world.env.now
        self.last = Call("read", 0, 0, "", started_ms)
        self.history.append(self.last)
        answer = fleet.insist(range(CORE), "read", "", QUIET_MS)
        self.recovered = answer is not None and answer[0] == 200
        if self.recovered:
            table = json.loads(answer[1])
            self.last.version, self.last.outcome = int(table["version"][1:]), 200
            self.last.host = table["routes"][0]["host"]
            self.last.end_ms = world.env.now

    # troubles

    def start(self, number):
        """Starts what doesn't run on a machine."""
        fleet = self.fleet
        if not fleet.registries[number].context.alive:
            fleet.start_registry(number, False)
        if not fleet.stores[number].context.alive:
            fleet.start_store(number, False)

    def victim(self):
        """A machine; the leader's rather often."""
        owners = self.fleet.leaders()
        if owners and self.draw.random() < 0.4:
            return owners[0] - 1
        return self.draw.randrange(CORE)

    def cut(self):
        numbers = self.draw.sample(range(CORE), self.draw.randint(1, 3))
        mine = [f"10.0.0.{n + 1}" for n in numbers]
        rest = [f"10.0.0.{n + 1}" for n in range(CORE) if n not in numbers]
        if self.draw.random() < 0.3:
            self.world.cut_one_way(mine, rest)
        else:
            self.world.cut(mine, rest)
        self.world.later(self.draw.uniform(300, 9000), self.world.join)

    def cut_leader(self):
        owners = self.fleet.leaders()
        if owners:
            rest = [f"10.0.0.{n + 1}" for n in range(CORE) if n != owners[0] - 1]
            self.world.cut([f"10.0.0.{owners[0]}"], rest)
            self.world.later(self.draw.uniform(1000, 12000), self.world.join)

    def kill(self):
        number = self.victim()
        self.fleet.kill_core(number)
        self.world.later(self.draw.uniform(200, 4000), self.start, number)

    def power(self):
        for number in self.draw.sample(range(CORE), self.draw.randint(1, CORE)):
            self.fleet.kill_core(number)
            self.world.disks[f"10.0.0.{number + 1}"].tables.lose_power(self.draw)
            self.world.later(self.draw.uniform(500, 1500), self.start, number)

    def wipe(self):
        now_ms = self.world.env.now
        recent = [n for n, ms in self.wiped_ms.items() if now_ms - ms < LOST_MS + 5000]
        number = self.victim()
        if number in recent or len(recent) >= TOLERATED_WIPES:
            return
        others = [n for n in range(CORE) if n != number and n not in recent]
        if not all(self.fleet.stores[n].context.alive for n in others) or self.world.cuts:
            return
        self.wiped_ms[number] = now_ms
        self.fleet.kill_core(number)
        self.fleet.wipe(number)
        self.world.later(self.draw.uniform(400, 1500), self.start, number)

    def closing(self):
        """As many machines as may be lost lose their disks, all others lose power."""
        now_ms = self.world.env.now
        if any(now_ms - ms < LOST_MS + 5000 for ms in self.wiped_ms.values()) or self.world.cuts:
            return
        wiped = self.draw.sample(range(CORE), TOLERATED_WIPES)
        for number in range(CORE):
            self.fleet.kill_core(number)
            if number in wiped:
                self.wiped_ms[number] = now_ms
                self.fleet.wipe(number)
            else:
                self.world.disks[f"10.0.0.{number + 1}"].tables.lose_power(self.draw)
            self.world.later(self.draw.uniform(500, 1500), self.start, number)

    def closing_behind(self):
        """Two machines miss the newest changes; then two others lose their disks, the rest power."""
        if self.world.cuts or any(
            self.world.env.now - ms < LOST_MS + 5000 for ms in self.wiped_ms.values()
        ):
            return
        order = self.draw.sample(range(CORE), CORE)
        behind, wiped = order[:2], order[2:4]
        rest = [f"10.0.0.{n + 1}" for n in order[2:]]
        self.world.cut([f"10.0.0.{n + 1}" for n in behind], rest)

        def close():
            self.world.join()
            for number in range(CORE):
                self.fleet.kill_core(number)
                if number in wiped:
                    self.wiped_ms[number] = self.world.env.now
                    self.fleet.wipe(number)
                self.world.later(self.draw.uniform(500, 900), self.start, number)

        self.world.later(self.draw.uniform(200, 1500), close)

    def power_in_stall(self):
        """Disks hang for a moment, then power goes with what they had not written."""
        hanging = self.draw.sample(range(CORE), self.draw.randint(2, CORE))
        self.world.stalled |= {f"10.0.0.{number + 1}" for number in hanging}

        def lose():
            self.world.stalled -= {f"10.0.0.{number + 1}" for number in hanging}
            for number in range(CORE):
                self.fleet.kill_core(number)
                self.world.disks[f"10.0.0.{number + 1}"].tables.lose_power(self.draw)
                self.world.later(self.draw.uniform(500, 1500), self.start, number)

        self.world.later(self.draw.uniform(50, 900), lose)

    def freeze(self):
        number = self.victim()
        for daemon in (self.fleet.registries[number], self.fleet.stores[number]):
            if self.draw.random() < 0.7:
                self.world.freeze(daemon.context, self.draw.uniform(200, 9000))

    def stall(self):
        ip = f"10.0.0.{self.victim() + 1}"
        self.world.stalled.add(ip)
        self.world.later(self.draw.uniform(500, 5000), self.world.stalled.discard, ip)

    def leave(self):
        number = self.victim()
        self.fleet.end_core(number)
        self.world.later(self.draw.uniform(4500, 7000), self.start, number)

    def reset(self):
        number = self.victim()
        for daemon in (self.fleet.registries[number], self.fleet.stores[number]):
            for transport in self.world.transports:
                if transport.local is daemon.context and self.draw.random() < 0.6:
                    transport.abort()

    def hang_up(self):
        """The connection under an order is reset, again and again: its operator goes on at once,
        and the order stays under way.
        """
        for _ in range(10):
            delay_ms = self.draw.uniform(0, 2000)
            self.world.later(delay_ms, lambda: self.zone_operator.lose_connection())

    def turn_seeds(self):
        self.fleet.seeds = tuple(n + 1 for n in self.draw.sample(range(CORE), 3))

    def lose_answers(self):
        self.lost_share = self.draw.choice((0.3, 0.7, 0.9))


TROUBLES = {
    "cut": Run.cut,
    "cut_leader": Run.cut_leader,
    "kill": Run.kill,
    "power": Run.power,
    "wipe": Run.wipe,
    "closing": Run.closing,
    "closing_behind": Run.closing_behind,
    "power_in_stall": Run.power_in_stall,
    "freeze": Run.freeze,
    "stall": Run.stall,
    "leave": Run.leave,
    "reset": Run.reset,
    "turn_seeds": Run.turn_seeds,
    "lose_answers": Run.lose_answers,
    "hang_up": Run.hang_up,
}


def check(run):
    """Returns what is wrong with a run's history: a list of texts, empty where one order of
    changes explains every answer.
    """
    if not run.recovered:
        return ["no majority within the bound after the last trouble"]
    changes = {(c.version, c.host): c for c in run.history if c.kind == "replace"}
    chain, wrong = chain_of(run.last, changes)
    positions = {key: at for at, key in enumerate(chain)}
    wrong += check_changes(run.history, changes, chain, positions)
    wrong += check_orders(run)
    wrong += check_reads(run.history, positions)
    return wrong


def chain_of(last, changes):
    """The order of changes that leads to what was read last, oldest first."""
    chain, key = [], (last.version, last.host)
    while True:
        if key not in changes:
            return chain[::-1], [f"{key} was read but never sent"]
        chain.append(key)
        parent = changes[key].parent
        if not parent:
            return chain[::-1], []
        on_parent = [each for each in changes if each[0] == parent]
        taken = [each for each in on_parent if changes[each].outcome != 412]
        confirmed = [each for each in taken if changes[each].outcome == 200]
        if len(confirmed) > 1:
            return chain[::-1], [f"two confirmed under one number: {confirmed}"]
        if not taken:
            return chain[::-1], [f"{key} builds on r{parent}, which nobody sent"]
        key = (confirmed or taken)[0]


def check_changes(_history, changes, chain, positions):
    wrong = []
    for key, call in changes.items():
        if call.outcome == 200 and key not in positions:
            wrong.append(f"confirmed but lost: {call}")
        if call.outcome in (400, 404):
            wrong.append(f"a proper change was called invalid: {call}")
        if call.outcome == 412 and key in positions:
            wrong.append(f"refused but in force: {call}")
        if call.outcome == 412 and key not in positions and not passed_over(call, changes, chain):
            wrong.append(f"refused though its parent was in place: {call}")
    acked = sorted((c for c in changes.values() if c.outcome == 200), key=lambda c: c.end_ms)
    for earlier in acked:
        for later in acked:
            if earlier.end_ms < later.start_ms and (
                positions.get((later.version, later.host), 1e9)
                < positions.get((earlier.version, earlier.host), -1)
            ):
                wrong.append(f"out of order: {earlier} before {later}")
    return wrong


def check_orders(run):
    """Between an order's acknowledgement and the next order nothing else is committed for its zone:
    what its operator had sent before, and given up, has no effect any more.
    """
    wrong = []
    acked = [order for order in run.orders if order.end_ms is not None]
    for order, following in zip(acked, [*acked[1:], None], strict=True):
        until_ms = following.start_ms if following is not None else run.world.env.now
        newest = max(
            (value.serial for value in run.world.published if value.at_ms <= order.end_ms),
            default=0,
        )
        wrong += [
            f"after {order} was acknowledged the zone changed: {value}"
            for value in run.world.published
            if order.end_ms < value.at_ms < until_ms
            and value.serial > newest
            and (order.zone in value.evacuated) != (order.kind == "evacuate")
        ]
    return wrong


def passed_over(call, changes, chain):
    """True where a refusal can be explained: a change that followed its parent, or went before it,
    was sent before the refusal came; or the parent itself was never taken.
    """
    versions = [version for version, _ in chain]
    if call.parent not in versions:
        return True
    follower = versions.index(call.parent) + 1
    if follower == len(chain):
        return False
    return changes[chain[follower]].start_ms <= call.end_ms


def check_reads(history, positions):
    """Nothing older is read after something newer was confirmed or read."""
    wrong = []
    seen = sorted((c for c in history if c.outcome == 200), key=lambda call: call.end_ms)
    for read in seen:
        if read.kind != "read":
            continue
        mine = positions.get((read.version, read.host))
        if mine is None:
            wrong.append(f"read what is not in the order of changes: {read}")
            continue
        for earlier in seen:
            if earlier.end_ms >= read.start_ms:
                break
            if positions.get((earlier.version, earlier.host), -1) > mine:
                wrong.append(f"read older than {earlier}: {read}")
    return wrong


def main():
    """A longer run by hand: python3 tests/register_model.py FIRST LAST."""
    import sys

    first, last = int(sys.argv[1]), int(sys.argv[2])
    answered = 0
    for seed in range(first, last):
        run = Run(seed)
        answered += sum(1 for call in run.history if call.outcome is not None)
        for wrong in check(run):
            print(f"schedule {seed}: {wrong}", flush=True)
    print(f"{last - first} schedules, {answered} calls answered")


if __name__ == "__main__":
    main()

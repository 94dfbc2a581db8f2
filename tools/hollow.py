"""Hollow daemons: the real code of membership over the simulated network of the tests, many in one process."""
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

from simworld import SimContext, World  # noqa: E402
from stagevale.membership import Membership  # noqa: E402
from stagevale.placement import place  # noqa: E402
from stagevale.settings import read_settings  # noqa: E402

SETTINGS = """
[daemon]
name = "{name}"
ip = "{ip}"
area = "{zone}"
region = "{region}"
firstStart = true
[streams]
innerPorts = [7200, 7215]
seeds = [{seeds}]
[listen]
{listen}
[areas]
{zones}
[bounds]
contactMs = 4000
"""


class CountingWorld(World):
    """Counts what all daemons send: messages, bytes, the largest."""

    def __init__(self, seed):
        super().__init__(seed)
        self.sent = [0, 0, 0]

    def count(self, one, other, data):
        super().count(one, other, data)
        sent = self.sent
        sent[0] += 1
        sent[1] += len(data)
        sent[2] = max(sent[2], len(data))


class HollowFleet:
    """Memberships of as many proxies and core machines as asked for, spread evenly over zones and regions."""

    def __init__(self, proxies, core=6, zones=6, regions=3, seed=1):
        self.world = CountingWorld(seed)
        self.zones = [(f"z{n}", f"r{n % regions}") for n in range(zones)]
        self.table = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones)
        self.seeds = [self.ip(0, n) for n in range(min(3, core))]
        self.members = {}
        self.sent = self.world.sent
        for n in range(core):
            self.start("registry", 0, n, 0)
            self.start("store", 0, n, 1)
        for n in range(proxies):
            self.start("proxy", 1, n, 0)

    @staticmethod
    def ip(kind, n):
        return f"10.{kind}.{n // 250}.{n % 250 + 1}"

    def start(self, program, kind, n, offset):
        zone, region = self.zones[n % len(self.zones)]
        ip = self.ip(kind, n)
        self.world.regions[ip] = region
        listen = f'front = "{ip}:9000"' if program == "proxy" else f'control = "{ip}:8000"'
        settings = read_settings(SETTINGS.format(name=f"{program}-{n}", ip=ip, zone=zone, region=region, listen=listen,
                                                zones=self.table,
                                                seeds=", ".join(f'"{seed}:8000"' for seed in self.seeds)))
        context = SimContext(self.world, settings, f"{program}-{n}")
        address = f"{ip}:{7200 + offset}"
        membership = Membership(context, address, program, f"{ip}:9000" if program == "proxy" else "")
        membership.placer = lambda members, table, moves: place(members, table, moves, settings.areas)
        self.members[address] = membership
        membership.start()
        return membership

    def formed(self):
        alive = [m for m in self.members.values() if m.context.alive]
        return all(m.converged() and sum(1 for x in m.state.members.values() if x.state == 1) == len(alive)
                   for m in alive)

    def measure(self, ms):
        """(messages, bytes, seconds of processor) of all daemons together in a stretch of simulated time."""
        before, start_s = list(self.sent), time.process_time()
        self.world.run(ms)
        return self.sent[0] - before[0], self.sent[1] - before[1], time.process_time() - start_s

    def settle(self, limit_ms=60000):
        """Runs until all have converged; what that took: (ms, messages, bytes, seconds of processor)."""
        before, start_s, start_ms = list(self.sent), time.process_time(), self.world.env.now
        done = self.world.until(self.formed, limit_ms, 250)
        return (done, self.world.env.now - start_ms, self.sent[0] - before[0], self.sent[1] - before[1],
                time.process_time() - start_s)


if __name__ == "__main__":
    for proxies, core in ((9, 6), (57, 9), (182, 18)):
        fleet = HollowFleet(proxies, core, 9, 3)
        n = len(fleet.members)
        done, ms, messages, size, cpu = fleet.settle()
        print(f"{n} start: formed={done} {ms:.0f} ms, {messages / n:.0f} messages, {size / n / 1000:.0f} KB, "
              f"{cpu / n * 1000:.0f} ms cpu per daemon", flush=True)
        messages, size, cpu = fleet.measure(10000)
        print(f"{n} calm: {messages / n / 10:.2f} messages/s {size / n / 10:.0f} B/s {cpu / n / 10 * 1000:.2f} ms/s; state {len(next(iter(fleet.members.values())).packed_state())} B", flush=True)
        victim = fleet.members[fleet.ip(1, 3) + ":7200"]
        fleet.world.kill(victim.context)
        fleet.world.run(800)
        fleet.start("proxy", 1, 3, 0)
        done, ms, messages, size, cpu = fleet.settle()
        print(f"{n} restart of one: {done} {ms:.0f} ms, {messages} messages, {size / 1000:.0f} KB, {cpu:.2f} s cpu all", flush=True)

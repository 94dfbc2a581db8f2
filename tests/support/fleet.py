"""Fleets of whole daemons on the simulated network."""

from stagevale.daemons.proxy import Proxy
from stagevale.daemons.registry import Registry
from stagevale.daemons.store import Store
from stagevale.membership.member import MemberState
from stagevale.settings.settings import read_settings
from support.disk import MemoryDisk, MemoryLog
from support.network import SimContext, World


def store_daemon(context, disk):
    """A store whose vote is kept on a simulated disk."""

    class SimStore(Store):
        __slots__ = ()

        def open_storage(self):
            return disk

    return SimStore(context, "/none")


def registry_daemon(context, session_log, key_log):
    """A registry whose session records are kept on a simulated disk."""

    class SimRegistry(Registry):
        __slots__ = ()

        def make_session_replicas(self):
            from stagevale.sessions.replica import SessionReplica

            return SessionReplica(self.context, self.rpc, session_log, key_log)

    return SimRegistry(context, "/none")


SETTINGS = """
[daemon]
name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
counted = {counted}
firstStart = {first}
dataPath = "/data"
[connections]
innerPorts = [7200, 7215]
seeds = [{seeds}]
[listen]
{listen}
[zones]
a1 = "a"
b1 = "b"
c1 = "c"
a2 = "a"
b2 = "b"
c2 = "c"
[terms]
beatMs = 1500
[bounds]
contactMs = 4000
"""
ZONES = ("a1", "b1", "c1", "a2", "b2", "c2")


def number_of(voter):
    """The number of the machine that a voter's address belongs to."""
    return int(voter.partition(":")[0].rpartition(".")[2]) - 1


class Fleet:
    """Core machines in three regions, six unless told otherwise, and as many proxies as asked for.

    `seeds` are the numbers of the machines that settings name from now on.
    """

    def __init__(self, seed=1, proxies=0, more="", core=6):
        self.world = World(seed)
        self.more = more
        self.seeds = (1, 2, 3)
        self.registries, self.stores, self.proxies, self.store_daemons = {}, {}, {}, {}
        for number in range(core):
            self.world.regions[f"10.0.0.{number + 1}"] = ZONES[number % 6][0]
            self.start_core(number, True)
        for number in range(proxies):
            self.world.regions[f"10.0.1.{number + 1}"] = ZONES[number % 6][0]
            self.start_proxy(number)

    def settings(self, ip, zone, listen, first):
        seeds = ", ".join(f'"10.0.0.{n}:8000"' for n in self.seeds)
        return read_settings(
            SETTINGS.format(
                name=f"node-{ip}",
                ip=ip,
                zone=zone,
                region=zone[0],
                seeds=seeds,
                listen=listen,
                counted="true",
                first="true" if first else "false",
            )
            + self.more
        )

    def start_core(self, number, first):
        self.start_registry(number, first)
        self.start_store(number, first)

    def start_registry(self, number, first=False):
        ip = f"10.0.0.{number + 1}"
        self.world.regions[ip] = ZONES[number % 6][0]
        settings = self.settings(
            ip, ZONES[number % 6], f'control = "{ip}:8000"\ndirectory = "{ip}:8001"', first
        )
        settings.data_path = ""
        logs = self.world.disks.setdefault("sessions " + ip, MemoryLog())
        key_logs = self.world.disks.setdefault("keys " + ip, MemoryLog())
        context = SimContext(self.world, settings, f"registry-{number + 1}")
        daemon = registry_daemon(context, logs, key_logs)
        self.registries[number] = daemon
        daemon.service.load_hints(self.world.disks.setdefault("registry " + ip, MemoryDisk()))
        daemon.service.keep_departures(self.world.disks.setdefault("departures " + ip, MemoryLog()))
        daemon.service.keep_tallies(self.world.disks.setdefault("tallies " + ip, MemoryLog()))
        if settings.duties:
            daemon.join_singleton(self.world.disks.setdefault("duties " + ip, MemoryDisk()))
        daemon.start()

    def start_store(self, number, first=False):
        ip = f"10.0.0.{number + 1}"
        context = SimContext(
            self.world, self.settings(ip, ZONES[number % 6], "", first), f"store-{number + 1}"
        )
        disk = self.world.disks.setdefault(ip, MemoryDisk())
        daemon = store_daemon(context, disk)
        self.store_daemons[number] = daemon
        self.stores[number] = daemon.node
        daemon.start()

    def start_proxy(self, number):
        ip = f"10.0.1.{number + 1}"
        settings = self.settings(
            ip, ZONES[number % 6], f'front = "{ip}:9000"\nready = "{ip}:9001"', True
        )
        daemon = Proxy(SimContext(self.world, settings, f"proxy-{number + 1}"), "/none")
        self.proxies[number] = daemon
        daemon.start()

    def kill_core(self, number):
        self.world.kill(self.registries[number].context)
        self.world.kill(self.stores[number].context)

    def end_core(self, number):
        """SIGTERM for both daemons of a core machine."""
        for daemon in (self.registries[number], self.store_daemons[number]):
            if not daemon.stopping and daemon.context.alive:
                daemon.stopping = daemon.context.stopping = True
                daemon.stop()

    def running(self, number):
        """True while a daemon of a core machine still runs."""
        return self.registries[number].context.alive or self.stores[number].context.alive

    def voters(self):
        """The numbers of the machines whose stores vote, as the leader has it."""
        leader = self.leaders()[0] - 1
        return [number_of(voter) for voter in self.stores[leader].committed.group]

    def wipe(self, number):
        self.world.disks[f"10.0.0.{number + 1}"] = MemoryDisk()
        self.world.disks[f"registry 10.0.0.{number + 1}"] = MemoryDisk()
        self.world.disks[f"sessions 10.0.0.{number + 1}"] = MemoryLog()
        self.world.disks[f"keys 10.0.0.{number + 1}"] = MemoryLog()
        self.world.disks[f"departures 10.0.0.{number + 1}"] = MemoryLog()
        self.world.disks[f"tallies 10.0.0.{number + 1}"] = MemoryLog()
        self.world.disks[f"duties 10.0.0.{number + 1}"] = MemoryDisk()

    def lose_power(self, wiped=(), pause_ms=800):
        """All machines lose power at once, some of them their disks too; they start again after a
        pause.
        """
        for number in self.registries:
            self.kill_core(number)
        for proxy in self.proxies.values():
            self.world.kill(proxy.context)
        for number in wiped:
            self.wipe(number)
        self.world.run(pause_ms)
        for number in list(self.registries):
            self.start_core(number, False)
        for number in list(self.proxies):
            self.start_proxy(number)

    def daemons(self):
        return [
            daemon
            for daemon in list(self.registries.values()) + list(self.proxies.values())
            if daemon.context.alive
        ] + [keeper for keeper in self.stores.values() if keeper.context.alive]

    def formed(self, count):
        return all(
            len([m for m in daemon.membership.state.members.values() if m.state == MemberState.UP])
            == count
            and daemon.membership.is_converged()
            for daemon in self.daemons()
        )

    def leaders(self):
        return [
            number + 1
            for number, keeper in self.stores.items()
            if keeper.context.alive and keeper.ballot is not None and keeper.committed is not None
        ]

    def order(self, number, order, payload, wait_ms=3000):
        """Sends an operator's order to one registry; returns (status, text), or None where none
        came.
        """
        got = []
        self.registries[number].service.configuration.send_command(
            order, payload, lambda status, text: got.append((status, text))
        )
        self.world.until(lambda: got, wait_ms)
        return got[0] if got else None

    def insist(self, numbers, order, payload, limit_ms=12000):
        """Sends an order as the operator does, again and again, until there is a clear answer."""
        end = self.world.env.now + limit_ms
        while self.world.env.now < end:
            for number in numbers:
                answer = self.order(number, order, payload, 1000)
                if answer is not None and answer[0] != 503:
                    return answer
            self.world.run(200)
        return None

"""Measures what grows with the fleet: the real code of membership, configuration, endpoints and
choice, over the simulated network of the tests, many hollow daemons in one process. `python3
tools/capacity.py --help` lists the parts.
"""

import json
import os
import random
import sys
import time
import tracemalloc

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [ROOT, os.path.join(ROOT, "tests")]

from support.network import SimContext, World  # noqa: E402

from stagevale.api.http_connection import HttpConnection  # noqa: E402
from stagevale.api.registry_api import RegistryApi  # noqa: E402
from stagevale.balancing.chooser import Chooser  # noqa: E402
from stagevale.balancing.snapshot import empty_snapshot  # noqa: E402
from stagevale.balancing.target import Target  # noqa: E402
from stagevale.configuration.change_history import ChangeHistory  # noqa: E402
from stagevale.configuration.value import ConfigurationValue, read_configuration_value  # noqa: E402
from stagevale.discovery.instance import Instance, InstanceState  # noqa: E402
from stagevale.discovery.instance_table import InstanceTable  # noqa: E402
from stagevale.leases.lease import Lease  # noqa: E402
from stagevale.membership.member import MemberState  # noqa: E402
from stagevale.membership.membership import Membership  # noqa: E402
from stagevale.membership.overview import build_overview  # noqa: E402
from stagevale.placement.rule import next_placement  # noqa: E402
from stagevale.rpc import codec  # noqa: E402
from stagevale.rpc.kinds import MessageKind  # noqa: E402
from stagevale.settings.settings import read_settings  # noqa: E402

SETTINGS = """
[daemon]
name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
firstStart = true
[connections]
innerPorts = [7200, 7215]
seeds = [{seeds}]
[listen]
{listen}
[zones]
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
    """Memberships of as many proxies and core machines as asked for, spread evenly over zones and
    regions.
    """

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
        settings = read_settings(
            SETTINGS.format(
                name=f"{program}-{n}",
                ip=ip,
                zone=zone,
                region=region,
                listen=listen,
                zones=self.table,
                seeds=", ".join(f'"{seed}:8000"' for seed in self.seeds),
            )
        )
        context = SimContext(self.world, settings, f"{program}-{n}")
        address = f"{ip}:{7200 + offset}"
        membership = Membership(
            context, address, program, f"{ip}:9000" if program == "proxy" else ""
        )
        membership.set_placement_rule(
            lambda members, table, handoffs: next_placement(
                members, table, handoffs, settings.zones
            )
        )
        self.members[address] = membership
        membership.start()
        return membership

    def formed(self):
        alive = [m for m in self.members.values() if m.context.alive]
        return all(
            m.is_converged()
            and sum(1 for x in m.state.members.values() if x.state == MemberState.UP) == len(alive)
            for m in alive
        )

    def measure(self, ms):
        """(messages, bytes, seconds of processor) of all daemons together in a stretch of simulated
        time.
        """
        before, start_s = list(self.sent), time.process_time()
        self.world.run(ms)
        return self.sent[0] - before[0], self.sent[1] - before[1], time.process_time() - start_s

    def settle(self, limit_ms=60000):
        """Runs until all have converged: (done, ms, messages, bytes, seconds of processor)."""
        before, start_s, start_ms = list(self.sent), time.process_time(), self.world.env.now
        done = self.world.until(self.formed, limit_ms, 250)
        return (
            done,
            self.world.env.now - start_ms,
            self.sent[0] - before[0],
            self.sent[1] - before[1],
            time.process_time() - start_s,
        )

    def restart(self, n):
        """Kills a proxy and starts it again after 800 ms, as a new life that knows nothing."""
        self.world.kill(self.members[self.ip(1, n) + ":7200"].context)
        self.world.run(800)
        self.start("proxy", 1, n, 0)


def membership_row(proxies, core, zones=9, regions=3):
    """What one size of the fleet costs each daemon: at the start, calm, and at the restart of one
    proxy.
    """
    fleet = HollowFleet(proxies, core, zones, regions)
    daemons = len(fleet.members)
    formed, ms, messages, size, cpu = fleet.settle(90000)
    row = {
        "daemons": daemons,
        "formed": formed,
        "startMs": ms,
        "startMessages": messages / daemons,
        "startKb": size / daemons / 1000.0,
        "startCpuMs": cpu / daemons * 1000.0,
    }
    fleet.world.run(5000)
    messages, size, cpu = fleet.measure(10000)
    row.update(
        calmMessagesPerS=messages / daemons / 10.0,
        calmBytesPerS=size / daemons / 10.0,
        calmCpuMsPerS=cpu / daemons * 100.0,
    )
    one = fleet.members[fleet.ip(1, 1) + ":7200"]
    row.update(
        stateBytes=len(one.gossip.encoded_state()),
        overviewBytes=len(codec.encode([MessageKind.OVERVIEW, *build_overview(one.gossip)])),
    )
    fleet.sent[2] = 0
    fleet.restart(min(3, proxies - 1))
    done, ms, messages, size, cpu = fleet.settle(90000)
    row.update(
        restartDone=done,
        restartMs=ms,
        restartMessages=messages / daemons,
        restartKb=size / daemons / 1000.0,
        restartCpuMs=cpu / daemons * 1000.0,
        largestBytes=fleet.sent[2],
    )
    return row


def configuration_of(routes, tenants, services):
    """A configuration of this size, with names as long as the operators' ones."""
    return {
        "version": "r9",
        "parentVersion": "r8",
        "routes": [
            {
                "name": f"r-{n:07d}",
                "host": f"h{n // 4:06d}.example",
                "pathPrefix": f"/p{n:06d}/x/",
                "variant": "pure",
                "timeoutMs": 3000,
                "targetMs": 800,
                "priority": 1,
                "maxAttempts": 2,
                "homeRegions": [],
                "service": f"service-{n % services:05d}",
            }
            for n in range(routes)
        ],
        "services": [
            {
                "name": f"service-{n:05d}",
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "coldPerS": 4.1,
            }
            for n in range(services)
        ],
        "limits": {
            "headerMaxBytes": 16384,
            "bodyMaxBytes": 67108864,
            "headerReadMs": 3000,
            "idleMs": 15000,
        },
        **(
            {
                "tenants": [
                    {"name": f"t{n:06d}", "apiKeys": [f"key-{n:024x}"]} for n in range(tenants)
                ]
            }
            if tenants
            else {}
        ),
    }


def timed(work):
    start_s = time.process_time()
    result = work()
    return result, (time.process_time() - start_s) * 1000.0


def configuration_row(routes, tenants, services):
    """What a proxy pays for each new version of the configuration, and what it holds."""
    text = json.dumps(configuration_of(routes, tenants, services), separators=(",", ":"))
    value, pack_ms = timed(lambda: ConfigurationValue(9, 9, text, (), ()))
    read, unpack_ms = timed(lambda: read_configuration_value(value.encoded))
    tracemalloc.start()
    snapshot, table_ms = timed(lambda: empty_snapshot().with_value(read))
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    _, table_ms = timed(lambda: empty_snapshot().with_value(read))
    return {
        "routes": routes,
        "tenants": tenants,
        "services": services,
        "textBytes": len(text),
        "packedBytes": len(value.encoded),
        "packMs": pack_ms,
        "unpackMs": unpack_ms,
        "tableMs": table_ms,
        "heldMb": held / 1e6,
        "peakMb": peak / 1e6,
        "hosts": len(snapshot.hosts),
    }


def change_row(routes, tenants, services):
    """What one change of one route costs a store: sent and written as a change, or whole."""
    table = configuration_of(routes, tenants, services)
    text = json.dumps(table, separators=(",", ":"))
    before = ConfigurationValue(9, 9, text, (), (), ChangeHistory().with_change("9", "f" * 24))
    table["version"], table["routes"][routes // 2]["timeoutMs"] = "r10", 2500
    text = json.dumps(table, separators=(",", ":"))
    answered = before.answered.with_change("10", "e" * 24)
    after = before.changed(version=10, config=text, answered=answered)
    marks, mark_ms = timed(lambda: (before.digest, after.digest))
    delta, delta_ms = timed(lambda: after.delta_from(before))
    applied, apply_ms = timed(lambda: before.with_delta(delta))
    whole, whole_ms = timed(lambda: len(after.encoded))
    assert applied.digest == marks[1]
    return {
        "routes": routes,
        "tenants": tenants,
        "deltaBytes": len(delta),
        "wholeBytes": whole,
        "markMs": mark_ms,
        "deltaMs": delta_ms,
        "applyMs": apply_ms,
        "wholeMs": whole_ms,
    }


def endpoints_row(endpoints, services, zones=9):
    """What a registry holds of endpoints, and what a proxy is told when it starts."""

    def fill():
        lives = InstanceTable()
        for n in range(endpoints):
            lives.merge(
                Instance(
                    f"i-{n:08x}",
                    f"service-{n % services:05d}",
                    f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080",
                    f"z{n % zones}",
                    4,
                    InstanceState.READY,
                    5,
                    0,
                    0,
                    0,
                    1000.0,
                    "v1",
                ),
                1000.0,
            )
        return lives

    tracemalloc.start()
    lives, _ = timed(fill)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    beats = [
        Instance(
            life.id,
            life.service,
            life.address,
            life.zone,
            4,
            InstanceState.READY,
            6,
            0,
            0,
            0,
            2500.0,
            "v1",
        )
        for life in list(lives.by_id.values())[:5000]
    ]
    _, beat_ms = timed(lambda: [lives.merge(life, 2500.0) for life in beats])
    _, mark_ms = timed(lives.checksum_of_all)
    rows = [life.to_row(2000.0) for life in lives.by_id.values()]
    packed, pack_ms = timed(lambda: codec.encode_rows(rows))
    _, unpack_ms = timed(lambda: codec.decode_rows(packed))
    return {
        "endpoints": endpoints,
        "services": services,
        "heldMb": held / 1e6,
        "welcomeBytes": len(packed),
        "welcomePackMs": pack_ms,
        "welcomeReadMs": unpack_ms,
        "mergeUs": beat_ms / len(beats) * 1000.0,
        "markMs": mark_ms,
    }


class Sink:
    """A transport that counts what is written to it."""

    def __init__(self):
        self.size = 0

    def write(self, data):
        self.size += len(data)

    def is_closing(self):
        return False

    def close(self):
        pass


def beats_row(beats):
    """What a registry pays for one heartbeat, from its bytes to the answer's, and a proxy for each
    endpoint that it holds.
    """
    settings = read_settings(
        SETTINGS.format(
            name="r",
            ip="10.0.0.1",
            zone="z0",
            region="r0",
            seeds="",
            zones='z0 = "r0"',
            listen='control = "10.0.0.1:8000"',
        )
    )
    context, lives = SimContext(World(1), settings, "r"), InstanceTable()

    class Receiver:
        """As much of a registry as a heartbeat meets: it merges and answers."""

        @staticmethod
        def heartbeat(instance, answer):
            lives.merge(instance, 0.0)
            answer(200, {})

    class Service:
        """A registry that receives heartbeats only."""

        heartbeats = Receiver

    Service.context = context
    connection = HttpConnection(context, RegistryApi(Service, 4.0).router.dispatch)
    connection.connection_made(Sink())

    def send():
        for n in range(beats):
            body = json.dumps(
                {
                    "address": "10.9.0.1:8080",
                    "details": {"service": "s", "version": "v1", "zone": "z0", "slots": 4},
                    "status": {"state": "ready", "callSeq": n + 1, "coldLeftMs": 0},
                }
            ).encode()
            connection.data_received(
                b"POST /v1/instances/i-7f3a91c2/heartbeat HTTP/1.1\r\nHost: r\r\nContent-Length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )

    _, ms = timed(send)
    tracemalloc.start()
    held = [
        Target(f"i-{n:08x}", "s", f"10.9.{n >> 8}.{n & 255}:80", "z0", "r0", 4, "v1")
        for n in range(2000)
    ]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"beats": beats, "beatUs": ms / beats * 1000.0, "targetBytes": size / len(held)}


class Choice:
    """As much of a request as a choice looks at."""

    __slots__ = ("route", "service", "start_ms", "tried", "homes", "preferred_id", "expected_ms")

    def __init__(self, route, service):
        self.route, self.service = route, service
        self.start_ms, self.tried, self.homes, self.preferred_id, self.expected_ms = (
            0.0,
            (),
            (),
            None,
            None,
        )


def choice_row(each):
    """What one choice costs where a service has so many endpoints."""
    world = World(1)
    settings = read_settings(
        SETTINGS.format(
            name="p",
            ip="10.1.0.1",
            zone="z0",
            region="r0",
            seeds="",
            zones='z0 = "r0"',
            listen='front = "10.1.0.1:9000"',
        )
    )
    chooser = Chooser(SimContext(world, settings, "p"), "10.1.0.1:7200", Lease(settings.bounds))
    snapshot = empty_snapshot().with_value(
        ConfigurationValue(1, 1, json.dumps(configuration_of(1, 0, 1)), (), ())
    )
    luck = random.Random(1)
    targets = tuple(
        Target(f"i-{n}", "service-00000", f"10.9.0.{n}:80", f"z{n % 3}", f"r{n % 3}", 4)
        for n in range(each)
    )
    for target in targets:
        target.speed = luck.uniform(0.5, 2.0)
    snapshot = snapshot.with_targets({"service-00000": targets})
    request = Choice(next(iter(snapshot.hosts.values()))[0][1], "service-00000")
    _, ms = timed(lambda: [chooser.choose(request, snapshot, 1.0) for _ in range(300)])
    return {"endpointsOfOneService": each, "chooseUs": ms / 300 * 1000.0}


def slope(rows, of, by):
    """The straight line through the rows by least squares: (at zero, for each one more)."""
    xs, ys = [row[by] for row in rows], [row[of] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs) or 1.0
    rise = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=False)) / spread
    return mean_y - rise * mean_x, rise


PARTS = {
    "membership": lambda sizes: [
        membership_row(n, max(3, n // 10)) for n in sizes or (30, 60, 120, 240)
    ],
    "configuration": lambda sizes: [
        configuration_row(n, n * 17 // 3, max(1, n * 8 // 75))
        for n in sizes or (3000, 10000, 30000)
    ],
    "changes": lambda sizes: [
        change_row(n, n * 17 // 3, max(1, n * 8 // 75)) for n in sizes or (3000, 10000, 30000)
    ],
    "endpoints": lambda sizes: [
        endpoints_row(n, max(1, n // 22)) for n in sizes or (7000, 23000, 70000)
    ],
    "beats": lambda sizes: [beats_row(n) for n in sizes or (500, 2000)],
    "choice": lambda sizes: [choice_row(n) for n in sizes or (22, 60, 180)],
}


def main(words):
    if not words or words[0] not in PARTS or not all(word.isdigit() for word in words[1:]):
        sys.stderr.write(f"capacity: want a part ({', '.join(PARTS)}) and, if you like, sizes\n")
        return 2
    for row in PARTS[words[0]]([int(word) for word in words[1:]]):
        print(
            json.dumps(
                {
                    name: round(value, 2) if isinstance(value, float) else value
                    for name, value in row.items()
                }
            ),
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""The rehearsal of a region's loss, and the loss itself on a simulated fleet: traffic must move the
same way.
"""

import json

import pytest
from support.endpoints import Client, Endpoint, good, request, route, send_heartbeat, status_of
from support.fleet import ZONES, Fleet
from support.network import SimTransport

from stagevale.failover_simulation.errors import SimulationError
from stagevale.failover_simulation.plan import Plan, flows_without
from stagevale.failover_simulation.report import make_report
from stagevale.failover_simulation.simulation import simulate
from stagevale.settings.settings import Bounds

ROUTES = [
    route("pure", "/p/"),
    route("effectful", "/e/"),
    route("pure", "/h/", homeRegions=["a", "b"]),
]
CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": ROUTES,
    "services": [{"name": "s", "maxConns": 60, "warmupS": 3, "coldPerS": 6}],
}


class Town:
    """A fleet with endpoints that beat and clients that come at a steady rate from every zone."""

    def __init__(self, seed):
        self.fleet = Fleet(seed, proxies=6)
        self.world = self.fleet.world
        assert self.world.until(
            lambda: len(self.fleet.leaders()) == 1 and self.fleet.formed(18), 25000
        )
        assert self.fleet.insist([0], "replace", json.dumps(CONFIG))[0] == 200
        self.ran, self.clients, self.sent, self.dead = [], [], 0, set()
        self.endpoints = [
            Endpoint(self.world, number + 1, self.rule, ZONES[number % 6]) for number in range(12)
        ]
        self.seq = 0
        self.beat()
        assert self.world.until(
            lambda: all(
                proxy.is_ready() and len(proxy.targets.by_id) == 12
                for proxy in self.fleet.proxies.values()
            ),
            8000,
        )
        self.world.run(3000)
        self.come()

    def rule(self, endpoint, fields, body):
        head = endpoint.heads[-1]
        self.ran.append(
            (
                self.world.env.now,
                endpoint.zone[0],
                head.split()[1][1],
                fields[b"attempt-id"].decode(),
            )
        )
        return good(endpoint, fields, body), 60 + self.world.random.random() * 80

    def beat(self):
        self.seq += 1
        for endpoint in self.endpoints:
            if endpoint.zone[0] in self.dead:
                continue
            number = next(
                n
                for n, registry in self.fleet.registries.items()
                if registry.context.alive and ZONES[n][0] not in self.dead
            )
            beat = {
                "address": f"{endpoint.ip}:80",
                "details": {"service": "s", "zone": endpoint.zone, "slots": 3},
                "status": {"state": "ready", "callSeq": self.seq, "coldLeftMs": 0},
            }
            send_heartbeat(
                self.fleet.registries[number].service,
                endpoint.id,
                beat,
                lambda _status, _body: None,
            )
        self.world.later(1500, self.beat)

    def come(self):
        self.sent += 1
        zone = ZONES[self.sent % 6]
        kind, method = ("p", "GET") if self.sent % 5 else ("h", "GET")
        if self.sent % 3 == 0:
            kind, method = "e", "POST"
        service = next(
            registry.service
            for number, registry in self.fleet.registries.items()
            if registry.context.alive and ZONES[number][0] not in self.dead
        )
        fronts = [
            tuple(front.split(":")) for front in service.proxies.resolve(zone, zone[0]).fronts
        ]
        if fronts:
            ip, port = fronts[self.sent % len(fronts)]
            found = self.world.listeners.get((ip, int(port)))
            if found:
                self.open(
                    ip,
                    found,
                    request(
                        f"/{kind}/x", str(self.sent), method, b"b" if method == "POST" else b""
                    ),
                )
        self.world.later(20, self.come)

    def open(self, ip, found, data):
        client = Client(self.world)
        far = SimTransport(self.world, ip, "10.7.0.1", found[1](), 1000, found[0])
        near = SimTransport(
            self.world, "10.7.0.1", ip, client, 1000, type("Sender", (), {"alive": True})()
        )
        far.other, near.other = near, far
        self.world.transports.append(far)
        self.clients.append((self.world.env.now, data.split(b" ")[0], client))
        far.protocol.connection_made(far)
        client.connection_made(near)
        near.write(data)

    def stands(self):
        return [status_of(registry) for registry in self.fleet.registries.values()]

    def lose(self, region):
        self.dead.add(region)
        for number, zone in enumerate(ZONES):
            if zone[0] == region:
                self.fleet.kill_core(number)
                self.world.kill(self.fleet.proxies[number].context)
        for endpoint in self.endpoints:
            if endpoint.zone[0] == region:
                self.world.listeners.pop((endpoint.ip, 80), None)
                for transport in endpoint.connections:
                    transport.abort()

    def shares(self, path, since_ms):
        counts = {}
        for at_ms, region, what, _ in self.ran:
            if what == path and at_ms >= since_ms:
                counts[region] = counts.get(region, 0) + 1
        total = max(1, sum(counts.values()))
        return {region: count / total for region, count in counts.items()}


def test_the_real_loss_moves_traffic_as_rehearsed_and_runs_nothing_twice():
    town = Town(21)
    town.world.run(12000)
    arrivals = len(town.ran)
    plan = Plan(town.stands(), CONFIG, Bounds({}))
    table = {row["route"]: row for row in make_report(plan, "a", 15, 1)["routes"]}
    assert len(town.ran) == arrivals, "the rehearsal must not touch real traffic"
    assert {row["kind"] for row in table.values()} == {"repeatable", "at most once"}
    town.lose("a")
    lost_ms = town.world.env.now
    town.world.run(14000)
    for path, name in (("p", "r-pure/p/"), ("e", "r-effectful/e/"), ("h", "r-pure/h/")):
        real, rehearsed = town.shares(path, lost_ms + 4000), table[name]["lost"]["regions"]
        assert set(rehearsed) <= {"b", "c"}
        for region in ("b", "c"):
            assert abs(real.get(region, 0) - rehearsed.get(region, 0)) < 0.15, (
                name,
                real,
                rehearsed,
            )
    assert town.shares("h", lost_ms + 4000) == {"b": 1.0}
    effectful = [id for _, _, what, id in town.ran if what == "e"]
    assert len(effectful) == len(set(effectful))
    late = [
        client
        for at_ms, _, client in town.clients
        if lost_ms + 4000 < at_ms < town.world.env.now - 2000
    ]
    served = sum(client.statuses() == ["200"] for client in late)
    assert served > 0.97 * len(late), (served, len(late))
    assert all(
        row["lost"]["mostRunsOfAJob"] == 1
        for row in table.values()
        if row["kind"] == "at most once"
    )


def stand(**more):
    return {
        "zones": {"a1": "a", "b1": "b"},
        "evacuated": [],
        "endpoints": [
            {
                "id": f"i-{n}",
                "service": "s",
                "address": f"10.9.0.{n}:80",
                "zone": zone,
                "slots": 3,
                "state": "ready",
                "healthy": True,
                "coldLeftMs": 0,
            }
            for n, zone in enumerate(("a1", "b1"))
        ],
        "proxies": [
            {
                "address": f"10.0.1.{n}:7200",
                "front": f"10.0.1.{n}:9000",
                "zone": zone,
                "region": zone[0],
                "ready": True,
                "report": [
                    4000,
                    [
                        ["r-pure/p/", "s", True, 100, 500, {zone: 80}],
                        ["r-effectful/e/", "s", False, 100, 500, {zone: 40}],
                    ],
                    [],
                    [["a", 60.0], ["b", 60.0]],
                ],
            }
            for n, zone in enumerate(("a1", "b1"))
        ],
        **more,
    }


def test_lost_fronts_clients_go_where_the_directory_would_send_them():
    plan = Plan([stand()], CONFIG, Bounds({}))
    moved = flows_without(plan, "a")
    assert list(moved) == ["10.0.1.1:7200"]
    assert sum(flow.per_s for flow in moved["10.0.1.1:7200"]) == pytest.approx(60.0)
    calm = simulate(plan, "", 10, 3)
    assert calm["r-pure/p/"].zones.keys() == {"a1", "b1"}
    assert calm["r-pure/p/"].in_time > 100
    assert simulate(plan, "a", 10, 3)["r-pure/p/"].zones.keys() == {"b1"}


def test_too_little_left_is_shown_as_refused_or_late():
    busy = stand()
    for row in busy["proxies"]:
        row["report"][1][0][5] = {row["zone"]: 200}
    plan = Plan([busy], CONFIG, Bounds({}))
    lost = make_report(plan, "a", 10, 1)
    row = next(row for row in lost["routes"] if row["route"] == "r-pure/p/")
    assert row["lost"]["inAim"] < row["calm"]["inAim"]
    assert row["lost"]["refused"] + row["lost"]["late"] > 0.2


def test_the_same_seed_gives_the_same_table():
    plan = Plan([stand()], CONFIG, Bounds({}))
    assert make_report(plan, "b", 5, 7) == make_report(plan, "b", 5, 7)
    assert make_report(plan, "b", 5, 7) != make_report(plan, "b", 5, 8)


def test_nothing_to_rehearse_is_said():
    with pytest.raises(SimulationError, match="no region x"):
        make_report(Plan([stand()], CONFIG, Bounds({})), "x", 5, 1)
    empty = stand()
    for row in empty["proxies"]:
        row["report"] = []
    with pytest.raises(SimulationError, match="reported"):
        Plan([empty], CONFIG, Bounds({}))
    alone = stand()
    alone["proxies"] = alone["proxies"][:1]
    with pytest.raises(SimulationError, match="no front is left"):
        make_report(Plan([alone], CONFIG, Bounds({})), "a", 5, 1)

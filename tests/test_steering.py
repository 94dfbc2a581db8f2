"""Steering: the share follows the region that answers fastest, without a herd; counted at the
endpoints' sockets.
"""

import json
import random

from support.endpoints import Endpoint, Scene, client_at, good, request, route, status_of
from support.fleet import Fleet

from stagevale.commands.app import app
from stagevale.diagnostics.api_client import ApiAnswer
from stagevale.diagnostics.system_check import status_findings
from stagevale.latency_routing.histogram import Histogram
from stagevale.latency_routing.router import MARGIN, LatencyQuery, LatencyRouter
from stagevale.settings.settings import Bounds

ON = "[steering]\non = true\n"


class Yard:
    """One edge in region a; endpoints in a and b, whose delay a test changes as it runs."""

    def __init__(self, seed=1, routes=None, each=3, gap_ms=40):
        self.scene = Scene(seed, routes, settings=ON)
        self.world = self.scene.world
        self.delay = {"a": 40, "b": 40}
        self.sent, self.number, self.gap_ms, self.runs = [], 0, gap_ms, []
        for zone in ("a1", "b1") * each:
            self.scene.endpoint(self.answer, zone)
        self.steering = self.scene.proxy.forwarder.chooser.latency_router
        self.shares = []
        self.flow()

    def answer(self, endpoint, fields, body):
        region = endpoint.zone[0]
        self.runs.append((self.world.env.now, region, fields[b"attempt-id"].decode()))
        if self.delay[region] is None:
            return None
        return good(endpoint, fields, body), self.delay[region]

    def flow(self):
        self.world.later(self.gap_ms, self.flow)
        self.shares.append(self.steering.shares.get("s", {}).get("b", 0.0))
        for path, method, body in (("/p/x", "GET", b""), ("/e/x", "POST", b"crate")):
            self.number += 1
            id = f"{path[1]}{self.number}"
            self.sent.append((id, self.scene.client(request(path, id, method, body))))

    def share(self, since_ms, region="b"):
        runs = [run for run in self.runs if run[0] > since_ms]
        return sum(run[1] == region for run in runs) / max(1, len(runs))

    def check(self):
        ids = [run[2] for run in self.runs if run[2][0] == "e"]
        assert len(ids) == len(set(ids)), "a crate ran twice"

    def spans(self, ms):
        start_ms = self.world.env.now
        self.world.run(ms)
        return start_ms


def test_a_slowed_region_loses_its_share_and_gets_it_back():
    yard = Yard()
    yard.spans(4000)
    assert yard.share(1000) < 0.1
    yard.delay["a"] = 500
    yard.spans(10000)
    since_ms = yard.spans(3000)
    assert yard.share(since_ms) > 0.8
    yard.delay["a"] = 40
    yard.spans(25000)
    since_ms = yard.spans(4000)
    assert yard.share(since_ms) < 0.25
    yard.check()


def test_a_region_that_falls_silent_is_left_and_answers_are_not_lost():
    yard = Yard(seed=2)
    yard.spans(4000)
    yard.delay["a"] = None
    yard.spans(8000)
    since_ms = yard.spans(3000)
    assert yard.share(since_ms) > 0.8
    yard.check()
    late = [client for id, client in yard.sent[-200:-60] if client.statuses() == ["200"]]
    assert len(late) > 0.8 * 140


def test_regions_that_swap_again_and_again_do_not_make_the_share_swing():
    yard = Yard(seed=3)
    for _ in range(8):
        yard.delay = {"a": 45, "b": 40}
        yard.spans(1500)
        yard.delay = {"a": 40, "b": 45}
        yard.spans(1500)
    assert max(yard.shares) < 0.2, "a difference within the margin moves nothing"
    turns, way = 0, 0
    yard.delay["a"] = 450
    yard.spans(12000)
    shares = yard.shares[-280:]
    for before, after in zip(shares, shares[1:], strict=False):
        if abs(after - before) > 1e-6:
            turns += way * (after - before) < 0
            way = after - before
    assert turns <= 2
    yard.check()


def test_a_burst_on_the_fastest_region_spills_and_runs_nothing_twice():
    yard = Yard(seed=4, each=2)
    yard.delay["a"] = 400
    yard.spans(10000)
    yard.gap_ms = 12
    since_ms = yard.spans(4000)
    assert 0.2 < yard.share(since_ms) < 0.98
    yard.check()


def test_homes_bind_before_the_fastest_region():
    yard = Yard(
        seed=5,
        routes=[
            route("pure", "/p/", homeRegions=["a"]),
            route("effectful", "/e/", homeRegions=["a"]),
        ],
    )
    yard.delay["a"] = 300
    yard.spans(10000)
    assert yard.share(0) == 0.0


def test_what_is_expected_is_near_what_callers_got():
    yard = Yard(seed=6)
    yard.spans(8000)
    yard.delay["a"] = 300
    yard.spans(15000)
    rows = {row["region"]: row for row in yard.steering.rows(yard.world.env.now)}
    for row in rows.values():
        assert row["count"] > 20, row
        assert 0.4 < row["expectedMs"] / row["gotMs"] < 2.5, row
        assert row["medianMs"] <= row["p95Ms"]


def test_many_edges_that_see_the_same_do_not_go_at_once():
    shares = []
    for number in range(50):
        steering = LatencyRouter(Bounds({}), "a", random.Random(number), {"b": 30.0})
        for _ in range(20):
            steering.add_answer("s", "a", 100.0, 300.0, 100.0, 1000.0)
            steering.add_answer("s", "b", 100.0, 130.0, 130.0, 1000.0)
        steering.choose(LatencyQuery("s", 100.0, 400.0, 1.0, False, 50.0), {"a", "b"}, 1000.0)
        shares.append(steering.shares["s"].get("b", 0.0))
    assert 0.0 < sum(shares) / 50 < 0.15
    assert len({round(share, 3) for share in shares}) > 20
    assert MARGIN > 0.0


def test_evidence_that_grows_old_fades_to_neutral():
    steering = LatencyRouter(Bounds({}), "a", random.Random(1), {"b": 30.0})
    for _ in range(20):
        steering.add_answer("s", "a", 100.0, 500.0, 100.0, 0.0)
    assert steering.expected_ms("s", "a", 100.0, 0.0, 50.0) > 450.0
    assert steering.expected_ms("s", "a", 100.0, 40000.0, 50.0) == 100.0
    assert steering.expected_ms("s", "b", 100.0, 0.0, 50.0) == 130.0


def test_histograms_merge_like_one():
    one, other, both = Histogram(), Histogram(), Histogram()
    luck = random.Random(3)
    for _ in range(500):
        ms = luck.expovariate(0.01)
        (one if luck.random() < 0.5 else other).add(ms)
        both.add(ms)
    one.merge(other)
    assert one.rows() == both.rows()
    assert one.count() == 500
    assert 50.0 < one.quantile(0.5) < 110.0 < one.quantile(0.95) < 420.0


def test_operators_see_each_edge_and_doctor_finds_one_that_is_far_off(monkeypatch, capsys):
    fleet = Fleet(1, 2, "\n" + ON)
    world = fleet.world
    assert world.until(lambda: len(fleet.leaders()) == 1 and fleet.formed(14), 20000)
    config = {
        "version": "r1",
        "parentVersion": 0,
        "routes": [route("pure", "/p/")],
        "services": [{"name": "s", "maxConns": 50, "warmupS": 0, "coldPerS": 99}],
    }
    assert fleet.insist([0], "replace", json.dumps(config))[0] == 200
    endpoint = Endpoint(world, 1, lambda e, fields, body: good(e, fields, body))
    fleet.registries[0].service.heartbeats.heartbeat(
        endpoint.instance(), lambda _status, _body: None
    )
    assert world.until(lambda: all(proxy.targets.by_id for proxy in fleet.proxies.values()), 6000)
    for number in range(120):
        client_at(world, "10.0.1.1").transport.write(request("/p/x", f"x{number}"))
        world.run(50)
    world.run(6000)
    stands = [status_of(registry) for registry in fleet.registries.values()]
    rows = [row for stand in stands for proxy in stand["proxies"] for row in proxy["delays"]]
    assert rows
    assert rows[0]["service"] == "s"
    assert rows[0]["count"] > 20
    monkeypatch.setattr(
        "stagevale.diagnostics.api_client.call_api",
        lambda address, _path, *_rest: ApiAnswer(200, stands[int(address[-1])]),
    )
    controls = [word for number in range(6) for word in ("--control", f"127.0.0.1:800{number}")]
    assert app(["delays"] + controls) == 0
    assert "got" in capsys.readouterr().out
    assert app(["delays", "--json", "--region", "nowhere"] + controls) == 1
    assert json.loads(capsys.readouterr().out)["delays"] == []
    stand = next(stand for stand in stands if any(proxy["delays"] for proxy in stand["proxies"]))
    row = next(proxy for proxy in stand["proxies"] if proxy["delays"])["delays"][0]
    row.update(count=100, expectedMs=20.0, gotMs=500.0)
    assert any("callers got 500 ms" in finding.fault for finding in status_findings("here", stand))


def test_without_the_setting_nothing_is_kept():
    scene = Scene()
    assert scene.proxy.forwarder.chooser.latency_router is None

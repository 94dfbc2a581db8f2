"""Rollouts: the share rises step by step, and every node falls back together; counted at the
endpoints' sockets.
"""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.endpoints import Endpoint, Scene, api_call, client_at, good, request
from support.fleet import Fleet

from stagevale.configuration.commands import CommandKind
from stagevale.configuration.node import ConfigurationNode
from stagevale.configuration.value import ConfigurationValue, read_configuration_value
from stagevale.consensus.commands import CommandRequest
from stagevale.daemons.command_handlers import find_handler
from stagevale.discovery.instance import InstanceState
from stagevale.leases.lease import Lease
from stagevale.rollouts.judge import Judge
from stagevale.rollouts.outcomes import Outcomes
from stagevale.rollouts.rollout import Rollout, RolloutState, Side
from stagevale.settings.settings import Bounds

CONFIG = {
    "version": "r1",
    "parentVersion": 0,
    "routes": [
        {
            "name": "read",
            "host": "h.example",
            "pathPrefix": "/p/",
            "variant": "pure",
            "timeoutMs": 1500,
            "targetMs": 400,
            "service": "s",
            "maxAttempts": 3,
        },
        {
            "name": "crate",
            "host": "h.example",
            "pathPrefix": "/e/",
            "variant": "effectful",
            "timeoutMs": 1500,
            "targetMs": 400,
            "service": "s",
            "maxAttempts": 2,
        },
    ],
    "services": [{"name": "s", "maxConns": 50, "warmupS": 0, "coldPerS": 99}],
}
PLAN = {
    "version": "r1",
    "parentVersion": 0,
    "from": "v1",
    "to": "v2",
    "steps": [0.2, 0.6, 1.0],
    "failureShare": 0.1,
    "leastRequests": 20,
    "watchS": 2.0,
}


def plan(**more):
    return json.dumps({**PLAN, **more})


def rollout(**more):
    return Rollout(
        {
            "service": "s",
            "version": 1,
            "from": "v1",
            "to": "v2",
            "steps": [0.2, 0.6, 1.0],
            "failureShare": 0.1,
            "leastRequests": 20,
            "watchS": 2.0,
            "state": RolloutState.SHIFTING,
            "step": 0,
            **more,
        }
    )


def decide(value, kind, payload, zones):
    """The outcome of a command, by the handler that the stores use."""
    return find_handler(kind)(value, payload, zones)


def value(**more):
    return ConfigurationValue(1, 1, json.dumps(CONFIG), (), (), **more)


@pytest.mark.parametrize(
    "text, field",
    [
        ("{", "not JSON"),
        ("[]", ""),
        (plan(version="x"), "version"),
        (plan(to="v1"), "to"),
        (plan(to=7), "to"),
        (plan(steps=[]), "steps"),
        (plan(steps=[0.5, 0.2, 1.0]), "steps"),
        (plan(steps=[0.2, 0.5]), "steps"),
        (plan(steps=[0.2, 1.5]), "steps"),
        (plan(steps=[0, 1.0]), "steps"),
        (plan(failureShare=1.5), "failureShare"),
        (plan(failureShare="a"), "failureShare"),
        (plan(leastRequests=0), "leastRequests"),
        (plan(watchS=0), "watchS"),
        (plan(more=1), "more"),
        (json.dumps({"version": "r1"}), "from"),
    ],
)
def test_bad_rollouts_name_the_field(text, field):
    outcome = decide(value(), CommandKind.START_ROLLOUT, "s\n" + text, {})
    assert outcome.status == 400
    assert outcome.value is None
    assert field in outcome.text


def test_orders_go_like_those_of_configurations():
    first = decide(value(), CommandKind.START_ROLLOUT, "s\n" + plan(), {})
    assert first.status == 200
    held = first.value
    assert read_configuration_value(held.encoded).rollouts == held.rollouts
    assert decide(held, CommandKind.START_ROLLOUT, "s\n" + plan(), {}).value is None
    assert decide(held, CommandKind.START_ROLLOUT, "s\n" + plan(), {}).status == 200
    assert decide(held, CommandKind.START_ROLLOUT, "none\n" + plan(), {}).status == 404
    assert (
        decide(
            held, CommandKind.START_ROLLOUT, "s\n" + plan(version="r3", parentVersion="r2"), {}
        ).status
        == 412
    )
    assert (
        decide(
            held, CommandKind.START_ROLLOUT, "s\n" + plan(to="v3", parentVersion="r1"), {}
        ).status
        == 400
    )
    assert (
        decide(
            held, CommandKind.START_ROLLOUT, "s\n" + plan(version="r2", parentVersion="r1"), {}
        ).status
        == 409
    )
    assert decide(held, CommandKind.MOVE_ROLLOUT, "t\npause", {}).status == 404
    assert decide(held, CommandKind.MOVE_ROLLOUT, "s\nresume", {}).value is None
    paused = decide(held, CommandKind.MOVE_ROLLOUT, "s\npause", {}).value
    assert Rollout(json.loads(paused.rollouts["s"])).share == 0.2
    fallen = decide(paused, CommandKind.MOVE_ROLLOUT, "s\nrollback", {}).value
    assert Rollout(json.loads(fallen.rollouts["s"])).share == 0.0
    for order in ("pause", "resume", "promote"):
        assert decide(fallen, CommandKind.MOVE_ROLLOUT, "s\n" + order, {}).status == 409
    assert decide(fallen, CommandKind.MOVE_ROLLOUT, "s\nrollback", {}).status == 200
    assert decide(fallen, CommandKind.START_ROLLOUT, "s\n" + plan(), {}).value is None
    third = decide(
        fallen,
        CommandKind.START_ROLLOUT,
        "s\n" + plan(version="r2", parentVersion="r1", to="v3"),
        {},
    ).value
    later = Rollout(json.loads(third.rollouts["s"]))
    assert not later.allows(0, "v2")
    assert later.allows(0, "v1")
    assert later.allows(Side.NEW, "v3")
    ended = decide(fallen, CommandKind.MOVE_ROLLOUT, "s\nend", {}).value
    assert decide(ended, CommandKind.MOVE_ROLLOUT, "s\nrollback", {}).status == 404
    assert (
        decide(ended, CommandKind.START_ROLLOUT, "s\n" + plan(version="r1", to="v9"), {}).status
        == 412
    )


@given(st.lists(st.binary(min_size=1, max_size=20), min_size=1, max_size=50))
@settings(max_examples=100, deadline=None, database=None, derandomize=True)
def test_a_share_that_rises_only_adds_requests(keys):
    for key in keys:
        sides = [rollout(step=step).side_of(key) for step in range(3)]
        assert sides == sorted(sides)
        assert sides[2] == Side.NEW
        assert rollout(state=RolloutState.ROLLED_BACK).side_of(key) == 0


@pytest.mark.parametrize("state, new_tries", [(RolloutState.SHIFTING, 1), (RolloutState.DONE, 2)])
def test_a_lookup_that_the_new_version_fails_is_tried_again_at_the_stable_one_and_a_crate_is_not(
    state, new_tries
):
    """While it is on trial: a second try at the same failing version lost answers of routes with
    two attempts.
    """

    def fails(endpoint, fields, _body):
        endpoint.ran.append(fields[b"attempt-id"].decode())
        return (
            b"HTTP/1.1 500 X\r\nAttempt-Id: "
            + fields[b"attempt-id"]
            + b"\r\nServer-Seal: z\r\nContent-Length: 0\r\n\r\n"
        )

    scene = Scene(routes=CONFIG["routes"])
    endpoints = [
        Endpoint(scene.world, number, rule, software=software)
        for number, (rule, software) in enumerate([(good, "v1"), (fails, "v2"), (fails, "v2")], 1)
    ]
    for endpoint in endpoints:
        scene.update(endpoint.instance())
    scene.snapshot(scene.value.changed(rollouts={"s": rollout(steps=[1.0], state=state).to_json()}))
    scene.proxy.forwarder.lease.until_ms = 1e9
    scene.world.run(9000)
    clients = [
        scene.client(request(id="look")),
        scene.client(request("/e/x", id="crate", method="POST", body=b"c")),
    ]
    scene.world.run(1400)
    assert [client.statuses() for client in clients] == [["200"], ["500"]]
    assert [endpoint.ran.count("crate") for endpoint in endpoints].count(1) == 1
    assert "crate" not in endpoints[0].ran
    assert [
        sum(endpoint.ran.count("look") for endpoint in some)
        for some in (endpoints[:1], endpoints[1:])
    ] == [1, new_tries]


def told(address, zone, old, new, step=0, life=None):
    return [
        address,
        life or address,
        [["s", 1, step, zone, 0, *old], ["s", 1, step, zone, 1, *new]],
    ]


def judge_of(*rows, machines=0):
    judge = Judge(Bounds({}), {"machines": machines})
    judge.record(list(rows), 0.0)
    return judge


def test_a_step_waits_for_time_for_requests_and_for_every_proxy():
    judge = judge_of(told("p1", "a1", [90, 0, 0], [15, 0, 0]))
    assert judge.judge(rollout(), ["p1"], 0.0) is None
    assert judge.judge(rollout(), ["p1"], 2500.0) is None
    judge.record([told("p1", "a1", [90, 0, 0], [15, 0, 0])] * 5, 2500.0)
    assert judge.judge(rollout(), ["p1"], 2500.0) is None, "a repeat counts nothing twice"
    judge.record([told("p1", "a1", [90, 0, 0], [25, 0, 0])], 2600.0)
    assert judge.judge(rollout(), ["p1", "p2"], 2700.0) is None, "p2 is unheard"
    assert judge.judge(rollout(), ["p1"], 2700.0).step == 1
    assert judge.judge(rollout(state="paused"), ["p1"], 2700.0) is None
    judge.record([told("p1", "a1", [0, 0, 0], [40, 0, 0], 2)], 6000.0)
    assert judge.judge(rollout(step=2), ["p1"], 6000.0) is None
    judge.record([told("p1", "a1", [0, 0, 0], [40, 0, 0], 2)], 8500.0)
    assert judge.judge(rollout(step=2), ["p1"], 8500.0).state == RolloutState.DONE


def test_neither_few_requests_nor_one_zone_nor_a_bad_old_version_has_it_fall_back():
    few = judge_of(told("p1", "a1", [9, 0, 0], [9, 9, 0]))
    assert few.judge(rollout(), ["p1"], 1.0) is None
    zone = judge_of(
        told("p1", "a1", [50, 0, 0], [50, 40, 0]),
        told("p2", "b1", [50, 0, 0], [50, 0, 0]),
        told("p3", "c1", [50, 0, 0], [50, 1, 0]),
    )
    assert zone.judge(rollout(), ["p1"], 1.0) is None
    alike = judge_of(
        told("p1", "a1", [50, 20, 5], [50, 20, 6]), told("p2", "b1", [50, 20, 5], [50, 20, 6])
    )
    assert alike.judge(rollout(), ["p1"], 1.0) is None
    for failed, late in ((15, 0), (0, 15), (8, 8)):
        worse = judge_of(
            told("p1", "a1", [50, 0, 0], [50, failed, late]),
            told("p2", "b1", [50, 0, 0], [50, failed, late]),
        )
        fallen = worse.judge(rollout(), ["p1"], 1.0)
        assert fallen.state == RolloutState.ROLLED_BACK
        assert "step 1" in fallen.reason
    last = judge_of(
        told("p1", "a1", [50, 0, 0], [50, 0, 0]),
        told("p1", "a1", [0, 0, 0], [50, 20, 0], 2, "q"),
        told("p2", "b1", [0, 0, 0], [50, 20, 0], 2),
    )
    assert last.judge(rollout(step=2), ["p1"], 1.0).state == RolloutState.ROLLED_BACK


def test_outcomes_are_sums_of_this_life_for_the_rollouts_that_are_on():
    outcomes = Outcomes()
    for failed in (True, False, False):
        outcomes.count(rollout(), "v2", "a1", failed, True)
    outcomes.count(rollout(), "v1", "a1", False, False)
    outcomes.count(rollout(), "v0", "a1", True, False)
    assert sorted(outcomes.rows({"s": rollout()})) == [
        ["s", 1, 0, "a1", 0, 1, 0, 0],
        ["s", 1, 0, "a1", 1, 3, 1, 2],
    ]
    assert outcomes.rows({"s": rollout(version=2)}) == []
    assert outcomes.rows({}) == []


class Yard:
    """A formed fleet, three endpoints of each version, crates and look-ups flowing at every
    proxy.
    """

    def __init__(self, seed=1, proxies=3, mode="good"):
        self.fleet = Fleet(seed, proxies)
        self.world = self.fleet.world
        assert self.world.until(
            lambda: len(self.fleet.leaders()) == 1 and self.fleet.formed(12 + proxies), 20000
        )
        assert self.fleet.insist([0], "replace", json.dumps(CONFIG))[0] == 200
        self.arrivals, self.number, self.sent, self.mode, self.flowing = [], 0, [], mode, True
        for place, zone in enumerate(("a1", "b1", "c1") * 2):
            endpoint = Endpoint(
                self.world, place + 1, self.run, zone, "s", "v1" if place < 3 else "v2"
            )
            self.beat(place, endpoint, 1)
        assert self.world.until(
            lambda: all(len(p.targets.by_id) == 6 for p in self.fleet.proxies.values()), 6000
        )

    def beat(self, place, endpoint, seq):
        self.world.later(1500, self.beat, place, endpoint, seq + 1)
        alive = [registry for registry in self.fleet.registries.values() if registry.context.alive]
        if alive:
            alive[place % len(alive)].service.heartbeats.heartbeat(
                endpoint.instance(seq=seq), lambda _status, _body: None
            )

    def run(self, endpoint, fields, body):
        id = fields[b"attempt-id"].decode()
        self.arrivals.append((self.world.env.now, endpoint.software, id))
        if endpoint.software == "v2" and self.mode == "failing" and int(id[1:]) % 2:
            endpoint.ran.append(id)
            return (
                b"HTTP/1.1 500 Bad\r\nAttempt-Id: "
                + fields[b"attempt-id"]
                + b"\r\nContent-Length: 0\r\n\r\n"
            ), 20
        if endpoint.software == "v2" and self.mode == "crashing" and int(id[1:]) % 2:
            return b"RESET"
        return good(
            endpoint, fields, body
        ), 600 if endpoint.software == "v2" and self.mode == "slow" else 25

    def flow(self, every=50):
        if self.flowing:
            self.world.later(every, self.flow, every)
        for proxy in self.fleet.proxies:
            for path, method, body in (("/p/x", "GET", b""), ("/e/x", "POST", b"crate")):
                self.number += 1
                id = f"{'p' if path == '/p/x' else 'e'}{self.number}"
                client = client_at(self.world, f"10.0.1.{proxy + 1}")
                if client is not None:
                    client.transport.write(request(path, id, method, body))
                    self.sent.append((self.world.env.now, proxy, id, client))

    def rows(self):
        reply = self.fleet.insist(range(6), "readRollouts", "", 20000)
        return json.loads(reply[1])["rollouts"]

    def state(self):
        rows = [
            json.loads(keeper.acceptor.vote.accepted.rollouts["s"])
            for keeper in self.fleet.stores.values()
            if keeper.context.alive
            and keeper.acceptor.vote.accepted
            and "s" in keeper.acceptor.vote.accepted.rollouts
        ]
        return (
            max(rows, key=lambda row: row["state"] == RolloutState.ROLLED_BACK)["state"]
            if rows
            else None
        )

    def start(self, **more):
        return self.fleet.insist(range(6), "startRollout", "s\n" + plan(**more), 20000)

    def on_new(self, since_ms=0.0):
        return [entry for entry in self.arrivals if entry[0] > since_ms and entry[1] == "v2"]

    def check(self, struck=()):
        """No crate runs twice, each that was acknowledged ran once, every request has its
        answer.
        """
        runs = {}
        for _, _, id in self.arrivals:
            runs[id] = runs.get(id, 0) + 1
        for sent_ms, proxy, id, client in self.sent:
            if id[0] == "e":
                assert runs.get(id, 0) <= 1, f"{id} ran twice"
                if client.statuses() == ["200"]:
                    assert runs.get(id) == 1
                if client.statuses() == ["503"]:
                    assert id not in runs, f"{id} was refused and ran"
            if proxy not in struck and sent_ms < self.world.env.now - 2500:
                assert client.statuses(), f"{id} has no answer"


def test_a_good_version_takes_all_steps_and_no_answer_is_lost():
    yard = Yard(seed=2)
    assert yard.start()[0] == 200
    yard.world.run(1500)
    yard.flow()
    shares = []
    for _ in range(60):
        yard.world.run(500)
        row = yard.rows()[0]
        if not shares or shares[-1] != row["share"]:
            shares.append(row["share"])
        if row["state"] == RolloutState.DONE:
            break
    assert shares == [0.2, 0.6, 1.0]
    assert row["state"] == RolloutState.DONE
    since_ms = yard.world.env.now + 2500
    yard.world.run(4000)
    assert not [entry for entry in yard.arrivals if entry[0] > since_ms and entry[1] == "v1"]
    yard.flowing = False
    yard.world.run(3000)
    yard.check()
    assert sum(client.statuses() == ["200"] for *_, client in yard.sent) > 0.99 * len(yard.sent)


def nothing(_yard):
    return ()


def cut_proxy(yard):
    yard.world.cut(["10.0.1.1"], [f"10.0.0.{n}" for n in range(1, 7)])
    return ()


def freeze_proxy(yard):
    yard.world.freeze(yard.fleet.proxies[0].context, 3000)
    return (0,)


def kill_proxy(yard):
    yard.world.kill(yard.fleet.proxies[0].context)
    yard.world.later(600, yard.fleet.start_proxy, 0)
    return (0,)


def kill_owner(yard):
    yard.fleet.kill_core(yard.fleet.leaders()[0] - 1)
    return ()


def kill_zone(yard):
    yard.fleet.kill_core(1)
    yard.world.kill(yard.fleet.proxies[1].context)
    return (1,)


@pytest.mark.parametrize(
    "mode, strike",
    [
        ("failing", nothing),
        ("slow", nothing),
        ("crashing", nothing),
        ("failing", cut_proxy),
        ("failing", freeze_proxy),
        ("crashing", kill_proxy),
        ("failing", kill_owner),
        ("crashing", kill_zone),
    ],
)
def test_a_bad_version_falls_back_on_every_node_and_crates_run_once(mode, strike):
    yard = Yard(seed=3, mode=mode)
    assert yard.start(steps=[0.5, 1.0], watchS=30.0)[0] == 200
    yard.world.run(1500)
    yard.flow()
    yard.world.run(700)
    struck = strike(yard)
    assert yard.world.until(lambda: yard.state() == RolloutState.ROLLED_BACK, 20000, 50)
    for _ in range(60):
        row = yard.rows()[0]
        if row["shown"] == RolloutState.ROLLED_BACK:
            break
        assert row["shown"] == "falling back"
        yard.world.run(100)
    assert row["shown"] == RolloutState.ROLLED_BACK
    assert row["share"] == 0.0
    assert row["reason"]
    done_ms = yard.world.env.now
    yard.world.run(4000)
    yard.world.join()
    yard.world.run(3000)
    assert not yard.on_new(done_ms), "stragglers"
    assert yard.state() == RolloutState.ROLLED_BACK
    yard.flowing = False
    yard.world.run(3000)
    yard.check(struck)


@pytest.mark.parametrize("leased", [True, False])
def test_an_ordered_rollback_is_acknowledged_once_no_node_is_left(leased, monkeypatch):
    """A proxy that is cut off from the core keeps its snapshot; without the lease it goes on with
    the new version.
    """
    if not leased:
        monkeypatch.setattr(Lease, "is_held", lambda _self, _now_ms: True)
    yard = Yard(seed=4)
    assert yard.start(steps=[0.5, 1.0], watchS=60.0)[0] == 200
    yard.world.run(1500)
    yard.flow()
    yard.world.run(1500)
    assert yard.on_new(yard.world.env.now - 500)
    cut_proxy(yard)
    reply = yard.fleet.insist(range(6), "moveRollout", "s\nrollback", 30000)
    assert reply[0] == 200
    ack_ms = yard.world.env.now
    yard.world.run(3000)
    assert bool(yard.on_new(ack_ms + 1)) is not leased
    yard.flowing = False
    yard.world.run(3000)
    yard.check()


def test_calls_warnings_and_versions_that_no_endpoint_runs():
    yard = Yard(seed=5)
    registry = yard.fleet.registries[0]

    def call(method, *segments, body=b""):
        got = []
        api_call(
            registry,
            lambda status, answer: got.append((status, answer)),
            method,
            "rollouts",
            *segments,
            body=body,
        )
        yard.world.until(lambda: got, 20000, 10)
        return got[0][0], json.loads(got[0][1]) if isinstance(got[0][1], str) else got[0][1]

    assert call("GET")[1] == {"rollouts": []}
    assert call("GET", "s")[0] == 404
    status, answer = call("PUT", "s", body=plan(to="v7").encode())
    assert status == 400
    assert "v1, v2" in answer["error"]
    assert call("PUT", "s", body=b"\xff")[0] == 400
    assert call("PUT", "s", body=b" " * 70000)[0] == 413
    assert call("POST", "s")[0] == 405
    assert call("POST", "s", "jump")[0] == 404
    assert call("GET", "s", "pause")[0] == 405
    assert call("PUT", "s", body=plan(watchS=60.0).encode())[0] == 200
    assert yard.world.until(
        lambda: call("GET", "s")[1]["endpoints"].get("v1", {"endpoints": 0})["endpoints"] == 3, 8000
    )
    status, row = call("GET", "s")
    assert status == 200
    assert row["endpoints"]["v1"]["endpoints"] == 3
    assert row["warnings"] == []
    assert call("POST", "s", "pause")[1]["state"] == "paused"
    assert call("POST", "s", "resume")[1]["state"] == RolloutState.SHIFTING
    assert call("POST", "s", "promote")[1]["state"] == RolloutState.DONE
    for life in list(registry.service.instances.by_id.values()):
        if life.software == "v1":
            life.state = InstanceState.DRAINING
    assert "refused" in call("GET", "s")[1]["warnings"][0]
    assert call("DELETE", "s")[0] == 200
    assert call("GET", "s")[0] == 404


def test_unused_rollouts_cost_nothing():
    yard = Yard(seed=6)
    yard.world.run(3000)
    assert all(
        proxy.forwarder.lease.last_number == 0 and proxy.forwarder.outcomes is None
        for proxy in yard.fleet.proxies.values()
    )
    assert all(keeper.rollouts.judge is None for keeper in yard.fleet.stores.values())


def test_leases_asked_for_by_many_registries_share_one_confirmation(monkeypatch):
    """Asked one after the other, eighteen registries' questions took longer than a lease lasts."""
    yard = Yard(seed=7)
    owner = yard.fleet.stores[yard.fleet.leaders()[0] - 1]
    replies, asked, confirm = [], [], ConfigurationNode.confirm_leadership
    monkeypatch.setattr(
        ConfigurationNode,
        "confirm_leadership",
        lambda self, done: (asked.append(self), confirm(self, done)),
    )
    for _ in range(18):
        owner.commands.submit(CommandRequest("serial", "", True), replies.append)
    assert yard.world.until(lambda: len(replies) == 18, 5000, 10)
    assert len(asked) <= 3

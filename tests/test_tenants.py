"""Keys of tenants on the way of a request, and what a configuration may say of tenants."""

import json

import pytest
from support.endpoints import Scene, good, request, route, status_of
from support.fleet import Fleet

from stagevale.configuration.validation import check_configuration
from stagevale.discovery.instance import InstanceState

TENANTS = [
    {"name": "co-op", "apiKeys": ["key-one", "key-two"], "priority": 0},
    {"name": "trust", "apiKeys": ["key-three"], "homeRegions": ["a"]},
]


def bearing(key, more=b""):
    return b"Authorization: Bearer " + key + b"\r\n" + more


def scene(tenants=TENANTS, **more):
    scene = Scene(
        routes=[
            route("pure", "/p/"),
            route("effectful", "/e/"),
            route("pure", "/open/", public=True),
        ],
        more={"tenants": tenants},
        **more,
    )
    scene.seen = []

    def rule(endpoint, fields, body):
        scene.seen.append(fields)
        return good(endpoint, fields, body)

    scene.endpoint(rule)
    return scene


def test_key_is_withheld_and_tenant_is_set_whatever_the_client_sent():
    day = scene()
    client = day.client(request(more=bearing(b"key-two", b"Tenant: trust\r\nTENANT: co-op\r\n")))
    day.world.run(300)
    assert client.statuses() == ["200"]
    fields = day.seen[0]
    assert fields[b"tenant"] == b"co-op"
    assert b"authorization" not in fields
    assert not any(b"key-two" in value for value in fields.values())


def test_a_head_with_two_tenants_reaches_the_endpoint_with_one():
    day = scene()
    heads = []
    day.endpoints[0].rule = lambda endpoint, fields, body: (
        heads.append(fields) or good(endpoint, fields, body)
    )
    day.client(request("/open/x", more=b"Tenant: trust\r\n"))
    day.world.run(300)
    assert heads
    assert b"tenant" not in heads[0]


@pytest.mark.parametrize(
    "head",
    [
        b"",
        bearing(b"nobody"),
        bearing(b""),
        b"Authorization: Basic key-one\r\n",
        bearing(b"key-one") + bearing(b"key-two"),
        bearing(b"KEY-ONE"),
        b"Tenant: co-op\r\n",
    ],
)
def test_no_known_key_is_a_401_and_nothing_runs(head):
    day = scene()
    client = day.client(request(more=head) + request("/e/x", "2", "POST", b"crate", more=head))
    day.world.run(300)
    assert client.statuses() == ["401", "401"]
    assert not day.seen


def test_public_routes_need_no_key_and_still_withhold_one():
    day = scene()
    client = day.client(
        request("/open/x", "1")
        + request("/open/x", "2", more=bearing(b"key-three"))
        + request("/open/x", "3", more=bearing(b"nobody"))
    )
    day.world.run(400)
    assert client.statuses() == ["200"] * 3
    tenants = {fields[b"attempt-id"]: fields.get(b"tenant") for fields in day.seen}
    assert tenants == {b"1": None, b"2": b"trust", b"3": None}
    assert not any(b"authorization" in fields for fields in day.seen)


def test_without_tenants_credentials_go_along_as_they_came():
    day = scene(tenants=[])
    day.client(request(more=b"Authorization: Basic abc\r\n"))
    day.world.run(300)
    assert day.seen[0][b"authorization"] == b"Basic abc"


def test_key_revoked_on_an_open_connection_holds_for_pipelined_requests_too():
    day = scene()
    slow = day.endpoints[0]
    slow.rule = lambda endpoint, fields, body: (good(endpoint, fields, body), 600)
    client = day.client(
        request("/e/1", "1", "POST", b"a", more=bearing(b"key-one"))
        + request("/e/2", "2", "POST", b"b", more=bearing(b"key-one"))
    )
    day.world.run(200)
    assert slow.ran == ["1"]
    day.change(tenants=[{**TENANTS[0], "apiKeys": ["key-two"]}, TENANTS[1]])
    day.world.run(900)
    assert client.statuses() == ["200", "401"]
    assert slow.ran == ["1"]
    client.transport.write(
        request("/e/3", "3", "POST", b"c", more=bearing(b"key-one"))
        + request("/e/4", "4", "POST", b"d", more=bearing(b"key-two"))
    )
    day.world.run(900)
    assert client.statuses() == ["200", "401", "401", "200"]
    assert slow.ran == ["1", "4"]


def test_key_revoked_while_the_request_waits_for_an_endpoint():
    day = scene()
    day.update(day.endpoints[0].instance(state=InstanceState.DRAINING, seq=5))
    client = day.client(request(more=bearing(b"key-one")))
    day.world.run(30)
    day.change(tenants=[TENANTS[1]])
    day.endpoint()
    day.proxy.forwarder.offer_queued()
    day.world.run(300)
    assert client.statuses() == ["401"]
    assert not day.endpoints[1].ran


def test_homes_of_tenant_and_route_both_bind():
    day = scene()
    day.endpoints[0].rule = lambda endpoint, fields, body: good(endpoint, fields, body)
    far = day.endpoint(zone="b1")
    day.update(day.endpoints[0].instance(state=InstanceState.DRAINING, seq=5))
    client = day.client(
        request(id="1", more=bearing(b"key-three")) + request(id="2", more=bearing(b"key-one"))
    )
    day.world.run(600)
    assert client.statuses() == ["503", "200"]
    assert far.ran == ["2"]


def test_a_tenants_priority_goes_over_the_routes():
    day = scene(
        tenants=[
            {"name": "first", "apiKeys": ["one"], "priority": 0},
            {"name": "last", "apiKeys": ["two"]},
        ]
    )
    for number in range(12):
        day.client(request(id=f"w{number}", more=bearing(b"two")))
    day.endpoints[0].rule = lambda endpoint, fields, body: (good(endpoint, fields, body), 30)
    day.world.run(5)
    for number in range(4):
        day.client(request(id=f"l{number}", more=bearing(b"two")))
    day.client(request(id="f", more=bearing(b"one")))
    day.world.run(1500)
    ran = day.endpoints[0].ran
    assert "f" in ran
    assert ran.index("f") < min(
        [ran.index(i) for i in ("l0", "l1", "l2", "l3") if i in ran] or [99]
    )


def text(tenants):
    return json.dumps(
        {"version": "r2", "parentVersion": 0, "routes": [], "services": [], "tenants": tenants}
    )


@pytest.mark.parametrize(
    "tenants, where",
    [
        (
            [{"name": "x", "apiKeys": ["k"]}, {"name": "x", "apiKeys": ["l"]}],
            "tenants[1]: another tenant",
        ),
        (
            [{"name": "x", "apiKeys": ["secret"]}, {"name": "y", "apiKeys": ["secret"]}],
            "tenants[1]: apiKeys[0]",
        ),
        ([{"name": "x", "apiKeys": ["secret", "secret"]}], "tenants[0]: apiKeys[1]"),
        ([{"name": "x", "apiKeys": [""]}], "apiKeys"),
        ([{"name": "x", "apiKeys": "secret"}], "apiKeys"),
        ([{"name": "x", "apiKeys": [7]}], "apiKeys"),
        ([{"name": "", "apiKeys": []}], "name"),
        ([{"apiKeys": []}], "name"),
        ([{"name": "x", "homeRegions": ["nowhere"]}], "unknown region nowhere"),
        ("all", "tenants"),
        ([{"name": "x", "priority": "high"}], "priority"),
        ([{"name": "x\r\nA: b"}], "can't stand in a header"),
        ([{"name": "x", "apiKeys": ["secret "]}], "can't stand in a header"),
    ],
)
def test_invalid_tenants_are_a_400_that_names_the_place_and_no_key(tenants, where):
    checked = check_configuration(text(tenants), {"a", "b"})
    assert checked.is_error()
    assert checked.error.status == 400
    assert where in checked.error.reason
    assert "secret" not in checked.error.reason


def test_the_store_refuses_tenants_with_an_unknown_home():
    fleet = Fleet(1)
    assert fleet.world.until(lambda: fleet.leaders(), 20000)
    assert fleet.insist([0], "replace", text([{"name": "x", "homeRegions": ["zz"]}]))[0] == 400
    assert (
        fleet.insist([0], "replace", text([{"name": "x", "apiKeys": ["k"], "homeRegions": ["a"]}]))[
            0
        ]
        == 200
    )


def test_keys_appear_in_no_log_and_on_no_page():
    fleet = Fleet(2, 1)
    assert fleet.world.until(lambda: fleet.leaders() and fleet.formed(13), 20000)
    assert fleet.insist([0], "replace", text([{"name": "x", "apiKeys": ["hidden-key"]}]))[0] == 200
    assert (
        fleet.insist(
            [0], "replace", text([{"name": "x", "apiKeys": ["hidden-key", "hidden-key"]}])
        )[0]
        == 400
    )
    fleet.world.run(3000)
    assert not any("hidden-key" in line for line in fleet.world.lines)
    assert all(
        "hidden-key" not in json.dumps(status_of(registry))
        for registry in fleet.registries.values()
    )


def test_began_requests_are_counted_once_and_not_those_that_did_not_run():
    day = Scene(
        routes=[route("pure", "/p/", maxAttempts=3)],
        more={"tenants": TENANTS},
        settings='[platform]\naddress = "10.8.0.1:80"\nduties = ["usage_report"]\n',
    )
    counts = day.proxy.forwarder.usage
    counts.set_agreed_time(1.7e12, day.world.env.now)
    day.world.run(9000)
    turned = []

    def rule(endpoint, fields, body):
        if fields[b"attempt-id"] == b"never" or not turned:
            turned.append(1)
            return b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        return good(endpoint, fields, body)

    day.endpoint(rule)
    day.endpoint(rule)
    client = day.client(request(id="1", more=bearing(b"key-one")))
    day.world.run(600)
    client.transport.write(
        request(id="2", more=bearing(b"key-two"))
        + request(id="3", more=bearing(b"key-three"))
        + request(id="never", more=bearing(b"key-three"))
    )
    day.world.run(1500)
    assert client.statuses()[:3] == ["200", "200", "200"]
    total = {}
    for _, text in counts.rows(everything=True):
        for tenant, number in json.loads(text).items():
            total[tenant] = total.get(tenant, 0) + number
    assert total == {"co-op": 2, "trust": 1}

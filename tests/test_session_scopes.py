"""A session and its keys belong to a tenant and a host, whatever routes a version has."""

import json

import pytest
from support.disk import MemoryLog
from support.session_fleet import SessionFleet, route

from stagevale.sessions.proxy_sessions import ProxySessions
from stagevale.sessions.records import AttemptId, KeyRecord, KeyState, LeaseVersion, SessionRecord
from stagevale.sessions.session_id import SEPARATOR, SessionId, read_session_id
from stagevale.sessions.stored_rows import GROUP_ROW

TENANTS = [
    {"name": "hill", "apiKeys": ["key-of-hill"]},
    {"name": "coast", "apiKeys": ["key-of-coast"]},
]
ROUTES = [
    route("/e/", "effectful"),
    route("/p/", "pure"),
    route("/e/", "effectful", host="other.example", name="other", service="s"),
    route("/home/", "effectful", homeRegions=["a", "b"]),
]


def bearing(tenant):
    return f"Authorization: Bearer key-of-{tenant}\r\n".encode()


def crossing(seed, tenants=()):
    """A fleet with two hosts, and tenants where they are given."""
    day = SessionFleet(seed=seed)
    config = {
        "version": "r2",
        "parentVersion": "r1",
        "routes": ROUTES,
        "services": [{"name": "s", "maxConns": 90, "warmupS": 0, "coldPerS": 999}],
    }
    if tenants:
        config["tenants"] = tenants
    assert day.fleet.insist([0], "replace", json.dumps(config))[0] == 200
    assert day.world.until(
        lambda: all(
            proxy.forwarder.snapshot.route("other.example", "/e/x") is not None
            for proxy in day.fleet.proxies.values()
        ),
        5000,
    )
    return day


def body_of(client):
    return client.got.rpartition(b"\r\n\r\n")[2]


def test_two_tenants_with_one_session_and_key_each_get_their_own_answer():
    """Guards against a tenant that gets another's answer, while its own request never runs."""
    day = crossing(41, TENANTS)
    seen = {}
    for proxy, tenant in ((0, "hill"), (1, "coast"), (0, "coast"), (1, "hill")):
        client = day.send(proxy, "crate-1", session="buyer-1", more=bearing(tenant))
        assert day.answer(client) == "200"
        seen.setdefault(tenant, set()).add(body_of(client))
    assert day.ran("crate-1") == 2
    assert seen == {"hill": {b"run 1"}, "coast": {b"run 2"}}


def test_two_tenants_may_send_different_bodies_under_one_key():
    """Guards against a 422 for another tenant's body."""
    day = crossing(42, TENANTS)
    for tenant, body in (("hill", b"kg=18"), ("coast", b"kg=20")):
        client = day.send(0, "crate-1", session="b", body=body, more=bearing(tenant))
        assert day.answer(client) == "200"
    assert day.ran("crate-1") == 2


def test_two_tenants_at_one_proxy_at_once_do_not_wait_for_each_other():
    """Guards against the live request of one tenant that another's is joined to."""
    day = crossing(43, TENANTS)
    clients = [
        day.send(0, "k", session="b", more=bearing(tenant)) for tenant in ("hill", "coast", "hill")
    ]
    assert [day.answer(client) for client in clients] == ["200"] * 3
    assert day.ran("k") == 2
    assert body_of(clients[0]) == body_of(clients[2]) != body_of(clients[1])


@pytest.mark.parametrize(
    "path, host",
    [("/e/x", "other.example"), ("/home/x", "h.example")],
    ids=["another host", "another route"],
)
def test_one_session_and_key_at_another_place_is_another_request(path, host):
    """Guards against two hosts or routes that mix where there are no tenants."""
    day = crossing(44)
    first = day.send(0, "k", session="b", path="/e/x")
    assert day.answer(first) == "200"
    other = day.send(1, "k", session="b", path=path, host=host)
    assert day.answer(other) == "200"
    assert body_of(other) != body_of(first)


def test_without_tenants_a_repeat_at_any_site_still_gets_the_noted_answer():
    day = crossing(45)
    first = day.send(0, "k1", session="b")
    assert day.answer(first) == "200"
    again = day.send(3, "k1", session="b")
    assert day.answer(again) == "200"
    assert day.ran("k1") == 1
    assert body_of(first) == body_of(again)


def test_an_endpoint_that_one_tenants_session_keeps_to_says_nothing_of_anothers():
    """Guards against a read of one tenant that is drawn to the endpoint of another's session."""
    day = crossing(46, TENANTS)
    assert day.answer(day.send(0, "k", session="b", more=bearing("hill"))) == "200"
    sessions = day.fleet.proxies[0].forwarder.sessions
    hill = SessionId("b", "hill", "h.example").encode()
    coast = SessionId("b", "coast", "h.example").encode()
    assert sessions.affinity.endpoint_of(hill, "s") is not None
    assert sessions.affinity.endpoint_of(coast, "s") is None


def test_sessions_of_one_name_are_shown_apart():
    day = crossing(47, TENANTS)
    for tenant in ("hill", "coast"):
        assert day.answer(day.send(0, "k", session="b", more=bearing(tenant))) == "200"
    shown = []
    day.fleet.registries[2].api.sessions.show("b", lambda *answer: shown.append(answer))
    assert day.world.until(lambda: shown, 3000)
    status, body = shown[0]
    assert status == 200
    assert [(row["tenant"], row["host"]) for row in body["records"]] == [
        ("coast", "h.example"),
        ("hill", "h.example"),
    ]


# versions that change routes


def put_in_force(day, routes, number):
    """Replaces the configuration's routes, and waits until all proxies have them."""
    config = {
        "version": f"r{number}",
        "parentVersion": f"r{number - 1}",
        "routes": routes,
        "services": [{"name": "s", "maxConns": 90, "warmupS": 0, "coldPerS": 999}],
    }
    assert day.fleet.insist([0], "replace", json.dumps(config))[0] == 200
    serial = max(
        registry.service.configuration.serial for registry in day.fleet.registries.values()
    )
    assert day.world.until(
        lambda: all(
            proxy.forwarder.snapshot.serial >= serial for proxy in day.fleet.proxies.values()
        ),
        5000,
    )


SPLIT = [*ROUTES, route("/e/hill/", "effectful")]
RENAMED = [route("/e/", "effectful", name="weigh-in"), *ROUTES[1:]]
SLOWER = [route("/e/", "effectful", timeoutMs=2500), *ROUTES[1:]]


@pytest.mark.parametrize("routes", [SPLIT, RENAMED, SLOWER], ids=["split", "renamed", "slower"])
def test_a_key_stands_for_its_request_whatever_a_version_does_to_its_route(routes):
    """Guards against a repeat that runs again, since its route has another name (review/7)."""
    day = crossing(50)
    first = day.send(0, "k", session="b", path="/e/hill/1")
    assert day.answer(first) == "200"
    put_in_force(day, routes, 3)
    again = day.send(3, "k", session="b", path="/e/hill/1")
    assert day.answer(again) == "200"
    assert day.ran("k") == 1
    assert body_of(again) == body_of(first)
    # Under the former routes it is the same request, too.
    put_in_force(day, ROUTES, 4)
    assert day.answer(day.send(1, "k", session="b", path="/e/hill/1")) == "200"
    assert day.ran("k") == 1


MOVED = [*ROUTES[:3], route("/home/", "effectful", homeRegions=["a", "c"])]


def test_a_key_stands_for_its_request_when_its_routes_homes_change():
    """Guards against a repeat that runs again, since its route's records are kept elsewhere."""
    day = crossing(54)
    assert day.answer(day.send(0, "k", session="b", path="/home/x")) == "200"
    put_in_force(day, MOVED, 3)
    day.world.run(5000)
    day.answer(day.send(2, "k", session="b", path="/home/x"))
    assert day.ran("k") == 1


def test_a_key_on_two_routes_of_a_host_runs_once():
    """Guards against a tenant's key that runs once for each route."""
    day = crossing(51)
    put_in_force(day, SPLIT, 3)
    assert day.answer(day.send(0, "k", session="b", path="/e/x")) == "200"
    assert day.answer(day.send(1, "k", session="b", path="/e/hill/x")) == "422"
    assert day.ran("k") == 1


def with_route_in_names(proxy):
    """Has a proxy name its sessions as releases up to 4dd6197 did: with the route's name."""

    class RouteSessions(ProxySessions):
        __slots__ = ()

        def read(self, request):
            reason = super().read(request)
            if request.reservation is not None:
                request.reservation.session += SEPARATOR + request.route.name
            return reason

    proxy.forwarder.sessions.__class__ = RouteSessions


@pytest.mark.parametrize("former", [0, 1])
def test_a_key_with_its_routes_name_is_found_without_it(former):
    """Guards against a key that one release has run and the next one runs again, and back."""
    day = crossing(52, TENANTS)
    with_route_in_names(day.fleet.proxies[former])
    first = day.send(0, "k", session="b", more=bearing("hill"))
    assert day.answer(first) == "200"
    again = day.send(1, "k", session="b", more=bearing("hill"))
    assert day.answer(again) == "200"
    assert body_of(again) == body_of(first)
    assert day.ran("k") == 1


def name_route_on_disk(day):
    """Has the registries' logs bear the names that releases up to 4dd6197 wrote."""
    for name, log in day.world.disks.items():
        if name.startswith(("sessions ", "keys ")) and isinstance(log, MemoryLog):
            for row in log.rows:
                if row[0] != GROUP_ROW:
                    row[2] += SEPARATOR + "/e/"


def test_a_record_on_disk_with_its_routes_name_is_found_after_an_upgrade():
    """Guards against keys on disk that an upgrade forgets, so that they run again."""
    day = crossing(53, TENANTS)
    first = day.send(0, "k", session="b", more=bearing("hill"))
    assert day.answer(first) == "200"
    name_route_on_disk(day)
    day.fleet.lose_power()
    assert day.world.until(day.ready, 30000)
    again = day.send(1, "k", session="b", more=bearing("hill"))
    assert day.answer(again, 8000) == "200"
    assert body_of(again) == body_of(first)
    assert day.ran("k") == 1


@pytest.mark.parametrize("in_order", [True, False])
def test_sessions_of_two_routes_become_one_with_the_higher_lease(in_order):
    """Guards against a merged session that brings back an old lease, or forgets a key that ran."""
    ran = KeyRecord(AttemptId(7, "p", 1), KeyState.RESERVED, "f", "p", None, 9e9)
    other = KeyRecord(AttemptId(7, "p", 1), KeyState.NOT_RUN, "g", "p", None, 9e9)
    records = [
        SessionRecord(LeaseVersion(7, "p"), {"s": "i-1"}, {"k": ran}),
        SessionRecord(LeaseVersion(2, "q"), {"s": "i-2"}, {"k": other}),
    ]
    merged = SessionRecord()
    for record in records if in_order else reversed(records):
        merged.merge(record)
    assert (merged.lease, merged.endpoints) == (LeaseVersion(7, "p"), {"s": "i-1"})
    assert merged.keys["k"] is ran


# the first releases


def as_release_before(proxy):
    """Has a proxy name its sessions as the release before did: by the header alone."""

    class FormerSessions(ProxySessions):
        __slots__ = ()

        def read(self, request):
            reason = super().read(request)
            if request.session is not None:
                plain = request.session.name
                request.session = SessionId(plain, "", "")
                if request.reservation is not None:
                    request.reservation.session = plain
            return reason

    proxy.forwarder.sessions.__class__ = FormerSessions


@pytest.mark.parametrize("former_first", [True, False])
def test_in_a_mixed_fleet_a_key_neither_runs_again_nor_is_its_answer_handed_out(former_first):
    """Guards against a key that a proxy of one release has run and one of the other runs again."""
    day = crossing(48, TENANTS)
    as_release_before(day.fleet.proxies[0])
    order = (0, 1) if former_first else (1, 0)
    first = day.send(order[0], "k", session="b", more=bearing("hill"))
    assert day.answer(first) == "200"
    for tenant in ("hill", "coast"):
        client = day.send(order[1], "k", session="b", more=bearing(tenant))
        assert day.answer(client) == "504"
    assert day.ran("k") == 1
    # Another key of the same session, and the same key with another body, are nobody's repeat.
    assert day.answer(day.send(order[1], "k2", session="b", more=bearing("hill"))) == "200"
    other = day.send(order[1], "k", session="b", body=b"other", more=bearing("coast"))
    assert day.answer(other) == "200"


def test_a_record_of_the_release_before_is_read_and_its_keys_never_run_again():
    """Guards against records on disk that an upgrade makes unreadable, or forgets."""
    day = crossing(49, TENANTS)
    as_release_before(day.fleet.proxies[0])
    assert day.answer(day.send(0, "k", session="b", more=bearing("hill"))) == "200"
    day.fleet.lose_power()
    assert day.world.until(day.ready, 30000)
    assert day.answer(day.send(1, "k", session="b", more=bearing("hill")), 8000) == "504"
    assert day.ran("k") == 1
    shown = []
    day.fleet.registries[2].api.sessions.show("b", lambda *answer: shown.append(answer))
    assert day.world.until(lambda: shown, 3000)
    former = [row for row in shown[0][1]["records"] if not row["host"]]
    assert [(row["tenant"], row["requests"][0]["state"]) for row in former] == [("", "answered")]


def test_an_identity_is_read_as_it_was_written():
    id = SessionId("fan 7", "hill", "h.example")
    assert read_session_id(id.encode()) == id
    assert read_session_id(id.encode() + SEPARATOR + "weigh-in") == id
    assert read_session_id("fan-7") == SessionId("fan-7", "", "")

"""Session records: at most one run of a key wherever it is repeated, while daemons are lost at
every step.
"""

import json

import pytest
from support.endpoints import status_of
from support.fleet import Fleet, number_of
from support.session_fleet import CONFIG, SessionFleet, route

from stagevale.configuration.validation import check_configuration
from stagevale.configuration.value import SessionGroup
from stagevale.sessions.groups import NEW_GROUP, choose_members, next_groups
from stagevale.sessions.records import (
    AttemptId,
    KeyRecord,
    KeyState,
    LeaseVersion,
    SessionRecord,
)
from stagevale.sessions.session_headers import fingerprint_of
from stagevale.storage.folder import Folder
from stagevale.storage.row_log import RowLog


def test_a_repeat_at_any_site_gets_the_noted_answer():
    day = SessionFleet()
    first = day.send(0, "k1")
    assert day.answer(first) == "200"
    for site in (0, 1, 4):
        again = day.send(site, "k1")
        assert day.answer(again) == "200"
        assert again.got.endswith(b"run 1")
        assert f"Attempt-Id: {again.id}".encode() in again.got
        assert b"Server-Seal: seal.a1" in again.got
    assert day.ran("k1") == 1
    assert day.answer(day.send(2, "k1", body=b"another crate")) == "422"
    assert day.answer(day.send(3, "k2")) == "200"
    assert day.ran("k2") == 1


def test_a_repeat_under_way_gets_its_answer_when_it_comes_or_409_at_the_deadline():
    day = SessionFleet(seed=2)
    day.work_ms = 700
    first = day.send(0, "k1")
    day.world.run(400)
    beside, across = day.send(0, "k1"), day.send(1, "k1")
    assert [day.answer(client) for client in (first, beside, across)] == ["200"] * 3
    assert day.ran("k1") == 1
    day.rule = lambda _endpoint, fields, _body: (
        day.runs.append((0, fields[b"idempotency-key"].decode(), "")),
        b"",
    )[1]
    silent = day.send(0, "k2")
    day.world.run(400)
    late = day.send(1, "k2", more=b"")
    assert day.answer(late, 3000) in ("409", "504")
    assert day.ran("k2") == 1
    assert day.answer(silent) == "504"
    day.rule = None
    assert day.answer(day.send(2, "k2")) == "504"
    assert day.ran("k2") == 1


def test_a_client_that_hangs_up_and_repeats_elsewhere_gets_the_answer_of_the_one_run():
    day = SessionFleet(seed=3)
    day.work_ms = 500
    first = day.send(0, "k1")
    day.world.run(350)
    first.transport.abort()
    again = day.send(1, "k1")
    assert day.answer(again) == "200"
    assert day.ran("k1") == 1


def test_what_did_not_run_may_run_later():
    day = SessionFleet(seed=4)
    day.rule = lambda _endpoint, _fields, _body: (
        b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    assert day.answer(day.send(0, "k1")) == "503"
    day.rule = None
    day.world.run(1500)
    assert day.answer(day.send(1, "k1")) == "200"
    assert day.ran("k1") == 1


def test_a_repeat_that_waits_for_another_site_runs_once_that_one_says_it_did_not():
    day = SessionFleet(seed=10)
    turned = []

    def rule(endpoint, _fields, _body):
        if len(turned) < 2:
            turned.append(endpoint.id)
            return b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 250
        return None

    day.rule = rule
    first = day.send(0, "k1")
    day.world.run(330)
    across = day.send(1, "k1")
    day.world.run(2500)
    answers = [client.statuses()[:1] for client in (first, across)]
    assert day.ran("k1") <= 1 and ["200"] in answers or answers == [["503"], ["503"]]
    assert day.answer(day.send(2, "k1")) == "200"
    assert day.ran("k1") == 1


@pytest.mark.parametrize(
    "head, field",
    [
        (b"Session-Id: \r\n", "session-id"),
        (b"Session-Id: a\r\nSession-Id: b\r\n", "session-id"),
        (b"Session-Id: " + b"s" * 300 + b"\r\n", "session-id"),
        (b"Session-Id: a\r\nIdempotency-Key: \r\n", "idempotency-key"),
        (b"Session-Id: a\r\nIdempotency-Key: k\r\nIdempotency-Key: k\r\n", "idempotency-key"),
        (b"Session-Id: a\r\nIdempotency-Key: " + b"k" * 300 + b"\r\n", "idempotency-key"),
    ],
)
def test_bad_headers_are_a_400_and_nothing_runs(head, field):
    day = SessionFleet(seed=5)
    before = len(day.runs)
    client = day.send(0, None, None, more=head)
    assert day.answer(client) == "400"
    assert field.encode() in client.got
    assert len(day.runs) == before


def test_routes_that_do_not_ask_pay_nothing():
    day = SessionFleet(seed=6)
    calls = day.fleet.proxies[0].rpc.last_request_id
    assert day.answer(day.send(0, "k", path="/plain/x")) == "200"
    assert day.fleet.proxies[0].rpc.last_request_id == calls
    assert day.answer(day.send(0, "k", session=None)) == "200"
    assert day.fleet.proxies[0].rpc.last_request_id == calls
    fleet = Fleet(6, 1)
    plain = {**CONFIG, "routes": [route("/e/", "effectful", affinity=None)]}
    assert fleet.insist([0], "replace", json.dumps(plain), 20000)[0] == 200
    fleet.world.run(4000)
    assert fleet.proxies[0].forwarder.sessions is None
    assert all(registry.service.sessions is None for registry in fleet.registries.values())


def test_records_of_a_route_with_homes_are_kept_only_there():
    day = SessionFleet(seed=7)
    assert day.answer(day.send(2, "k1", session="s7", path="/home/x")) == "200"
    day.world.run(500)
    for _number, registry in day.fleet.registries.items():
        for name, group in registry.service.sessions.groups.items():
            if name.startswith("a,b|") and group.records:
                assert registry.membership.me.region in ("a", "b")
    groups = day.fleet.proxies[0].forwarder.snapshot.sessions
    region_of = {r.rpc.address: r.membership.me.region for r in day.fleet.registries.values()}
    for name, (_, members, _) in groups.items():
        assert len(members) == 3
        assert {region_of[address] for address in members} == (
            {"a", "b"} if name.startswith("a,b") else {"a", "b", "c"}
        )


def test_reads_never_wait_and_keep_to_the_sessions_endpoint():
    day = SessionFleet(seed=8)
    served = []
    day.rule = lambda endpoint, _fields, _body: served.append(endpoint.id)
    assert day.answer(day.send(0, None, path="/p/x", body=b"")) == "200"
    day.world.cut([f"10.0.1.{n}" for n in range(1, 7)], [f"10.0.0.{n}" for n in range(1, 7)])
    for _ in range(5):
        start_ms = day.world.env.now
        assert day.answer(day.send(0, None, path="/p/x", body=b"")) == "200"
        assert day.world.env.now - start_ms < 200
        day.world.run(300)
    assert len(set(served)) <= 2
    start_ms = day.world.env.now
    assert day.answer(day.send(3, "k9")) == "503"
    assert day.world.env.now - start_ms < 900
    assert day.ran("k9") == 0


def kill_proxy(day, number):
    day.world.kill(day.fleet.proxies[number].context)
    day.world.later(1500, day.fleet.start_proxy, number)


def freeze_proxy(day, number):
    day.world.freeze(day.fleet.proxies[number].context, 1500)


def cut_proxy(day, number):
    day.world.cut([f"10.0.1.{number + 1}"], [f"10.0.0.{n}" for n in range(1, 7)])
    day.world.later(2000, day.world.join)


def kill_core(day, number):
    day.fleet.kill_core(number % 6)
    day.world.later(1500, day.fleet.start_core, number % 6, False)


def wipe_core(day, number):
    day.fleet.kill_core(number % 6)
    day.fleet.wipe(number % 6)
    day.world.later(1500, day.fleet.start_core, number % 6, False)


def lose_region(day, number):
    for core in (number % 3, number % 3 + 3):
        day.fleet.kill_core(core)
        day.world.later(2500, day.fleet.start_core, core, False)
        kill_proxy(day, core)


def end_proxy(day, number):
    day.fleet.proxies[number].stop()
    day.world.later(6000, day.fleet.start_proxy, number)


STRIKES = {
    "none": None,
    "proxies killed": kill_proxy,
    "proxies frozen": freeze_proxy,
    "proxies cut": cut_proxy,
    "core killed": kill_core,
    "core wiped": wipe_core,
    "regions lost": lose_region,
    "proxies end": end_proxy,
}


def crossings(strike, seed, noting=True, sessions=20, seconds=9):
    """Sessions send a key at one site, hang up or wait, and repeat it at other sites until it is
    answered.

    Returns crossings, repeats answered, runs beyond the first, keys acknowledged and not run once,
    reads not served.
    """
    day = SessionFleet(seed, noting=noting)
    luck = day.world.random
    state = {
        "crossings": 0,
        "repeats": 0,
        "acknowledged": set(),
        "reads": 0,
        "unread": 0,
        "asked": 0,
    }
    alive = {"on": True}

    def step(name, key, tries, site):
        """One try of a key; whatever comes of it, the next is at another site."""
        client = day.send(site, key, session=name)

        def look():
            status = client.statuses()[0] if client is not None and client.statuses() else None
            if status == "200":
                state["acknowledged"].add(key)
                if tries:
                    state["repeats"] += 1
            if status != "200" or tries < 1:
                if client is not None and luck.random() < 0.5:
                    client.transport.abort()
                if tries < 6:
                    state["crossings"] += 1
                    step(name, key, tries + 1, luck.randrange(6))
                    return
            if alive["on"]:
                state["asked"] += 1
                step(name, f"{key.split('.')[0]}.{state['asked']}", 0, luck.randrange(6))

        day.world.later(luck.uniform(30, 700), look)

    def read(name):
        if alive["on"]:
            day.world.later(1000, read, name)
        site = luck.randrange(6)
        proxy = day.fleet.proxies[site]
        client = day.send(site, None, session=name, path="/p/x", body=b"")
        if client is None or not proxy.is_ready():
            return
        state["reads"] += 1
        sent_ms = day.world.env.now

        def look():
            struck = (
                not proxy.context.alive
                or day.world.frozen.get(proxy.context, 0) > sent_ms
                or proxy.stopping
            )
            if client.statuses() != ["200"] and not struck:
                state["unread"] += 1

        day.world.later(1400, look)

    for number in range(sessions):
        day.world.later(luck.uniform(0, 400), step, f"s{number}", f"s{number}.0", 0, number % 6)
        day.world.later(luck.uniform(0, 900), read, f"s{number}")
    if strike is not None:
        for at in range(1500, (seconds - 3) * 1000, 3500):
            day.world.later(at, strike, day, luck.randrange(6))
    day.world.run(seconds * 1000)
    alive["on"] = False
    day.world.run(6000)
    counts = {}
    for _, key, _ in day.runs:
        if key:
            counts[key] = counts.get(key, 0) + 1
    state["doubles"] = sum(count - 1 for count in counts.values())
    state["missing"] = sum(1 for key in state["acknowledged"] if counts.get(key, 0) != 1)
    state["acknowledged"] = len(state["acknowledged"])
    return state


@pytest.mark.parametrize("name", STRIKES)
def test_crossings_leave_each_key_run_at_most_once(name):
    got = crossings(STRIKES[name], 20 + list(STRIKES).index(name))
    for wrong in ("doubles", "missing", "unread"):
        assert got[wrong] == 0, (wrong, got)
    for name, least in (("crossings", 150), ("acknowledged", 50), ("repeats", 30)):
        assert got[name] > least, (name, got)


@pytest.mark.parametrize(
    "lost, is_answered",
    [
        pytest.param((), True, id="no disk"),
        pytest.param((1, 4), True, id="one member of each group"),
        pytest.param((0, 1), False, id="two members of each group"),
    ],
)
def test_disks_lost_while_all_others_lose_power_let_no_key_run_again(lost, is_answered):
    """The closing event of a day. A key whose answer a client has got is never run again, nor one
    that was under way; where a majority of each group keeps its disk it is answered again.
    """
    day = SessionFleet(seed=40 + len(lost) + sum(lost))
    answered = [f"answered{number}" for number in range(6)]
    clients = [day.send(site, key, session=key) for site, key in enumerate(answered)]
    assert [day.answer(client) for client in clients] == ["200"] * 6
    day.work_ms = 900
    under_way = [f"running{number}" for number in range(6)]
    for site, key in enumerate(under_way):
        day.send(site, key, session=key)
    assert day.world.until(lambda: all(day.ran(key) for key in under_way), 2000, 5)

    day.fleet.lose_power(wiped=lost)
    day.world.run(15000)

    statuses = {}
    for site, key in enumerate(answered + under_way):
        client = day.send((site + 1) % 6, key, session=key)
        statuses[key] = day.answer(client) if client is not None else None
    for key in answered + under_way:
        assert day.ran(key) == 1, (key, statuses)
    if is_answered:
        assert [statuses[key] for key in answered] == ["200"] * 6, statuses
        assert [statuses[key] for key in under_way] == ["504"] * 6, statuses


# Three registries kept a session, and two disks may be lost at once: its keys were refused for good.
@pytest.mark.parametrize("first", range(3))
def test_keys_are_answered_again_after_as_many_disks_are_lost_as_may_be(first):
    """The closing event of a day, where two disks may be lost: two members of a session's group
    lose theirs, all other machines their power. Machines are in touch twice `contactMs` after.
    """
    day = SessionFleet(seed=44 + first, more="\n[tolerance]\nmachines = 2\n")
    answered = [f"answered{number}" for number in range(6)]
    clients = [day.send(site, key, session=key) for site, key in enumerate(answered)]
    assert [day.answer(client) for client in clients] == ["200"] * 6
    forwarder = day.fleet.proxies[first].forwarder
    (lease,) = forwarder.sessions.leases.held.values()
    members = [number_of(address) for address in forwarder.snapshot.sessions[lease.group].members]
    day.fleet.lose_power(wiped=members[:2])
    day.world.run(8000)
    clients = [day.send((site + 1) % 6, key, session=key) for site, key in enumerate(answered)]
    assert [day.answer(client) for client in clients] == ["200"] * 6
    assert [day.ran(key) for key in answered] == [1] * 6


def test_without_noting_the_same_crossings_run_keys_twice():
    got = crossings(kill_proxy, 21, noting=False)
    assert got["doubles"] > 10, got


def test_a_turn_of_a_later_version_goes_over_a_late_word_on_an_earlier_one():
    """A note that never had a majority, freed later than the next holder's note: taken for free, it
    would run twice.
    """
    one, other = SessionRecord(LeaseVersion(2, "p2")), SessionRecord(LeaseVersion(1, "p1"))
    one.keys["k"] = KeyRecord(AttemptId(2, "p2", 1), KeyState.RESERVED, "d", "p2", None, 9e9)
    other.keys["k"] = KeyRecord(AttemptId(1, "p1", 1), KeyState.NOT_RUN, "d", "p1", None, 9e9)
    for first, second in ((one, other), (other, one)):
        joined = SessionRecord()
        joined.merge(first)
        joined.merge(second)
        assert joined.keys["k"].state == KeyState.RESERVED
        assert joined.lease == (2, "p2")


def test_groups_change_one_member_at_a_time_and_only_when_settled():
    class Registry:
        def __init__(self, number):
            self.address, self.region = f"10.0.0.{number}:7200", "abc"[number % 3]

    registries = [Registry(number) for number in range(1, 7)]
    sessions = next_groups({}, ["|0", "a|0"], registries, set())
    assert sessions["|0"][0] == 1
    assert sessions["|0"][2] == NEW_GROUP
    assert len({r.region for r in registries if r.address in sessions["|0"][1]}) == 3
    assert all(r.region == "a" for r in registries if r.address in sessions["a|0"][1])
    lost = sessions["|0"][1][0]
    assert next_groups(sessions, [], registries, {lost}) is None
    settled = {
        name: SessionGroup(version, members, ()) for name, (version, members, _) in sessions.items()
    }
    after = next_groups(settled, [], [r for r in registries if r.address != lost], {lost})
    assert after["|0"][0] == 2
    assert after["|0"][2] == settled["|0"][1]
    assert lost not in after["|0"][1]
    assert len(set(after["|0"][1]) & set(settled["|0"][1])) == 2
    assert choose_members("|1", registries[:2], ())
    assert fingerprint_of(b"POST", b"/a", [b"x"]) != fingerprint_of(b"POST", b"/a", [b"y"])


def test_the_log_survives_torn_batches_and_is_written_whole_in_time(tmp_path):
    log = RowLog(Folder(str(tmp_path)))
    for number in range(70):
        log.append([["record", "|0", f"s{number}", number]], log.wants_snapshot())
    again = RowLog(Folder(str(tmp_path)))
    rows = again.load()
    assert rows[-1][2] == "s69"
    assert len(rows) < 70
    newest = max(tmp_path.glob("batch-*.dat"), key=lambda path: int(path.stem.split("-")[1]))
    newest.write_bytes(newest.read_bytes()[:-3])
    torn = RowLog(Folder(str(tmp_path)))
    assert torn.load()[-1][2] == "s68"
    torn.append([["record", "|0", "s70", 0]], False)
    assert RowLog(Folder(str(tmp_path))).load()[-1][2] == "s70"


@pytest.mark.parametrize(
    "affinity", [{}, {"header": ""}, {"header": "no header"}, {"header": "A: b"}, {"keepS": 5}, "x"]
)
def test_affinity_without_a_header_is_an_invalid_configuration(affinity):
    text = json.dumps({**CONFIG, "routes": [route("/e/", "effectful", affinity=affinity)]})
    checked = check_configuration(text)
    assert checked.is_error()
    assert checked.error.status == 400
    assert "affinity" in checked.error.reason


def test_a_session_is_shown_with_its_keys_and_states():
    day = SessionFleet(seed=9)
    assert day.answer(day.send(0, "k1", session="fan-7")) == "200"
    assert day.answer(day.send(1, "k2", session="fan-7")) == "200"
    shown = []
    day.fleet.registries[2].api.sessions.show(
        "fan-7", lambda status, body: shown.append((status, body))
    )
    day.fleet.registries[2].api.sessions.show(
        "nobody", lambda status, body: shown.append((status, body))
    )
    assert day.world.until(lambda: len(shown) == 2, 3000)
    assert sorted(status for status, _ in shown) == [200, 404]
    record = next(body for status, body in shown if status == 200)["records"][0]
    assert record["holder"] == "10.0.1.2:7200"
    assert [(j["key"], j["state"]) for j in record["requests"]] == [
        ("k1", "answered"),
        ("k2", "answered"),
    ]
    stands = [status_of(registry)["sessions"] for registry in day.fleet.registries.values()]
    assert sum(stand["handedOver"] for stand in stands) >= 2
    assert sum(stand["noted"] for stand in stands) >= 4
    assert not any("fan-7" in line for line in day.world.lines)
    assert not any("fan-7" in json.dumps(stand) for stand in stands)

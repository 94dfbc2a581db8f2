"""Whole exchanges of the configuration register on a simulated network and disk."""

import json

from support.approval import approve
from support.fleet import Fleet

from stagevale.configuration.value import ConfigurationValue
from stagevale.consensus.commands import CommandRequest
from stagevale.quorum.ballot import NO_BALLOT


def config(version, parent, host="h.example", service="s"):
    return json.dumps(
        {
            "version": f"r{version}",
            "parentVersion": f"r{parent}" if parent else 0,
            "routes": [
                {
                    "name": "r",
                    "host": host,
                    "pathPrefix": "/a/",
                    "variant": "pure",
                    "timeoutMs": 1000,
                    "service": service,
                    "maxAttempts": 2,
                }
            ],
            "services": [{"name": "s", "maxConns": 10, "warmupS": 3, "coldPerS": 4}],
        }
    )


def formed_fleet(seed=1, proxies=0):
    fleet = Fleet(seed, proxies)
    assert fleet.world.until(
        lambda: len(fleet.leaders()) == 1 and fleet.formed(12 + proxies), 20000
    )
    fleet.world.until(lambda: len(fleet.stores[fleet.leaders()[0] - 1].committed.group) == 5, 20000)
    return fleet


def test_group_grows_to_bear_two_losses():
    fleet = formed_fleet()
    group = fleet.stores[fleet.leaders()[0] - 1].committed.group
    assert len(group) == 5
    assert {"10.0.0.1:7201", "10.0.0.2:7201", "10.0.0.3:7201"} < set(group)


def test_orders_and_bad_configurations():
    fleet = formed_fleet()
    lines = []
    for words, payload in (
        ("first", config(2, 0)),
        ("same again", config(2, 0)),
        ("cut short", config(5, 2)[:40]),
        ("unknown service", config(5, 2, service="x")),
        ("no slash", config(5, 2).replace('"/a/"', '"a/"')),
        ("no timeout", config(5, 2).replace("1000", "0")),
        ("not above", config(2, 2, host="o.example")),
        ("stale parent", config(7, 1)),
        ("next", config(7, 2)),
        ("an old one again", config(2, 0)),
    ):
        lines.append(f"{words}: {fleet.insist([0], 'replace', payload)[0]}")
    lines.append(f"evacuate: {fleet.insist([3], 'evacuate', 'a1')}")
    status, text = fleet.insist([5], "read", "")
    lines.append(f"read: {status} {json.loads(text)['version']}")
    approve("orders", lines)


def test_two_racing_operators_one_wins():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    answers = []
    for number, host in ((1, "one.example"), (4, "two.example")):
        fleet.registries[number].service.configuration.send_command(
            "replace",
            config(2, 1, host=host),
            lambda status, _text, host=host: answers.append((host, status)),
        )
    fleet.world.until(lambda: len(answers) == 2, 5000)
    assert sorted(status for _, status in answers) == [200, 412]
    winner = next(host for host, status in answers if status == 200)
    assert json.loads(fleet.insist([2], "read", "")[1])["routes"][0]["host"] == winner


def test_owner_killed_between_accept_and_answer():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    owner = fleet.leaders()[0] - 1
    asked = (owner + 1) % 6
    payload = config(2, 1)
    fleet.registries[asked].service.configuration.send_command(
        "replace", payload, lambda _status, _text: None
    )
    others = [keeper for number, keeper in fleet.stores.items() if number != owner]
    assert fleet.world.until(
        lambda: any(
            k.acceptor.vote.accepted and k.acceptor.vote.accepted.version == 2 for k in others
        ),
        3000,
        1,
    )
    fleet.kill_core(owner)
    fleet.wipe(owner)
    alive = [number for number in range(6) if number != owner]
    assert fleet.insist(alive, "replace", payload)[0] == 200
    assert json.loads(fleet.insist(alive, "read", "")[1])["version"] == "r2"


def voter(fleet, number):
    return fleet.stores[number].acceptor.vote.voter


def test_stores_that_lost_their_disks_come_back_as_voters_that_have_to_be_invited():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    holders = [
        n
        for n, k in fleet.stores.items()
        if k.acceptor.vote.accepted is not None and k.acceptor.vote.accepted.version == 1
    ][:2]
    former = [voter(fleet, number) for number in holders]
    for number in range(6):
        fleet.kill_core(number)
    for number in holders:
        fleet.wipe(number)
    for number in range(6):
        fleet.start_core(number, False)
    fleet.world.run(100)
    assert all(voter(fleet, number) not in former for number in holders)
    assert not any(fleet.stores[number].is_voter() for number in holders)
    assert json.loads(fleet.insist(range(6), "read", "")[1])["version"] == "r1"
    assert fleet.world.until(
        lambda: all(fleet.stores[number].is_voter() for number in holders), 10000
    )
    assert all(fleet.stores[number].acceptor.vote.accepted.version == 1 for number in holders)
    group = fleet.stores[fleet.leaders()[0] - 1].committed.group
    assert not set(former) & set(group)


def test_majority_wiped_never_answers_with_less():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    for number in range(6):
        fleet.kill_core(number)
    for number in range(4):
        fleet.wipe(number)
    for number in range(6):
        fleet.start_core(number, False)
    fleet.world.run(8000)
    assert (
        fleet.order(0, "read", "", 1500)
        in (None, (503, "no owner in time"), (503, "no group known"))
        or fleet.order(0, "read", "", 1500)[0] == 503
    )
    assert not fleet.leaders()
    assert not any(fleet.stores[number].is_voter() for number in range(4))


def test_restart_of_all_keeps_what_was_acknowledged():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    assert fleet.insist([1], "evacuate", "b1")[0] == 200
    for number in range(6):
        fleet.kill_core(number)
    fleet.world.run(700)
    for number in range(6):
        fleet.start_core(number, False)
    assert json.loads(fleet.insist(range(6), "read", "")[1])["version"] == "r1"
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1, 10000)
    assert fleet.stores[fleet.leaders()[0] - 1].committed.evacuated == ("b1",)


def test_owner_cut_off_gives_no_false_refusal():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    owner = fleet.leaders()[0] - 1
    ip = f"10.0.0.{owner + 1}"
    rest = [f"10.0.0.{n}" for n in range(1, 7) if n != owner + 1]
    fleet.world.cut([ip], rest)
    others = [n for n in range(6) if n != owner]
    assert fleet.insist(others, "replace", config(2, 1))[0] == 200
    got = []
    fleet.stores[owner].commands.submit(CommandRequest("replace", config(3, 2), False), got.append)
    fleet.world.run(3000)
    assert got
    assert got[0][0] == 503
    fleet.world.join()
    assert fleet.insist([owner], "replace", config(3, 2))[0] == 200


def test_stalled_disk_of_the_owner_stalls_nobody():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    owner = fleet.leaders()[0] - 1
    fleet.world.stalled.add(f"10.0.0.{owner + 1}")
    start_ms = fleet.world.env.now
    assert fleet.insist([(owner + 1) % 6], "replace", config(2, 1))[0] == 200
    assert fleet.world.env.now - start_ms < 4000


def test_even_cut_acknowledges_nothing():
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    group = [
        int(a.split(":")[0].split(".")[-1])
        for a in fleet.stores[fleet.leaders()[0] - 1].committed.group
    ]
    few, many = group[:2], [n for n in range(1, 7) if n not in group[:2]]
    fleet.world.cut([f"10.0.0.{n}" for n in few], [f"10.0.0.{n}" for n in many])
    fleet.world.run(3000)
    for number in few:
        answer = fleet.order(number - 1, "replace", config(2, 1, host="few.example"), 2000)
        assert answer is None or answer[0] == 503
    assert (
        fleet.insist([n - 1 for n in many], "replace", config(2, 1, host="many.example"))[0] == 200
    )


def test_store_that_comes_back_leaves_the_duty_to_the_owner_at_work():
    """It took the duty over at its first read: two rounds of ballots for nothing, seen in
    inc-20e7.
    """
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    owner = fleet.leaders()[0] - 1
    group = [
        int(address.split(":")[0].split(".")[-1]) - 1
        for address in fleet.stores[owner].committed.group
    ]
    ballot = fleet.stores[owner].ballot
    for number in group:
        if number != owner:
            fleet.kill_core(number)
            fleet.world.run(1500)
            fleet.start_core(number, False)
            fleet.world.run(2500)
    assert fleet.leaders() == [owner + 1]
    assert fleet.stores[owner].ballot == ballot


def test_candidate_that_finds_a_newer_group_keeps_the_ballot_under_which_it_was_accepted():
    """It noted the found value under its own, higher ballot: a later owner could have taken it for
    the newest.
    """
    fleet = formed_fleet()
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    owner = fleet.leaders()[0] - 1
    stale = fleet.stores[next(number for number in range(3) if number != owner)]
    newest = fleet.stores[owner].ballot
    stale.acceptor.vote = stale.acceptor.vote.changed(
        accepted=ConfigurationValue(0, 0, "", (), stale.group_view.seed_addresses()),
        accepted_ballot=NO_BALLOT,
    )
    stale.election.prepare(stale.group())
    assert fleet.world.until(lambda: stale.acceptor.vote.accepted.serial > 0, 3000, 1)
    assert stale.acceptor.vote.accepted_ballot <= newest
    assert json.loads(fleet.insist([0], "read", "")[1])["version"] == "r1"

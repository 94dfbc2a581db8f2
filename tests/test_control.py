"""The control side's worst days, each brought about on the simulated network."""

import json

import pytest
from support.endpoints import send_heartbeat
from support.fleet import Fleet, number_of
from test_register import config

from stagevale.configuration import change_history
from stagevale.consensus.commands import CommandRequest
from stagevale.consensus.reconfiguration import GONE_SHARE
from stagevale.consensus.vote_storage import Vote
from stagevale.rpc.kinds import MessageKind

REPLACED_MS = 4000 * GONE_SHARE + 4000
# Eight times `contactMs` after they left, and time for two changes of the group.
SEATS_GIVEN_UP_MS = 8 * 4000 + 8000


def settled_fleet(seed=1, core=6, proxies=0, more=""):
    """A fleet whose group has grown to what its machines can man, with configuration r1."""
    fleet = Fleet(seed, proxies, more, core)
    wanted = min(9, 2 * ((core - 1) // 2) + 1)
    assert fleet.world.until(
        lambda: len(fleet.leaders()) == 1 and len(fleet.voters()) == wanted, 60000
    )
    assert fleet.insist([0], "replace", config(1, 0))[0] == 200
    return fleet


def address(number):
    return f"10.0.0.{number + 1}"


def cut_off(fleet, numbers):
    """Cuts machines off from all others of the core."""
    rest = [address(n) for n in fleet.stores if n not in numbers]
    fleet.world.cut([address(n) for n in numbers], rest)


def read_version(fleet, numbers):
    answer = fleet.insist(numbers, "read", "")
    return json.loads(answer[1])["version"] if answer is not None and answer[0] == 200 else answer


# a voter that was voted out


def test_a_store_that_was_voted_out_leaves_the_confirmed_leader_alone():
    """It took the duty within ten seconds, outside its own group."""
    fleet = settled_fleet()
    leader = fleet.leaders()[0] - 1
    ballot = fleet.stores[leader].ballot
    out = next(number for number in fleet.voters() if number != leader)
    cut_off(fleet, [out])
    assert fleet.world.until(lambda: out not in fleet.voters(), 30000)
    fleet.world.run(REPLACED_MS)
    fleet.world.join()
    for _ in range(100):
        fleet.world.run(100)
        assert fleet.leaders() == [leader + 1]
        assert fleet.stores[leader].ballot == ballot
    assert not fleet.stores[out].is_voter() or out in fleet.voters()


def test_a_store_that_was_voted_out_is_told_when_it_stands():
    fleet = settled_fleet()
    leader = fleet.leaders()[0] - 1
    out = next(number for number in fleet.voters() if number != leader)
    cut_off(fleet, [out])
    assert fleet.world.until(lambda: out not in fleet.voters(), 30000)
    fleet.world.join()
    stale = fleet.stores[out]
    stale.election.forget_leader()
    stale.election.campaign()
    assert fleet.world.until(lambda: not stale.is_voter(), 3000)
    assert fleet.leaders() == [leader + 1]


# members that end in order


@pytest.mark.parametrize("gap_ms", [1500, 3000, 6000])
@pytest.mark.parametrize("leader_first", [True, False])
def test_voters_that_end_in_order_one_after_the_other_leave_a_majority(gap_ms, leader_first):
    """Three of five left no majority unless they ended eight seconds apart."""
    fleet = settled_fleet(seed=3)
    leader = fleet.leaders()[0] - 1
    others = [number for number in fleet.voters() if number != leader]
    leaving = ([leader] + others)[:3] if leader_first else others[:3]
    for number in leaving:
        fleet.end_core(number)
        fleet.world.run(gap_ms)
    assert fleet.world.until(lambda: not any(fleet.running(n) for n in leaving), 10000)
    rest = [number for number in range(6) if number not in leaving]
    assert fleet.insist(rest, "replace", config(2, 1))[0] == 200
    assert read_version(fleet, rest) == "r2"
    # Those that nobody could replace keep their seats for a while: the others are a majority.
    there = set(fleet.voters()) & set(rest)
    assert 2 * len(there) > len(fleet.voters())
    assert fleet.world.until(lambda: set(fleet.voters()) <= set(rest), SEATS_GIVEN_UP_MS)
    assert read_version(fleet, rest) == "r2"


def test_a_voter_that_restarts_in_order_costs_neither_majority_nor_seat():
    """Every machine restarts in turn; the group bears two losses again at the end."""
    fleet = settled_fleet(seed=4)
    for number in range(6):
        fleet.end_core(number)
        assert fleet.world.until(lambda n=number: not fleet.running(n), 10000)
        fleet.start_core(number, False)
        fleet.world.run(1000)
        assert read_version(fleet, range(6)) == "r1"
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1 and len(fleet.voters()) == 5, 15000)


def test_a_leader_that_ends_in_order_is_succeeded_without_a_pause():
    fleet = settled_fleet(seed=5)
    leader = fleet.leaders()[0] - 1
    fleet.end_core(leader)
    assert fleet.world.until(lambda: any(owner != leader + 1 for owner in fleet.leaders()), 1000)


def test_stores_that_start_together_elect_one_leader_and_not_one_after_the_other():
    """Each won a poll while nobody led, and deposed the one before: four rounds and 0.3 s."""
    for seed in (25, 26, 27, 28):
        fleet = settled_fleet(seed)
        for number in range(6):
            fleet.kill_core(number)
        fleet.world.run(900)
        started = len(fleet.world.lines)
        for number in range(6):
            fleet.world.later(70 * number, fleet.start_core, number, False)
        fleet.world.run(600)
        assert read_version(fleet, [5, 0, 3]) == "r1"
        fleet.world.run(2000)
        elected = [line for line in fleet.world.lines[started:] if "elected leader" in line]
        assert len(elected) == 1, elected


# seeds


@pytest.mark.parametrize("core", [8, 12, 16])
def test_turned_seeds_found_no_second_register(core):
    """Stores that never accepted anything took the seeds for their group."""
    fleet = settled_fleet(seed=6, core=core)
    voters = fleet.voters()
    outside = [number for number in range(core) if number not in voters]
    if not outside:
        outside = [voters.pop()]
    fleet.world.run(2000)
    for number in range(core):
        fleet.kill_core(number)
    fleet.seeds = tuple(number + 1 for number in (outside * 3)[:3])
    for number in outside:
        fleet.start_core(number, False)
    fleet.world.run(12000)
    assert not fleet.leaders()
    answer = fleet.order(outside[0], "read", "", 2000)
    assert answer is None or answer[0] == 503
    for number in voters:
        fleet.start_core(number, False)
    assert read_version(fleet, range(core)) == "r1"


def test_a_store_outside_the_group_knows_the_group_by_the_leaders_word():
    fleet = settled_fleet(seed=7, core=8)
    fleet.world.run(4000)
    group = fleet.stores[fleet.leaders()[0] - 1].committed.group
    for number, store in fleet.stores.items():
        if number not in fleet.voters():
            assert set(store.group_view.newest_group) == set(group)


# lost disks


def lose_disk(fleet, number):
    fleet.kill_core(number)
    fleet.wipe(number)


def test_two_disks_lost_in_a_row_lose_nothing():
    """The second goes while the first is being taken in again, and power goes with it."""
    for pause_ms in (50, 300, 700, 1200, 2500):
        fleet = settled_fleet(seed=8)
        assert fleet.insist([1], "replace", config(2, 1))[0] == 200
        holders = [n for n in fleet.voters() if fleet.stores[n].acceptor.vote.accepted.version == 2]
        first, second = holders[0], holders[1]
        lose_disk(fleet, first)
        fleet.world.run(400)
        fleet.start_core(first, False)
        fleet.world.run(pause_ms)
        lose_disk(fleet, second)
        fleet.kill_core(first)
        fleet.world.run(400)
        fleet.start_core(second, False)
        fleet.start_core(first, False)
        assert read_version(fleet, range(6)) == "r2"


def test_a_newcomer_holds_the_value_before_it_has_a_seat():
    """A successor that held nothing counted as a voter: the next loss counted double."""
    fleet = settled_fleet(seed=9)
    assert fleet.insist([1], "replace", config(2, 1))[0] == 200
    gone = next(n for n in fleet.voters() if n != fleet.leaders()[0] - 1)
    lose_disk(fleet, gone)
    seen = set()
    for _ in range(400):
        fleet.world.run(50)
        if not fleet.leaders():
            continue
        for number in fleet.voters():
            store = fleet.stores[number]
            if number == gone or not store.context.alive:
                continue
            durable = store.acceptor.durable
            assert durable is not None
            assert durable.accepted.version == 2
            seen.add(number)
    assert len(seen) == 5
    assert gone not in fleet.voters()


def test_a_voter_that_missed_a_change_gets_it_without_another():
    fleet = settled_fleet(seed=10)
    away = next(n for n in fleet.voters() if n != fleet.leaders()[0] - 1)
    cut_off(fleet, [away])
    fleet.world.run(300)
    rest = [n for n in range(6) if n != away]
    assert fleet.insist(rest, "replace", config(2, 1))[0] == 200
    fleet.world.join()
    assert fleet.world.until(
        lambda: fleet.stores[away].acceptor.durable.accepted.version == 2, 6000
    )


def test_stores_of_the_former_release_go_on_with_what_they_held():
    fleet = settled_fleet(seed=24)
    for number in range(6):
        fleet.kill_core(number)
        disk = fleet.world.disks[address(number)]
        disk.kept = Vote(
            "",
            (),
            disk.kept.promised,
            disk.kept.accepted_ballot,
            disk.kept.accepted,
            disk.kept.peers,
        )
    for number in range(6):
        fleet.start_core(number, False)
    assert read_version(fleet, range(6)) == "r1"


# a control machine that is cut off, or stood still


def cut_leader(seed):
    fleet = settled_fleet(seed)
    leader = fleet.leaders()[0] - 1
    cut_off(fleet, [leader])
    rest = [number for number in range(6) if number != leader]
    assert fleet.insist(rest, "replace", config(2, 1))[0] == 200
    return fleet, leader, rest


def test_a_leader_cut_off_for_twenty_seconds_answers_nothing_clear():
    fleet, leader, rest = cut_leader(11)
    orders = [
        ("read", ""),
        ("replace", config(2, 1, host="other.example")),
        ("replace", config(3, 2)),
        ("replace", config(2, 1)[:30]),
        ("evacuate", "a1"),
        ("takeBack", "b1"),
    ]
    end_ms = fleet.world.env.now + 20000
    while fleet.world.env.now < end_ms:
        for name, payload in orders:
            answer = fleet.order(leader, name, payload, 700)
            assert answer is None or answer[0] == 503, (name, answer)
    fleet.world.join()
    assert read_version(fleet, [leader]) == "r2"
    assert fleet.stores[fleet.leaders()[0] - 1].committed.evacuated == ()


def test_a_registry_cut_off_takes_no_beats_and_feeds_no_proxy():
    fleet = settled_fleet(seed=12, proxies=3)
    fleet.world.run(4000)
    number = next(
        n for n, r in fleet.registries.items() if any(s for s in r.service.feeds.subscribers)
    )
    fed = list(fleet.registries[number].service.feeds.subscribers)
    cut_off(fleet, [number])
    fleet.world.run(8000)
    got = []
    beat = {
        "address": "10.1.0.1:80",
        "details": {"service": "s", "zone": "a1", "slots": 2, "version": ""},
        "status": {"state": "ready", "callSeq": 9, "coldLeftMs": 0},
    }
    send_heartbeat(
        fleet.registries[number].service, "i-1", beat, lambda status, _body: got.append(status)
    )
    assert got == [503]
    for proxy in fleet.proxies.values():
        if proxy.rpc.address in fed:
            assert proxy.feed.feeder != fleet.registries[number].rpc.address


def test_a_leader_that_thaws_answers_nothing_from_before():
    """Frozen while its questions are on their way: the answers that wait for it are too old."""
    for pause_ms in (1, 5, 20, 40, 62, 64, 70, 90, 120):
        fleet = settled_fleet(seed=13)
        leader = fleet.leaders()[0] - 1
        got = []
        fleet.stores[leader].commands.submit(CommandRequest("read", "", False), got.append)
        fleet.stores[leader].commands.submit(
            CommandRequest("replace", config(9, 8), False), got.append
        )
        fleet.world.run(pause_ms)
        before = len(got)
        fleet.world.freeze(fleet.stores[leader].context, 20000)
        rest = [number for number in range(6) if number != leader]
        assert fleet.insist(rest, "replace", config(2, 1))[0] == 200
        fleet.world.run(20000)
        fleet.world.run(3000)
        assert all(answer[0] == 503 for answer in got[before:])
        assert read_version(fleet, [leader]) == "r2"


def test_orders_that_waited_for_a_frozen_daemon_are_not_carried_out_when_it_thaws():
    """An evacuation given up, sent elsewhere and taken back was begun again by the thaw."""
    fleet = settled_fleet(seed=14)
    leader = fleet.leaders()[0] - 1
    slow = next(number for number in range(6) if number != leader)
    for victim in (slow, leader):
        store = fleet.stores[victim]
        fleet.world.freeze(store.context, 9000)
        fleet.world.run(1)
        others = [number for number in range(6) if number != victim]
        caller = fleet.registries[others[0]].rpc
        caller.request_raw(
            store.address,
            MessageKind.COMMAND,
            CommandRequest("evacuate", "a1", False),
            lambda *_answer: None,
            500,
        )
        assert fleet.insist(others, "evacuate", "a1")[0] == 200
        assert fleet.insist(others, "takeBack", "a1")[0] == 200
        fleet.world.run(16000)
        assert fleet.world.until(lambda: len(fleet.leaders()) == 1, 10000)
        assert fleet.stores[fleet.leaders()[0] - 1].committed.evacuated == ()


def test_an_order_that_a_frozen_registry_finds_waiting_is_not_carried_out():
    """It is read when the registry goes on: given up long ago, sent elsewhere and taken back."""
    fleet = settled_fleet(seed=22)
    registry = fleet.registries[2]
    fleet.world.freeze(registry.context, 9000)
    fleet.world.run(1)
    got = []
    fleet.world.later(
        9000,
        registry.service.configuration.send_command,
        "evacuate",
        "a1",
        lambda *answer: got.append(answer),
    )
    others = [0, 1, 3, 4, 5]
    assert fleet.insist(others, "evacuate", "a1")[0] == 200
    assert fleet.insist(others, "takeBack", "a1")[0] == 200
    fleet.world.run(14000)
    assert [status for status, _ in got] == [503]
    assert fleet.stores[fleet.leaders()[0] - 1].committed.evacuated == ()


def test_an_order_is_given_up_when_its_caller_has_gone_on():
    """The store beside the registry is silent: the next one was asked a second later."""
    fleet = settled_fleet(seed=23)
    leader = fleet.leaders()[0] - 1
    number = next(n for n in range(6) if n != leader)
    fleet.world.kill(fleet.stores[number].context)
    fleet.world.cut_one_way([address(number)], [address(n) for n in range(6) if n != number])
    got = []
    started_ms = fleet.world.env.now
    fleet.registries[number].service.configuration.send_command(
        "evacuate", "a1", lambda *answer: got.append((fleet.world.env.now, answer[0]))
    )
    fleet.world.run(6000)
    assert got
    assert got[0][1] == 503
    assert got[0][0] - started_ms <= 1100
    fleet.world.join()
    fleet.world.run(4000)
    assert fleet.stores[fleet.leaders()[0] - 1].committed.evacuated == ()


# numbers and resends


def lossy_order(fleet, number, payload, lost, got):
    """Sends a change to one registry; its answer is lost with a chance of `lost`."""

    def answered(status, _text):
        if fleet.world.random.random() >= lost:
            got.append(status)

    fleet.registries[number].service.configuration.send_command("replace", payload, answered)


def test_a_change_sent_again_after_a_lost_answer_is_never_refused():
    fleet = settled_fleet(seed=15)
    version = 1
    for turn in range(12):
        payload = config(version + 2, version, host=f"h{turn}.example")
        got = []
        for attempt in range(40):
            lossy_order(fleet, (turn + attempt) % 6, payload, 0.7, got)
            fleet.world.run(900)
            clear = [status for status in got if status != 503]
            assert set(clear) <= {200}
            if clear:
                break
        assert clear
        version += 2
    early = config(3, 1, host="h0.example")
    assert fleet.insist([2], "replace", early)[0] == 200
    assert read_version(fleet, [5]) == f"r{version}"


def test_eight_operators_on_one_version_get_one_confirmation():
    for seed in (16, 17, 18):
        fleet = settled_fleet(seed)
        payloads = [config(2, 1, host=f"h{n}.example") for n in range(8)]
        confirmed = {n: [] for n in range(8)}
        for attempt in range(6):
            for n, payload in enumerate(payloads):
                lossy_order(fleet, (n + attempt) % 6, payload, 0.7, confirmed[n])
            if attempt == 1:
                fleet.kill_core(fleet.leaders()[0] - 1)
            fleet.world.run(1500)
        for number in range(6):
            if not fleet.running(number):
                fleet.start_core(number, False)
        answers = [
            fleet.insist([n % 6], "replace", payload)[0] for n, payload in enumerate(payloads)
        ]
        assert sorted(answers) == [200] + [412] * 7
        winner = answers.index(200)
        for n, statuses in confirmed.items():
            assert 200 not in statuses or n == winner
            assert 412 not in statuses or n != winner


# hundreds of changes


def test_a_voter_that_was_down_for_hundreds_of_changes_catches_up_and_leads_with_the_newest():
    fleet = settled_fleet(seed=19)
    leader = fleet.leaders()[0] - 1
    down = next(n for n in fleet.voters() if n != leader)
    fleet.kill_core(down)
    rest = [n for n in range(6) if n != down]
    for version in range(2, 202):
        assert fleet.insist([rest[version % 5]], "replace", config(version, version - 1))[0] == 200
    fleet.start_core(down, False)
    assert fleet.world.until(lambda: fleet.stores[down].group_view.newest_serial >= 200, 10000)
    for number in [n for n in fleet.voters() if n != down][:2]:
        fleet.kill_core(number)
    alive = [n for n in range(6) if fleet.running(n)]
    assert read_version(fleet, alive) == "r201"
    leading = fleet.stores[fleet.leaders()[0] - 1]
    assert leading.committed.version == 201


def test_the_record_of_changes_taken_stays_bounded_and_old_numbers_get_no_clear_answer(monkeypatch):
    """All versions ever taken lay in the value: 7 kB after 300 changes, 23 bytes more with each."""
    monkeypatch.setattr(change_history, "CHANGES_KEPT", 24)
    fleet = settled_fleet(seed=20)
    sizes = []
    for version in range(2, 82):
        assert fleet.insist([version % 6], "replace", config(version, version - 1))[0] == 200
        sizes.append(len(fleet.stores[fleet.leaders()[0] - 1].committed.encoded))
    assert max(sizes[40:]) < sizes[30] * 1.1
    assert fleet.insist([0], "replace", config(81, 80))[0] == 200
    assert fleet.insist([0], "replace", config(70, 69))[0] == 200
    answer = fleet.insist([0], "replace", config(3, 2))
    assert answer is None or answer[0] == 503


# sessions and duties share the manner


def test_a_registry_that_ends_in_order_hands_the_duties_seat_over():
    duties = '\n[platform]\naddress = "10.8.0.1:80"\nduties = ["usage_report"]\ndutyPerS = 50\n'
    fleet = settled_fleet(seed=21, more=duties)
    nodes = {n: registry.singleton for n, registry in fleet.registries.items()}

    def leading():
        return [n for n, node in nodes.items() if node.context.alive and node.committed is not None]

    assert fleet.world.until(
        lambda: leading() and len(nodes[leading()[0]].committed.group) == 5, 30000
    )
    group = [number_of(voter) for voter in nodes[leading()[0]].committed.group]
    for number in group[:3]:
        fleet.end_core(number)
        fleet.world.run(1500)
    assert fleet.world.until(lambda: not any(fleet.running(n) for n in group[:3]), 10000)
    assert fleet.world.until(lambda: bool(leading()), 10000)

    def voters():
        (leader, *_) = leading() or [None]
        value = nodes[leader].committed if leader is not None else None
        return {number_of(voter) for voter in value.group} if value is not None else set()

    assert 2 * len(voters() - set(group[:3])) > len(voters())
    assert fleet.world.until(lambda: voters() and not voters() & set(group[:3]), SEATS_GIVEN_UP_MS)

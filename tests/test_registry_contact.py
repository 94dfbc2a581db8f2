"""What a registry promises while it can't know yet who of the others is in reach."""

import pytest
from support.endpoints import send_heartbeat
from support.fleet import Fleet
from test_control import address, settled_fleet
from test_registrations import beat_of, heartbeat
from test_shard_ownership import owners
from test_tallies import CONTACT_MS, MERGE_MS, amend, call, insist, total, totals
from test_tallies import formed as formed_of_six

from stagevale.membership.member import MemberState
from stagevale.placement.shards import SHARDS, shard_of
from stagevale.singleton.agreed_clock import AgreedClock

CORE = 3
DAEMONS = 2 * CORE
TOLERANCE_OF_ONE = "\n[tolerance]\nmachines = 1\nzones = 1\nregions = 1\n"
# How long a restart in order, and the way back of a machine without its disk, may take.
RESTART_MS = 15000
BETWEEN_ADDS_MS = 10


def formed(seed):
    fleet = Fleet(seed, 0, TOLERANCE_OF_ONE, core=CORE)
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1 and fleet.formed(DAEMONS), 25000)
    # The registries have heard each other since.
    fleet.world.run(CONTACT_MS)
    return fleet


def restart_in_order(fleet, number):
    fleet.end_core(number)
    assert fleet.world.until(lambda: not fleet.running(number), RESTART_MS)
    fleet.start_core(number, False)


def add_until_acknowledged(fleet, number, limit_ms=RESTART_MS):
    """Sends adds of one to a registry; returns how long it took until one was acknowledged."""
    began_ms = fleet.world.env.now
    sent = 0
    while fleet.world.env.now < began_ms + limit_ms:
        sent += 1
        if amend(fleet, number, f"new-{sent}", 1) == 200:
            return fleet.world.env.now - began_ms
        fleet.world.run(BETWEEN_ADDS_MS)
    raise AssertionError("no add was acknowledged")


def lose_disk(fleet, number):
    fleet.kill_core(number)
    fleet.wipe(number)
    fleet.world.run(500)
    fleet.start_core(number, False)
    fleet.world.run(2 * CONTACT_MS + MERGE_MS)


def assert_kept(fleet, acknowledged):
    seen = totals(fleet, range(CORE))
    assert None not in seen
    assert min(seen) >= acknowledged


# review/5: an add that a registry acknowledged right after its start was lost with its disk.
@pytest.mark.parametrize("number", range(CORE))
def test_an_add_acknowledged_right_after_a_start_outlives_the_disk(number):
    fleet = formed(210 + number)
    restart_in_order(fleet, number)
    add_until_acknowledged(fleet, number)
    lose_disk(fleet, number)
    assert_kept(fleet, 1)


# The same of a registry whose disk was lost before it started: it knows nobody at first.
@pytest.mark.parametrize("number", range(CORE))
def test_an_add_acknowledged_right_after_a_start_without_a_disk_outlives_the_next_loss(number):
    fleet = formed(220 + number)
    fleet.kill_core(number)
    fleet.wipe(number)
    fleet.world.run(500)
    fleet.start_core(number, False)
    add_until_acknowledged(fleet, number)
    lose_disk(fleet, number)
    assert_kept(fleet, 1)


# The same of a registry whose machine stood still, and what was sent to it meanwhile was dropped:
# all others seem silent since long.
@pytest.mark.parametrize("stall_ms", [2500, 4000, 9000])
def test_an_add_acknowledged_right_after_a_stall_outlives_the_disk(stall_ms):
    fleet = formed(230)
    for daemon in (fleet.registries[1], fleet.store_daemons[1]):
        fleet.world.freeze(daemon.context, stall_ms)
    fleet.world.cut(["10.0.0.2"], ["10.0.0.1", "10.0.0.3"])
    fleet.world.run(stall_ms)
    fleet.world.join()
    add_until_acknowledged(fleet, 1)
    lose_disk(fleet, 1)
    assert_kept(fleet, 1)


# All machines lose power: each comes back alone at first, and the disk of one is lost after.
@pytest.mark.parametrize("number", range(CORE))
def test_an_add_acknowledged_right_after_all_lost_power_outlives_the_disk(number):
    fleet = formed(240 + number)
    fleet.lose_power()
    add_until_acknowledged(fleet, number)
    lose_disk(fleet, number)
    assert_kept(fleet, 1)


def add_for(fleet, number, time_ms):
    """Sends adds of one to a registry for a while; returns how many were acknowledged."""
    end_ms = fleet.world.env.now + time_ms
    acknowledged = sent = 0
    while fleet.world.env.now < end_ms:
        sent += 1
        acknowledged += amend(fleet, number, f"more-{sent}", 1) == 200
        fleet.world.run(20 * BETWEEN_ADDS_MS)
    return acknowledged


# The others restart at the same time, in order or not: that is no cut, and one disk may be lost.
@pytest.mark.parametrize("in_order", [True, False])
@pytest.mark.parametrize("number", range(CORE))
def test_adds_acknowledged_while_the_others_restart_outlive_the_disk(number, in_order):
    fleet = formed(260 + number)
    others = [other for other in range(CORE) if other != number]
    for other in others:
        (fleet.end_core if in_order else fleet.kill_core)(other)
    assert fleet.world.until(lambda: not any(map(fleet.running, others)), RESTART_MS)
    acknowledged = add_for(fleet, number, 3 * CONTACT_MS)
    fleet.kill_core(number)
    fleet.wipe(number)
    for each in range(CORE):
        fleet.start_core(each, False)
    fleet.world.run(3 * CONTACT_MS + MERGE_MS)
    assert_kept(fleet, acknowledged)
    assert add_until_acknowledged(fleet, number) < CONTACT_MS


# Machines that are gone for good don't keep adds back for ever.
def test_adds_are_acknowledged_again_where_the_others_dont_come_back():
    fleet = formed(270)
    for other in (1, 2):
        fleet.end_core(other)
    assert fleet.world.until(lambda: not any(map(fleet.running, (1, 2))), RESTART_MS)
    assert add_until_acknowledged(fleet, 0, limit_ms=12 * CONTACT_MS) > 6 * CONTACT_MS


# A side that is cut off counts on, also at a registry that starts during the cut, once it has
# listened for long enough.
def test_a_registry_that_starts_while_it_is_cut_off_counts_within_the_contact_time():
    fleet = formed(250)
    insist(fleet, 0, "before", 1)
    fleet.world.cut(["10.0.0.1"], ["10.0.0.2", "10.0.0.3"])
    fleet.kill_core(0)
    fleet.world.run(500)
    fleet.start_core(0, False)
    assert add_until_acknowledged(fleet, 0) < 1.5 * CONTACT_MS
    assert total(fleet, 0) > 1


def leave(fleet, number, id):
    """An endpoint says that it leaves; the status of the answer."""
    answer = call(fleet, number, "POST", f"instances/{id}/leave", b"{}")
    return answer[0] if answer else None


# A registry that starts while it is cut off is a cluster of its own before long. It acknowledged the
# leave of an endpoint that it doesn't know, which the others never heard of.
@pytest.mark.parametrize("cut_off", [(0,), (2,), (4,), (1, 4), (2, 5)])
def test_registries_that_start_while_they_are_cut_off_are_out_of_contact(cut_off):
    fleet = formed_of_six(280)
    ips = [f"10.0.0.{number + 1}" for number in range(6)]
    here = [ips[number] for number in cut_off]
    fleet.world.cut(here, [ip for ip in ips if ip not in here])
    for number in cut_off:
        fleet.kill_core(number)
    fleet.world.run(500)
    for number in cut_off:
        fleet.start_core(number, False)
    for _ in range(24):
        fleet.world.run(500)
        assert {leave(fleet, number, "unknown") for number in cut_off} <= {503, None}
    contact = fleet.registries[cut_off[0]].service.contact
    assert not contact.reaches_majority()
    fleet.world.join()
    fleet.world.run(3 * CONTACT_MS)
    assert contact.reaches_majority()
    assert leave(fleet, cut_off[0], "unknown") == 200


# A registry that starts took its own time of day for the core's, since it knew of nobody else.
def test_a_registry_that_starts_alone_knows_no_size_of_the_core():
    fleet = formed_of_six(290)
    fleet.world.cut(["10.0.0.1"], [f"10.0.0.{number}" for number in range(2, 7)])
    fleet.kill_core(0)
    fleet.world.run(500)
    fleet.start_core(0, False)
    contact = fleet.registries[0].service.contact
    clock = AgreedClock(fleet.registries[0].context, contact.core_size)
    for _ in range(24):
        assert clock.now_ms() is None
        fleet.world.run(500)
    fleet.world.join()
    fleet.world.run(3 * CONTACT_MS)
    assert contact.core_size() == 6


# The directory of a registry that had stood still named only the fronts that it feeds itself, until
# the others' pings came.
def test_the_directory_names_the_same_fronts_right_after_a_stall():
    fleet = settled_fleet(300, core=CORE, proxies=6, more=TOLERANCE_OF_ONE)
    registry = fleet.registries[1]

    def named():
        return sorted(registry.service.proxies.resolve("a1", "a", "").fronts)

    assert fleet.world.until(lambda: fleet.formed(DAEMONS + 6), 25000)
    assert heartbeat(fleet, 0, "i-1", beat_of("i-1")) == 200
    assert fleet.world.until(named, 5000)
    fleet.world.run(2 * CONTACT_MS)
    before = named()
    assert not set(before) <= {row.front for row in registry.service.proxies.fed_here()}
    fleet.world.freeze(registry.context, 3000)
    fleet.world.cut(["10.0.0.2"], ["10.0.0.1", "10.0.0.3"])
    fleet.world.run(3000)
    fleet.world.join()
    fleet.world.run(1)
    assert named() == before


def stand_still_together(fleet, numbers, stall_ms):
    """Machines stand still, and what was sent to them meanwhile is dropped."""
    for number in numbers:
        for daemon in (fleet.registries[number], fleet.store_daemons[number]):
            fleet.world.freeze(daemon.context, stall_ms)
    fleet.world.cut(map(address, numbers), list(map(address, fleet.registries)))
    fleet.world.run(stall_ms)
    fleet.world.join()


def stand_still(fleet, number, stall_ms):
    """A registry's machine stands still, and what was sent to it meanwhile is dropped."""
    stand_still_together(fleet, [number], stall_ms)


def keep_alive(fleet, to, id, seq=1):
    """An endpoint sends its heartbeats to one registry."""
    fleet.world.later(1000, keep_alive, fleet, to, id, seq + 1)
    send_heartbeat(fleet.registries[to].service, id, beat_of(id, seq=seq), lambda *_answer: None)


# The owner of a shard that stood still has heard no endpoint lately: they aren't silent for that.
@pytest.mark.parametrize(
    "seed, stall_ms", [(281, 7000), (282, 3200), (282, 4000), (283, 3200), (287, 2500), (287, 4000)]
)
def test_endpoints_of_a_registry_that_stood_still_stay_healthy(seed, stall_ms):
    fleet = settled_fleet(seed, core=CORE)
    shard = shard_of("s")
    assert fleet.world.until(lambda: len(owners(fleet, shard)) == 1, 20000)
    (owner,) = owners(fleet, shard)
    heard_by = (owner + 1) % CORE
    keep_alive(fleet, heard_by, "i-1")
    fleet.world.run(2 * CONTACT_MS)
    stand_still(fleet, owner, stall_ms)
    instances = fleet.registries[owner].service.instances
    for _ in range(40):
        fleet.world.run(50)
        assert instances.by_id["i-1"].is_counted


# A registry that stood still, or has just started, doesn't take a shard from an owner that is there.
@pytest.mark.parametrize("stall_ms", [1800, 2500, 3500])
@pytest.mark.parametrize("number", range(CORE))
def test_a_registry_that_stood_still_takes_no_shard_from_its_owner(number, stall_ms):
    fleet = settled_fleet(290 + number, core=CORE)
    assert fleet.world.until(lambda: all(len(owners(fleet, shard)) == 1 for shard in SHARDS), 20000)
    stand_still(fleet, number, stall_ms)
    before = {shard: owners(fleet, shard) for shard in SHARDS}
    elsewhere = {shard: who for shard, who in before.items() if number not in who}
    for _ in range(60):
        fleet.world.run(50)
        assert {shard: owners(fleet, shard) for shard in elsewhere} == elsewhere


# Two of three machines that stood still have heard nobody lately: the third isn't down for that.
@pytest.mark.parametrize("seed", [301, 304])
def test_machines_that_stood_still_dont_mark_one_down_that_ran(seed):
    fleet = settled_fleet(seed, core=CORE)
    fleet.world.run(2 * CONTACT_MS)
    for stall_ms in (1500, 2500, 4000, 7000):
        for running in (2, 1, 0):
            stood_still = [number for number in range(CORE) if number != running]
            stand_still_together(fleet, stood_still, stall_ms)
            ran = fleet.registries[running].membership.me.address
            for _ in range(60):
                fleet.world.run(50)
                assert not any(marks_down(registry, ran) for registry in fleet.registries.values())
            fleet.world.run(3 * CONTACT_MS)


def marks_down(registry, registry_address):
    member = registry.membership.state.members.get(registry_address)
    return member is not None and member.state >= MemberState.DOWN

"""Tallies through whole fleets: adds are counted once and outlive cuts and lost disks."""

import json

import pytest
from support.fleet import Fleet

from stagevale.api.router import Call
from stagevale.tallies.add import Add, LoggedAdd, Position
from stagevale.tallies.state import TallyState

MERGE_MS = 3000
CONTACT_MS = 4000
CALLER_PATIENCE_MS = 1000
TOLERANCE = "\n[tolerance]\nmachines = 2\nzones = 1\nregions = 1\n"
REGION_C = ["10.0.0.3", "10.0.0.6"]
OTHERS = ["10.0.0.1", "10.0.0.2", "10.0.0.4", "10.0.0.5"]


def formed(seed):
    fleet = Fleet(seed, 0, TOLERANCE)
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1 and fleet.formed(12), 25000)
    return fleet


def call(fleet, number, method, path, body=b"", wait_ms=CALLER_PATIENCE_MS):
    """Calls one registry as an application does; (status, body), or None where it says nothing."""
    got = []
    segments = ("v1", *path.split("/"))
    registry = fleet.registries[number]
    registry.api.router.dispatch(
        Call(method, segments, "", body), lambda *answer: got.append(answer)
    )
    fleet.world.until(lambda: got, wait_ms)
    return got[0] if got else None


def amend(fleet, number, id, amount, tally="t1"):
    """Sends an add; the status of its answer, or None."""
    body = json.dumps({"id": id, "actor": amount}).encode()
    answer = call(fleet, number, "POST", f"tallies/{tally}/amend", body)
    return answer[0] if answer else None


def insist(fleet, number, id, amount, limit_ms=12000):
    """Sends an add again and again until it is acknowledged."""
    end = fleet.world.env.now + limit_ms
    while fleet.world.env.now < end:
        if amend(fleet, number, id, amount) == 200:
            return
        fleet.world.run(200)
    raise AssertionError(f"{id} was never acknowledged")


def total(fleet, number, tally="t1"):
    """What one registry reads; None where it doesn't tell."""
    answer = call(fleet, number, "GET", f"tallies/{tally}/read")
    return answer[1]["total"] if answer and answer[0] == 200 else None


def totals(fleet, numbers=range(6)):
    return {total(fleet, number) for number in numbers}


# Calls of tallies were answered 404: nothing of the page was served.
def test_a_tally_is_served_and_a_new_name_reads_zero():
    fleet = formed(101)
    assert total(fleet, 3) == 0
    assert amend(fleet, 0, "a", 4) == 200
    assert total(fleet, 0) == 4


# An add that is sent again right after its answer, to another registry, was counted twice.
def test_an_id_that_recurs_at_another_registry_is_counted_once():
    fleet = formed(102)
    for number in (0, 1, 5, 0):
        assert amend(fleet, number, "a", 4) == 200
    fleet.world.run(MERGE_MS)
    assert totals(fleet) == {4}


# Registries told different totals for longer than they may.
def test_all_registries_read_alike_within_the_merge_time():
    fleet = formed(103)
    for number in range(60):
        assert amend(fleet, number % 6, f"id-{number}", number) == 200
    fleet.world.run(MERGE_MS)
    assert totals(fleet) == {sum(range(60))}


# A side that was cut off counted nothing, or its adds were gone after the healing.
def test_both_sides_of_a_cut_count_and_agree_after_it():
    fleet = formed(104)
    insist(fleet, 0, "before", 1)
    fleet.world.run(MERGE_MS)
    fleet.world.cut(REGION_C, OTHERS)
    insist(fleet, 2, "here", 10)
    insist(fleet, 0, "there", 100)
    insist(fleet, 2, "both", 1000)
    insist(fleet, 1, "both", 1000)
    fleet.world.run(20000)
    assert totals(fleet, (2, 5)) == {1011}
    assert totals(fleet, (0, 1, 3, 4)) == {1101}
    fleet.world.join()
    fleet.world.run(MERGE_MS)
    assert totals(fleet) == {1111}


# A registry that no other one reached refused adds until the cut healed.
def test_a_registry_that_is_cut_off_alone_goes_on_counting():
    fleet = formed(105)
    alone = "10.0.0.2"
    fleet.world.cut([alone], [f"10.0.0.{n}" for n in (1, 3, 4, 5, 6)])
    insist(fleet, 1, "a", 7, limit_ms=CONTACT_MS)
    assert amend(fleet, 1, "b", 8) == 200
    assert total(fleet, 1) == 15


# The closing fault of a day took acknowledged adds with the disks that had them.
@pytest.mark.parametrize("lost", [(0, 1), (0, 3), (2, 5), (4, 0)])
def test_acknowledged_adds_outlive_as_many_disks_as_may_be_lost(lost):
    fleet = formed(106)
    for number in range(12):
        assert amend(fleet, lost[0], f"id-{number}", 1) == 200
    fleet.lose_power(wiped=lost)
    fleet.world.run(2 * CONTACT_MS)
    assert totals(fleet) == {12}


# An add was acknowledged on fewer disks than the tolerance asks for, while others were in reach.
def test_nothing_is_acknowledged_on_too_few_disks_while_others_are_in_reach():
    fleet = formed(107)
    fleet.world.stalled |= {f"10.0.0.{number}" for number in (2, 3, 4, 5, 6)}
    assert amend(fleet, 0, "a", 4) in (503, 504, None)
    fleet.world.stalled.clear()
    insist(fleet, 0, "a", 4, limit_ms=CONTACT_MS)
    fleet.world.run(MERGE_MS)
    assert totals(fleet) == {4}


# A registry that had just started told an older total than it had acknowledged before.
def test_a_restarted_registry_tells_nothing_older():
    fleet = formed(108)
    for number in range(5):
        assert amend(fleet, 3, f"id-{number}", 1) == 200
    fleet.kill_core(3)
    fleet.world.run(300)
    fleet.start_core(3, False)
    seen = set()
    for _ in range(100):
        seen.add(total(fleet, 3))
        fleet.world.run(50)
    assert seen <= {None, 5}
    assert total(fleet, 3) == 5


def logged(origin, number, id="a", amount=1):
    return LoggedAdd(Position(origin, number), Add("t1", id, amount))


def add_behind_a_gap(fleet, holder):
    """An add that one registry alone has, of a disk that is gone with the add before it."""
    fleet.registries[holder].service.tallies.receive([logged("gone", 2, "behind", 7)], "", False)


# review/5: the disk that had the number before was lost, too, and no digest told of what came after.
@pytest.mark.parametrize("holder", [0, 3, 5])
def test_an_add_behind_a_gap_reaches_all_within_the_merge_time(holder):
    fleet = formed(111)
    assert amend(fleet, 1, "b", 5) == 200
    fleet.world.run(MERGE_MS)
    add_behind_a_gap(fleet, holder)
    fleet.world.run(MERGE_MS)
    assert totals(fleet) == {12}


# What is accepted anew once isn't accepted anew at each start, nor by all that come to know it.
def test_an_add_behind_a_gap_is_accepted_anew_once():
    fleet = formed(112)
    add_behind_a_gap(fleet, 0)
    fleet.world.run(3 * MERGE_MS)
    for _ in range(2):
        fleet.kill_core(0)
        fleet.world.run(300)
        fleet.start_core(0, False)
        fleet.world.run(CONTACT_MS + 2 * MERGE_MS)
    origins = fleet.registries[1].service.tallies.state.origins
    assert sum(len(origin.adds) for name, origin in origins.items() if name != "gone") == 1
    assert totals(fleet) == {7}


# Adds that come in another order than they were numbered are not behind a gap for long.
def test_adds_that_overtake_each_other_close_their_gaps():
    state = TallyState()
    for number in (3, 1, 4, 2):
        state.merge(logged("one", number, f"id-{number}"))
    assert state.digest() == {"one": 4}
    assert state.detached() == []


# How far acknowledged adds were spread could not be seen from outside.
def test_metrics_tell_how_many_copies_acknowledged_adds_had():
    fleet = formed(110)
    assert amend(fleet, 0, "a", 4) == 200
    assert fleet.registries[0].context.metrics.tally_adds.counts == {"3 of 3": 1}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"id": "a"}',
        b'{"id": "", "actor": 1}',
        b'{"id": 7, "actor": 1}',
        b'{"id": "a", "actor": true}',
        b'{"id": "a", "actor": 1.5}',
        b'{"id": "a", "actor": 1e400}',
        b'{"id": "a", "actor": 99999999999999999999}',
    ],
)
def test_a_wrong_add_is_refused_and_changes_nothing(body):
    fleet = formed(109)
    assert call(fleet, 0, "POST", "tallies/t1/amend", body)[0] == 400
    assert total(fleet, 0) == 0

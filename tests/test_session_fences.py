"""A session's lease is a fence: of two sites that have a session in turn, one runs a key."""

import random

import pytest
from support.session_fleet import SessionFleet

TAPS = 8
SITES = (0, 3)
WORK_MS = 290
# Twice the work, and what both sites may wait for each other.
SETTLED_MS = 3000
LINK_MS = 0.2


def near_sites(seed):
    """Sites and a core that are near each other, so that one meets the other's every step."""
    day = SessionFleet(seed=seed)
    day.work_ms = WORK_MS
    day.world.delay = lambda _one, _other: LINK_MS
    return day


def runs_by_key(day):
    keys = [key for _, key, _ in day.runs]
    return {key: keys.count(key) for key in keys}


# review/4: a site that looked for another one's answer took over that one's lease version, numbered
# its attempts alike, and said of the other's attempt that it hadn't run.
def test_taps_under_way_at_two_sites_run_once():
    day = near_sites(501)
    for number in range(6):
        fan = f"fan-{number}"
        taps = ((0, "t1", 20), (1, "t1", 20), (1, "t2", 50), (0, "t3", 175), (0, "t4", 30))
        for site, tap, pause_ms in (*taps, (1, "t4", SETTLED_MS)):
            day.send(SITES[site], f"{fan}-{tap}", fan)
            day.world.run(pause_ms)
    assert set(runs_by_key(day).values()) == {1}


# Two sites, random moments of looking, reserving, sending, answering and losing the lease.
@pytest.mark.parametrize("seed", range(8))
def test_no_key_runs_twice_however_two_sites_take_turns(seed):
    day = near_sites(510)
    draw = random.Random(seed)
    for number in range(12):
        for tap in range(TAPS):
            for site in draw.sample(SITES, draw.choice([1, 2, 2])):
                day.send(site, f"fan-{number}-{tap}", f"fan-{number}")
                day.world.run(draw.choice([0.1, 5, 20, 30]))
            day.world.run(draw.choice([0.1, 20, 50, 120, 175, 250]))
        day.world.run(SETTLED_MS)
    assert set(runs_by_key(day).values()) == {1}

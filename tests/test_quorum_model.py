"""The model of the voters holds, and finds each guard that is taken out; longer runs by hand:
PYTHONPATH=.:tests python3 tests/quorum_model.py FIRST LAST STEPS DEPTH.
"""

import pytest
from quorum_model import Model, MovingModel, WrongError, explore, grown, settled, walk

WALKS, STEPS = 300, 80
PLATFORMS = [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2)]


def walk_all(model, seeds, start=None):
    for seed in seeds:
        walk(model, seed, STEPS, start)


@pytest.mark.parametrize("machines, tolerated", PLATFORMS)
def test_random_walks_lose_nothing_acknowledged(machines, tolerated):
    model = Model(machines, tolerated, most_content=3)
    walk_all(model, range(WALKS))


@pytest.mark.parametrize("machines, tolerated, depth", [(3, 1, 3), (4, 1, 3), (5, 2, 2)])
def test_every_interleaving_to_a_depth_loses_nothing_acknowledged(machines, tolerated, depth):
    model = Model(machines, tolerated, most_content=2)
    assert explore(model, depth, settled(model)) > 500


# Which guard is taken out, of which platform, and the seeds within which a walk has to find it.
BITES = [
    ("acknowledges_early", 5, 2, range(20, 40)),
    ("gives_seats_up", 3, 1, range(20)),
    ("gives_seats_up", 5, 2, range(5550, 5570)),
    ("replaces_in_one_step", 4, 1, range(2530, 2550)),
]


@pytest.mark.parametrize("guard, machines, tolerated, seeds", BITES)
def test_a_guard_that_is_taken_out_is_found(guard, machines, tolerated, seeds):
    model = Model(machines, tolerated, most_content=3)
    setattr(model, guard, True)
    with pytest.raises(WrongError):
        walk_all(model, seeds)


def test_survivors_of_lost_disks_do_not_decide_for_their_group():
    """Guards against a rule that was weighed, and taken for a while: who has accepted a group that
    was never committed would decide for it alone.
    """
    model = Model(3, 1, most_content=3)
    model.survivors_decide = model.gives_seats_up = True
    with pytest.raises(WrongError, match="would be elected"):
        walk_all(model, range(785, 795))


@pytest.mark.parametrize("machines, tolerated", [(5, 1), (6, 1), (8, 2)])
def test_random_walks_of_machines_that_leave_for_good_lose_nothing_acknowledged(
    machines, tolerated
):
    model = MovingModel(machines, tolerated, most_content=3)
    walk_all(model, range(WALKS), grown(model))


# CONFIG on days that move the core: machines that had left kept seats of a group that had grown.
@pytest.mark.parametrize("machines, tolerated", [(5, 1), (8, 2)])
def test_seats_that_departed_voters_keep_are_found(machines, tolerated):
    model = MovingModel(machines, tolerated, most_content=3)
    start = grown(model)
    model.keeps_departed_seats = True
    with pytest.raises(WrongError, match="nobody could be elected"):
        walk_all(model, range(WALKS), start)

"""Recovery after disks are lost while all other machines, proxies too, lose power."""

import pytest
from recovery_model import (
    ANSWER_BOUND_MS,
    CLOSINGS,
    CORE,
    PRELUDES,
    Caller,
    ClosingRun,
    Reader,
    faults,
)
from support.attempts import PATIENCE_MS

# Callers that read at each registry at the same time.
CALLERS = 8


@pytest.mark.parametrize("how", CLOSINGS)
@pytest.mark.parametrize("prelude", PRELUDES)
def test_what_was_acknowledged_is_read_back_in_time_after_a_closing_fault(prelude, how):
    assert faults(ClosingRun(1, how, prelude).watch()) == []


# Reads were confirmed one by one: with more callers than rounds in a second none was answered in time.
def test_many_callers_that_read_at_once_after_a_closing_fault_are_all_answered():
    assert faults(ClosingRun(1, "aimed", "nothing").watch(callers=CALLERS)) == []


# Each copy of an order that had been taken was confirmed by itself, and all else waited meanwhile.
def test_copies_of_an_order_are_all_acknowledged_again():
    """Its answers were lost: it is sent again as it was, to any daemon."""
    run = ClosingRun(3, "drawn", "nothing")
    run.world.run(8000)
    run.change()
    copies = [
        Caller(run, number % CORE, "replace", run.payload) for number in range(CORE * CALLERS)
    ]
    run.world.run(ANSWER_BOUND_MS)
    assert [copy for copy in copies if copy.first_ms is None] == []
    started_ms = run.world.env.now
    run.change()
    assert run.world.env.now - started_ms < PATIENCE_MS


def test_a_change_is_acknowledged_while_many_callers_read():
    """A change waits for one confirmation at most, however many read."""
    run = ClosingRun(2, "drawn", "nothing")
    for number in range(CORE * CALLERS):
        Reader(run, number % CORE)
    run.world.run(8000)
    before = run.acknowledged
    started_ms = run.world.env.now
    run.change()
    assert run.acknowledged == before + 1
    assert run.world.env.now - started_ms < PATIENCE_MS

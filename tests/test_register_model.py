"""Random schedules over the register's real code, and proof that the checker bites."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from register_model import TROUBLES, Run, check

from stagevale.configuration.change_history import ChangeHistory
from stagevale.consensus import acceptor, replication, vote_storage

# By hand: python3 tests/register_model.py FIRST LAST
SCHEDULES = 8


@settings(derandomize=True, max_examples=SCHEDULES, deadline=None, database=None)
@given(st.integers(0, 2**32), st.sets(st.sampled_from(sorted(TROUBLES)), min_size=2))
def test_one_order_of_changes_explains_every_answer(seed, kinds):
    assert check(Run(seed, kinds=sorted(kinds))) == []


def confirms_without_asking(monkeypatch):
    """A leader answers reads and refusals without a majority's word."""
    monkeypatch.setattr(
        replication.Replication, "confirm_leadership", lambda _self, on_done: on_done(True)
    )


def forgets_changes(monkeypatch):
    """No record of the changes taken: one that is sent again is refused."""
    monkeypatch.setattr(ChangeHistory, "contains", lambda _self, _name, _fingerprint: False)


def answers_before_the_disk(monkeypatch):
    """Promises and accepted values are answered before they are saved."""

    def save(self, on_saved=lambda _saved: None):
        on_saved(True)
        self._unsaved_changes = True
        self._save_next()

    monkeypatch.setattr(acceptor.Acceptor, "save", save)


def keeps_the_identity(monkeypatch):
    """A disk that was lost comes back under its former identity, and its empty vote counts."""
    monkeypatch.setattr(acceptor, "new_voter_id", lambda address, _random: address)


def loads_snapshots_only(monkeypatch):
    """Increments after the snapshot are passed over when a vote is loaded."""
    monkeypatch.setattr(vote_storage.Vote, "with_increment", lambda self, _record: self)


GUARDS = {
    # what is taken out: troubles, the first seed, schedules within which it has to be found
    confirms_without_asking: (None, 10, 4),
    forgets_changes: (None, 1, 2),
    answers_before_the_disk: (["power_in_stall", "kill"], 1, 4),
    keeps_the_identity: (["closing_behind"], 28, 4),
    loads_snapshots_only: (["power", "kill"], 1, 2),
}


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.__name__)
def test_the_checker_finds_each_guard_that_is_taken_out(guard, monkeypatch):
    kinds, first, within = GUARDS[guard]
    guard(monkeypatch)
    assert any(check(Run(seed, kinds=kinds)) for seed in range(first, first + within))


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.__name__)
def test_the_same_schedules_pass_with_every_guard_in_place(guard):
    kinds, first, _ = GUARDS[guard]
    assert check(Run(first, kinds=kinds)) == []

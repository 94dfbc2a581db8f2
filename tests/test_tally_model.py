"""The model of tallies: days that hold, and rules that it finds broken where a guard is out."""

import pytest
from tally_model import play

from stagevale.tallies import replica
from stagevale.tallies.copies import CopyRule
from stagevale.tallies.state import TallyState


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_rule_is_broken(seed):
    assert play(seed) is None


def broken_days(seeds):
    return [broken for broken in map(play, seeds) if broken]


def test_the_model_finds_acknowledgements_on_too_few_disks(monkeypatch):
    monkeypatch.setattr(replica, "rule_of", lambda _tolerance: CopyRule(1, 1, 1))
    assert any(broken.startswith("LOST") for broken in broken_days(range(1, 7)))


def test_the_model_finds_adds_that_are_counted_twice(monkeypatch):
    monkeypatch.setattr(TallyState, "find", lambda _state, _add: None)
    merge = TallyState.merge

    def merge_without_ids(state, logged):
        renamed = logged.add._replace(id=f"{logged.add.id} {logged.position}")
        return merge(state, logged._replace(add=renamed))

    monkeypatch.setattr(TallyState, "merge", merge_without_ids)
    assert any(broken.startswith("TWICE") for broken in broken_days(range(1, 4)))

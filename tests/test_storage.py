"""A vote on real files: snapshots, increments, and what a loss of power leaves of them."""

import os
import random
import shutil

import pytest
from test_disk import states

from stagevale.configuration.change_history import ChangeHistory
from stagevale.configuration.text_delta import apply_text_delta, text_delta
from stagevale.configuration.value import ConfigurationValue, read_configuration_value
from stagevale.consensus import vote_storage
from stagevale.consensus.vote_storage import DamagedDiskError, Vote, VoteStorage
from stagevale.quorum.ballot import Ballot
from stagevale.rpc import codec
from stagevale.storage.folder import Folder
from stagevale.storage.tables import NumberedTables

GROUP = ("10.0.0.1:7201", "10.0.0.2:7201~0a")


def open_storage(path):
    return VoteStorage(NumberedTables(Folder(str(path))), read_configuration_value)


def routes(count, version):
    rows = [f'{{"host":"h{n}.example","pathPrefix":"/p{n % 7}/"}}' for n in range(count)]
    return f'{{"version":"r{version}","routes":[' + ",".join(rows) + "]}"


def votes(count, size=20):
    """A first vote and the votes after it, each a change of configuration further."""
    value = ConfigurationValue(1, 1, routes(size, 1), (), GROUP)
    found = [Vote("10.0.0.1:7201", GROUP, Ballot(1, "a#1"), Ballot(1, "a#1"), value)]
    for number in range(2, count + 2):
        value = value.changed(
            version=number,
            config=routes(size, number).replace("/p3/", f"/q{number}/", 1),
            answered=value.answered.with_change(str(number), f"{number:024x}"),
        )
        found.append(
            Vote("10.0.0.1:7201", GROUP, Ballot(number, "a#1"), Ballot(number, "a#1"), value)
        )
    return found


def same(one, other):
    return one.promised == other.promised and one.accepted.digest == other.accepted.digest


def test_every_vote_that_was_saved_is_loaded(tmp_path):
    kept = open_storage(tmp_path)
    for vote in votes(60):
        kept.save(vote)
        assert same(open_storage(tmp_path).load(), vote)
    assert len(os.listdir(tmp_path)) <= 2 * (vote_storage.INCREMENTS_PER_SNAPSHOT + 2)


def test_a_save_torn_at_any_point_leaves_the_vote_before_it_or_its_own(tmp_path):
    series = votes(3)
    before = tmp_path / "before"
    before.mkdir()
    kept = open_storage(before)
    for vote in series[:3]:
        kept.save(vote)
    after = tmp_path / "after"
    shutil.copytree(before, after)
    kept.tables = NumberedTables(Folder(str(after)))
    kept.save(series[3])
    fresh = sorted(set(os.listdir(after)) - set(os.listdir(before)))
    data, index = ((after / name).read_bytes() for name in fresh)
    for number, (dat, names) in enumerate((a, b) for a in states(data) for b in states(index)):
        folder = tmp_path / f"torn-{number}"
        shutil.copytree(before, folder)
        for name, content in zip(fresh, (dat, names), strict=True):
            if content is not None:
                (folder / name).write_bytes(content)
        again = open_storage(folder)
        loaded = again.load()
        assert same(loaded, series[2]) or same(loaded, series[3])
        again.save(series[3])
        assert same(open_storage(folder).load(), series[3])


def test_removed_files_that_come_back_are_never_the_newest(tmp_path):
    """Without a sync of the folder each removed file may be kept or lost by itself."""
    draw = random.Random(5)
    kept, seen = open_storage(tmp_path / "live"), {}
    (tmp_path / "live").mkdir()
    for number, vote in enumerate(votes(60)):
        kept.save(vote)
        for name in os.listdir(tmp_path / "live"):
            seen[name] = (tmp_path / "live" / name).read_bytes()
        folder = tmp_path / f"back-{number}"
        shutil.copytree(tmp_path / "live", folder)
        for name, content in seen.items():
            if not (folder / name).exists() and draw.random() < 0.5:
                (folder / name).write_bytes(content)
        assert same(open_storage(folder).load(), vote)


def test_a_hole_before_later_saves_is_damage_and_no_older_vote(tmp_path):
    kept = open_storage(tmp_path)
    for vote in votes(5):
        kept.save(vote)
    (tmp_path / "register-3.dat").write_bytes(b"\xff" * 9)
    with pytest.raises(DamagedDiskError, match="save 3 is unreadable"):
        open_storage(tmp_path).load()


@pytest.mark.parametrize("content", [b"", b"\xff" * 50])
def test_foreign_files_are_damage_and_no_empty_disk(tmp_path, content):
    (tmp_path / "register-7.dir").write_bytes(content)
    with pytest.raises(DamagedDiskError):
        open_storage(tmp_path).load()
    assert open_storage(tmp_path / "..").load() is None


def test_a_save_that_fails_is_followed_by_a_snapshot(tmp_path, monkeypatch):
    series = votes(4)
    kept = open_storage(tmp_path)
    kept.save(series[0])
    kept.save(series[1])

    def full(_self, _number, _record):
        raise OSError("no space left")

    monkeypatch.setattr(NumberedTables, "write", full)
    with pytest.raises(OSError, match="no space left"):
        kept.save(series[2])
    monkeypatch.undo()
    kept.save(series[3])
    assert same(open_storage(tmp_path).load(), series[3])


def test_a_change_writes_what_changed_whatever_the_configurations_size(tmp_path):
    written = {}
    for size in (50, 2000):
        folder = tmp_path / str(size)
        folder.mkdir()
        kept = open_storage(folder)
        series = votes(8, size)
        kept.save(series[0])
        before = kept.written_bytes
        for vote in series[1:]:
            kept.save(vote)
        written[size] = (kept.written_bytes - before) / 8, before
    (small, _), (large, whole) = written[50], written[2000]
    assert large * 10 < whole
    assert large < small * 1.5


def test_text_deltas_lead_to_the_text():
    draw = random.Random(3)
    for _ in range(200):
        before = routes(draw.randint(0, 30), 1)
        after = list(before)
        for _ in range(draw.randint(0, 5)):
            after.insert(draw.randrange(len(after) + 1), draw.choice(("},", "x", '{"a":1},')))
        after = "".join(after)
        assert apply_text_delta(before, text_delta(before, after)) == after
    with pytest.raises(ValueError, match="a run from 0 over 9 of 1 pieces"):
        apply_text_delta("a", [[0, 9]])


def test_deltas_of_values_lead_to_the_value_and_to_nothing_else():
    first, second, third = (vote.accepted for vote in votes(2))
    assert first.with_delta(second.delta_from(first)).digest == second.digest
    assert read_configuration_value(third.encoded).digest == third.digest
    with pytest.raises(ValueError, match="leads to another value"):
        third.with_delta(second.delta_from(first))


def test_the_record_of_changes_keeps_the_newest_and_names_its_horizon():
    record = ChangeHistory()
    for number in range(1, 400):
        record = record.with_change(str(number), f"h{number}")
    assert record.contains("399", "h399")
    assert not record.contains("399", "h1")
    assert record.may_have_dropped(143)
    assert not record.may_have_dropped(144)
    assert record.contains("144", "h144")
    assert not record.contains("143", "h143")


def test_a_vote_written_before_voters_had_identities_is_read(tmp_path):
    """Its value held every version ever taken, by number."""
    taken = {"2": "a" * 24, "10": "b" * 24, "shop/1": "c" * 24}
    value = [0, 7, 10, routes(2, 10), ["a1"], ["10.0.0.1:7201"], taken]
    record = [
        0,
        [4, "10.0.0.1:7201#x"],
        [3, "y#z"],
        codec.compress(codec.encode(value)),
        ["10.0.0.2:7200"],
    ]
    NumberedTables(Folder(str(tmp_path))).write(9, codec.encode(record))
    vote = open_storage(tmp_path).load()
    assert (vote.voter, vote.promised, vote.peers) == (
        "",
        (4, "10.0.0.1:7201#x"),
        ("10.0.0.2:7200",),
    )
    assert vote.accepted.version == 10
    assert vote.accepted.evacuated == ("a1",)
    assert all(vote.accepted.answered.contains(name, hashed) for name, hashed in taken.items())
    assert read_configuration_value(vote.accepted.encoded).digest == vote.accepted.digest

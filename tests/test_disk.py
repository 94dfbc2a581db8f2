"""What a store's disk holds after a loss of power at any point of a save."""

import contextlib
import os
import shutil

import pytest

from stagevale.storage import merging_log
from stagevale.storage.folder import Folder
from stagevale.storage.generations import GenerationFile
from stagevale.storage.merging_log import FAN_OUT, Lifetime, MergingLog

FIRST, SECOND = b"first record " * 9, b"second record, longer than the first " * 11


def states(data):
    """What a file may hold that was being written when power went: nothing, a part, a part torn, or
    all.
    """
    yield None
    for cut in sorted({0, 1, len(data) // 3, len(data) // 2, len(data) - 1}):
        yield data[:cut]
        yield data[:cut] + b"\x00" * (len(data) - cut)
    yield data


def saved(folder, *records):
    register = GenerationFile(Folder(str(folder)))
    register.load()
    for record in records:
        register.save(record)
    return register


def test_torn_at_any_point_of_a_save_the_record_before_or_after_is_read(tmp_path):
    before, after = tmp_path / "before", tmp_path / "after"
    before.mkdir()
    saved(before, FIRST)
    shutil.copytree(before, after)
    saved(after, SECOND)
    fresh = sorted(set(os.listdir(after)) - set(os.listdir(before)))
    assert fresh == ["register-2.dat", "register-2.dir"]
    dat_bytes, dir_bytes = ((after / name).read_bytes() for name in fresh)
    seen = set()
    for number, (dat, index) in enumerate(
        (a, b) for a in states(dat_bytes) for b in states(dir_bytes)
    ):
        folder = tmp_path / f"torn-{number}"
        shutil.copytree(before, folder)
        for name, data in zip(fresh, (dat, index), strict=False):
            if data is not None:
                (folder / name).write_bytes(data)
        record = GenerationFile(Folder(str(folder))).load()
        assert record in (FIRST, SECOND)
        if dat == dat_bytes and index == dir_bytes:
            assert record == SECOND
        seen.add(record)
        register = saved(folder, b"third")
        assert GenerationFile(Folder(str(folder))).load() == b"third"
        assert register.generation > 1
    assert seen == {FIRST, SECOND}


class Failing(Folder):
    """A disk that refuses the n-th call."""

    __slots__ = ("left",)

    def sync(self, name):
        self.left -= 1
        if self.left < 0:
            raise OSError("the disk refuses")
        super().sync(name)


@pytest.mark.parametrize("left", [0, 1, 2])
def test_a_save_that_fails_leaves_what_was_there(tmp_path, left):
    saved(tmp_path, FIRST)
    folder = Failing(str(tmp_path))
    folder.left = left
    register = GenerationFile(folder)
    assert register.load() == FIRST
    with pytest.raises(OSError, match="the disk refuses"):
        register.save(SECOND)
    assert GenerationFile(Folder(str(tmp_path))).load() in (FIRST, SECOND)
    folder.left = 99
    register.save(b"third")
    assert GenerationFile(Folder(str(tmp_path))).load() == b"third"


def test_few_generations_stay(tmp_path):
    saved(tmp_path, *(b"record %d" % number for number in range(9)))
    assert len(os.listdir(tmp_path)) == 4


def test_an_empty_folder_holds_nothing(tmp_path):
    assert GenerationFile(Folder(str(tmp_path))).load() is None
    (tmp_path / "register-7.dir").write_bytes(b"\xff" * 50)
    assert GenerationFile(Folder(str(tmp_path))).load() is None


def log_rows(first, count):
    return [["add", f"id-{number}", number] for number in range(first, first + count)]


def test_every_row_of_a_merging_log_is_loaded_and_few_tables_stay(tmp_path):
    log, given = MergingLog(Folder(str(tmp_path))), []
    for number in range(600):
        batch = log_rows(3 * number, 3)
        log.append(batch, False)
        given += batch
    loaded = MergingLog(Folder(str(tmp_path))).load()
    assert sorted(loaded) == sorted(given)
    assert len(os.listdir(tmp_path)) <= 2 * 3 * FAN_OUT


def test_a_row_of_a_merging_log_is_written_a_few_times_however_many_there_are(
    tmp_path, monkeypatch
):
    written = []
    write_table = merging_log.write_table
    monkeypatch.setattr(
        merging_log, "write_table", lambda *args: (written.append(len(args[3])), write_table(*args))
    )
    log, shares = MergingLog(Folder(str(tmp_path))), []
    for rounds in (256, 256):
        written.clear()
        for number in range(rounds):
            log.append(log_rows(number, 1), False)
        shares.append(sum(written))
    assert shares[1] < 1.2 * shares[0]


@pytest.mark.parametrize("left", range(8))
def test_what_a_merging_log_has_taken_outlives_saves_that_fail(tmp_path, left):
    """Also one that fails while older tables are merged."""
    folder = Failing(str(tmp_path))
    folder.left = 999
    log, given = MergingLog(folder), []
    for number in range(FAN_OUT - 1):
        log.append(log_rows(number, 1), False)
        given += log_rows(number, 1)
    folder.left = left
    with contextlib.suppress(OSError):
        log.append(log_rows(100, 1), False)
        given += log_rows(100, 1)
    folder.left = 999
    log.append(log_rows(200, 1), False)
    given += log_rows(200, 1)
    loaded = MergingLog(Folder(str(tmp_path))).load()
    assert {tuple(row) for row in given} <= {tuple(row) for row in loaded}


def test_tables_that_come_back_after_they_were_merged_change_nothing(tmp_path):
    log = MergingLog(Folder(str(tmp_path)))
    for number in range(FAN_OUT - 1):
        log.append(log_rows(number, 1), False)
    before = {name: (tmp_path / name).read_bytes() for name in os.listdir(tmp_path)}
    log.append(log_rows(50, 1), False)
    assert not set(before) & set(os.listdir(tmp_path))
    for name, content in before.items():
        (tmp_path / name).write_bytes(content)
    again = MergingLog(Folder(str(tmp_path)))
    for number in range(60, 60 + FAN_OUT):
        again.append(log_rows(number, 1), False)
    loaded = {tuple(row) for row in MergingLog(Folder(str(tmp_path))).load()}
    wanted = [*range(FAN_OUT - 1), 50, *range(60, 60 + FAN_OUT)]
    assert loaded == {("add", f"id-{number}", number) for number in wanted}


def test_tables_of_a_merging_log_that_are_large_together_are_not_merged(tmp_path, monkeypatch):
    """Merging them would hold up the saves behind it."""
    monkeypatch.setattr(merging_log, "MOST_MERGED_BYTES", 400)
    log, given = MergingLog(Folder(str(tmp_path))), []
    for number in range(5 * FAN_OUT):
        log.append(log_rows(number, 2), False)
        given += log_rows(number, 2)
    largest = max(path.stat().st_size for path in tmp_path.glob("*.dat"))
    assert largest < 400 + 512 + 512
    assert {tuple(row) for row in MergingLog(Folder(str(tmp_path))).load()} == set(
        map(tuple, given)
    )


def test_tables_of_a_merging_log_go_when_all_of_their_rows_have_expired(tmp_path):
    now = [0.0]
    lifetime = Lifetime(lambda: now[0], lambda rows: max(row[2] for row in rows))
    log = MergingLog(Folder(str(tmp_path)), lifetime=lifetime)
    for number in range(FAN_OUT + 3):
        log.append([["key", f"id-{number}", 100.0]], False)
    log.append([["key", "lasting", 900.0]], False)
    now[0] = 101.0
    log.append([["key", "newest", 100.0]], False)
    assert [row[1] for row in MergingLog(Folder(str(tmp_path))).load()] == ["lasting", "newest"]
    again = MergingLog(Folder(str(tmp_path)), lifetime=lifetime)
    again.load()
    now[0] = 1002.0
    again.append([["key", "later", 100.0]], False)
    assert [row[1] for row in again.load()] == ["later"]

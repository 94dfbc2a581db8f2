"""What a store's disk holds after a loss of power at any point of a save."""

import os
import shutil

import pytest

from stagevale.storage.folder import Folder
from stagevale.storage.generations import GenerationFile

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

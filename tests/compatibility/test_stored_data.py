"""What release 7dc65ba left on disk is read, also after a kill, and written alike."""

import json
import pathlib
import shutil

import driver
import pytest

DATA = pathlib.Path(__file__).parent / "data"
STORED = DATA / "stored"
EXPECTED = json.loads((DATA / "stored.json").read_text())
SAVE = {"store": driver.save_configuration_votes, "duties": driver.save_duty_votes}


def content(folder):
    """The files of a folder with their bytes."""
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


@pytest.mark.parametrize(("folder", "kind"), [("store", "configuration"), ("duties", "duties")])
def test_a_vote_is_read(folder, kind):
    assert driver.as_json(driver.read_vote(STORED / folder, kind)) == EXPECTED[folder]


@pytest.mark.parametrize(("folder", "kind"), [("store", "configuration"), ("duties", "duties")])
@pytest.mark.parametrize("ending", [".dat", ".dir"])
def test_a_vote_whose_last_save_was_torn_by_a_kill_is_the_one_before(
    tmp_path, folder, kind, ending
):
    SAVE[folder](tmp_path, EXPECTED["saves"] - 1)
    last = max((STORED / folder).glob("*.dir"), key=lambda path: int(path.stem.partition("-")[2]))
    for suffix in (".dat", ".dir"):
        shutil.copy(last.with_suffix(suffix), tmp_path)
    torn = (tmp_path / last.name).with_suffix(ending)
    torn.write_bytes(torn.read_bytes()[: torn.stat().st_size // 2])

    vote = driver.as_json(driver.read_vote(tmp_path, kind))

    assert vote == EXPECTED[folder + "-before"]


def test_sessions_are_read():
    assert driver.as_json(driver.read_sessions(STORED / "sessions")) == EXPECTED["sessions"]


def test_endpoint_hints_are_read():
    assert driver.as_json(driver.read_hints(STORED / "registry")) == EXPECTED["hints"]


@pytest.mark.parametrize(
    ("folder", "save"),
    [
        ("store", lambda folder: SAVE["store"](folder, EXPECTED["saves"])),
        ("duties", lambda folder: SAVE["duties"](folder, EXPECTED["saves"])),
        ("sessions", lambda folder: driver.save_sessions(folder, EXPECTED["batches"])),
        ("registry", driver.save_hints),
    ],
)
def test_the_same_saves_leave_the_same_files(tmp_path, folder, save):
    save(tmp_path)

    assert content(tmp_path) == content(STORED / folder)

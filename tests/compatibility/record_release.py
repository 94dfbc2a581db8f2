"""Makes the data of the compatibility tests, but for the messages, from a checkout of 7dc65ba.

It was run once on that release and isn't run again: `python3 tests/compatibility/record_release.py`.
"""

import json
import pathlib
import shutil
import sys
import tempfile
import tomllib

HERE = pathlib.Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parent), str(HERE.parents[1])]
DATA = HERE / "data"
SAVES = 30
BATCHES = [
    [["group", "|0", 1, 0], ["record", "|0", "one", [1, "p#a", ["i-1"], []]]],
    [["record", "|0", "two", [2, "p#a", ["i-2"], []]]],
    [["group", "|0", 2, 0], ["record", "|0", "two", [3, "p#b", ["i-2"], []]]],
    [["record", "|0", "three", [1, "p#b", [], []]]],
]


def record_stored(driver):
    """Folders of data, and what is read from them."""
    stored = DATA / "stored"
    shutil.rmtree(stored, ignore_errors=True)
    for name in ("store", "duties", "sessions", "registry"):
        (stored / name).mkdir(parents=True)
    driver.save_configuration_votes(stored / "store", SAVES)
    driver.save_duty_votes(stored / "duties", SAVES)
    driver.save_sessions(stored / "sessions", BATCHES)
    driver.save_hints(stored / "registry")
    expected = {
        "saves": SAVES,
        "batches": BATCHES,
        "store": driver.read_vote(stored / "store", "configuration"),
        "duties": driver.read_vote(stored / "duties", "duties"),
        "sessions": driver.read_sessions(stored / "sessions"),
        "hints": driver.read_hints(stored / "registry"),
    }
    for name, kind, save in (
        ("store", "configuration", driver.save_configuration_votes),
        ("duties", "duties", driver.save_duty_votes),
    ):
        with tempfile.TemporaryDirectory() as folder:
            save(folder, SAVES - 1)
            expected[name + "-before"] = driver.read_vote(folder, kind)
    (DATA / "stored.json").write_text(json.dumps(expected, indent=1) + "\n")


def record_interfaces(driver, cases, tests):
    """Answers of calls, outcomes of commands, settings and the deploy file."""
    with tempfile.TemporaryDirectory() as folder:
        tests.write_files(pathlib.Path(folder))
        commands = [tests.run_command(arguments, folder) for arguments in cases.COMMANDS]
    expected = {
        "calls": tests.answers(driver.Calls()),
        "commands": commands,
        "settings": [driver.settings_fields(text) for text in cases.SETTINGS_FILES],
        "missing": driver.settings_file_failure("/nowhere/settings.toml"),
        "deploy": tomllib.loads((tests.ROOT / "deploy" / "system.toml").read_text()),
    }
    (DATA / "interfaces.json").write_text(json.dumps(expected, indent=1) + "\n")


def main():
    import cases
    import driver

    record_stored(driver)
    if not (DATA / "interfaces.json").exists():
        (DATA / "interfaces.json").write_text("{}")
    import test_interfaces

    record_interfaces(driver, cases, test_interfaces)


if __name__ == "__main__":
    main()

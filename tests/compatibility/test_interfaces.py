"""Calls, commands, settings and the deploy file answer as those of release 7dc65ba."""

import json
import os
import pathlib
import re
import subprocess
import sys
import tomllib

import cases
import driver
import pytest

ROOT = pathlib.Path(__file__).parents[2]
EXPECTED = json.loads((pathlib.Path(__file__).parent / "data" / "interfaces.json").read_text())


def structure(value):
    """The keys and types of a JSON value."""
    if isinstance(value, dict):
        return {name: structure(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [structure(inner) for inner in value[:1]]
    return type(value).__name__


def answers(calls):
    """What the control port, the directory and the routing table's status answer."""
    control = [calls.call(text) for text in cases.CALLS]
    directory = [calls.call(text, 8001) for text in cases.DIRECTORY_CALLS]
    stand = calls.call(cases.call("GET", "/v1/stand"))
    head, _, body = stand.partition("\r\n\r\n")
    return {
        "control": control,
        "directory": directory,
        "stand": [head.split("\r\n")[0], structure(json.loads(body))],
    }


def run_command(arguments, folder):
    """Exit code and output of a command, without colours and line breaks."""
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(ROOT),
        "COLUMNS": "200",
        "TERM": "dumb",
        "STAGEVALE_CONFIG": cases.BAD_SETTINGS,
    }
    done = subprocess.run(
        [sys.executable, "-m", "stagevale", *arguments],
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    shown = done.stdout if done.stdout.startswith("{") else ""
    return {
        "exit": done.returncode,
        "json": json.loads(shown) if shown else None,
        "options": sorted(set(re.findall(r"--[a-z][a-z-]+", done.stdout))),
        "errors": done.stderr if "stagevale" in done.stderr else "",
    }


def write_files(folder):
    for name, text in cases.FILES.items():
        (folder / name).write_text(text)


@pytest.fixture(scope="module")
def answered():
    return answers(driver.Calls())


@pytest.mark.parametrize("port", ["control", "directory", "stand"])
def test_calls_get_the_recorded_answers(answered, port):
    assert answered[port] == EXPECTED["calls"][port]


@pytest.mark.parametrize("number", range(len(cases.COMMANDS)))
def test_a_command_ends_as_recorded(tmp_path, number):
    write_files(tmp_path)

    outcome = run_command(cases.COMMANDS[number], tmp_path)

    assert outcome == EXPECTED["commands"][number], cases.COMMANDS[number]


@pytest.mark.parametrize("number", range(len(cases.SETTINGS_FILES)))
def test_settings_are_read_as_recorded(number):
    fields = driver.as_json(driver.settings_fields(cases.SETTINGS_FILES[number]))
    if "bounds" in fields:
        # Since that release one bound was added; the recorded files don't give it.
        assert fields["bounds"].pop("merge_ms") == 3000

    assert fields == EXPECTED["settings"][number]


def test_a_missing_settings_file_is_named():
    assert driver.settings_file_failure("/nowhere/settings.toml") == EXPECTED["missing"]


def test_the_deploy_file_stands_as_recorded():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    # Since that release each role says where it tells its own figures, and nothing else was added.
    metrics = {name: role.pop("metrics") for name, role in deploy["roles"].items()}
    assert metrics == {"proxy": "9464/metrics", "registry": "9465/metrics", "store": "9466/metrics"}

    assert deploy == EXPECTED["deploy"]

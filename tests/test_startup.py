"""What the daemons load when they start: their memory and start-up time are paid on each machine."""

import subprocess
import sys

import pytest

LIBRARIES_OF_STORES = ("trafaret", "expression")
LIBRARIES_OF_COMMANDS = ("cyclopts", "lupa")


def modules_loaded_with(module):
    """The top-level names that a new interpreter has loaded with a module."""
    program = (
        f"import sys, {module}; print(*sorted({{name.split('.')[0] for name in sys.modules}}))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


@pytest.mark.parametrize("daemon", ["proxy", "registry"])
def test_only_stores_load_what_checks_configurations(daemon):
    loaded = modules_loaded_with(f"stagevale.daemons.{daemon}")
    for library in LIBRARIES_OF_STORES:
        assert library not in loaded, f"{daemon} loads {library}"


@pytest.mark.parametrize("daemon", ["proxy", "registry", "store"])
def test_no_daemon_loads_what_commands_and_policies_need(daemon):
    loaded = modules_loaded_with(f"stagevale.daemons.{daemon}")
    for library in LIBRARIES_OF_COMMANDS:
        assert library not in loaded, f"{daemon} loads {library}"

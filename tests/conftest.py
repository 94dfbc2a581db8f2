"""Makes the code and the helpers importable; passes over the tests that KNOWN-RED.txt lists."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, ROOT)
sys.path.insert(0, HERE)

# An entry of KNOWN-RED.txt names its test in a line that begins so.
TEST_LINE = "  test: "


def known_red_tests():
    """The node ids, without parameters, of the tests that fail because of a known fault."""
    with open(os.path.join(ROOT, "KNOWN-RED.txt"), encoding="utf-8") as lines:
        return {line[len(TEST_LINE) :].strip() for line in lines if line.startswith(TEST_LINE)}


def pytest_addoption(parser):
    parser.addoption(
        "--known-red", action="store_true", help="run only the tests that KNOWN-RED.txt lists"
    )


def pytest_collection_modifyitems(config, items):
    red = known_red_tests()
    runs_red = config.getoption("--known-red")
    is_run = {item: (item.nodeid.partition("[")[0] in red) == runs_red for item in items}
    passed_over = [item for item in items if not is_run[item]]
    config.hook.pytest_deselected(items=passed_over)
    items[:] = [item for item in items if is_run[item]]
    config.stash_known_red = [] if runs_red else sorted(item.nodeid for item in passed_over)


def pytest_terminal_summary(terminalreporter, config):
    for nodeid in getattr(config, "stash_known_red", ()):
        terminalreporter.write_line(f"known red, not run: {nodeid}")

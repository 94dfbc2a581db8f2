"""Policies in Lua: they steer, and they can do no harm."""

import sys

import pytest
from support.endpoints import Scene, request

from stagevale.balancing.policies import FAILURES_BORNE, Policy, PolicyError, load_policy


class Quiet:
    def __init__(self):
        self.lines = []

    def warning(self, text, *values):
        self.lines.append(text % values)


def test_a_policy_steers_among_allowed_endpoints_only():
    scene = Scene()
    near, far = scene.endpoint(), scene.endpoint(zone="b1")
    out = scene.endpoint(zone="a2")
    scene.snapshot(scene.value.changed(evacuated=("a2",)))
    scene.proxy.forwarder.chooser.policy = Policy(
        'return function(request, e) return e.zone == "b1" and 1 or e.zone == "a2" and 0 or 1000 end',
        Quiet(),
    )
    for number in range(4):
        scene.client(request(id=str(number)))
    scene.world.run(1000)
    assert [len(endpoint.heads) for endpoint in (near, far, out)] == [0, 4, 0]


@pytest.mark.parametrize(
    "body",
    [
        "while true do end",
        "local t = {} while true do t[#t + 1] = t end",
        "error('no')",
        "return 'x'",
        "return -1",
        "return 0/0",
        "return nil",
        "return true",
        "return os.time()",
        "return io.open('/etc/passwd')",
        "return ('x'):rep(1e9)",
        "local s = 'x' while true do s = s .. s end",
        "return require('os')",
        "return debug.getinfo(1)",
        "return load('return 1')()",
    ],
)
def test_a_policy_that_fails_leaves_the_built_in_choice(body):
    scene = Scene()
    near = scene.endpoint()
    scene.endpoint(zone="b1")
    log = Quiet()
    scene.proxy.forwarder.chooser.policy = Policy(f"return function(request, e) {body} end", log)
    client = scene.client(request())
    scene.world.run(1000)
    assert client.statuses() == ["200"]
    assert len(near.heads) == 1
    assert log.lines
    for number in range(FAILURES_BORNE):
        scene.client(request(id=f"1{number}"))
        scene.world.run(100)
    assert len(log.lines) == FAILURES_BORNE
    assert "left out" in log.lines[-1]


@pytest.mark.parametrize(
    "source, word",
    [
        ("syntax(", "unexpected"),
        ("return 5", "must return a function"),
        ("", "must"),
        ("while true do end", "too many steps"),
        ("\x1bLua", "binary chunk"),
    ],
)
def test_a_policy_that_can_not_be_loaded_says_why(source, word, tmp_path):
    path = tmp_path / "policy.lua"
    path.write_text(source)
    with pytest.raises(PolicyError, match=word) as caught:
        load_policy(str(path), Quiet())
    assert str(path) in str(caught.value)


def test_without_a_policy_lua_is_not_loaded():
    import subprocess

    code = "import sys, stagevale.daemons.proxy; sys.exit(any(name.startswith('lupa') for name in sys.modules))"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0

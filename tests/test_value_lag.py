"""A proxy doesn't stay on an old configuration because its feeder does."""

import pytest
from test_metrics import samples_of
from test_register import config
from test_registrations import formed

from stagevale.edge.feed_client import FeedClient
from stagevale.edge.value_reader import ValueReader

APPLY_MS = 2500
# Where a registry takes in every value that reaches it.
TAKE = "_take"


def serials(fleet):
    return {number: proxy.forwarder.snapshot.serial for number, proxy in fleet.proxies.items()}


def hold_back(fleet, monkeypatch, numbers):
    """From now on some registries take no further value, though they hear of them."""
    stuck = [fleet.registries[number].service.configuration for number in numbers]
    take = getattr(type(stuck[0]), TAKE)

    def take_unless_stuck(client, value):
        if client not in stuck:
            take(client, value)

    monkeypatch.setattr(type(stuck[0]), TAKE, take_unless_stuck)


# A proxy whose feeder was behind stayed on the older version for as long as the feeder was.
@pytest.mark.parametrize("stuck", [0, 1, 5])
def test_a_proxy_leaves_a_feeder_that_does_not_bring_what_others_have(monkeypatch, stuck):
    fleet = formed(131)
    hold_back(fleet, monkeypatch, [stuck])
    fed = list(fleet.registries[stuck].service.feeds.subscribers)
    assert fed
    others = [number for number in range(6) if number != stuck]
    assert fleet.insist(others, "replace", config(2, 1))[0] == 200
    fleet.world.run(APPLY_MS)
    newest = max(serials(fleet).values())
    assert set(serials(fleet).values()) == {newest}


# Where the next feeders were behind as well, a proxy went from one to the other for seconds, or for
# ever (CONFIG: handled by a version older than one acknowledged more than applyMs before).
@pytest.mark.parametrize(
    "stuck", [(0, 1), (0, 3), (0, 1, 3), (0, 1, 2, 3), (2, 3, 4, 5), (0, 2, 3, 5)]
)
def test_a_proxy_gets_the_newest_value_while_most_registries_are_behind(monkeypatch, stuck):
    fleet = formed(131)
    hold_back(fleet, monkeypatch, stuck)
    others = [number for number in range(6) if number not in stuck]
    assert fleet.insist(others, "replace", config(2, 1))[0] == 200
    newest = max(fleet.registries[number].service.configuration.serial for number in others)
    fleet.world.run(APPLY_MS)
    assert set(serials(fleet).values()) == {newest}


class SilentTransport:
    """Notes who is asked, and never replies."""

    def __init__(self, world):
        self.world = world
        self.asked = []

    def request(self, address, _kind, _message, _shape, _on_reply, timeout_ms):
        self.asked.append((self.world.env.now, address, timeout_ms))


# A value that doesn't come in time is asked for less and less often: a link may be narrow.
def test_a_reader_asks_all_in_turn_and_less_and_less_often():
    fleet = formed(134)
    proxy = fleet.proxies[0]
    rpc = SilentTransport(fleet.world)
    reader = ValueReader(proxy.context, rpc, proxy.membership, 500.0, None)
    for _ in range(600):
        reader.read(proxy.feed.feeder)
        fleet.world.run(50)
    times = sorted({at_ms for at_ms, _, _ in rpc.asked})
    assert 6 <= len(times) <= 14
    registries = {registry.rpc.address for registry in fleet.registries.values()}
    assert {address for _, address, _ in rpc.asked[:6]} == registries - {proxy.feed.feeder}
    assert rpc.asked[-1][2] > 2000


# A proxy that has just started would serve by whatever version some registry holds.
def test_a_proxy_takes_its_first_value_from_its_feeder_only(monkeypatch):
    fleet = formed(135)
    fleet.world.kill(fleet.proxies[0].context)
    monkeypatch.setattr(FeedClient, "subscribe", lambda _feed, _serial: None)
    fleet.start_proxy(0)
    proxy = fleet.proxies[0]
    fleet.world.run(3 * APPLY_MS)
    assert proxy.feed.lag.behind_ms(fleet.world.env.now) > APPLY_MS
    assert not proxy.forwarder.snapshot.hosts


# Nothing told which proxy was behind, and for how long.
def test_the_metrics_tell_who_was_behind():
    fleet = formed(132)
    proxy = fleet.proxies[0]
    shown = samples_of(proxy)
    assert shown["stagevale_configuration_serial", "held"] == proxy.forwarder.snapshot.serial
    proxy.feed.pull_if_newer(proxy.forwarder.snapshot.serial + 5)
    fleet.world.run(400)
    assert samples_of(proxy)["stagevale_configuration_seconds", "behind what it heard of"] >= 0.4
    registry = samples_of(fleet.registries[0])
    assert registry["stagevale_configuration_serial", "held"] == proxy.forwarder.snapshot.serial
    assert registry["stagevale_configuration_seconds", "since it came"] > 0


# What each registry and proxy got with a change grew with the changes made before.
def test_what_registries_and_proxies_get_does_not_grow_with_the_changes_made():
    fleet = formed(133)
    sizes = []
    for version in range(11, 41):
        assert (
            fleet.insist([0], "replace", config(version, version - 1 if version > 11 else 1))[0]
            == 200
        )
        fleet.world.run(200)
        sizes.append(len(fleet.registries[3].service.configuration.value.encoded))
    assert fleet.proxies[0].forwarder.snapshot.serial == max(serials(fleet).values())
    assert sizes[-1] - sizes[0] < 10

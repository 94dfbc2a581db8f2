"""A proxy doesn't stay on an old configuration because its feeder does."""

import pytest
from test_metrics import samples_of
from test_register import config
from test_registrations import formed

APPLY_MS = 2500
# Where a registry takes in every value that reaches it.
TAKE = "_take"


def serials(fleet):
    return {number: proxy.forwarder.snapshot.serial for number, proxy in fleet.proxies.items()}


def hold_back(fleet, monkeypatch, number):
    """From now on a registry takes no further value, though it hears of them."""
    stuck = fleet.registries[number].service.configuration
    take = getattr(type(stuck), TAKE)

    def take_unless_stuck(client, value):
        if client is not stuck:
            take(client, value)

    monkeypatch.setattr(type(stuck), TAKE, take_unless_stuck)


# A proxy whose feeder was behind stayed on the older version for as long as the feeder was.
@pytest.mark.parametrize("stuck", [0, 1, 5])
def test_a_proxy_leaves_a_feeder_that_does_not_bring_what_others_have(monkeypatch, stuck):
    fleet = formed(131)
    hold_back(fleet, monkeypatch, stuck)
    fed = list(fleet.registries[stuck].service.feeds.subscribers)
    assert fed
    others = [number for number in range(6) if number != stuck]
    assert fleet.insist(others, "replace", config(2, 1))[0] == 200
    fleet.world.run(APPLY_MS)
    newest = max(serials(fleet).values())
    assert set(serials(fleet).values()) == {newest}


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

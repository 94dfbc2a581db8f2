"""Whom the directory names while the proxies of a region restart."""

import json

import pytest
from test_registrations import beat_of, formed, heartbeat

from stagevale.api.router import Call

ROUND_MS = 1000
# Zone a1 is in region a; of its two proxies the one with number 0 is in a1, number 3 in a2.
PROXIES_OF_A = (0, 3)


def resolve(fleet, number, host="h.example", zone="a1"):
    """What one registry answers a client of a zone; (fronts, TTL in seconds), or None."""
    got = []
    query = f"name={host}&region={zone[0]}&zone={zone}"
    api = fleet.registries[number].api
    api.router.dispatch(
        Call("GET", ("v1", "resolve"), query, b""), lambda *answer: got.append(answer)
    )
    status, body = got[0]
    return (body["addresses"], body["ttlS"]) if status == 200 else None


def ready_fleet(seed):
    """A fleet whose six proxies are ready, and named by all registries."""
    fleet = formed(seed)
    assert heartbeat(fleet, 0, "i-1", beat_of("i-1")) == 200
    zones = ("a1", "b1", "c1", "a2", "b2", "c2")
    assert fleet.world.until(
        lambda: all(resolve(fleet, number, zone=zone) for number in range(6) for zone in zones),
        5000,
    )
    fleet.world.run(2 * ROUND_MS)
    return fleet


def terminate(fleet, number):
    """SIGTERM for a proxy."""
    daemon = fleet.proxies[number]
    daemon.stopping = daemon.context.stopping = True
    daemon.stop()


def with_homes(fleet, homes):
    """Puts a configuration in force whose one host has homes."""
    read = fleet.insist([0], "read", "")
    config = json.loads(read[1])
    config["parentVersion"], config["version"] = config["version"], "r2"
    config["routes"][0]["homeRegions"] = homes
    assert fleet.insist([0], "replace", json.dumps(config))[0] == 200
    fleet.world.run(ROUND_MS)


# Clients were led to another region while their own had a proxy that still served.
@pytest.mark.parametrize("registry", range(6))
def test_a_region_whose_proxies_all_shut_down_is_named_while_one_still_takes_connections(registry):
    fleet = ready_fleet(121)
    for number in PROXIES_OF_A:
        terminate(fleet, number)
        fleet.world.run(400)
    for _ in range(3):
        fronts, ttl_s = resolve(fleet, registry)
        assert set(fronts) <= {"10.0.1.1:9000", "10.0.1.4:9000"}
        assert "10.0.1.4:9000" in fronts
        # Whoever is told of it comes while it still takes connections.
        assert ttl_s <= 0.5
        fleet.world.run(400)


# A proxy that shuts down went on being named after it had closed its front.
def test_a_proxy_that_shuts_down_is_not_named_once_its_front_is_closed():
    fleet = ready_fleet(122)
    for number in PROXIES_OF_A:
        terminate(fleet, number)
    fleet.world.run(2400)
    fronts, _ = resolve(fleet, 1)
    assert not {"10.0.1.1:9000", "10.0.1.4:9000"} & set(fronts)


# A ready proxy of the region goes before one that shuts down.
def test_a_ready_proxy_of_the_region_goes_before_one_that_shuts_down():
    fleet = ready_fleet(123)
    terminate(fleet, 0)
    fleet.world.run(300)
    fronts, ttl_s = resolve(fleet, 1)
    assert fronts == ["10.0.1.4:9000"]
    assert ttl_s > 1


# Clients of a region without proxies were led to any region, a home or not.
def test_without_a_proxy_in_the_region_clients_are_led_to_homes_of_their_host():
    fleet = ready_fleet(124)
    with_homes(fleet, ["c"])
    for number in PROXIES_OF_A:
        fleet.world.kill(fleet.proxies[number].context)
    fleet.world.run(5 * ROUND_MS)
    fronts, _ = resolve(fleet, 1)
    assert set(fronts) == {"10.0.1.3:9000", "10.0.1.6:9000"}
    others, _ = resolve(fleet, 1, host="other.example")
    assert len(others) == 4

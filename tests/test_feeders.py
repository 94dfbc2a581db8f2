"""A proxy finds a feeder that lives, whatever the placement table says."""

import pytest
from support.fleet import number_of
from test_register import config
from test_registrations import beat_of, formed, heartbeat, known

from stagevale.discovery.messages import ReadNewerValue
from stagevale.edge.feed_client import FeedClient
from stagevale.membership.member import MemberState
from stagevale.membership.membership import Membership
from stagevale.placement.shards import shard_of
from stagevale.rpc.kinds import MessageKind

APPLY_MS = 2500
CORE = 9
# The failure detector's suspicion, reports of a majority, and the leader's next rounds.
MARKED_DOWN_MS = 15000
# The machines that feed the proxies of zone a1, by the placement table.
PLACED = (0, 3, 6)


def serials(fleet):
    return {number: proxy.forwarder.snapshot.serial for number, proxy in fleet.proxies.items()}


def frozen_placement(seed, proxies=6):
    """A fleet whose leader finds no convergence from now on: its placement table stays as it is."""
    fleet = formed(seed, proxies, core=CORE)
    for daemon in fleet.daemons():
        daemon.membership.leader_actions.placement_rule = None
    return fleet


def lose_machines(fleet, numbers):
    """Machines go, and nothing answers at their addresses any more."""
    addresses = [f"10.0.0.{number + 1}" for number in numbers]
    everybody = [context.settings.ip for context in contexts(fleet)]
    for number in numbers:
        fleet.kill_core(number)
    fleet.world.cut(addresses, everybody)


def contexts(fleet):
    return [daemon.context for daemon in fleet.daemons()]


def fed_by(fleet, number):
    """The number of the machine that feeds a proxy; None for one that nobody feeds."""
    feed = fleet.proxies[number].feed
    if feed.feeder is None or not feed.subscribed:
        return None
    return number_of(feed.feeder)


def feeds(fleet):
    return {number: fed_by(fleet, number) for number in fleet.proxies}


# CONFIG on days that move the core: the placement table named three feeders that were gone. Members
# that are down count as reachable, so proxies went round these three for as long as the table stood.
@pytest.mark.parametrize("marked", [MemberState.DOWN, MemberState.REMOVED, None])
def test_proxies_whose_placed_feeders_are_gone_are_fed_by_others(marked):
    fleet = frozen_placement(140)
    lose_machines(fleet, PLACED)
    if marked is not None:
        mark_members(fleet, PLACED, marked)
    fleet.world.run(8000)
    for _ in range(40):
        fleet.world.run(250)
        assert set(feeds(fleet).values()).isdisjoint({None, *PLACED})


# A proxy that suspects all registries went back to the first of them for as long as it did.
def test_a_proxy_that_suspects_all_registries_tries_one_after_the_other(monkeypatch):
    fleet = frozen_placement(146, 3)
    monkeypatch.setattr(
        Membership, "is_reachable", lambda membership, _address: membership.me.is_core
    )
    lose_machines(fleet, PLACED)
    assert fleet.world.until(
        lambda: set(feeds(fleet).values()).isdisjoint({None, *PLACED}), 2 * APPLY_MS
    )


def mark_members(fleet, numbers, state):
    """A daemon marks all daemons of some machines, and tells the others by gossip."""
    membership = fleet.registries[1].membership
    for number in numbers:
        for port in (7200, 7201):
            member = membership.state.members[f"10.0.0.{number + 1}:{port}"]
            changed = membership.state.with_member(membership.me.address, member.with_state(state))
            membership.apply_own_change(changed)


# A change that was published while nobody fed a proxy reached it only by chance.
@pytest.mark.parametrize("wait_ms", [1, 700, 1500, 3000, 6000, 12000])
def test_a_change_reaches_proxies_whose_placed_feeders_are_gone_in_time(wait_ms):
    fleet = frozen_placement(141)
    lose_machines(fleet, PLACED)
    fleet.world.run(wait_ms)
    rest = [number for number in range(CORE) if number not in PLACED]
    assert fleet.insist(rest, "replace", config(2, 1))[0] == 200
    newest = max(fleet.registries[number].service.configuration.serial for number in rest)
    fleet.world.run(APPLY_MS)
    assert set(serials(fleet).values()) == {newest}


# A feeder that ended in order left its proxies without one until they noticed.
def test_a_feeder_that_leaves_hands_its_proxies_over_before_it_ends():
    fleet = formed(142, 6)
    leaver = fed_by(fleet, 0)
    fed = [number for number, feeder in feeds(fleet).items() if feeder == leaver]
    fleet.end_core(leaver)
    assert fleet.world.until(
        lambda: all(feeder not in (None, leaver) for feeder in feeds(fleet).values()), 2300
    )
    assert fed
    assert fleet.registries[leaver].context.alive


# A proxy that nobody fed, and to which nobody named a newer serial, didn't know that its value was old.
@pytest.mark.parametrize("wait_ms", [1, 2500, 20000])
def test_a_proxy_that_is_neither_fed_nor_told_reads_the_value_itself(monkeypatch, wait_ms):
    fleet = formed(143, 6)
    proxy = fleet.proxies[0]
    monkeypatch.setattr(FeedClient, "subscribe", lambda _feed, _serial: None)
    proxy.membership.on_newer_value = None
    # Those that fed it forget it.
    fleet.world.run(2 * APPLY_MS + wait_ms)
    assert fleet.insist([0], "replace", config(2, 1))[0] == 200
    fleet.world.run(APPLY_MS)
    newest = max(registry.service.configuration.serial for registry in fleet.registries.values())
    assert proxy.forwarder.snapshot.serial == newest


# Whoever asks for a value that it has gets a few bytes, however large the value is.
def test_a_registry_sends_its_value_only_where_it_is_newer():
    fleet = formed(144, 1)
    proxy, registry = fleet.proxies[0], fleet.registries[0]
    serial = registry.service.configuration.serial
    got = []
    for held in (serial, serial + 1, serial - 1, -1):
        fleet.world.run(50)
        proxy.rpc.request(
            registry.rpc.address,
            MessageKind.READ_VALUE,
            ReadNewerValue(held),
            bytes,
            lambda encoded, _error: got.append(len(encoded)),
            500,
        )
    fleet.world.run(500)
    whole = len(registry.service.configuration.value.encoded)
    assert got == [0, 0, whole, whole]


# The same fault for endpoints: shards stayed with registries that were gone as long as the members
# didn't converge; nobody owned such a shard, and each drain of its endpoints was answered 503.
def test_a_drain_is_acknowledged_though_its_replicas_are_gone_and_members_do_not_converge(
    monkeypatch,
):
    fleet = formed(145, 6, core=CORE)
    table = fleet.registries[1].membership.state.table
    shard = shard_of("s")
    gone = [number_of(address) for address in table[shard]]
    monkeypatch.setattr(Membership, "is_converged", lambda _membership: False)
    lose_machines(fleet, gone)
    fleet.world.run(MARKED_DOWN_MS)
    rest = [number for number in range(CORE) if number not in gone]
    assert heartbeat(fleet, rest[0], "i-1", beat_of("i-1")) == 200
    assert fleet.world.until(lambda: all(known(fleet, "i-1")), APPLY_MS)
    assert heartbeat(fleet, rest[1], "i-1", beat_of("i-1", "draining", 2)) == 200
    tables = [fleet.registries[number].membership.state.table for number in rest]
    placed = {number_of(each) for table in tables for group in table.values() for each in group}
    assert placed.isdisjoint(gone)

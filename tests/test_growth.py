"""What grows with the fleet: deltas of the gossip state, and the tool that measures capacity, by
counts and never by time.
"""

import functools
import json
import os
import random
import sys

from hypothesis import given, settings
from hypothesis import strategies as st
from support.endpoints import send_heartbeat
from support.fleet import Fleet
from test_registrations import beat_of

from stagevale.discovery.instance import Instance, InstanceState
from stagevale.discovery.instance_table import InstanceTable
from stagevale.discovery.registry_service import RegistryService
from stagevale.membership import vector_clock
from stagevale.membership.gossip_state import GossipState, Handoff, HandoffStatus, merge_states
from stagevale.membership.member import Dot, Member, MemberState
from stagevale.placement.shards import shard_of
from stagevale.reachability.registry_contact import RegistryContact
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools")
)
import capacity  # noqa: E402

STATES = (
    MemberState.JOINING,
    MemberState.UP,
    MemberState.LEAVING,
    MemberState.EXITING,
    MemberState.DOWN,
)


def first(number):
    address = f"10.0.0.{number}:7200"
    member = Member(
        address, number, 0, MemberState.JOINING, "proxy", "a1", "a", "", Dot(address, 1)
    )
    return GossipState({address: 1}, {address: member}, 0, {}, ())


def content(state):
    return (
        {address: member.precedence() for address, member in state.members.items()},
        state.table_version,
        sorted(state.table.items()),
        sorted((move.key(), move.status) for move in state.handoffs),
        state.checksum,
    )


def told(sender, base=None):
    """What would travel: packed and read again."""
    return GossipState.from_message(json.loads(json.dumps(sender.to_message(base))))


def change(state, by, luck):
    """One change as daemons make them: a member's state, the table with a move, a move that is
    complete.
    """
    kind = luck.randrange(4)
    members = dict(state.members)
    if kind < 2:
        address = luck.choice(sorted(members))
        members[address] = members[address].with_state(
            max(members[address].state, luck.choice(STATES))
        )
        return state.changed(by, members=members)
    if kind == 2:
        version = state.table_version + 1
        return state.changed(
            by,
            table_version=version,
            table={f"part-{n}": (by, str(version)) for n in range(3)},
            handoffs=(Handoff("part-0", by, f"to-{version}", 0),),
        )
    return state.changed(
        by,
        handoffs=tuple(
            Handoff(m.shard, m.source, m.target, HandoffStatus.COMPLETE) for m in state.handoffs
        ),
    )


@given(st.integers(0, 10**9), st.integers(2, 5), st.integers(5, 60))
@settings(max_examples=200, deadline=None, database=None, derandomize=True)
def test_what_differs_ends_in_the_same_state_as_the_whole(seed, count, steps):
    luck = random.Random(seed)
    small = [first(number + 1) for number in range(count)]
    whole = list(small)
    past = [{state.checksum: state.counted_clock()} for state in small]
    for _ in range(steps):
        one, other = luck.sample(range(count), 2)
        if luck.random() < 0.5:
            drawn = luck.random()
            small[one] = change(small[one], f"10.0.0.{one + 1}:7200", random.Random(drawn))
            whole[one] = change(whole[one], f"10.0.0.{one + 1}:7200", random.Random(drawn))
        else:
            base = past[one].get(small[other].checksum) or small[other].counted_clock()
            small[other] = merge_states(small[other], told(small[one], base))
            whole[other] = merge_states(whole[other], told(whole[one]))
        past[one][small[one].checksum] = small[one].counted_clock()
        assert [content(state) for state in small] == [content(state) for state in whole]


def test_a_peer_a_change_behind_gets_one_row_and_not_the_fleet():
    state = first(1)
    for number in range(2, 200):
        state = merge_states(state, first(number))
    base = state.counted_clock()
    address = "10.0.0.77:7200"
    after = state.changed(
        "10.0.0.1:7200",
        members={**state.members, address: state.members[address].with_state(MemberState.UP)},
    )
    clock, rows, version, table, moves, dots = after.to_message(base)
    assert len(rows) == 1
    assert len(clock) == 1
    assert not table
    assert not moves
    assert not dots
    assert merge_states(state, told(after, base)).checksum == after.checksum
    assert vector_clock.covers(after.counted_clock(), after.members[address].dot)


def test_removed_members_that_come_back_reach_a_peer_that_removed_them():
    """Its counter stands in the peer's clock but compares as nothing, so it must not count as
    known.
    """
    state = merge_states(first(1), first(2))
    gone = state.changed(
        "10.0.0.1:7200",
        members={
            **state.members,
            "10.0.0.2:7200": state.members["10.0.0.2:7200"].with_state(MemberState.REMOVED),
        },
    )
    comer = Member(
        "10.0.0.2:7200", 9, 1, MemberState.JOINING, "proxy", "a1", "a", "", Dot("10.0.0.2:7200", 1)
    )
    back = merge_states(
        gone, GossipState({"10.0.0.2:7200": 1}, {"10.0.0.2:7200": comer}, 0, {}, ())
    )
    assert merge_states(gone, told(back, gone.counted_clock())).members["10.0.0.2:7200"].uid == 9


def test_bytes_of_a_restart_for_each_daemon_stay_bounded_as_the_fleet_doubles():
    rows = [capacity.membership_row(n, 4, 4, 2) for n in (12, 24, 48)]
    assert all(row["formed"] and row["restartDone"] for row in rows)
    for smaller, larger in zip(rows, rows[1:], strict=False):
        growth = larger["daemons"] / smaller["daemons"]
        assert larger["calmBytesPerS"] < smaller["calmBytesPerS"] * growth * 2.0
        assert larger["restartKb"] < smaller["restartKb"] * growth * 2.0
    assert rows[-1]["restartKb"] < 56
    assert rows[-1]["largestBytes"] < 3000


def test_welcomes_and_configurations_rise_in_proportion():
    few, many = capacity.endpoints_row(200, 10), capacity.endpoints_row(800, 40)
    assert many["welcomeBytes"] < few["welcomeBytes"] * 5
    few, many = capacity.configuration_row(50, 200, 10), capacity.configuration_row(200, 800, 40)
    assert many["packedBytes"] < few["packedBytes"] * 5
    assert many["hosts"] == 50
    assert capacity.beats_row(5)["targetBytes"] > 0
    rows = codec.encode_rows([["i-1", "s", 1]] * 500)
    assert len(rows) < 1000
    assert codec.decode_rows(rows) == [["i-1", "s", 1]] * 500


def test_slope_and_words_of_the_tool(capsys):
    assert capacity.slope([{"x": 1, "y": 3.0}, {"x": 3, "y": 7.0}], "y", "x") == (1.0, 2.0)
    assert capacity.main(["nothing"]) == 2
    assert capacity.main(["choice", "x"]) == 2
    assert "want a part" in capsys.readouterr().err
    assert capacity.main(["choice", "3"]) == 0
    assert json.loads(capsys.readouterr().out)["endpointsOfOneService"] == 3


def test_repair_of_a_part_brings_what_differs_and_not_the_part():
    """Whole parts went both ways at each difference of a moment: 5 of 6.4 MB over borders at the
    start of 96 daemons.
    """

    def life(number, state=InstanceState.READY, seq=1):
        return Instance(f"i-{number}", "s", f"10.9.0.{number}:80", "a1", 3, state, seq, 0, 0, 0)

    one, other = InstanceTable(), InstanceTable()
    for number in range(400):
        one.merge(life(number), 0)
        if number != 7:
            other.merge(
                life(
                    number,
                    InstanceState.DRAINING if number == 9 else InstanceState.READY,
                    2 if number == 9 else 1,
                ),
                0,
            )
    other.merge(life(500), 0)
    part = shard_of("s")
    rows, keys = other.difference(part, one.summary(part), 0)
    assert sorted(row[0] for row in rows) == ["i-500", "i-9"]
    assert {one.by_key[key].id for key in keys} == {"i-7", "i-9"}
    assert one.checksum(part) != other.checksum(part)
    for row in rows:
        one.merge(Instance.from_row(row, 0), 0)
    for key in keys:
        other.merge(one.by_key[key], 0)
    assert one.checksum(part) == other.checksum(part)
    assert other.difference(part, one.summary(part), 0) == (
        [],
        [],
    )


@given(
    st.lists(
        st.tuples(
            st.integers(0, 6),
            st.sampled_from((InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE)),
            st.integers(1, 9),
            st.integers(0, 9),
        ),
        max_size=60,
    ),
    st.randoms(use_true_random=False),
)
@settings(max_examples=100, deadline=None, database=None, derandomize=True)
def test_marks_that_follow_entry_by_entry_are_the_marks_of_what_is_known(news, luck):
    """Equal knowledge has equal marks, whatever the order in which it came and what was forgotten
    since.
    """
    lives, again = InstanceTable(), InstanceTable()
    for step, (number, state, seq, unhealthy_at) in enumerate(news):
        lives.merge(
            Instance(
                f"i-{number}",
                f"s{number % 3}",
                "10.9.0.1:80",
                "a1",
                3,
                state,
                seq,
                unhealthy_at,
                0,
                0,
            ),
            step,
        )
        if luck.random() < 0.1:
            lives.forget(step - 5, step - 5)
    for life in luck.sample(list(lives.by_id.values()), len(lives.by_id)):
        again.merge(life, 0)
    assert lives.checksum_of_all() == again.checksum_of_all()


def test_bytes_over_borders_when_endpoints_drain_do_not_rise_with_all_endpoints():
    crossed = []
    for count in (60, 240):
        fleet = Fleet(5)
        assert fleet.world.until(functools.partial(fleet.formed, 12), 25000)
        for number in range(count):
            for seq in (1, 2):
                send_heartbeat(
                    fleet.registries[number % 6].service,
                    f"i-{number}",
                    beat_of(f"i-{number}", seq=seq),
                    lambda *_: None,
                )
        fleet.world.run(4000)
        before = fleet.world.crossed
        for number in range(6):
            send_heartbeat(
                fleet.registries[number].service,
                f"i-{number}",
                beat_of(f"i-{number}", "draining", 3),
                lambda *_: None,
            )
        fleet.world.run(3000)
        crossed.append(fleet.world.crossed - before)
        assert (
            len(
                {
                    registry.service.instances.checksum_of_all()
                    for registry in fleet.registries.values()
                }
            )
            == 1
        )
    assert crossed[1] < crossed[0] * 1.5


def test_what_differs_is_told_inside_the_region_first():
    """Restarts of proxies: a fourth to a third of all gossip crossed borders while core members
    told anyone that differed.
    """
    fleet = capacity.HollowFleet(24, 6, 6, 3)
    assert fleet.settle(90000)[0]
    before, sent = fleet.world.crossed, fleet.sent[1]
    for number in range(4):
        fleet.restart(number)
    assert fleet.settle(90000)[0]
    assert (fleet.world.crossed - before) / (fleet.sent[1] - sent) < 0.3


def test_registries_tell_of_the_proxies_they_feed_together():
    """Each proxy's two words, that it is fed and that it is ready, went to every registry by
    themselves.
    """
    fleet, heard = Fleet(7, 36), []
    for number in range(4):
        send_heartbeat(
            fleet.registries[0].service, f"i-{number}", beat_of(f"i-{number}"), lambda *_: None
        )
    rpc = fleet.registries[5].service.rpc
    handler = rpc.handlers[MessageKind.SUBSCRIBED_PROXIES]
    rpc.handle_raw(
        MessageKind.SUBSCRIBED_PROXIES,
        lambda peer, body, reply: (heard.append(len(body)), handler(peer, body, reply)),
    )
    assert fleet.world.until(lambda: fleet.formed(48), 40000)
    fleet.world.run(2000)
    told = {row[0] for rows in fleet.registries[5].service.proxies.fed_by.values() for row in rows}
    assert len(told) + len(fleet.registries[5].service.feeds.subscribers) == 36
    assert sum(heard) >= len(told)
    assert len(heard) < 20


def looks_at_the_core_in_a_round(proxies, monkeypatch):
    """How often the registries of a fleet ask whether they reach a majority, for each round."""
    counts = {"reaches_majority": 0, "_tick": 0}

    def counted(name, method):
        def call(owner):
            counts[name] += 1
            return method(owner)

        return call

    with monkeypatch.context() as patch:
        for owner, name in ((RegistryContact, "reaches_majority"), (RegistryService, "_tick")):
            patch.setattr(owner, name, counted(name, getattr(owner, name)))
        fleet = Fleet(5, proxies)
        registries = fleet.registries.values()
        assert fleet.world.until(lambda: fleet.formed(12 + proxies), 25000)
        assert fleet.world.until(
            lambda: sum(len(each.service.feeds.subscribers) for each in registries) == proxies,
            9000,
        )
        counts.update(dict.fromkeys(counts, 0))
        fleet.world.run(6000)
    return counts["reaches_majority"] / counts["_tick"]


def test_a_round_looks_at_the_core_as_often_however_many_proxies_are_fed(monkeypatch):
    few = looks_at_the_core_in_a_round(3, monkeypatch)
    many = looks_at_the_core_in_a_round(12, monkeypatch)
    assert few == many

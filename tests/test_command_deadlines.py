"""A command isn't carried out once its caller has gone on, whichever way it took to the leader."""

import json

import pytest
from support.fleet import Fleet
from test_control import address, cut_off, settled_fleet
from test_partners import offer, row
from test_register import config
from test_rollouts import plan

from stagevale.consensus.commands import CommandRequest
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.request_terms import RequestTerms

# A command of each kind that changes something, as it would be valid beside the others.
WAITING = {
    "evacuate": "a1",
    "takeBack": "b1",
    "offer": "bee\n" + offer(2, [row("/z/")], [], 1),
    "withdraw": "ant",
    "startRollout": "t\n" + plan(),
    "moveRollout": "s\nrollback",
    "replace": config(9, 2, host="late.example"),
}
TROUBLES = ("frozen", "cut off")


def prepared_fleet():
    """A fleet in which each command of WAITING would change the value."""
    fleet = settled_fleet(seed=31)
    numbers = range(6)
    services = {"services": [{"name": "s"}, {"name": "t"}]}
    both = json.dumps({**json.loads(config(2, 1)), **services})
    assert fleet.insist(numbers, "replace", both)[0] == 200
    for kind, payload in (
        ("evacuate", "b1"),
        ("offer", "bee\n" + offer(1, [row("/y/")], [], 0)),
        ("offer", "ant\n" + offer(1, [row("/w/")], [], 0)),
        ("startRollout", "s\n" + plan()),
    ):
        answer = fleet.insist(numbers, kind, payload, 30000)
        assert answer[0] == 200, (kind, answer)
    return fleet


def test_every_command_that_waits_is_one_that_would_change_the_value():
    """Else the next test would show nothing."""
    fleet = prepared_fleet()
    for kind, payload in WAITING.items():
        leader = fleet.leaders()[0] - 1
        before = fleet.stores[leader].committed
        assert fleet.insist(range(6), kind, payload, 30000)[0] == 200, kind
        assert fleet.stores[leader].committed.serial > before.serial, kind


@pytest.mark.parametrize("trouble", TROUBLES)
def test_commands_that_wait_at_a_leader_that_is_lost_are_never_carried_out(trouble):
    """Guards against an old order that a frozen or cut off leader hands to its successor, which
    undoes what was acknowledged meanwhile.
    """
    fleet = prepared_fleet()
    leader = fleet.leaders()[0] - 1
    rest = [number for number in range(6) if number != leader]
    replies = []
    # While this change is proposed, everything behind it waits.
    submit = fleet.stores[leader].commands.submit
    submit(CommandRequest("evacuate", "c2", False), lambda _reply: None)
    for kind, payload in WAITING.items():
        submit(CommandRequest(kind, payload, False), replies.append)
    fleet.world.run(1)
    if trouble == "frozen":
        fleet.world.freeze(fleet.stores[leader].context, 4000)
    else:
        cut_off(fleet, [leader])
    assert fleet.insist(rest, "evacuate", "c1")[0] == 200
    fleet.world.run(5000)
    fleet.world.join()
    fleet.world.run(8000)
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1, 10000)
    value = fleet.stores[fleet.leaders()[0] - 1].committed
    # What was proposed before the trouble may have gone through; nothing else.
    assert value.evacuated in (("b1", "c1"), ("b1", "c2", "c1"))
    assert value.version == 2
    assert value.offers["ant"].text
    assert value.offers["bee"].version == 1
    assert set(value.rollouts) == {"s"}
    assert "rollback by the operator" not in value.rollouts["s"]
    assert all(reply.status == 503 for reply in replies)


def test_a_command_that_is_handed_on_keeps_the_time_that_its_caller_has():
    """Guards against a leader that gives a forwarded command a time of its own."""
    fleet = settled_fleet(seed=32)
    leader = fleet.stores[fleet.leaders()[0] - 1]
    store = next(node for node in fleet.stores.values() if node is not leader)
    replies = []
    leader.busy = True
    deadline_ms = fleet.world.env.now + 200
    fleet.registries[0].rpc.request_raw(
        store.address,
        MessageKind.COMMAND,
        CommandRequest("evacuate", "a1", False),
        lambda body, _error: replies.append(body),
        400,
        RequestTerms(deadline_ms),
    )
    assert fleet.world.until(lambda: leader.commands.pending, 190)
    assert leader.commands.pending[0].expires_ms <= deadline_ms + 70
    fleet.world.run(290)
    leader.busy = False
    leader.commands.process()
    fleet.world.run(2000)
    assert leader.committed.evacuated == ()
    assert replies[0][0] == 503


def test_the_time_that_a_connection_takes_to_come_up_is_not_given_back():
    """Guards against a deadline that is reckoned before a frame is written."""
    fleet = Fleet(seed=33, core=3)
    fleet.world.run(3000)
    here, there = fleet.registries[0].rpc, fleet.stores[1]
    here.close_connections(there.address)
    fleet.world.run(100)
    seen = []
    there.rpc.handle_raw_with_terms(
        MessageKind.COMMAND,
        lambda _peer, _body, _reply, terms: seen.append(terms.deadline_ms - fleet.world.env.now),
    )
    here.request_raw(
        there.address,
        MessageKind.COMMAND,
        CommandRequest("read", "", False),
        lambda *_: None,
        500,
        RequestTerms(fleet.world.env.now + 500),
    )
    assert fleet.world.until(lambda: seen, 400)
    assert seen[0] <= 500 - 2 * fleet.world.delay(address(0), address(1))


def test_a_frame_without_a_deadline_is_read_as_before():
    """A mixed fleet: the release before sends three fields and passes a fourth over."""
    frame = codec.decode_frame(codec.encode([MessageKind.COMMAND, 7, ["read", "", False]]), "p")
    assert frame.left_ms is None
    with_time = codec.decode_frame(codec.encode([MessageKind.COMMAND, 7, ["read"], 250]), "p")
    assert with_time.left_ms == 250
    assert with_time[:3] == (MessageKind.COMMAND, 7, ["read"])

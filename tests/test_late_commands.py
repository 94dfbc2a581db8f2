"""An order that was given up, acknowledged by another daemon and undone has no effect any more, however
and for how long its first copy was held up.
"""

import pytest
from support.callers import CALLER_IP, Caller
from test_control import address, settled_fleet
from test_partners import offer, row
from test_register import config
from test_rollouts import plan

from stagevale.configuration.commands import CommandKind, Subject, subject_of
from stagevale.configuration.last_changes import LastChanges
from stagevale.consensus.commands import CommandRequest
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.request_terms import RequestTerms

CORE = 6
ZONE = "a1"
BEGIN, FINISH = f"/v1/evacuation/{ZONE}/begin", f"/v1/evacuation/{ZONE}/finish"
# Callers go on after a second; `settled_fleet` has registries that notice standstills of this length.
LONGER_ACK_DEADLINE = "ackDeadlineMs = 5000\n"


def evacuated(fleet):
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1, 10000)
    return fleet.stores[fleet.leaders()[0] - 1].committed.evacuated


def undone_elsewhere(fleet, numbers):
    """The order is sent again to other daemons, acknowledged and undone."""
    assert fleet.insist(numbers, "evacuate", ZONE)[0] == 200
    assert fleet.insist(numbers, "takeBack", ZONE)[0] == 200


def test_an_order_in_the_buffer_of_a_registry_frozen_alone_has_no_effect():
    """Guards against a freeze longer than a caller's patience and shorter than a noticed stall."""
    for frozen_ms in (700, 1050, 1150, 1240):
        fleet = settled_fleet(seed=41, more=LONGER_ACK_DEADLINE)
        caller = Caller(fleet, 2)
        fleet.world.freeze(fleet.registries[2].context, frozen_ms)
        caller.send(BEGIN)
        fleet.world.run(5)
        # The connection is reset: the caller goes on at once.
        undone_elsewhere(fleet, [0, 1, 3])
        fleet.world.run(6000)
        assert evacuated(fleet) == (), frozen_ms


@pytest.mark.parametrize("closes", [False, True])
@pytest.mark.parametrize("kept", [False, True])
def test_an_order_held_back_between_its_caller_and_a_registry_has_no_effect(closes, kept):
    """Guards against an order that arrives, as new as any, when a cut link is joined."""
    fleet = settled_fleet(seed=42)
    caller = Caller(fleet, 2)
    if kept:
        assert caller.call("/v1/config/read", "GET") == 200
    fleet.world.hold([CALLER_IP], [address(2)])
    caller.send(BEGIN)
    fleet.world.run(1000)
    if closes:
        caller.transport.close()
    undone_elsewhere(fleet, [0, 1, 3])
    fleet.world.run(2000)
    fleet.world.join()
    fleet.world.run(3000)
    assert evacuated(fleet) == ()


def test_an_order_whose_caller_has_closed_its_connection_has_no_effect():
    """Guards against an order on a connection that came up late: only its end tells its age."""
    fleet = settled_fleet(seed=43)
    undone_elsewhere(fleet, [0])
    fleet.world.run(500)
    caller = Caller(fleet, 2)
    fleet.world.hold([CALLER_IP], [address(2)])
    caller.send(BEGIN)
    caller.transport.close()
    fleet.world.run(100)
    fleet.world.join()
    fleet.world.run(3000)
    assert evacuated(fleet) == ()


@pytest.mark.parametrize("registry", ["killed", "ended in order"])
def test_an_order_held_back_between_two_stores_has_no_effect(registry):
    """Guards against a frame whose time was reckoned when it was written, on a link that is cut, for
    a registry that is restarted meanwhile.
    """
    fleet = settled_fleet(seed=44)
    leader = fleet.leaders()[0] - 1
    victim = next(number for number in range(CORE) if number != leader)
    others = [number for number in range(CORE) if number not in (leader, victim)]
    fleet.world.hold([address(victim)], [address(leader)])
    Caller(fleet, victim).send(BEGIN)
    fleet.world.run(50)
    # The registry goes with the order under way: its caller goes on at once.
    if registry == "killed":
        fleet.world.kill(fleet.registries[victim].context)
    else:
        fleet.registries[victim].context.stopping = True
        fleet.registries[victim].stop()
    undone_elsewhere(fleet, others)
    fleet.world.run(100)
    fleet.world.join()
    fleet.world.run(3000)
    assert evacuated(fleet) == ()


def test_an_order_sent_again_while_the_first_is_proposed_has_its_effect_once():
    """Guards against a copy behind a slow proposal that is carried out after the next order."""
    fleet = settled_fleet(seed=46)
    leader = fleet.leaders()[0] - 1
    victim = next(number for number in range(CORE) if number != leader)
    basis = fleet.registries[victim].service.configuration.basis_serial
    others = [number for number in range(CORE) if number not in (leader, victim)]
    replies = []
    rpc = fleet.registries[victim].rpc

    def send_copy():
        rpc.request_raw(
            fleet.stores[leader].address,
            MessageKind.COMMAND,
            CommandRequest("evacuate", ZONE, False),
            lambda body, _error: replies.append(body),
            900,
            RequestTerms(fleet.world.env.now + 900, basis),
        )

    send_copy()
    assert fleet.world.until(lambda: fleet.stores[leader].busy, 200, 1)
    assert fleet.insist(others, "evacuate", ZONE)[0] == 200
    assert fleet.insist(others, "takeBack", ZONE)[0] == 200
    send_copy()
    fleet.world.run(3000)
    assert [reply[0] for reply in replies] == [200, 428]
    assert evacuated(fleet) == ()


def test_a_leader_elected_meanwhile_takes_no_order_from_before_its_predecessors_changes():
    """Guards against a leader that knows only its own changes: the order waited through an election."""
    fleet = settled_fleet(seed=47)
    leader = fleet.leaders()[0] - 1
    rest = [number for number in range(CORE) if number != leader]
    basis = fleet.registries[rest[0]].service.configuration.basis_serial
    undone_elsewhere(fleet, rest)
    fleet.kill_core(leader)
    assert fleet.world.until(lambda: fleet.leaders() not in ([], [leader + 1]), 20000)
    successor = fleet.leaders()[0] - 1
    replies = []
    fleet.stores[successor].commands.submit(
        CommandRequest("evacuate", ZONE, False),
        replies.append,
        RequestTerms(fleet.world.env.now + 900, basis),
    )
    fleet.world.run(2000)
    assert [reply.status for reply in replies] == [428]
    assert evacuated(fleet) == ()


def test_a_withdrawal_and_a_rollouts_move_that_come_late_have_no_effect():
    """Guards against the same on the other orders that don't name the state they follow."""
    fleet = settled_fleet(seed=48)
    services = config(2, 1).replace('"services": [', '"services": [{"name": "t"}, ')
    for kind, payload in (
        ("replace", services),
        ("offer", "ant\n" + offer(1, [row("/w/")], [], 0)),
        ("startRollout", "s\n" + plan()),
    ):
        answer = fleet.insist([0], kind, payload, 30000)
        assert answer[0] == 200, (kind, answer)
    fleet.world.run(1000)
    callers = {
        ("DELETE", "/v1/partners/ant/offer"): Caller(fleet, 2),
        ("POST", "/v1/rollouts/s/pause"): Caller(fleet, 2),
    }
    fleet.world.hold([CALLER_IP], [address(2)])
    for (method, path), caller in callers.items():
        caller.send(path, method)
    assert fleet.insist([0], "withdraw", "ant", 30000)[0] == 200
    again = "ant\n" + offer(2, [row("/w/")], [], 1)
    assert fleet.insist([0], "offer", again, 30000)[0] == 200
    assert fleet.insist([0], "moveRollout", "s\npause")[0] == 200
    assert fleet.insist([0], "moveRollout", "s\nresume")[0] == 200
    fleet.world.join()
    fleet.world.run(3000)
    value = fleet.stores[fleet.leaders()[0] - 1].committed
    assert value.offers["ant"].text
    assert "shifting" in value.rollouts["s"]
    assert [caller.statuses() for caller in callers.values()] == [[503], [503]]


def test_orders_one_after_the_other_are_taken_at_once_by_daemons_that_know_of_them():
    """Guards against refusing what isn't late: on new and on kept connections, and as resends."""
    fleet = settled_fleet(seed=49)
    kept = Caller(fleet, 3)
    for path in (BEGIN, BEGIN, FINISH, FINISH, BEGIN):
        fleet.world.run(300)
        assert Caller(fleet, 2).call(path) == 200
        fleet.world.run(300)
        assert Caller(fleet, 4).call(path) == 200
    assert kept.call(FINISH) == 503
    assert kept.call(FINISH) == 200


def test_a_value_is_the_basis_of_what_arrives_after_it_only():
    """Guards against a call that a loop's turn reads behind a value, though it was sent before it."""
    fleet = settled_fleet(seed=50)
    client = fleet.registries[0].service.configuration
    before = client.basis_serial
    assert before == client.serial
    value = client.value.changed(evacuated=("b1",))
    client.rpc.handlers[MessageKind.COMMITTED_VALUE](
        address(1), [value.encoded, []], lambda _reply: None
    )
    assert (client.serial, client.basis_serial) == (before + 1, before)
    fleet.world.run(1)
    assert client.basis_serial == before + 1


def test_what_a_leader_doesnt_know_counts_as_changed():
    changes = LastChanges()
    changes.reset(7)
    zone, other = Subject("zone", "a1"), Subject("zone", "b1")
    assert changes.changed_since(zone, 6)
    assert not changes.changed_since(zone, 7)
    changes.record(zone, 9)
    assert changes.changed_since(zone, 8)
    assert not changes.changed_since(zone, 9)
    assert not changes.changed_since(other, 7)


def test_subjects_of_commands():
    assert subject_of(CommandKind.EVACUATE, "a1") == subject_of("takeBack", "a1")
    assert subject_of("withdraw", "ant") == subject_of("offer", "ant\n{}") == ("partner", "ant")
    assert subject_of("moveRollout", "s\npause") == ("rollout", "s")
    assert subject_of("replace", "{}") is None
    assert subject_of("read", "") is None


def test_a_frame_bears_its_basis_and_releases_before_pass_it_over():
    frame = codec.decode_frame(codec.encode([MessageKind.COMMAND, 7, ["read"], 250, 12]), "p")
    assert (frame.left_ms, frame.basis_serial) == (250, 12)
    frame = codec.decode_frame(codec.encode([MessageKind.COMMAND, 7, ["read"], None, -1]), "p")
    assert (frame.left_ms, frame.basis_serial) == (None, -1)
    assert frame[:3] == (MessageKind.COMMAND, 7, ["read"])

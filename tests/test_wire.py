"""Connections between daemons: whole messages only; what can't be read ends its connection with a
log line.
"""

import struct

import pytest
from support.endpoints import Client
from support.fleet import Fleet
from support.network import SimTransport

from stagevale.rpc import codec
from stagevale.rpc.connection import MAX_FRAME_BYTES
from stagevale.rpc.kinds import MessageKind


def dial(fleet, address):
    context, factory = fleet.world.listeners[address]
    client = Client(fleet.world)
    far = SimTransport(fleet.world, address[0], "10.7.0.1", factory(), 1000, context)
    near = SimTransport(
        fleet.world, "10.7.0.1", address[0], client, 1000, type("Sender", (), {"alive": True})()
    )
    far.other, near.other = near, far
    far.protocol.connection_made(far)
    client.connection_made(near)
    return client


def frame(message):
    data = codec.encode(message)
    return struct.pack("!I", len(data)) + data


HELLO = frame([MessageKind.HELLO, 0, "10.7.0.1:7200"])


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!I", 5) + b"\xff\x00\xff\x00\xff",
        struct.pack("!I", MAX_FRAME_BYTES + 1),
        frame([MessageKind.INSTANCES, 0, []]),
        frame(["x"]),
        frame([MessageKind.HELLO, 0, 7]),
        HELLO + frame([999, 0, []]),
        HELLO + frame([MessageKind.INSTANCES, 0, [[["i", "s"]], 0]]),
        HELLO + frame([MessageKind.PREPARE, 1, [["a", 5]]]),
        HELLO + frame([MessageKind.ACCEPT, 1, [[5, "a"], b"nothing"]]),
        HELLO + frame([MessageKind.COMMITTED_VALUE, 0, 5]),
        HELLO + frame([MessageKind.SUBSCRIBE, 0, ["x"]]),
        HELLO + frame([MessageKind.INSTANCES]),
    ],
)
def test_an_unreadable_message_closes_its_connection_and_nothing_else(data):
    fleet = Fleet(31)
    fleet.world.run(4000)
    client = dial(
        fleet, ("10.0.0.1", 7201 if data.startswith(HELLO) and len(data) % 2 == 0 else 7200)
    )
    client.transport.write(data)
    fleet.world.run(500)
    assert client.closed
    assert [line for line in fleet.world.lines if "rpc:" in line and "connection closed" in line]
    assert fleet.world.until(lambda: len(fleet.leaders()) == 1 and fleet.formed(12), 20000)


def test_messages_in_pieces_are_put_together():
    fleet = Fleet(32)
    fleet.world.run(4000)
    client = dial(fleet, ("10.0.0.1", 7201))
    for byte in HELLO + frame([MessageKind.CONFIRM_LEADERSHIP, 7, [[0, ""], "10.0.0.1:7201"]]):
        client.transport.write(bytes([byte]))
    fleet.world.run(1000)
    assert not client.closed
    size = struct.unpack_from("!I", client.got)[0]
    assert codec.decode(client.got[4 : 4 + size], "answer", "here")[:2] == [MessageKind.REPLY, 7]

"""Recorder of the messages between daemons, a pytest plugin for release 7dc65ba only.

It watches the simulated fleets of the other tests and keeps, for each kind of message and for each
kind of answer, the smallest frame of every shape. `data/messages.json` was made by it from a
checkout of 7dc65ba and isn't made anew:

    PYTHONPATH=.:tests:tests/compatibility python3 -m pytest -p record_messages tests/test_*.py
"""

import json
import pathlib

from stagevale import wire
from stagevale.wire import switchboard

SHAPES_PER_KIND = 8
LARGEST_FRAME_BYTES = 3000
OUTPUT = pathlib.Path(__file__).parent / "data" / "messages.json"

NAMES = {
    value: name
    for name, value in vars(wire).items()
    if name.isupper() and isinstance(value, int) and value < 100
}
samples = {}


def kind_name(kind):
    """The name of a kind; the platform's duties use the register's kinds at an offset."""
    return NAMES[kind] if kind in NAMES else "DUTIES+" + NAMES[kind - wire.DUTIES]


def shape(value):
    """A text that is equal for values of one type and structure."""
    if isinstance(value, list):
        return "[" + ",".join(sorted({shape(item) for item in value})) + "]"
    if isinstance(value, dict):
        return "{" + ",".join(sorted({shape(item) for item in value.values()})) + "}"
    return type(value).__name__ + ("" if value else "0")


def keep(name, message, data):
    if len(data) > LARGEST_FRAME_BYTES:
        return
    found = samples.setdefault(name, {})
    key = ",".join(shape(field) for field in message[2:])
    if key in found:
        if len(data) < len(found[key]):
            found[key] = data
    elif len(found) < SHAPES_PER_KIND:
        found[key] = data


original_pack = wire.pack
original_arrived = switchboard.Switchboard.arrived


def pack(message):
    data = original_pack(message)
    if len(message) >= 3 and message[0] in (wire.OVERVIEW, wire.STATE, wire.STATE_WANTED):
        keep(kind_name(message[0]), message, data)
    return data


def arrived(self, connection, message):
    kind, call_no = message[0], message[1]
    if kind != wire.ANSWER:
        try:
            name = kind_name(kind)
        except KeyError:
            return original_arrived(self, connection, message)
        handler = self.handlers.get(kind)
        if handler is None and kind != wire.HELLO:
            return original_arrived(self, connection, message)
        data = original_pack(message)
        if call_no and handler is not None:

            def recorded(peer, body, reply):
                def replied(answer):
                    frame = [wire.ANSWER, call_no, answer]
                    keep("ANSWER to " + name, frame, original_pack(frame))
                    reply(answer)

                return handler(peer, body, replied)

            self.handlers[kind] = recorded
            try:
                original_arrived(self, connection, message)
            finally:
                self.handlers[kind] = handler
        else:
            original_arrived(self, connection, message)
        keep(name, message, data)
        return None
    return original_arrived(self, connection, message)


def pytest_configure(config):
    wire.pack = pack
    switchboard.Switchboard.arrived = arrived


def can_be_compared(data):
    """False for a frame with a map whose keys weren't written in sorted order: reading sorts them."""
    return original_pack(wire.unpack(data, "recorded", "a peer")) == data


def pytest_sessionfinish(session, exitstatus):
    # No simulated fleet sends this kind.
    heirs = [["one", "|0", 3], ["two", "a,b|1", 12]]
    samples["SESSION_HEIR"] = {"": original_pack([wire.SESSION_HEIR, 0, heirs])}
    rows = {
        name: sorted(data.hex() for data in found.values() if can_be_compared(data))
        for name, found in samples.items()
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(dict(sorted(rows.items())), indent=1) + "\n")

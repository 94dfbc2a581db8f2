"""Vector clocks as mappings from address to counter."""

import struct
import zlib

from stagevale import wire

ADDRESS_BYTES = 6
ENTRY_BYTES = ADDRESS_BYTES + 4

SAME, OLDER, NEWER, APART = "same", "older", "newer", "apart"


def compare(mine, theirs, ignored=()):
    """How `theirs` stands to `mine`; addresses in `ignored` (removed members) don't count."""
    ahead = behind = False
    for address, counter in theirs.items():
        if counter > mine.get(address, 0) and address not in ignored:
            ahead = True
            break
    for address, counter in mine.items():
        if counter > theirs.get(address, 0) and address not in ignored:
            behind = True
            break
    if ahead and behind:
        return APART
    return NEWER if ahead else OLDER if behind else SAME


def joined(one, other):
    """The least clock that is not before either."""
    both = dict(one)
    for address, counter in other.items():
        if counter > both.get(address, 0):
            both[address] = counter
    return both


def raised(clock, address):
    """The clock after one more change by `address`."""
    return {**clock, address: clock.get(address, 0) + 1}


def mark(clock, ignored=()):
    """A short number that is equal for equal clocks, for the overview's rows."""
    total = 0
    for address, counter in clock.items():
        if address not in ignored:
            total += zlib.crc32(f"{address}={counter}".encode())
    return total & 0xFFFFFFFF


def covers(clock, dot):
    """True where whoever has this clock has taken in the change (changer, counter)."""
    return dot is not None and clock.get(dot[0], 0) >= dot[1]


def ahead(mine, theirs):
    """The entries of `mine` that `theirs` lacks."""
    return {
        address: counter for address, counter in mine.items() if counter > theirs.get(address, 0)
    }


def pack_clock(clock):
    """A clock as bytes for a message."""
    entries = (
        wire.pack_address(address) + struct.pack("!I", counter)
        for address, counter in clock.items()
    )
    return wire.squeeze(b"".join(entries))


def unpack_clock(data):
    """The clock that `pack_clock` was given."""
    clock = {}
    data = wire.unsqueeze(data)
    for at in range(0, len(data) - ENTRY_BYTES + 1, ENTRY_BYTES):
        address = wire.unpack_address(data[at : at + ADDRESS_BYTES])
        clock[address] = struct.unpack_from("!I", data, at + ADDRESS_BYTES)[0]
    return clock

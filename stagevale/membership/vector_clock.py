"""Vector clocks: mappings from a daemon's address to the number of its changes."""

import enum
import struct
import zlib
from collections.abc import Collection, Mapping

from stagevale.membership.member import Dot
from stagevale.rpc import codec

Clock = dict[str, int]

COUNTER = struct.Struct("!I")
ENTRY_BYTES = codec.ADDRESS_BYTES + COUNTER.size
CHECKSUM_MASK = 0xFFFFFFFF


class ClockOrder(enum.Enum):
    """How one clock stands to another."""

    SAME = "same"
    BEFORE = "before"
    AFTER = "after"
    CONCURRENT = "concurrent"


def order_of(theirs: Clock, mine: Clock, ignored: Collection[str] = ()) -> ClockOrder:
    """How `theirs` stands to `mine`.

    Args:
        theirs: a clock.
        mine: another.
        ignored: addresses that don't count: those of removed members.
    """
    ahead = any(
        counter > mine.get(address, 0) and address not in ignored
        for address, counter in theirs.items()
    )
    behind = any(
        counter > theirs.get(address, 0) and address not in ignored
        for address, counter in mine.items()
    )
    if ahead and behind:
        return ClockOrder.CONCURRENT
    if ahead:
        return ClockOrder.AFTER
    return ClockOrder.BEFORE if behind else ClockOrder.SAME


def merge_clocks(one: Mapping[str, int], other: Mapping[str, int]) -> Clock:
    """The least clock that is not before either."""
    merged = dict(one)
    for address, counter in other.items():
        if counter > merged.get(address, 0):
            merged[address] = counter
    return merged


def incremented(clock: Clock, address: str) -> Clock:
    """The clock after one more change by `address`."""
    return {**clock, address: clock.get(address, 0) + 1}


def checksum(clock: Clock, ignored: Collection[str] = ()) -> int:
    """A short number that is equal for equal clocks; addresses in `ignored` don't count."""
    total = 0
    for address, counter in clock.items():
        if address not in ignored:
            total += zlib.crc32(f"{address}={counter}".encode())
    return total & CHECKSUM_MASK


def covers(clock: Clock, dot: Dot | None) -> bool:
    """True where whoever has this clock has taken in the change."""
    return dot is not None and clock.get(dot.address, 0) >= dot.counter


def entries_ahead(mine: Clock, theirs: Clock) -> Clock:
    """The entries of `mine` that `theirs` lacks."""
    return {
        address: counter for address, counter in mine.items() if counter > theirs.get(address, 0)
    }


def encode_clock(clock: Clock) -> bytes:
    """A clock as bytes for a message."""
    entries = (
        codec.encode_address(address) + COUNTER.pack(counter) for address, counter in clock.items()
    )
    return codec.compress(b"".join(entries))


def decode_clock(data: bytes) -> Clock:
    """The clock that `encode_clock` was given.

    Raises:
        DecodeError: the bytes are anything else.
    """
    clock: Clock = {}
    entries = codec.decompress(data)
    for start in range(0, len(entries) - ENTRY_BYTES + 1, ENTRY_BYTES):
        end_of_address = start + codec.ADDRESS_BYTES
        address = codec.decode_address(entries[start:end_of_address])
        (clock[address],) = COUNTER.unpack_from(entries, end_of_address)
    return clock

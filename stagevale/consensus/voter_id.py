"""Identities of voters: an address, and which disk stands behind it."""

import random
from collections.abc import Iterable

SEPARATOR = "~"
DISK_ID_BITS = 32


def address_of(voter: str) -> str:
    """The address at which a voter is reached."""
    return voter.partition(SEPARATOR)[0]


def addresses_of(voters: Iterable[str]) -> tuple[str, ...]:
    """The addresses of several voters, in their order."""
    return tuple(address_of(voter) for voter in voters)


def new_voter_id(address: str, random: random.Random) -> str:
    """The identity of a disk that is empty after the first start of the whole system.

    It differs from the identity of any disk that stood behind this address before, so that nobody
    takes the votes of this disk for those that the former one gave.
    """
    return f"{address}{SEPARATOR}{random.getrandbits(DISK_ID_BITS):08x}"


def shows_lost_disk(voter: str, seen: str) -> bool:
    """True where the identity that answers at a voter's address is that of a disk which began there
    later: the voter's own will never answer again.

    The address of a disk alone says nothing: it stands for a daemon that hasn't read its disk yet
    (releases before this one), and for a disk of the first start, which no other one precedes.
    """
    return seen != voter and SEPARATOR in seen and address_of(seen) == address_of(voter)

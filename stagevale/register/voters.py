"""Identities of voters: an address, and which disk stood behind it."""

SEPARATOR = "~"


def address_of(voter):
    """The address at which a voter is reached."""
    return voter.partition(SEPARATOR)[0]


def new_voter(address, random):
    """The identity of a disk that begins empty after the first start of the whole system.

    It differs from the identity of any disk that stood behind this address before, so that nobody
    takes the votes of this disk for those that the former one gave.
    """
    return f"{address}{SEPARATOR}{random.getrandbits(32):08x}"


def addresses_of(voters):
    """The addresses of several voters, in their order."""
    return tuple(address_of(voter) for voter in voters)

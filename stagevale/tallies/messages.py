"""What registries say to each other about tallies.

Fields are read in the order in which they stand here; order and types are part of the protocol.
Adds travel as `rpc.codec.encode_rows` of the rows that `add.to_runs` makes.
"""

from typing import NamedTuple

# The reply to an append: its adds are on disk.
SAVED = 1


class AppendAdds(NamedTuple):
    """Adds that the receiver is to have on disk before it replies."""

    runs: bytes


class NewAdds(NamedTuple):
    """Adds that the sender has.

    Attributes:
        runs: encoded runs.
        passed_on: 1 where the receiver isn't to pass them on to its region.
    """

    runs: bytes
    passed_on: int


class TallyDigest(NamedTuple):
    """Up to which number the sender has all adds of each origin."""

    complete: dict[str, int]


class PullAdds(NamedTuple):
    """A registry that has just started asks for what it lacks, by its digest."""

    complete: dict[str, int]

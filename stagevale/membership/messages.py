"""The datagrams of gossip.

Fields are read in the order in which they stand here; order and types are part of the protocol.
"""

from typing import NamedTuple


class OverviewMessage(NamedTuple):
    """The gossip overview: heartbeats, and which state each member has seen.

    Attributes:
        sender: the sender's address.
        clock: the sender's encoded clock, where it was asked for; else empty.
        checksums: checksums of states, four bytes each; the sender's own is the first.
        rows: heartbeats, keys and seen states; see `overview`.
        reports: JSON of who can't reach whom; empty where everybody is reachable.
        value_serial: serial of the newest configuration value that the sender holds.
        keyed: 1 where rows name their members, 0 where they are all members in sorted order.
    """

    sender: str
    clock: bytes
    checksums: bytes
    rows: bytes
    reports: str
    value_serial: int
    keyed: int


class GossipStateMessage(NamedTuple):
    """A gossip state.

    Attributes:
        sender: the sender's address.
        encoded: compressed JSON of a `StateMessage`.
        checksum: the checksum of the sender's complete state.
        base_checksum: the checksum of the state that `encoded` builds on; 0 where it is complete.
    """

    sender: str
    encoded: bytes
    checksum: int
    base_checksum: int


class StateRequestMessage(NamedTuple):
    """Asks for a newer state.

    Attributes:
        sender: the sender's address.
        checksum: the checksum of the sender's state.
        clock: its encoded clock; empty where the receiver may know the state by its checksum.
    """

    sender: str
    checksum: int
    clock: bytes

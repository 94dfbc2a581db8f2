"""Members of the cluster and their states (Akka Cluster Specification, Membership Lifecycle)."""

import enum
import functools
import zlib
from typing import Any, NamedTuple

# The three daemons. A store uses the port after the first of the machine's inner ports.
PROXY_PROGRAM = "proxy"
REGISTRY_PROGRAM = "registry"
STORE_PROGRAM = "store"
STORE_PORT_OFFSET = 1


class MemberState(enum.IntEnum):
    """A member's state; within one incarnation it only ever rises."""

    JOINING = 0
    UP = 1
    LEAVING = 2
    EXITING = 3
    DOWN = 4
    REMOVED = 5

    @property
    def label(self) -> str:
        """The state's name for logs and tools."""
        return self.name.lower()


MEMBER_STATES = tuple(MemberState)
# Members in these states count for convergence, and are gossiped with.
COUNTED_STATES = (
    MemberState.JOINING,
    MemberState.UP,
    MemberState.LEAVING,
    MemberState.EXITING,
)
# Members in these states may be the leader.
LEADER_STATES = (MemberState.UP, MemberState.LEAVING, MemberState.EXITING)


class Dot(NamedTuple):
    """One change in the cluster's history: who made it, and as which of its changes."""

    address: str
    counter: int


class Member:
    """One daemon as the gossip state knows it; immutable by convention.

    Attributes:
        address: `ip:port` of its gossip and its connections.
        uid: drawn anew by each incarnation.
        generation: rises with each incarnation that has seen the one before.
        state: where it is in its life cycle.
        program: proxy, registry or store.
        front: where a proxy serves clients; else empty.
        key: a checksum of address and incarnation, for overviews.
        dot: the change that wrote this row; None until the row is part of a state.
    """

    __slots__ = (
        "address",
        "uid",
        "generation",
        "state",
        "program",
        "zone",
        "region",
        "front",
        "key",
        "dot",
    )

    def __init__(
        self,
        address: str,
        uid: int,
        generation: int,
        state: MemberState,
        program: str,
        zone: str,
        region: str,
        front: str,
        dot: Dot | None = None,
    ) -> None:
        self.address = address
        self.uid = uid
        self.generation = generation
        self.state = state
        self.program = program
        self.zone = zone
        self.region = region
        self.front = front
        self.key = zlib.crc32(f"{address} {uid}".encode())
        self.dot = dot

    def to_fields(self) -> list[Any]:
        """The member as a row of a state message."""
        return [
            self.address,
            self.uid,
            self.generation,
            self.state,
            self.program,
            self.zone,
            self.region,
            self.front,
            self.dot,
        ]

    @classmethod
    def from_fields(cls, fields: list[Any]) -> "Member":
        """A member out of a row of a state message.

        Raises:
            ValueError, TypeError: the row has another shape.
        """
        address, uid, generation, state, program, zone, region, front, dot = fields
        address_order(address)
        if not 0 <= state <= MemberState.REMOVED:
            raise ValueError(f"no member state: {state}")
        return cls(
            address,
            uid,
            generation,
            MEMBER_STATES[state],
            program,
            zone,
            region,
            front,
            Dot(*dot) if dot is not None else None,
        )

    def with_state(self, state: MemberState) -> "Member":
        """The same incarnation in another state."""
        return Member(
            self.address,
            self.uid,
            self.generation,
            state,
            self.program,
            self.zone,
            self.region,
            self.front,
        )

    @property
    def machine(self) -> str:
        """The machine's IP address."""
        return machine_of(self.address)

    @property
    def is_core(self) -> bool:
        """True for daemons of core machines, which have a say in downing."""
        return self.program != PROXY_PROGRAM

    def precedence(self) -> tuple[int, int, int]:
        """Of two rows of one address the one with the higher precedence is kept."""
        return self.generation, self.uid, self.state


def machine_of(address: str) -> str:
    """The IP address of an `ip:port`, which names a machine."""
    return address.rpartition(":")[0]


@functools.lru_cache(maxsize=16384)
def address_order(address: str) -> tuple[int, ...]:
    """The key by which addresses are sorted, which decides on the leader.

    Raises:
        ValueError: it is no `ip:port`.
    """
    ip, _, port = address.rpartition(":")
    return (*(int(part) for part in ip.split(".")), int(port))

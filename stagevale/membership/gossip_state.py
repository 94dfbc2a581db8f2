"""The gossip state: members and their states, the placement table, pending handoffs.

Akka Cluster Specification, Gossip: all members are to agree on it; each change makes a new state
under a higher vector clock.
"""

import enum
from collections.abc import Iterable
from typing import Any, NamedTuple

from stagevale.membership import vector_clock
from stagevale.membership.member import (
    COUNTED_STATES,
    Dot,
    Member,
    MemberState,
    address_order,
)
from stagevale.membership.vector_clock import Clock

PlacementTable = dict[str, tuple[str, ...]]


class HandoffStatus(enum.IntEnum):
    """How far a handoff is."""

    PENDING = 0
    COMPLETE = 1


class Handoff(NamedTuple):
    """A pending change of placement: one shard's replica moves from one member to another."""

    shard: str
    source: str
    target: str
    status: HandoffStatus

    def key(self) -> tuple[str, str, str]:
        """What identifies the handoff, whatever its status."""
        return self.shard, self.source, self.target

    def completed(self) -> "Handoff":
        """The handoff once the target holds the shard."""
        return self._replace(status=HandoffStatus.COMPLETE)


class StateMessage(NamedTuple):
    """A state, or what the holder of an earlier one lacks, as lists for JSON.

    Attributes:
        clock: pairs of address and counter.
        members: rows of `Member.to_fields`.
        table_version: 0 where table and handoffs are left out.
        table: pairs of a shard or feed and its group.
        handoffs: rows of handoffs.
        table_dots: the changes that wrote table and handoffs.
    """

    clock: list[Any]
    members: list[Any]
    table_version: int
    table: list[Any]
    handoffs: list[Any]
    table_dots: list[Any]

    @property
    def is_empty(self) -> bool:
        """True where nothing but the version of the table would be told."""
        return not (self.clock or self.members or self.table_dots)


class GossipState:
    """What all members are to agree on; immutable by convention.

    Each member's row bears the dot of the change that wrote it, the table and the handoffs bear
    the dots of theirs: whoever has a clock that covers a dot has what it wrote, so only the rest
    need be sent.

    Attributes:
        clock: the vector clock, with the counters of members that were removed.
        members: by address.
        table_version: rises with each change of the table.
        table: which registries keep each shard, and which feed each zone's proxies.
        handoffs: those not yet taken into the table.
        table_dots: the changes that wrote table and handoffs.
        checksum: of the clock without removed members; equal for states that are the same.
    """

    __slots__ = (
        "clock",
        "members",
        "table_version",
        "table",
        "handoffs",
        "table_dots",
        "checksum",
        "_sorted_members",
        "_counted_members",
    )

    def __init__(
        self,
        clock: Clock,
        members: dict[str, Member],
        table_version: int,
        table: PlacementTable,
        handoffs: tuple[Handoff, ...],
        table_dots: tuple[Dot, ...] = (),
    ) -> None:
        self.clock = clock
        self.members = members
        self.table_version = table_version
        self.table = table
        self.handoffs = handoffs
        self.table_dots = table_dots
        self.checksum = vector_clock.checksum(clock, self.removed_addresses())
        self._sorted_members: tuple[Member, ...] | None = None
        self._counted_members: tuple[Member, ...] | None = None

    def removed_addresses(self) -> set[str]:
        """The addresses of members that were removed."""
        return {
            address
            for address, member in self.members.items()
            if member.state == MemberState.REMOVED
        }

    def counted_clock(self) -> Clock:
        """The clock without the counters of removed members, which compare as nothing."""
        removed = self.removed_addresses()
        return {
            address: counter for address, counter in self.clock.items() if address not in removed
        }

    def sorted_members(self) -> tuple[Member, ...]:
        """Members in the order of their addresses."""
        if self._sorted_members is None:
            self._sorted_members = tuple(
                self.members[address] for address in sorted(self.members, key=address_order)
            )
        return self._sorted_members

    def counted_members(self) -> tuple[Member, ...]:
        """Members that count for convergence, in the order of their addresses."""
        if self._counted_members is None:
            self._counted_members = tuple(
                member for member in self.sorted_members() if member.state in COUNTED_STATES
            )
        return self._counted_members

    # changes

    def changed(
        self,
        by: str,
        members: dict[str, Member] | None = None,
        table_version: int | None = None,
        table: PlacementTable | None = None,
        handoffs: tuple[Handoff, ...] | None = None,
    ) -> "GossipState":
        """This state after a change made by the daemon at address `by`.

        Rows of members without a dot get the change's. A raised table version marks the table as
        written by this change alone.
        """
        clock = vector_clock.incremented(self.clock, by)
        dot = Dot(by, clock[by])
        if members is None:
            members = self.members
        for member in members.values():
            if member.dot is None:
                member.dot = dot
        table_dots = self.table_dots
        if table_version is not None and table_version != self.table_version:
            table_dots = (dot,)
        elif handoffs is not None and handoffs is not self.handoffs:
            table_dots = latest_dots((*table_dots, dot))
        return GossipState(
            clock,
            members,
            self.table_version if table_version is None else table_version,
            self.table if table is None else table,
            self.handoffs if handoffs is None else handoffs,
            table_dots,
        )

    def with_member(self, by: str, member: Member) -> "GossipState":
        """This state after `by` has written one member's row."""
        return self.changed(by, members={**self.members, member.address: member})

    def with_pruned_clock(self, members: dict[str, Member]) -> "GossipState":
        """This state without the counters of daemons that `members` lacks or has removed."""
        clock = {
            address: counter
            for address, counter in self.clock.items()
            if address in members and members[address].state != MemberState.REMOVED
        }
        return GossipState(
            clock, self.members, self.table_version, self.table, self.handoffs, self.table_dots
        )

    # messages

    def to_message(self, base: Clock | None = None) -> StateMessage:
        """The state for a message: complete, or what whoever has the clock `base` lacks."""
        base = base or {}
        clock = vector_clock.entries_ahead(self.counted_clock(), base)
        members = [
            member.to_fields()
            for member in self.members.values()
            if not vector_clock.covers(base, member.dot)
        ]
        clock_rows = [[address, counter] for address, counter in clock.items()]
        if all(vector_clock.covers(base, dot) for dot in self.table_dots):
            return StateMessage(clock_rows, members, 0, [], [], [])
        return StateMessage(
            clock_rows,
            members,
            self.table_version,
            [[shard, list(group)] for shard, group in self.table.items()],
            list(self.handoffs),
            list(self.table_dots),
        )

    @classmethod
    def from_message(cls, body: Iterable[Any]) -> "GossipState":
        """A state out of a message.

        Raises:
            ValueError, TypeError, AttributeError: the message has another shape.
        """
        message = StateMessage(*body)
        members = [Member.from_fields(fields) for fields in message.members]
        return cls(
            {address: int(counter) for address, counter in message.clock},
            {member.address: member for member in members},
            int(message.table_version),
            {shard: tuple(group) for shard, group in message.table},
            tuple(
                Handoff(shard, source, target, HandoffStatus(status))
                for shard, source, target, status in message.handoffs
            ),
            tuple(Dot(*dot) for dot in message.table_dots),
        )


def latest_dots(dots: Iterable[Dot]) -> tuple[Dot, ...]:
    """The last dot of each changer: who covers it covers the earlier ones."""
    last: Clock = {}
    for address, counter in dots:
        last[address] = max(counter, last.get(address, 0))
    return tuple(Dot(address, counter) for address, counter in last.items())


def merge_states(mine: GossipState, theirs: GossipState) -> GossipState:
    """Both states in one: of each member the later incarnation and state, the later table, and
    handoffs that either knows to be complete.

    `theirs` may hold only what the holder of a clock that is not after `mine` lacked: the rest is
    in `mine` already.
    """
    members = dict(mine.members)
    for address, member in theirs.members.items():
        known = members.get(address)
        if known is None or member.precedence() > known.precedence():
            members[address] = member
    later = max(mine, theirs, key=lambda state: (state.table_version, sorted(state.table.items())))
    handoffs = {handoff.key(): handoff for handoff in later.handoffs}
    for handoff in mine.handoffs + theirs.handoffs:
        if handoff.key() in handoffs and handoff.status == HandoffStatus.COMPLETE:
            handoffs[handoff.key()] = handoff
    return GossipState(
        vector_clock.merge_clocks(mine.clock, theirs.clock),
        members,
        later.table_version,
        later.table,
        tuple(handoffs[key] for key in sorted(handoffs)),
        latest_dots(mine.table_dots + theirs.table_dots),
    )

"""The gossip state: members and their states, the placement table, pending moves."""

import functools
import zlib

from stagevale.membership import clocks

JOINING, UP, LEAVING, EXITING, DOWN, REMOVED = range(6)
STATE_NAMES = ("joining", "up", "leaving", "exiting", "down", "removed")
COUNTED = (JOINING, UP, LEAVING, EXITING)
LEADING = (UP, LEAVING, EXITING)
AWAITING, COMPLETE = 0, 1


class Member:
    """One daemon as the gossip state knows it. Immutable by custom."""

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

    def __init__(self, address, uid, generation, state, program, zone, region, front, dot=None):
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

    def fields(self):
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

    def at(self, state):
        """The same life in another state."""
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
    def machine(self):
        return self.address.rpartition(":")[0]

    @property
    def core(self):
        return self.program != "proxy"

    def rank(self):
        return self.generation, self.uid, self.state


class Move:
    """A pending change of placement: one part from one member to another."""

    __slots__ = ("part", "giver", "taker", "status")

    def __init__(self, part, giver, taker, status):
        self.part = part
        self.giver = giver
        self.taker = taker
        self.status = status

    def fields(self):
        return [self.part, self.giver, self.taker, self.status]

    def key(self):
        return self.part, self.giver, self.taker


@functools.lru_cache(maxsize=16384)
def sort_key(address):
    """Orders addresses by number, as the leader's order wants it."""
    ip, _, port = address.rpartition(":")
    return tuple(int(part) for part in ip.split(".")) + (int(port),)


class GossipState:
    """What all members are to agree on. Immutable by custom: every change makes a new one.

    Each member's row bears the dot (changer, counter) of the change that wrote it, the table and
    the moves bear the dots of theirs: whoever has a clock that covers a dot has what it wrote, so
    only the rest need be sent.
    """

    __slots__ = (
        "clock",
        "members",
        "table_version",
        "table",
        "moves",
        "table_dots",
        "mark",
        "in_order",
        "in_count",
    )

    def __init__(self, clock, members, table_version, table, moves, table_dots=()):
        self.clock = clock
        self.members = members
        self.table_version = table_version
        self.table = table
        self.moves = moves
        self.table_dots = table_dots
        self.mark = clocks.mark(clock, self.removed())
        self.in_order = None
        self.in_count = None

    def removed(self):
        return {address for address, member in self.members.items() if member.state == REMOVED}

    def counted(self):
        """The clock without the counters of removed members, which compare as nothing."""
        removed = self.removed()
        return {
            address: counter for address, counter in self.clock.items() if address not in removed
        }

    def sorted(self):
        """Members in sorted order of their addresses."""
        if self.in_order is None:
            self.in_order = tuple(
                self.members[address] for address in sorted(self.members, key=sort_key)
            )
        return self.in_order

    def counting(self):
        """Members that count for convergence, in sorted order."""
        if self.in_count is None:
            self.in_count = tuple(member for member in self.sorted() if member.state in COUNTED)
        return self.in_count

    def changed(self, by, members=None, table_version=None, table=None, moves=None):
        """This state after a change made by `by`; what it writes bears the change's dot."""
        clock = clocks.raised(self.clock, by)
        dot = [by, clock[by]]
        if members is None:
            members = self.members
        for member in members.values():
            if member.dot is None:
                member.dot = dot
        table_dots = self.table_dots
        if table_version is not None and table_version != self.table_version:
            table_dots = (dot,)
        elif moves is not None and moves is not self.moves:
            table_dots = latest(table_dots + (dot,))
        return GossipState(
            clock,
            members,
            self.table_version if table_version is None else table_version,
            self.table if table is None else table,
            self.moves if moves is None else moves,
            table_dots,
        )

    def message(self, base=None):
        """The state for a message: whole, or what whoever has the clock `base` lacks."""
        base = base or {}
        told = any(not clocks.covers(base, dot) for dot in self.table_dots)
        return [
            [[address, counter] for address, counter in clocks.ahead(self.counted(), base).items()],
            [
                member.fields()
                for member in self.members.values()
                if not clocks.covers(base, member.dot)
            ],
            self.table_version if told else 0,
            [[part, list(group)] for part, group in self.table.items()] if told else [],
            [move.fields() for move in self.moves] if told else [],
            list(self.table_dots) if told else [],
        ]


def latest(dots):
    """The last dot of each changer: who covers it covers the earlier ones."""
    last = {}
    for changer, counter in dots:
        last[changer] = max(counter, last.get(changer, 0))
    return tuple([changer, counter] for changer, counter in last.items())


def from_message(body):
    """A gossip state out of a message; a misshapen one raises ValueError or its kin."""
    clock_rows, member_rows, table_version, table_rows, move_rows, table_dots = body
    members = {}
    for row in member_rows:
        member = Member(*row)
        sort_key(member.address)
        if not 0 <= member.state <= REMOVED:
            raise ValueError("member state")
        members[member.address] = member
    return GossipState(
        {address: int(counter) for address, counter in clock_rows},
        members,
        int(table_version),
        {part: tuple(group) for part, group in table_rows},
        tuple(Move(*row) for row in move_rows),
        tuple(table_dots),
    )


def merged(mine, theirs):
    """Both states in one: per member the later life and state, the later table, completed moves
    kept.

    `theirs` may hold only what the holder of a clock that is not after `mine` lacked: the rest is
    in `mine` already.
    """
    members = dict(mine.members)
    for address, member in theirs.members.items():
        known = members.get(address)
        if known is None or member.rank() > known.rank():
            members[address] = member
    later = max(mine, theirs, key=lambda state: (state.table_version, sorted(state.table.items())))
    moves = {move.key(): move for move in later.moves}
    for move in mine.moves + theirs.moves:
        if move.key() in moves and move.status == COMPLETE:
            moves[move.key()] = move
    return GossipState(
        clocks.joined(mine.clock, theirs.clock),
        members,
        later.table_version,
        later.table,
        tuple(moves[key] for key in sorted(moves)),
        latest(mine.table_dots + theirs.table_dots),
    )

"""Membership by gossip, after "Akka Cluster Specification": overview, state, suspicion, sorted
leader.
"""

import asyncio
import json
import struct

from stagevale import wire
from stagevale.membership import clocks
from stagevale.membership.downing import Downing
from stagevale.membership.overview import overview_rows, pack_overview
from stagevale.membership.state import (
    COMPLETE,
    COUNTED,
    DOWN,
    EXITING,
    JOINING,
    LEADING,
    LEAVING,
    REMOVED,
    STATE_NAMES,
    UP,
    GossipState,
    Member,
    from_message,
    merged,
    sort_key,
)
from stagevale.membership.suspicion import Suspicion
from stagevale.membership.targets import FAR_TELLERS, choose_targets

DATAGRAM_BYTES = 60000
KEPT_CLOCKS = 24
SAID_ROUNDS = 3
CONTACT_CHANCE = 0.03


class Membership(asyncio.DatagramProtocol):
    """This daemon's part in the gossip; datagrams in, datagrams out."""

    __slots__ = (
        "context",
        "me",
        "state",
        "rows",
        "heartbeat",
        "suspicions",
        "unreachable",
        "observed",
        "transport",
        "change_hooks",
        "contacts",
        "interval_ms",
        "timer",
        "placer",
        "serial",
        "serial_hook",
        "started_ms",
        "keys",
        "downing",
        "written",
        "packed",
        "packed_of",
        "past",
        "whole_ms",
    )

    def __init__(self, context, address, program, front=""):
        settings = context.settings
        self.context = context
        self.me = Member(
            address,
            context.random.getrandbits(31),
            0,
            JOINING,
            program,
            settings.zone,
            settings.region,
            front,
        )
        self.written = 1 + context.random.getrandbits(20)
        self.me.dot = [address, self.written]
        self.state = GossipState({address: self.written}, {address: self.me}, 0, {}, ())
        self.past = {self.state.mark: self.state.counted()}
        self.rows = {}
        self.heartbeat = 0
        self.suspicions = {}
        self.unreachable = frozenset()
        self.observed = {}
        self.transport = None
        self.change_hooks = []
        self.contacts = [f"{ip}:{settings.inner_ports[0]}" for ip in settings.seeds] or [address]
        self.interval_ms = settings.bounds.contact_ms / 4.0
        self.timer = None
        self.placer = None
        self.serial = 0
        self.serial_hook = None
        self.started_ms = context.now_ms()
        self.keys = {self.me.key: self.me}
        self.downing = Downing(self)
        self.packed = {}
        self.packed_of = None
        self.whole_ms = {}

    def start(self):
        """Binds the gossip port and begins to gossip."""
        self.context.datagrams(wire.pair(self.me.address), self)
        self.timer = self.context.after(
            self.context.random.uniform(0.02, 0.1) * self.interval_ms, self.tick
        )

    def connection_made(self, transport):
        self.transport = transport

    def error_received(self, failure):
        pass

    def connection_lost(self, failure):
        self.transport = None

    def others(self, states=COUNTED):
        """The other members in these states."""
        return [
            member
            for member in self.state.members.values()
            if member.state in states and member.address != self.me.address
        ]

    def members(self, program, states=COUNTED):
        """Members of one program, this one included, in sorted order."""
        return [
            member
            for member in self.state.sorted()
            if member.program == program and member.state in states
        ]

    def reachable(self, address):
        return address not in self.unreachable

    def version(self):
        return self.state.mark

    def converged(self):
        """True when every member that counts is reachable and has seen this very state."""
        mark = self.state.mark
        for member in self.state.members.values():
            if member.state not in COUNTED or member.address == self.me.address:
                continue
            if member.address in self.unreachable:
                return False
            row = self.rows.get(member.address)
            if row is None or row[0] != member.uid or row[2] != mark:
                return False
        return True

    def leader(self):
        """The first member in sorted order that may lead among those not suspected.

        Where nobody is up yet, the first joining core member leads: the singleton rule of the
        source, which otherwise would let no cluster begin.
        """
        reachable = [
            member for member in self.state.sorted() if member.address not in self.unreachable
        ]
        for member in reachable:
            if member.state in LEADING:
                return member.address
        if any(member.state in LEADING for member in self.state.members.values()):
            return None
        waited_ms = self.context.now_ms() - self.started_ms
        for member in reachable:
            if member.state == JOINING and member.core:
                if member.address == self.contacts[0] or waited_ms > self.interval_ms * 2:
                    return member.address
                return None
        return None

    def tick(self):
        """One gossip round: heartbeat, suspicion, own place in the state, leader's actions,
        overviews.
        """
        context = self.context
        now_ms = context.now_ms()
        self.heartbeat += 1
        self.suspect(now_ms)
        self.ensure_self()
        settled = self.converged()
        self.lead(settled, now_ms)
        self.gossip(now_ms, settled)
        pace = self.interval_ms if settled else self.interval_ms * 0.45
        self.timer = context.after(pace * context.random.uniform(0.9, 1.1), self.tick)

    def expected_ms(self, member):
        """How far apart a member's heartbeats are thought to arrive before any has: proxies of a
        large fleet speak less often beyond their own zone, so word of them takes more rounds.
        """
        spread = max(1.0, len(self.state.members) / FAR_TELLERS) ** (0.25 if member.core else 0.5)
        return self.interval_ms * 1.5 * spread

    def suspect(self, now_ms):
        unreachable = set()
        for member in self.state.counting():
            if member.address == self.me.address:
                continue
            suspicion = self.suspicions.get(member.address)
            if suspicion is None:
                self.suspicions[member.address] = Suspicion(now_ms, self.expected_ms(member))
            elif suspicion.suspected(now_ms):
                unreachable.add(member.address)
        unreachable = frozenset(unreachable)
        if unreachable != self.unreachable:
            for address in unreachable - self.unreachable:
                self.context.log.info("membership: %s is suspected.", address)
            for address in self.unreachable - unreachable:
                self.context.log.info("membership: %s is heard again.", address)
            self.unreachable = unreachable
            self.tell()

    def ensure_self(self):
        """Rejoins as a new life where the state holds another, downed or removed life of this
        address.

        A counter under this address that this life never wrote comes from an earlier life: the
        others may hold that one under the same clock, so this one takes a higher generation and
        says so with a change of its own.
        """
        known = self.state.members.get(self.me.address)
        foreign = self.state.clock.get(self.me.address, 0) > self.written
        if (
            known is not None
            and known.uid == self.me.uid
            and known.state in COUNTED
            and not foreign
        ):
            if known.state != self.me.state:
                self.me = known
            return
        generation = known.generation + 1 if known is not None else 0
        self.me = Member(
            self.me.address,
            self.me.uid
            if known is None or known.uid != self.me.uid
            else self.context.random.getrandbits(31),
            generation,
            JOINING,
            self.me.program,
            self.me.zone,
            self.me.region,
            self.me.front,
        )
        self.make(
            self.state.changed(
                self.me.address, members={**self.state.members, self.me.address: self.me}
            )
        )

    def make(self, state):
        """Takes a state that this daemon has changed itself."""
        self.written = state.clock[self.me.address]
        self.put(state)

    def put(self, state):
        before = self.state
        self.state = state
        self.past.pop(state.mark, None)
        self.past[state.mark] = state.counted()
        while len(self.past) > KEPT_CLOCKS:
            del self.past[next(iter(self.past))]
        self.keys = {member.key: member for member in state.members.values()}
        for address, member in state.members.items():
            known = before.members.get(address)
            if known is None or known.uid != member.uid:
                self.suspicions.pop(address, None)
            if (
                (self.me.core or member.core)
                and member.state != JOINING
                and address != self.me.address
                and (known is None or known.state != member.state)
            ):
                self.context.log.info("membership: %s is %s.", address, STATE_NAMES[member.state])
        mine = state.members.get(self.me.address)
        if mine is not None and mine.uid == self.me.uid and mine.state != self.me.state:
            self.me = mine
            self.context.log.info("membership: this daemon is %s.", STATE_NAMES[mine.state])
        self.tell()

    def tell(self):
        for hook in self.change_hooks:
            hook()

    def lead(self, settled, now_ms):
        """What the sorted leader does: at convergence shifts members and moves parts; downs with a
        core majority.
        """
        if self.leader() != self.me.address:
            return
        if not settled:
            members = self.downing.downed()
            if members is not None:
                self.make(self.state.changed(self.me.address, members=members))
            return
        members = dict(self.state.members)
        table, table_version, moves = self.state.table, self.state.table_version, self.state.moves
        changed = False
        for address, member in self.state.members.items():
            if member.state == JOINING:
                members[address] = member.at(UP)
                changed = True
            elif member.state == EXITING or (
                member.state == DOWN and (not member.core or self.downing.gone(member, now_ms))
            ):
                members[address] = member.at(REMOVED)
                changed = True
        if self.placer is not None:
            placed = self.placer(members, table, moves)
            if placed is not None:
                table, moves = placed
                table_version += 1
                changed = True
        if changed:
            pruned = {
                address: counter
                for address, counter in self.state.clock.items()
                if address in members and members[address].state != REMOVED
            }
            base = GossipState(
                pruned,
                self.state.members,
                self.state.table_version,
                self.state.table,
                self.state.moves,
                self.state.table_dots,
            )
            self.make(
                base.changed(
                    self.me.address,
                    members=members,
                    table_version=table_version,
                    table=table,
                    moves=moves,
                )
            )

    def recent(self, observer, heartbeat):
        """True where an observer may still say what it said at this heartbeat: one that still
        suspects says so each round, and what others pass on of one that no longer does would go
        about for ever.
        """
        row = self.rows.get(observer)
        if row is None:
            return True
        behind = (row[1] - heartbeat) & 0xFFFF
        return behind < SAID_ROUNDS or behind >= 0x8000

    def complete_move(self, move):
        """Marks a pending move of this daemon as complete."""
        moves = tuple(
            type(move)(kept.part, kept.giver, kept.taker, COMPLETE)
            if kept.key() == move.key()
            else kept
            for kept in self.state.moves
        )
        self.make(self.state.changed(self.me.address, moves=moves))

    def leave(self):
        """Says that this daemon leaves in order."""
        known = self.state.members.get(self.me.address)
        if known is not None and known.uid == self.me.uid and known.state in (JOINING, UP):
            self.make(
                self.state.changed(
                    self.me.address,
                    members={**self.state.members, self.me.address: known.at(LEAVING)},
                )
            )
            for _ in range(3):
                self.gossip(self.context.now_ms())

    def exit(self):
        """Says that all that this daemon had is handed over."""
        known = self.state.members.get(self.me.address)
        if known is not None and known.uid == self.me.uid and known.state == LEAVING:
            self.make(
                self.state.changed(
                    self.me.address,
                    members={**self.state.members, self.me.address: known.at(EXITING)},
                )
            )

    def gossip(self, now_ms, settled=False):
        """Sends the overview to this round's targets, and the state to contacts that are unknown."""
        targets = sorted(choose_targets(self, settled))
        if targets:
            overview = self.overview()
            for address in targets:
                self.send_to(address, overview)
        live = [member for member in self.others() if member.address not in self.unreachable]
        alone = self.state.members[self.me.address].state == JOINING or not live
        if alone or self.context.random.random() < CONTACT_CHANCE:
            for address in self.contacts:
                if address not in self.state.members and address != self.me.address:
                    self.send_state(address)

    def overview(self, with_clock=False):
        return pack_overview(self, with_clock)

    def clock_bytes(self):
        return clocks.pack_clock(self.state.counted())

    def packed_state(self, base=None, base_mark=0):
        """The state for a message, whole or what the holder of a clock lacks: JSON inside the
        flexbuffer, since many states go about while a fleet changes and the library for flexbuffers
        is slow; packed once for all who are at the same mark.
        """
        if self.packed_of is not self.state:
            self.packed_of = self.state
            self.packed = {}
        packed = self.packed.get(base_mark)
        if packed is None:
            message = self.state.message(base)
            packed = (
                b""
                if base and not (message[0] or message[1] or message[5])
                else wire.squeeze(json.dumps(message, separators=(",", ":")).encode())
            )
            self.packed[base_mark] = packed
        return packed

    def send_state(self, address, base=None, base_mark=0):
        """Sends the state: what the holder of the clock `base`, known to it by `base_mark`, lacks.
        The whole goes to one without a base, and where the clocks say that nothing is lacking
        though the marks differ; but once a round.
        """
        packed = self.packed_state(base, base_mark)
        if not base or not packed:
            now_ms = self.context.now_ms()
            self.whole_ms = {
                to: ms for to, ms in self.whole_ms.items() if now_ms - ms < self.interval_ms * 0.4
            }
            if address in self.whole_ms:
                return
            self.whole_ms[address] = now_ms
            packed, base_mark = self.packed_state(), 0
        self.send_to(
            address, wire.pack([wire.STATE, self.me.address, packed, self.state.mark, base_mark])
        )

    def send_to(self, address, data):
        if self.transport is not None and len(data) <= DATAGRAM_BYTES:
            self.transport.sendto(data, wire.pair(address))

    def datagram_received(self, data, source):
        peer = f"{source[0]}:{source[1]}"
        try:
            message = wire.unpack(data, "gossip", peer)
            kind, sender = message[0], message[1]
            sort_key(sender)
            if kind == wire.OVERVIEW:
                self.heard_overview(sender, message)
            elif kind == wire.STATE:
                self.arrived_state(sender, *message[2:])
            elif kind == wire.STATE_WANTED:
                self.wanted(sender, *message[2:])
        except Exception as failure:
            self.context.log.warning("membership: unreadable gossip from %s: %r.", peer, failure)

    def heard_overview(self, sender, message):
        _, _, clock_bytes, mark_bytes, row_bytes, seen, serial, keyed = message
        now_ms = self.context.now_ms()
        marks = struct.unpack(f"!{len(mark_bytes) // 4}I", mark_bytes)
        rows, suspicions, me = self.rows, self.suspicions, self.me.address
        for member, heartbeat, mark in overview_rows(self, row_bytes, marks, keyed):
            address = member.address
            known = rows.get(address)
            if known is not None and known[0] == member.uid:
                if not 0 < (heartbeat - known[1]) & 0xFFFF < 0x8000:
                    continue
                suspicion = suspicions.get(address)
                if suspicion is not None:
                    suspicion.heard(now_ms)
            elif address == me:
                continue
            else:
                suspicions[address] = Suspicion(now_ms, self.expected_ms(member))
            rows[address] = (member.uid, heartbeat, mark)
        seen = json.loads(seen) if seen else ()
        for observer, heartbeat, addresses in seen:
            known = self.observed.get(observer)
            if (
                observer != me
                and self.recent(observer, heartbeat)
                and (known is None or heartbeat > known[0] or heartbeat < known[0] - 10)
            ):
                self.observed[observer] = (heartbeat, frozenset(addresses))
        if sender in self.observed and not any(observer == sender for observer, _, _ in seen):
            self.observed.pop(sender)
        if serial > self.serial and self.serial_hook is not None:
            self.serial_hook(sender, serial)
        if marks[0] == self.state.mark:
            return
        if clock_bytes:
            theirs = clocks.unpack_clock(clock_bytes)
            if clocks.compare(self.state.clock, theirs, self.state.removed()) == clocks.NEWER:
                self.send_to(
                    sender,
                    wire.pack(
                        [wire.STATE_WANTED, self.me.address, self.state.mark, self.clock_bytes()]
                    ),
                )
            else:
                self.send_state(sender, theirs, marks[0])
        elif marks[0] in self.past:
            self.send_state(sender, self.past[marks[0]], marks[0])
        else:
            self.send_to(
                sender, wire.pack([wire.STATE_WANTED, self.me.address, self.state.mark, b""])
            )

    def wanted(self, sender, mark, clock_bytes):
        """Another lacks what is here: it gets that, or where its mark says nothing here, the
        question for its clock.
        """
        if mark == self.state.mark:
            return
        base = clocks.unpack_clock(clock_bytes) if clock_bytes else self.past.get(mark)
        if base is not None:
            self.send_state(sender, base, mark)
        else:
            self.send_to(sender, self.overview(True))

    def arrived_state(self, sender, packed, mark, base_mark):
        """A state, whole or on top of a base; on top of a base that this life never held it can't
        be used.
        """
        if mark == self.state.mark:
            return
        if base_mark and base_mark not in self.past:
            self.send_to(sender, self.overview(True))
            return
        theirs = from_message(json.loads(wire.unsqueeze(packed)))
        self.heard_state(sender, theirs, mark, self.past[base_mark] if base_mark else {})

    def heard_state(self, sender, theirs, mark=None, base=None):
        """Takes in another's state, given on top of `base`: both are joined, and the sender gets
        what it lacks.
        """
        mark = theirs.mark if mark is None else mark
        if mark == self.state.mark:
            return
        self.put(merged(self.state, theirs))
        self.ensure_self()
        if self.state.mark != mark:
            self.send_state(
                sender, clocks.joined(base, theirs.clock) if base else None, mark if base else 0
            )

"""The registry's desk: takes beats and leaves, spreads news along placement, feeds the proxies,
repairs.
"""

import json
import os
import struct
import zlib

from stagevale import wire
from stagevale.ballots import Round, Voter, as_ballot
from stagevale.configuration.value import read_value
from stagevale.membership.state import AWAITING, LEAVING, STATE_NAMES, UP
from stagevale.partners import NO_TABLE, table_of
from stagevale.placement import PARTS, fronts_for, part_of
from stagevale.registrations import DRAINING, GONE, READY, Life, Lives, life_from_fields

UNHEARD_BEATS = 2.6
FEED_SHARE = 0.05
HEARD_ROW = struct.Struct("!II")


class Subscriber:
    """A proxy that this registry feeds."""

    __slots__ = (
        "address",
        "front",
        "zone",
        "region",
        "ready",
        "serial",
        "heard_ms",
        "waiting",
        "welcomed",
        "report",
        "table",
    )

    def __init__(self, address, front, zone, region, ready, serial, heard_ms):
        self.address = address
        self.front = front
        self.zone = zone
        self.region = region
        self.ready = ready
        self.serial = serial
        self.heard_ms = heard_ms
        self.waiting = False
        self.welcomed = False
        self.report = []
        self.table = []


class Desk:
    """One registry's knowledge of endpoints, proxies and the chosen configuration, and how it
    spreads.
    """

    __slots__ = (
        "context",
        "board",
        "membership",
        "lives",
        "value",
        "value_heard_ms",
        "subscribers",
        "attached",
        "ping_heard_ms",
        "voter",
        "owners",
        "rounds",
        "life",
        "heard_ids",
        "pulling",
        "interval_ms",
        "ports",
        "started_ms",
        "stopping",
        "moves_running",
        "round_no",
        "disk",
        "saved_mark",
        "saving",
        "true_time",
        "ledger",
        "duties",
        "unfed",
        "feeding",
        "unannounced",
        "welcoming",
        "lease_askers",
        "confirming",
        "partners",
        "sessions",
        "open_log",
        "outcomes",
    )

    def __init__(self, context, board, membership):
        self.context = context
        self.board = board
        self.membership = membership
        self.lives = Lives()
        self.value = None
        self.value_heard_ms = -1e12
        self.subscribers = {}
        self.attached = {}
        self.ping_heard_ms = {}
        self.voter = Voter()
        self.owners = {}
        self.rounds = 0
        self.round_no = 0
        self.life = f"{context.random.getrandbits(32):08x}"
        self.heard_ids = {}
        self.pulling = False
        self.interval_ms = context.settings.bounds.contact_ms / 4.0
        self.ports = context.settings.inner_ports
        self.started_ms = context.now_ms()
        self.stopping = False
        self.moves_running = set()
        self.disk = None
        self.saved_mark = None
        self.saving = False
        self.unfed = {}
        self.feeding = False
        self.unannounced = set()
        self.welcoming = 0.0, None
        self.lease_askers = []
        self.outcomes = {}
        self.confirming = False
        self.partners = NO_TABLE
        self.sessions = None
        self.open_log = self.session_log
        self.true_time = self.ledger = self.duties = None
        for kind, handler in (
            (wire.LIVES, self.on_lives),
            (wire.HEARD, self.on_heard),
            (wire.PING, self.on_ping),
            (wire.PART_WANTED, self.on_part_wanted),
            (wire.CANVASS, self.on_canvass),
            (wire.HANDOFF, self.on_handoff),
            (wire.CHOSEN, self.on_chosen),
            (wire.BEACON, self.on_beacon),
            (wire.SUBSCRIBE, self.on_subscribe),
            (wire.UNSUBSCRIBE, self.on_unsubscribe),
            (wire.PULL, self.on_pull),
            (wire.ATTACHED, self.on_attached),
            (wire.ATTACHED_WANTED, self.on_attached_wanted),
            (wire.READ_VALUE, self.on_value_wanted),
            (wire.USAGE, self.on_usage),
            (wire.LEASE_WANTED, self.on_lease_wanted),
        ):
            board.on(kind, handler)
        board.lost_hooks.append(self.connection_lost)
        membership.change_hooks.append(self.placement_changed)
        membership.serial_hook = self.serial_heard

    def start(self):
        self.context.after(self.interval_ms * 0.05, self.tick)
        self.context.after(self.interval_ms * 0.1, self.first_value)

    def remember(self, disk):
        """Begins from the endpoints that this registry knew when it last ran: hints, until beats
        say more.
        """
        self.disk = disk

        def loaded(record, failure):
            if failure is not None or record is None:
                return
            now_ms = self.context.now_ms()
            for row in wire.unpack(record, "load", "disk")[1]:
                life = life_from_fields(row, now_ms)
                if life.id not in self.lives.by_id:
                    self.lives.merge(life, now_ms)
            self.saved_mark = self.lives.mark_of_all()
            self.feed(list(self.lives.by_id.values()))
            self.context.log.info("registry: remembers %d endpoints.", len(self.lives.by_id))

        self.context.disk(disk.load, loaded)

    def keep(self):
        """Saves what is known of endpoints, where that has changed."""
        mark = self.lives.mark_of_all()
        if self.disk is None or self.saving or mark == self.saved_mark:
            return
        self.saving = True
        now_ms = self.context.now_ms()
        record = wire.pack(
            [
                0,
                [
                    life.fields(now_ms)
                    for life in self.lives.by_id.values()
                    if life.healthy and life.state != GONE
                ],
            ]
        )

        def saved(_, failure):
            self.saving = False
            if failure is None:
                self.saved_mark = mark

        self.context.disk(lambda: self.disk.save(record), saved)

    def first_value(self):
        """Asks the stores until there is a value: proxies that start wait for it."""
        if self.value is None and not self.stopping:
            self.pull_value()
            self.context.after(self.interval_ms * 0.2, self.first_value)

    # who keeps what

    def registries(self):
        return list(self.membership.members("registry", (0, UP, LEAVING)))

    def group_of(self, part):
        """The members that keep a part: by the placement table, or the shared seeds before there is
        one.
        """
        group = self.membership.state.table.get(part)
        if group:
            return group
        return tuple(f"{ip}:{self.ports[0]}" for ip in self.context.settings.seeds)

    def region_of(self, address):
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def in_contact(self):
        """True while this registry hears a majority of the core machines, itself counted."""
        now_ms = self.context.now_ms()
        machines = {member.machine for member in self.registries()}
        machines.add(self.membership.me.machine)
        near = {
            address.rpartition(":")[0]
            for address, heard_ms in self.ping_heard_ms.items()
            if now_ms - heard_ms < self.interval_ms * (1.8 if self.near(address) else 2.6)
        }
        near.add(self.membership.me.machine)
        return len(near & machines) * 2 > len(machines)

    def session_log(self):
        """Where session records are kept on this machine's disk."""
        from stagevale.affinity.log import SessionLog
        from stagevale.configuration.disk import Folder

        folder = os.path.join(self.context.settings.data_path, "sessions")
        os.makedirs(folder, exist_ok=True)
        return SessionLog(Folder(folder))

    def core_size(self):
        """How many core machines are thought to live, this one counted."""
        machines = {member.machine for member in self.registries()}
        machines.add(self.membership.me.machine)
        return len(machines)

    def young(self):
        """True for a while after the start, when silence of the others says nothing yet."""
        return self.context.now_ms() - self.started_ms < self.interval_ms * 2

    # news of lives

    def beat(self, id, table, answer):
        """A heartbeat; `answer(status, body)` is called once it is taken, or refused."""
        now_ms = self.context.now_ms()
        details, status = table["details"], table["status"]
        comer = Life(
            id,
            details["service"],
            table["address"],
            details["zone"],
            details["slots"],
            DRAINING if status["state"] == "draining" else READY,
            status["callSeq"],
            0,
            status["callSeq"] if status["coldLeftMs"] > 0 else 0,
            status["coldLeftMs"],
            now_ms,
            details.get("version", ""),
        )
        known = self.lives.by_id.get(id)
        if (
            known is not None
            and comer.cold_seq
            and known.cold_seq
            and self.cold_left_ms(known, now_ms) > 0
            and comer.cold_ms <= self.cold_left_ms(known, now_ms) + self.interval_ms
        ):
            comer.cold_seq = known.cold_seq
        self.take_in(comer, answer)

    def cold_left_ms(self, life, now_ms):
        return life.cold_ms - (now_ms - life.heard_ms)

    def leave(self, id, answer):
        """An endpoint's leave; an unknown one is taken as gone already."""
        known = self.lives.by_id.get(id)
        if known is None:
            answer(200, {})
            return
        self.take_in(
            Life(
                id,
                known.service,
                known.address,
                known.zone,
                known.slots,
                GONE,
                known.call_seq,
                0,
                0,
                0,
                self.context.now_ms(),
            ),
            answer,
        )

    def take_in(self, comer, answer):
        now_ms = self.context.now_ms()
        if not self.in_contact() and not self.young():
            answer(503, {"error": "out of touch with the core"})
            return
        news = self.lives.merge(comer, now_ms)
        if news is None:
            part = part_of(comer.service)
            self.heard_ids.setdefault(part, {})[comer.id] = comer.call_seq
            known = self.lives.by_id[comer.id]
            if known.state == READY or comer.state == READY:
                answer(200, self.beat_answer(comer))
                return
            news = known
        self.spread([news], None if news.state == READY else answer)
        if news.state == READY:
            answer(200, self.beat_answer(comer))

    def beat_answer(self, life):
        """Names a registry of the endpoint's own zone for later beats, where this one is of
        another.
        """
        if life.zone == self.membership.me.zone or "control" not in self.context.settings.listen:
            return {}
        port = self.context.settings.listen["control"][1]
        for member in self.registries():
            if member.zone == life.zone and self.membership.reachable(member.address):
                return {"beatTarget": f"{member.machine}:{port}"}
        return {}

    def spread(self, news, answer):
        """Brings news to the group of its part and on to the proxies; `answer` waits for the
        group's majority.
        """
        now_ms = self.context.now_ms()
        self.feed(news)
        by_part = {}
        for life in news:
            by_part.setdefault(part_of(life.service), []).append(life)
        for part, lives in by_part.items():
            group = self.group_of(part)
            others = [address for address in group if address != self.board.address]
            rows = wire.pack_rows([life.fields(now_ms) for life in lives])
            held = Round((0, ""), group)
            if self.board.address in group:
                held.count(self.board.address, True, (0, ""))
                self.pass_on(part, lives)
            if answer is None:
                for address in others:
                    self.board.cast(address, wire.LIVES, [rows, 0])
                continue

            def answered(peer, reply, failure, held=held):
                if held.over:
                    return
                held.count(peer, failure is None and reply is not None, (0, ""))
                if held.won():
                    held.over = True
                    answer(200, {})
                elif held.lost():
                    held.over = True
                    answer(503, {"error": "the part's group can't be reached"})

            for address in others:
                self.board.call(
                    address,
                    wire.LIVES,
                    [rows, 0],
                    self.interval_ms * 0.7,
                    lambda reply, failure, peer=address: answered(peer, reply, failure),
                )

    def pass_on(self, part, lives):
        """A member of a part's group passes news to the registries of its region, and the owner to
        the rest.
        """
        now_ms = self.context.now_ms()
        group = self.group_of(part)
        regions = {
            self.region_of(address) for address in group if self.membership.reachable(address)
        }
        mine = self.membership.me.region
        rows = wire.pack_rows([life.fields(now_ms) for life in lives])
        for member in self.registries():
            if member.address in group or member.address == self.board.address:
                continue
            if member.region == mine or (member.region not in regions and self.owns(part)):
                self.board.cast(member.address, wire.LIVES, [rows, 1])

    def on_lives(self, peer, body, reply):
        self.take_lives(wire.unpack_rows(body[0]), body[1])
        if reply is not None:
            reply(1)

    def take_lives(self, rows, passed_on):
        """Takes in what another registry knows of some lives."""
        now_ms = self.context.now_ms()
        by_part = {}
        news = []
        for row in rows:
            after = self.lives.merge(life_from_fields(row, now_ms), now_ms)
            if after is not None:
                news.append(after)
                by_part.setdefault(part_of(after.service), []).append(after)
        if news:
            self.feed(news)
            if not passed_on:
                for part, lives in by_part.items():
                    if self.board.address in self.group_of(part):
                        self.pass_on(part, lives)

    def on_heard(self, peer, body, reply):
        """Which unchanged lives another registry has heard."""
        now_ms = self.context.now_ms()
        back = []
        for key, call_seq in HEARD_ROW.iter_unpack(body):
            known = self.lives.by_key.get(key)
            if known is None:
                continue
            comer = Life(
                known.id,
                known.service,
                known.address,
                known.zone,
                known.slots,
                READY,
                call_seq,
                0,
                0,
                0,
                now_ms,
            )
            after = self.lives.merge(comer, now_ms)
            if after is not None:
                back.append(after)
        if back:
            self.spread(back, None)

    def feed(self, news):
        """Pushes lives to the proxies that this registry feeds: at once what takes an endpoint
        away, the rest together with what else comes within a moment, so that a proxy's work doesn't
        rise with the square of the endpoints.
        """
        self.welcoming = 0.0, None
        if not self.subscribers:
            return
        for life in news:
            self.unfed[life.id] = life
        if any(life.state != READY or not life.healthy for life in news):
            self.feed_now()
        elif not self.feeding:
            self.feeding = True
            self.context.after(self.interval_ms * FEED_SHARE, self.feed_now)

    def feed_now(self):
        self.feeding = False
        news, self.unfed = self.unfed, {}
        if not news:
            return
        now_ms = self.context.now_ms()
        rows = wire.pack_rows(
            [self.lives.by_id.get(id, life).fields(now_ms) for id, life in news.items()]
        )
        for subscriber in self.subscribers.values():
            if not subscriber.waiting:
                self.board.cast(subscriber.address, wire.FEED, [0, b"", rows])

    # owners of parts

    def owns(self, part):
        """True where this registry won the duty for a part and the part is still placed on it."""
        return self.owners.get(part, (None, 0))[
            0
        ] == self.board.address and self.board.address in self.group_of(part)

    def canvass(self):
        """Runs for the parts of whose group this registry is the first that may, where the duty is
        vacant.
        """
        vacant = []
        for part in PARTS:
            group = self.group_of(part)
            if self.board.address not in group or self.stopping:
                continue
            owner = self.owners.get(part, (None, 0))[0]
            if owner in group and (
                owner == self.board.address or self.membership.reachable(owner) and self.live(owner)
            ):
                continue
            able = [
                address
                for address in group
                if address == self.board.address
                or (self.membership.reachable(address) and self.live(address))
            ]
            if able and able[0] == self.board.address:
                vacant.append(part)
        for part in vacant:
            group = self.group_of(part)
            self.round_no = max(self.round_no, self.voter.promised.get(part, (0, ""))[0]) + 1
            ballot = (self.round_no, f"{self.board.address}#{self.life}")
            running = Round(ballot, group)

            def answered(peer, answer, failure, running=running, part=part, ballot=ballot):
                if running.over:
                    return
                if failure is not None or answer is None:
                    running.count(peer, False, (0, ""))
                else:
                    running.count(peer, answer[0], as_ballot(answer[1]))
                    self.round_no = max(self.round_no, answer[1][0])
                if running.won():
                    running.over = True
                    self.owners[part] = (self.board.address, ballot)
                    self.context.log.info("registry: won the duty for %s.", part)
                elif running.lost():
                    running.over = True

            for address in group:
                self.board.call(
                    address,
                    wire.CANVASS,
                    [part, list(ballot)],
                    self.interval_ms * 0.6,
                    lambda answer, failure, peer=address, answered=answered: answered(
                        peer, answer, failure
                    ),
                )

    def live(self, address):
        return self.context.now_ms() - self.ping_heard_ms.get(address, -1e12) < self.interval_ms * (
            1.5 if self.near(address) else 2.3
        )

    def near(self, address):
        """True for a registry of the own region; others ping half as often, since bytes between
        regions are dear.
        """
        return self.region_of(address) == self.membership.me.region

    def on_canvass(self, peer, body, reply):
        part, ballot = body[0], as_ballot(body[1])
        promised, highest = self.voter.canvass(part, ballot)
        if promised:
            self.owners[part] = (ballot[1].partition("#")[0], ballot)
        reply([promised, list(highest)])

    def judge(self):
        """The owner of a part declares lives unhealthy that no registry has heard for some
        beats.
        """
        now_ms = self.context.now_ms()
        if not self.in_contact() or now_ms - self.started_ms < self.context.settings.beat_ms * 4:
            return
        limit_ms = self.context.settings.beat_ms * UNHEARD_BEATS
        unheard = []
        for part in PARTS:
            if not self.owns(part):
                continue
            for life in list(self.lives.parts.get(part, {}).values()):
                if life.state == GONE or not life.healthy or now_ms - life.heard_ms < limit_ms:
                    continue
                unheard.append(
                    Life(
                        life.id,
                        life.service,
                        life.address,
                        life.zone,
                        life.slots,
                        life.state,
                        life.call_seq,
                        life.call_seq,
                        life.cold_seq,
                        life.cold_ms,
                        life.heard_ms,
                        life.software,
                    )
                )
        news = []
        for life in unheard:
            known = self.lives.by_id[life.id]
            heard_ms = known.heard_ms
            after = self.lives.merge(life, now_ms)
            self.lives.by_id[life.id].heard_ms = heard_ms
            if after is not None:
                news.append(after)
                self.context.log.info("registry: %s of %s is unheard.", life.id, life.service)
        if news:
            self.spread(news, None)

    # rounds

    def tick(self):
        self.context.after(
            self.interval_ms * 0.5 * self.context.random.uniform(0.95, 1.05), self.tick
        )
        now_ms = self.context.now_ms()
        self.rounds += 1
        settings = self.context.settings
        self.lives.forget(
            now_ms - settings.bounds.contact_ms * 10, now_ms - settings.bounds.contact_ms * 60
        )
        serial = self.value.serial if self.value else -1
        self.announce_now()
        ping = [serial, [self.lives.mark_of_all()], self.attached_mark(self.my_attached())]
        if self.true_time is not None:
            ping.append(int(self.context.wall_ms()))
        for member in self.registries():
            if member.address != self.board.address and (
                self.rounds % 2 or member.region == self.membership.me.region
            ):
                self.board.cast(member.address, wire.PING, ping)
        if self.rounds % 2:
            self.tell_heard()
            self.canvass()
            self.move_parts()
            self.keep()
        self.judge()
        contact = self.in_contact() or self.young()
        for subscriber in list(self.subscribers.values()):
            if now_ms - subscriber.heard_ms > self.interval_ms * 2.2:
                self.drop(subscriber.address)
                continue
            self.board.cast(subscriber.address, wire.FEED_PING, self.feed_ping(serial, contact))

    def feed_ping(self, serial, contact):
        """What a feeder says each round: its version, whether it is in touch, and, where duties
        want it, the agreed time.
        """
        true_ms = self.true_time.now() if self.true_time is not None else None
        return [serial, 1 if contact else 0] + ([int(true_ms)] if true_ms is not None else [])

    def on_usage(self, peer, body, reply):
        if self.ledger is not None:
            self.ledger.take(peer, body)

    def tell_heard(self):
        """Tells the groups which unchanged lives were heard here since the last time."""
        told_to = {}
        for part, ids in self.heard_ids.items():
            for address in self.group_of(part):
                if address != self.board.address:
                    told_to.setdefault(address, []).extend(
                        HEARD_ROW.pack(zlib.crc32(id.encode()), seq & 0xFFFFFFFF)
                        for id, seq in ids.items()
                    )
        for address, heard in told_to.items():
            self.board.cast(address, wire.HEARD, b"".join(heard))
        self.heard_ids = {}

    def on_ping(self, peer, body, reply):
        serial, marks, attached_mark, *clock = body
        now_ms = self.context.now_ms()
        if clock and self.true_time is not None:
            self.true_time.heard(peer, clock[0])
        self.ping_heard_ms[peer] = now_ms
        if serial > (self.value.serial if self.value else -1):
            self.board.call(peer, wire.READ_VALUE, [], self.interval_ms, self.got_value)
        if attached_mark != self.attached_mark(self.attached.get(peer, ())):
            self.board.call(
                peer,
                wire.ATTACHED_WANTED,
                [],
                self.interval_ms,
                lambda answer, failure: (
                    failure is None and answer is not None and self.got_attached(peer, answer)
                ),
            )
        if len(marks) == 1:
            member = self.membership.state.members.get(peer)
            near = member is not None and member.region == self.membership.me.region
            if marks[0] != self.lives.mark_of_all() and (
                near or self.context.random.random() < 0.3
            ):
                self.board.cast(
                    peer,
                    wire.PING,
                    [
                        serial if self.value is None else self.value.serial,
                        [self.lives.mark(part) for part in PARTS],
                        self.attached_mark(self.my_attached()),
                    ],
                )
            return
        wanted = [
            number
            for number, part in enumerate(PARTS)
            if number < len(marks) and marks[number] != self.lives.mark(part)
        ]
        if wanted:
            summaries = [self.lives.summary(PARTS[number]) for number in wanted]
            self.board.call(
                peer,
                wire.PART_WANTED,
                [wanted, summaries],
                self.interval_ms,
                lambda answer, failure: (
                    failure is None and answer is not None and self.got_part(peer, wanted, answer)
                ),
            )

    def on_part_wanted(self, peer, body, reply):
        """Repair: answers with what differs here from another's summary of some parts, and with
        what is wanted of it.
        """
        now_ms = self.context.now_ms()
        rows, keys = [], []
        for number, summary in zip(*body, strict=False):
            differing, wanted = self.lives.differing(PARTS[number], summary, now_ms)
            rows += differing
            keys += wanted
        reply([wire.pack_rows(rows), keys])

    def got_part(self, peer, wanted, answer):
        """The answer to a summary: takes in what differs there and sends what is wanted from
        here.
        """
        rows, keys = answer
        now_ms = self.context.now_ms()
        mine = [self.lives.by_key[key].fields(now_ms) for key in keys if key in self.lives.by_key]
        self.take_lives(wire.unpack_rows(rows), 1)
        if mine:
            self.board.cast(peer, wire.LIVES, [wire.pack_rows(mine), 1])

    def placement_changed(self):
        self.context.soon(self.move_parts)

    def move_parts(self):
        """Hands over the parts that pending moves take from this registry."""
        for move in self.membership.state.moves:
            if (
                move.giver != self.board.address
                or move.status != AWAITING
                or move.key() in self.moves_running
            ):
                continue
            self.moves_running.add(move.key())

            def ready(answer, failure, move=move):
                self.moves_running.discard(move.key())
                if failure is None and answer:
                    self.membership.complete_move(move)

            rows = wire.pack_rows(self.lives.rows(move.part, self.context.now_ms()))
            self.board.call(move.taker, wire.HANDOFF, [move.part, rows], self.interval_ms, ready)
        if self.stopping:
            mine = any(
                self.board.address in group
                for part, group in self.membership.state.table.items()
                if part in PARTS
            )
            if not mine:
                self.membership.exit()

    def on_handoff(self, peer, body, reply):
        self.take_lives(wire.unpack_rows(body[1]), 1)
        reply(1)

    # the configuration

    def on_chosen(self, peer, body, reply):
        packed, others = body
        for address in others:
            if address != self.board.address:
                self.board.cast(address, wire.CHOSEN, [packed, []])
        self.take_value(read_value(packed))
        self.confirmed()

    def take_value(self, value):
        if self.value is not None and value.serial <= self.value.serial:
            return
        self.value = value
        self.partners = table_of(value) if value.offers else NO_TABLE
        self.membership.serial = value.serial
        if value.sessions:
            if self.sessions is None:
                from stagevale.affinity.keeping import SessionKeeper

                self.sessions = SessionKeeper(self.context, self.board, self.open_log())
            self.sessions.configure(value.sessions)
        for subscriber in self.subscribers.values():
            self.feed_value(subscriber)

    def feed_value(self, subscriber):
        if (
            self.value is not None
            and subscriber.serial < self.value.serial
            and not subscriber.waiting
        ):
            subscriber.serial = self.value.serial
            self.board.cast(subscriber.address, wire.FEED, [1, self.value.packed, b""])

    def on_beacon(self, peer, body, reply):
        serial = body[1]
        if self.value is not None and serial <= self.value.serial:
            self.confirmed()
        else:
            self.pull_value()

    def confirmed(self):
        """The value held here is the newest that a majority knows: proxies that waited for that are
        fed.
        """
        self.value_heard_ms = self.context.now_ms()
        for subscriber in list(self.subscribers.values()):
            if subscriber.waiting:
                self.welcome(subscriber, True)

    def serial_heard(self, sender, serial):
        if self.value is None or serial > self.value.serial:
            self.pull_value()

    def stores(self):
        """Stores to ask: the one beside this registry first, then those of members, then the seeds'
        ones.
        """
        addresses = [f"{self.membership.me.machine}:{self.ports[0] + 1}"]
        members = [
            member
            for member in self.membership.members("store")
            if self.membership.reachable(member.address)
        ]
        members.sort(key=lambda member: member.region != self.membership.me.region)
        addresses += [member.address for member in members]
        addresses += [f"{ip}:{self.ports[0] + 1}" for ip in self.context.settings.seeds]
        return list(dict.fromkeys(addresses))

    def pull_value(self, then=None):
        """Reads the value from the stores, confirmed by a majority."""
        if self.pulling and then is None:
            return
        self.pulling = True

        def answered(answer, failure):
            self.pulling = False
            if failure is None and answer and answer[0] == 200:
                self.take_value(read_value(answer[1]))
                self.confirmed()
                if then is not None:
                    then(True)
            elif then is not None:
                then(False)

        self.ask_stores(
            wire.READ_VALUE, [False], answered, self.stores()[:3], self.interval_ms * 0.9
        )

    def ask_stores(self, kind, body, done, addresses, deadline_ms):
        """Asks one store after the other until one gives a clear answer."""

        def answered(answer, failure):
            if (failure is not None or not answer or answer[0] == 503) and len(addresses) > 1:
                self.ask_stores(kind, body, done, addresses[1:], deadline_ms)
            else:
                done(answer, failure)

        self.board.call(addresses[0], kind, body, deadline_ms, answered)

    def show_session(self, session, answer):
        """The record of a session, as a majority of its group has it."""
        from stagevale.affinity import STATES, Record, group_name, record_from
        from stagevale.ballots import majority

        names = {
            group_name(
                name.partition("|")[0].split(",") if name.partition("|")[0] else (),
                session.encode(),
            )
            for name in (self.value.sessions if self.value else {})
        }
        waiting, found, silent = {}, {}, []
        for name in names:
            if name in self.value.sessions:
                waiting[name] = set(self.value.sessions[name][1])
        if not waiting:
            answer(404, {"error": "no route asks for affinity"})
            return

        def heard(name, peer, reply, failure):
            waiting[name].discard(peer)
            if failure is None and reply and reply[0]:
                found.setdefault(name, []).append(reply[1])
            if any(waiting.values()):
                return
            rows = []
            for name in sorted(waiting):
                got = found.get(name, [])
                if len(got) < majority(len(self.value.sessions[name][1])):
                    silent.append(name)
                    continue
                record = Record()
                for fields in got:
                    if fields is not None:
                        record.join(record_from(fields, self.context.now_ms()))
                if record.number or record.requests:
                    rows.append(
                        {
                            "group": name,
                            "version": record.number,
                            "holder": record.holder.partition("#")[0],
                            "endpoints": record.pins,
                            "requests": [
                                {
                                    "key": key,
                                    "state": STATES[entry.state],
                                    "by": entry.by.partition("#")[0],
                                    "keptForS": int(
                                        (entry.expires_ms - self.context.now_ms()) / 1000
                                    ),
                                }
                                for key, entry in sorted(record.requests.items())
                            ],
                        }
                    )
            if silent:
                answer(503, {"error": f"no majority of the groups {', '.join(silent)} answers"})
            elif not rows:
                answer(404, {"error": "no record of this session"})
            else:
                answer(200, {"session": session, "records": rows})

        for name, peers in list(waiting.items()):
            for peer in list(peers):
                self.board.call(
                    peer,
                    wire.SESSION_LOOK,
                    [name, self.value.sessions[name][0], session],
                    self.interval_ms,
                    lambda reply, failure, name=name, peer=peer: heard(name, peer, reply, failure),
                )

    def on_lease_wanted(self, peer, body, reply):
        """A proxy asks whether its table is the newest: one question to the register serves all
        that asked before it.
        """
        ask_no, *told = body
        self.lease_askers.append((peer, ask_no))
        if told:
            self.outcomes[peer] = [peer, *told]
        self.ask_newest()

    def ask_newest(self):
        if self.confirming or not self.lease_askers:
            return
        asking, self.lease_askers = self.lease_askers, []
        outcomes, self.outcomes = list(self.outcomes.values()), {}
        self.confirming = True

        def answered(answer, failure):
            self.confirming = False
            if failure is None and answer and answer[0] == 200:
                newest = int(answer[1])
                for proxy, ask_no in asking:
                    self.board.cast(proxy, wire.LEASE, [ask_no, newest])
                if self.value is None or newest > self.value.serial:
                    self.pull_value()
            self.ask_newest()

        payload = json.dumps(outcomes, separators=(",", ":")) if outcomes else ""
        self.ask_stores(
            wire.ORDER,
            ["serial", payload, False],
            answered,
            self.stores()[:2],
            self.interval_ms * 0.5,
        )

    def start_rollout(self, service, text, answer):
        """An operator's rollout, passed on once endpoints of both versions are known."""
        from stagevale.rollouts.checking import read_rollout

        checked = read_rollout(text)
        if checked.is_error():
            answer(checked.error.status, checked.error.reason)
            return
        software = self.software_of(service)
        for field in ("from", "to"):
            if software and checked.ok[field] not in software:
                answer(
                    400,
                    f"{field}: no endpoint of {service} runs {checked.ok[field]}; known are "
                    f"{', '.join(sorted(software))}",
                )
                return
        self.order("startRollout", f"{service}\n{text}", answer)

    def software_of(self, service):
        """Healthy endpoints and their slots by software version."""
        found = {}
        for life in self.lives.parts.get(part_of(service), {}).values():
            if life.service == service and life.state == READY and life.healthy:
                endpoints, slots = found.get(life.software, (0, 0))
                found[life.software] = endpoints + 1, slots + life.slots
        return found

    def show_rollouts(self, service, answer):
        """All rollouts, or one, as the owner of the register confirms them; with warnings before
        they hurt.
        """

        def shown(status, text):
            if status != 200:
                answer(status, {"error": text})
                return
            rows = [row for row in json.loads(text)["rollouts"] if service in ("", row["service"])]
            if service and not rows:
                answer(404, {"error": f"no rollout of {service}"})
                return
            for row in rows:
                software = self.software_of(row["service"])
                row["endpoints"] = {
                    name: {"endpoints": count, "slots": slots}
                    for name, (count, slots) in sorted(software.items())
                }
                row["warnings"] = self.rollout_warnings(row, software)
            answer(200, rows[0] if service else {"rollouts": rows})

        self.order("readRollouts", "", shown)

    def rollout_warnings(self, row, software):
        """What would hurt at a fallback: too few endpoints of the stable version to carry what the
        new one carries.
        """
        all_slots = sum(slots for _, slots in software.values())
        stable_slots = sum(
            slots
            for name, (_, slots) in software.items()
            if name != row["to"] and name not in row["withheld"]
        )
        warnings = []
        if stable_slots == 0:
            warnings.append(
                f"no healthy endpoint runs {row['from']}: after a fallback requests are refused with 503"
            )
        elif stable_slots * 2 < all_slots:
            warnings.append(
                f"{row['from']} has {stable_slots} of {all_slots} slots: a fallback would crowd them"
            )
        if row["to"] not in software:
            warnings.append(
                f"no healthy endpoint runs {row['to']}: its share goes to {row['from']}"
            )
        return warnings

    def partner_table(self, answer):
        """The merged table, after a majority has confirmed that it is the newest; 503 where none
        does.
        """

        def confirmed(status, text):
            if status != 200:
                answer(503, {"error": f"no majority of the stores confirms the table: {text}"})
            elif self.value is None or int(text) > self.value.serial:
                self.pull_value(
                    lambda read: (
                        self.show_table(answer)
                        if read
                        else answer(503, {"error": "the newest table can't be read"})
                    )
                )
            else:
                self.show_table(answer)

        self.order("serial", "", confirmed)

    def show_table(self, answer):
        answer(
            200,
            {
                "serial": self.value.serial,
                "mark": self.partners.mark,
                "registry": self.board.address,
                "rows": [row.fields() for row in self.partners.rows],
                "proxies": [
                    {
                        "address": s.address,
                        "serial": s.table[0] if s.table else None,
                        "mark": s.table[1] if s.table else None,
                    }
                    for s in self.subscribers.values()
                ],
            },
        )

    def explain(self, asked, answer):
        """Which rows were weighed for a host and path, and which won."""
        host, path, zone, tenant = (
            asked.get(name, [""])[0] for name in ("host", "path", "zone", "tenant")
        )
        zones = self.context.settings.zones
        if not host or not path.startswith("/"):
            answer(400, {"error": "host: want a name; path: want one that begins with a slash"})
            return
        if zone and zone not in zones:
            answer(400, {"error": f"zone: {zone} is not known"})
            return

        def shown(status, body):
            if status != 200:
                answer(status, body)
                return
            config = json.loads(self.value.config) if self.value.config else {}
            own = [
                route
                for route in config.get("routes", ())
                if route["host"].lower() == host.lower() and path.startswith(route["pathPrefix"])
            ]
            own.sort(key=lambda route: -len(route["pathPrefix"]))
            words = self.partners.weigh(host.lower(), path, zone, zones.get(zone, ""), tenant)
            row = (
                None
                if own
                else self.partners.find(host.lower(), path, zone, zones.get(zone, ""), tenant)
            )
            answer(
                200,
                {
                    "serial": self.value.serial,
                    "mark": self.partners.mark,
                    "own": [route.get("name") or route["pathPrefix"] for route in own],
                    "weighed": [{**each.fields(), "against": against} for each, against in words],
                    "won": f"own route {own[0].get('name') or own[0]['pathPrefix']}"
                    if own
                    else f"partner {row.partner}, {row.prefix}"
                    if row
                    else "",
                },
            )

        self.partner_table(shown)

    def got_value(self, answer, failure):
        if failure is None and answer:
            self.take_value(read_value(answer))

    def on_value_wanted(self, peer, body, reply):
        reply(self.value.packed if self.value else b"")

    def order(self, order, payload, answer):
        """An operator's order, forwarded to the store."""

        def answered(reply, failure):
            if failure is None and reply and len(reply) > 2 and reply[2] > 0:
                self.context.after(reply[2], answer, reply[0], reply[1])
            elif failure is None and reply:
                answer(reply[0], reply[1])
            else:
                answer(503, f"no store answers: {failure}")

        self.ask_stores(
            wire.ORDER,
            [order, payload, False],
            answered,
            self.stores()[:3],
            self.context.settings.bounds.ack_deadline_ms * 0.23,
        )

    # proxies

    def on_subscribe(self, peer, body, reply):
        front, zone, region, ready, serial, report, *table = body
        now_ms = self.context.now_ms()
        known = self.subscribers.get(peer)
        fresh = known is None or serial < 0
        changed = known is None or known.ready != ready
        if known is not None and report:
            known.report = report
        if known is not None and not fresh:
            known.heard_ms, known.ready, known.table = now_ms, ready, table
            if changed:
                self.announce(peer)
            if reply is not None:
                reply(1)
            return
        subscriber = Subscriber(peer, front, zone, region, ready, serial, now_ms)
        subscriber.report = known.report if known is not None else report
        self.subscribers[peer] = subscriber
        if changed:
            self.announce(peer)
        if reply is not None:
            reply(1)
        if serial < 0 and now_ms - self.value_heard_ms > self.interval_ms * 1.5:
            subscriber.waiting = True
            self.pull_value(
                lambda read: self.welcome(subscriber, read) if read or serial != -1 else None
            )
        else:
            self.welcome(subscriber, True)

    def welcome(self, subscriber, read):
        """Sends a new subscriber all lives, and the value once a majority has confirmed it."""
        if self.subscribers.get(subscriber.address) is not subscriber or subscriber.welcomed:
            return
        subscriber.welcomed = True
        subscriber.waiting = False
        rows = self.all_rows(self.context.now_ms())
        if read and self.value is not None and subscriber.serial < self.value.serial:
            subscriber.serial = self.value.serial
            self.board.cast(subscriber.address, wire.FEED, [1, self.value.packed, rows])
        else:
            self.board.cast(subscriber.address, wire.FEED, [0, b"", rows])

    def all_rows(self, now_ms):
        """All lives as a new subscriber gets them, packed once for those that come within a moment
        without news between.
        """
        made_ms, rows = self.welcoming
        if rows is None or now_ms - made_ms > self.interval_ms * FEED_SHARE:
            rows = wire.pack_rows([row for part in PARTS for row in self.lives.rows(part, now_ms)])
            self.welcoming = now_ms, rows
        return rows

    def my_attached(self):
        """The proxies that this registry feeds, as the directory wants them."""
        return sorted(
            [
                subscriber.address,
                subscriber.front,
                subscriber.zone,
                subscriber.region,
                bool(subscriber.ready),
            ]
            for subscriber in self.subscribers.values()
        )

    def attached_mark(self, rows):
        return zlib.crc32(repr([list(row) for row in rows]).encode())

    def announce(self, proxy):
        """Tells the other registries that a proxy is fed here, is ready, or isn't, together with
        what else changes within a moment, since a start brings all proxies at once; pings repair
        what gets lost.
        """
        if not self.unannounced:
            self.context.after(self.interval_ms * FEED_SHARE, self.announce_now)
        self.unannounced.add(proxy)

    def announce_now(self):
        proxies, self.unannounced = self.unannounced, set()
        if not proxies:
            return
        known = {row[0]: row for row in self.my_attached()}
        news = [known.get(proxy, [proxy]) for proxy in sorted(proxies)]
        for member in self.registries():
            if member.address != self.board.address:
                self.board.cast(member.address, wire.ATTACHED, news)

    def on_attached(self, peer, body, reply):
        """News of one proxy that another registry feeds: its row, or its address alone where it is
        fed there no more.
        """
        rows = {row[0]: row for row in self.attached.get(peer, ())}
        for proxy, *rest in body:
            rows.pop(proxy, None)
            if rest:
                front, zone, region, ready = rest
                rows[proxy] = [proxy, front, zone, region, bool(ready)]
        self.attached[peer] = sorted(rows.values())

    def got_attached(self, peer, rows):
        """All proxies that another registry feeds."""
        self.attached[peer] = [
            [proxy, front, zone, region, bool(ready)] for proxy, front, zone, region, ready in rows
        ]

    def on_attached_wanted(self, peer, body, reply):
        reply(self.my_attached())

    def on_unsubscribe(self, peer, body, reply):
        self.drop(peer)
        if reply is not None:
            reply(1)

    def drop(self, proxy):
        if self.subscribers.pop(proxy, None) is not None:
            self.announce(proxy)

    def connection_lost(self, peer):
        if peer in self.subscribers:
            self.drop(peer)

    def on_pull(self, peer, body, reply):
        subscriber = self.subscribers.get(peer)
        if subscriber is not None:
            subscriber.serial = body[0]
            self.feed_value(subscriber)

    def resolve(self, zone, region):
        """The fronts for a client of this zone: ready, near ones first."""
        lists = [self.my_attached()] + [
            rows for registry, rows in self.attached.items() if self.live(registry)
        ]
        ready = {
            (front, its_zone, its_region)
            for rows in lists
            for _, front, its_zone, its_region, is_ready in rows
            if is_ready and front
        }
        return fronts_for(zone, region or self.context.settings.zones.get(zone, ""), ready)

    def stand(self):
        """What this registry knows, for the tools: members, parts, endpoints, proxies and where
        requests went.
        """
        now_ms = self.context.now_ms()
        membership = self.membership
        return {
            "registry": self.board.address,
            "inContact": self.in_contact(),
            "converged": membership.converged(),
            "leader": membership.leader() or "",
            "serial": self.value.serial if self.value else -1,
            "version": f"r{self.value.version}" if self.value else "",
            "evacuated": list(self.value.evacuated) if self.value else [],
            "votes": list(self.value.group) if self.value else [],
            "zones": self.context.settings.zones,
            "sessions": self.sessions.stand() if self.sessions is not None else {},
            "partners": {
                "rows": len(self.partners.rows),
                "mark": self.partners.mark,
                "offers": sorted(self.value.offers) if self.value else [],
            },
            "duties": self.duties.stand() if self.duties is not None else {},
            "members": [
                {
                    "address": m.address,
                    "program": m.program,
                    "zone": m.zone,
                    "region": m.region,
                    "state": STATE_NAMES[m.state],
                    "reachable": membership.reachable(m.address),
                }
                for m in membership.state.sorted()
            ],
            "parts": {
                part: {
                    "group": list(self.group_of(part)),
                    "owner": self.owners.get(part, ("", 0))[0] or "",
                }
                for part in PARTS
            },
            "endpoints": [
                {
                    "id": life.id,
                    "service": life.service,
                    "address": life.address,
                    "zone": life.zone,
                    "slots": life.slots,
                    "state": ("ready", "draining", "gone")[life.state],
                    "healthy": life.healthy,
                    "coldLeftMs": max(0, int(life.cold_ms - (now_ms - life.heard_ms))),
                }
                for life in self.lives.by_id.values()
            ],
            "proxies": [
                {
                    "address": s.address,
                    "front": s.front,
                    "zone": s.zone,
                    "region": s.region,
                    "ready": bool(s.ready),
                    "report": s.report,
                    "table": s.table,
                    "delays": s.report[5] if len(s.report) > 5 else [],
                }
                for s in self.subscribers.values()
            ],
        }

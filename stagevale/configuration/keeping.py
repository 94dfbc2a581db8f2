"""The configuration part: a compare-and-set register by ballots, kept on disk by a small group of
stores.
"""

import json

from stagevale import wire
from stagevale.ballots import NO_BALLOT, Round, as_ballot, majority
from stagevale.configuration.orders import (
    MOVE_ROLLOUT,
    OFFER,
    READ_ROLLOUTS,
    SERIAL,
    START_ROLLOUT,
    WITHDRAW,
    decide,
)
from stagevale.configuration.value import Value, read_value
from stagevale.membership.state import JOINING, UP

GONE_SHARE = 1.25
GROUP_MOST = 9


class Waiting:
    """An order that waits for its turn at the owner."""

    __slots__ = ("order", "payload", "reply", "expires_ms")

    def __init__(self, order, payload, reply, expires_ms):
        self.order = order
        self.payload = payload
        self.reply = reply
        self.expires_ms = expires_ms


class Keeper:
    """A daemon's part in the register: it votes, and where it owns the duty it carries out orders.

    Another register of the same manner is a subclass with kinds of messages and a value of its own.
    """

    program = "store"
    port_offset = 1
    kinds = 0
    prefix = "store"
    duty = "configuration"
    read_value = staticmethod(read_value)

    __slots__ = (
        "context",
        "board",
        "membership",
        "disk",
        "promised",
        "accepted_ballot",
        "accepted",
        "wiped",
        "loaded",
        "dirty",
        "saving",
        "save_waiters",
        "ballot",
        "chosen",
        "owner_ballot",
        "owner_heard_ms",
        "electing",
        "queue",
        "busy",
        "unconfirmed",
        "seed_stores",
        "life",
        "timer",
        "beat_ms",
        "call_ms",
        "highest_round",
        "peers",
        "stopping",
        "tried_growth_ms",
        "gone_since_ms",
        "narrowed_ms",
        "lost_since_ms",
        "settled_names",
        "settle_planned",
        "judge",
        "judging",
    )

    def __init__(self, context, board, membership, disk):
        settings = context.settings
        self.context = context
        self.board = board
        self.membership = membership
        self.disk = disk
        self.promised = NO_BALLOT
        self.accepted_ballot = NO_BALLOT
        self.accepted = None
        self.wiped = False
        self.loaded = False
        self.dirty = self.saving = False
        self.save_waiters = []
        self.ballot = None
        self.chosen = None
        self.owner_ballot = NO_BALLOT
        self.owner_heard_ms = context.now_ms()
        self.electing = None
        self.queue = []
        self.busy = False
        self.unconfirmed = 0
        self.seed_stores = tuple(
            f"{ip}:{settings.inner_ports[0] + self.port_offset}" for ip in settings.seeds
        )
        self.life = f"{context.random.getrandbits(32):08x}"
        self.beat_ms = settings.bounds.contact_ms / 4.0
        self.call_ms = settings.bounds.ack_deadline_ms / 8.0
        self.highest_round = 0
        self.peers = set()
        self.stopping = False
        self.tried_growth_ms = 0.0
        self.gone_since_ms = {}
        self.narrowed_ms = -1e12
        self.lost_since_ms = {}
        self.settled_names = set()
        self.settle_planned = False
        self.judge = None
        self.judging = False
        for kind, handler in (
            (wire.PREPARE, self.on_prepare),
            (wire.ACCEPT, self.on_accept),
            (wire.CONFIRM, self.on_confirm),
            (wire.LEARN, self.on_learn),
            (wire.BEACON, self.on_beacon),
            (wire.ORDER, self.on_order),
            (wire.WHO_OWNS, self.on_who_owns),
            (wire.READ_VALUE, self.on_read_value),
        ):
            board.on(self.kinds + kind, handler)

    def start(self):
        """Loads what the disk holds, then begins to vote."""
        self.context.disk(self.disk.load, self.on_loaded)

    def on_loaded(self, record, failure):
        settings = self.context.settings
        if failure is not None:
            self.context.log.error(
                "%s: the disk can't be read: %s; trying again.", self.prefix, failure
            )
            self.context.after(self.beat_ms, self.start)
            return
        if record is not None:
            _, promised, accepted_ballot, packed, peers = wire.unpack(record, "load", "disk")
            self.promised = as_ballot(promised)
            self.accepted_ballot = as_ballot(accepted_ballot)
            self.accepted = self.read_value(packed) if packed else None
            self.peers = set(peers)
            self.membership.contacts.extend(sorted(self.peers))
            self.context.log.info(
                "%s: loaded version %d.", self.prefix, self.accepted.serial if self.accepted else 0
            )
        elif not settings.first_start:
            self.wiped = True
            self.context.log.warning(
                "%s: the disk is empty though this is no first start; learning first.", self.prefix
            )
        self.highest_round = self.promised[0]
        self.loaded = True
        self.save(self.begin)

    def begin(self, saved):
        self.tick()

    def record(self):
        return wire.pack(
            [
                0,
                list(self.promised),
                list(self.accepted_ballot),
                self.accepted.packed if self.accepted else b"",
                sorted(self.peers),
            ]
        )

    def save(self, done):
        """Brings the memory's state to disk; `done(saved)` once a save that covers it has ended."""
        self.save_waiters.append(done)
        self.dirty = True
        self.next_save()

    def next_save(self):
        if self.saving or not self.dirty:
            return
        if self.wiped:
            waiters, self.save_waiters, self.dirty = self.save_waiters, [], False
            for done in waiters:
                done(False)
            return
        waiters, self.save_waiters = self.save_waiters, []
        self.dirty, self.saving = False, True
        record = self.record()

        def saved(_, failure):
            self.saving = False
            if failure is not None:
                self.context.log.error("%s: saving failed: %s.", self.prefix, failure)
            for done in waiters:
                done(failure is None)
            self.next_save()

        self.context.disk(lambda: self.disk.save(record), saved)

    def group(self):
        if self.accepted is not None:
            return self.accepted.group
        return self.seed_stores

    def in_group(self):
        return self.board.address in self.group()

    # voting

    def on_prepare(self, peer, body, reply):
        ballot = as_ballot(body[0])
        self.highest_round = max(self.highest_round, ballot[0])
        if not self.loaded or self.wiped or ballot < self.promised:
            reply([False, list(self.promised), [0, ""], b""])
            return
        self.promised = ballot
        if self.ballot is not None and ballot != self.ballot:
            self.step_down("a higher ballot was promised")
        self.believe(ballot, 0.0)

        def saved(done):
            held = done and self.promised == ballot
            reply(
                [
                    held,
                    list(self.promised),
                    list(self.accepted_ballot),
                    self.accepted.packed if self.accepted else b"",
                ]
            )

        self.save(saved)

    def on_accept(self, peer, body, reply):
        ballot, packed = as_ballot(body[0]), body[1]
        self.highest_round = max(self.highest_round, ballot[0])
        value = self.read_value(packed)
        if not self.loaded or self.wiped or ballot < self.promised:
            reply([False, list(self.promised)])
            return
        held = (self.accepted_ballot, self.accepted.serial if self.accepted else -1)
        if (ballot, value.serial) < held:
            reply([False, list(self.promised)])
            return
        self.promised = self.accepted_ballot = ballot
        self.accepted = value
        if self.ballot is not None and ballot != self.ballot:
            self.step_down("another owner's value was accepted")
        self.save(lambda done: reply([done, list(ballot)]))

    def on_confirm(self, peer, body, reply):
        ballot = as_ballot(body[0])
        reply([self.loaded and not self.wiped and self.promised == ballot, list(self.promised)])

    def on_learn(self, peer, body, reply):
        reply(
            [
                self.loaded and not self.wiped,
                list(self.promised),
                list(self.accepted_ballot),
                self.accepted.packed if self.accepted else b"",
            ]
        )

    def ask_all(self, peers, kind, body, deadline_ms, answered):
        """Puts one question to several stores; `answered(peer, answer, failure)` is called for
        each.
        """
        for peer in peers:
            self.board.call(
                peer,
                self.kinds + kind,
                body,
                deadline_ms,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    # owning

    def tick(self):
        self.context.after(self.beat_ms, self.tick)
        now_ms = self.context.now_ms()
        known = {
            f"{member.machine}:{self.context.settings.inner_ports[0]}"
            for member in self.membership.others()
            if member.core
        }
        if known - self.peers:
            self.peers |= known
            self.save(lambda done: None)
        if self.wiped:
            self.catch_up()
            return
        if self.ballot is not None:
            self.beacon()
            return
        group = self.group()
        if not self.in_group() or self.stopping:
            return
        rank = group.index(self.board.address)
        patience_ms = self.patience_ms(rank)
        if self.accepted is None and rank == 0:
            patience_ms = 0
        if now_ms - self.owner_heard_ms > patience_ms:
            self.elect()

    def patience_ms(self, rank):
        """How long the owner may be silent before this member of the group stands."""
        return self.beat_ms * (1.7 + 0.6 * rank)

    def elect(self):
        """Runs for the duty: a round of ballots over the group."""
        if self.electing is not None or not self.loaded or self.wiped or self.stopping:
            return
        self.highest_round = max(self.highest_round, self.promised[0]) + 1
        ballot = (self.highest_round, f"{self.board.address}#{self.life}")
        group = self.group()
        self.electing = Round(ballot, group)
        best = [NO_BALLOT, None]
        running = self.electing

        def answered(peer, answer, failure):
            if running.over:
                return
            if failure is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                promised, highest, accepted_ballot, packed = answer
                running.count(peer, promised, as_ballot(highest))
                self.highest_round = max(self.highest_round, highest[0])
                if promised and packed:
                    value = self.read_value(packed)
                    held = (best[0], best[1].serial if best[1] else -1)
                    if (as_ballot(accepted_ballot), value.serial) > held:
                        best[0], best[1] = as_ballot(accepted_ballot), value
            if running.won():
                running.over = True
                self.electing = None
                self.won(ballot, group, best[1], best[0])
            elif running.lost():
                running.over = True
                self.electing = None
                self.believe(running.highest, self.beat_ms)
                self.context.after(self.context.random.uniform(0.1, 0.4) * self.beat_ms, self.pump)

        self.ask_all(group, wire.PREPARE, [list(ballot)], self.call_ms, answered)

    def won(self, ballot, group, found, found_ballot):
        if found is not None and set(found.group) != set(group):
            held = (self.accepted_ballot, self.accepted.serial if self.accepted else -1)
            if (found_ballot, found.serial) > held:
                self.accepted, self.accepted_ballot = found, found_ballot
            self.context.log.info("%s: the group has changed; balloting again.", self.prefix)
            self.context.after(1, self.elect)
            return
        if self.promised > ballot:
            self.pump()
            return
        value = found or self.first_value()
        self.ballot = ballot
        self.narrowed_ms = self.context.now_ms()
        self.busy = True
        self.context.log.info(
            "%s: won the %s duty, round %d, version %d.",
            self.prefix,
            self.duty,
            ballot[0],
            value.serial,
        )
        self.accept(value, self.taken_over(value), lambda chosen: self.pump())

    def first_value(self):
        """What the register holds before anything was chosen."""
        return Value(0, 0, "", (), self.seed_stores, {})

    def taken_over(self, value):
        """What a new owner has accepted first: the value that it found."""
        return value

    def believe(self, ballot, ago_ms):
        """Takes the holder of a ballot for the owner, until it has been silent for too long."""
        if ballot > self.owner_ballot:
            self.owner_ballot = ballot
            self.owner_heard_ms = self.context.now_ms() - ago_ms

    def step_down(self, why):
        if self.ballot is None:
            return
        self.context.log.info("%s: gave up the %s duty: %s.", self.prefix, self.duty, why)
        self.ballot = None
        self.chosen = None
        self.busy = False
        self.owner_heard_ms = self.context.now_ms()

    def accept(self, before, value, done):
        """Has a value accepted by a majority of the group before and after it; `done(chosen)`."""
        ballot = self.ballot
        everyone = tuple(dict.fromkeys(before.group + value.group))
        running = Round(ballot, everyone)

        def answered(peer, answer, failure):
            if running.over:
                return
            if failure is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                running.count(peer, answer[0], as_ballot(answer[1]))
                if as_ballot(answer[1]) > ballot:
                    self.highest_round = max(self.highest_round, answer[1][0])
                    running.over = True
                    if self.ballot == ballot:
                        self.step_down(f"{peer} has promised a higher ballot")
                    done(False)
                    return
            if running.won(before.group, value.group):
                running.over = True
                if self.ballot != ballot:
                    done(False)
                    return
                self.busy = False
                self.chosen = value
                self.publish(value)
                done(True)
            elif len(running.yes) + len(running.no) == len(everyone):
                running.over = True
                if self.ballot == ballot:
                    self.step_down("no majority accepted")
                done(False)

        self.ask_all(everyone, wire.ACCEPT, [list(ballot), value.packed], self.call_ms, answered)

    def confirm(self, done):
        """Asks the group whether this ballot still stands; `done(stands)`."""
        ballot = self.ballot
        group = self.chosen.group if self.chosen else self.group()
        running = Round(ballot, group)

        def answered(peer, answer, failure):
            if running.over:
                return
            if failure is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                running.count(peer, answer[0], as_ballot(answer[1]))
            if running.won():
                running.over = True
                done(self.ballot == ballot)
            elif len(running.yes) + len(running.no) == len(group) or running.lost():
                running.over = True
                if running.highest > ballot and self.ballot == ballot:
                    self.step_down("a peer has promised a higher ballot")
                done(False)

        self.ask_all(group, wire.CONFIRM, [list(ballot)], self.call_ms, answered)

    def beacon(self):
        """Confirms the duty with a majority and says so to stores and registries; lets the group
        grow.
        """
        ballot = self.ballot

        def confirmed(stands):
            if self.ballot != ballot:
                return
            if not stands:
                self.unconfirmed += 1
                if self.unconfirmed >= 2:
                    self.step_down("no majority confirms it")
                return
            self.unconfirmed = 0
            self.owner_heard_ms = self.context.now_ms()
            if self.chosen is not None:
                for member in self.audience():
                    if self.membership.reachable(member.address):
                        self.board.cast(
                            member.address,
                            self.kinds + wire.BEACON,
                            [list(ballot), self.chosen.serial],
                        )
                self.grow()
                self.tend_sessions()
                self.judging = bool(getattr(self.chosen, "rollouts", None))
                self.pump()

        self.confirm(confirmed)

    def audience(self):
        """Who hears of the confirmed owner: every daemon of the core."""
        return [member for member in self.membership.others() if member.core]

    def grow(self):
        """Takes one more daemon into the group, until it bears whatever leaves the core settled;
        replaces one that is gone.
        """
        if self.busy or self.queue or self.chosen is None:
            return
        now_ms = self.context.now_ms()
        living = [
            member
            for member in self.membership.members(self.program)
            if self.membership.reachable(member.address)
        ]
        machines = {member.machine for member in living}
        group = self.chosen.group
        present = {member.address for member in living}
        self.gone_since_ms = {
            address: self.gone_since_ms.get(address, now_ms)
            for address in group
            if address not in present and address != self.board.address
        }
        outside = [
            member
            for member in living
            if member.address not in group and member.state in (JOINING, UP)
        ]
        if now_ms - self.tried_growth_ms < self.beat_ms / 2:
            return
        borne_ms = self.context.settings.bounds.contact_ms * GONE_SHARE
        gone = [
            address
            for address, since_ms in self.gone_since_ms.items()
            if now_ms - since_ms > borne_ms
        ]
        target = min(GROUP_MOST, 2 * ((max(len(machines), 1) - 1) // 2) + 1)
        if gone and len(group) > target:
            self.tried_growth_ms = now_ms
            self.busy = True
            self.context.log.info("%s: %s is gone and leaves the group.", self.prefix, gone[0])
            self.accept(
                self.chosen,
                self.chosen.after(group=tuple(a for a in group if a != gone[0])),
                lambda chosen: self.pump(),
            )
            return
        if not outside or not gone and len(group) >= target:
            return
        regions = {}
        for member in self.membership.state.members.values():
            if member.address in group and member.address not in gone:
                regions[member.region] = regions.get(member.region, 0) + 1
        outside.sort(key=lambda member: regions.get(member.region, 0))
        self.tried_growth_ms = now_ms
        comer, leaver = outside[0].address, gone[0] if gone else None

        def learned(answer, failure):
            if (
                failure is not None
                or not answer[0]
                or self.busy
                or self.chosen is None
                or self.ballot is None
            ):
                return
            if self.chosen.group != group:
                return
            value = self.chosen.after(
                group=tuple(address for address in group if address != leaver) + (comer,)
            )
            self.busy = True
            self.context.log.info(
                "%s: %s joins the group%s.",
                self.prefix,
                comer,
                f" for {leaver}, which is gone" if leaver else "",
            )
            self.accept(self.chosen, value, lambda chosen: self.pump())

        self.board.call(comer, self.kinds + wire.LEARN, [], self.call_ms, learned)

    def tend_sessions(self):
        """Makes and mends the groups that keep session records; one change is settled before the
        next.
        """
        value = self.chosen
        if (
            self.busy
            or self.queue
            or value is None
            or not (value.sessions or '"affinity"' in value.config)
        ):
            return
        from stagevale import affinity

        routes = json.loads(value.config)["routes"] if value.config else []
        wanted = [
            name
            for homes in sorted(
                {
                    tuple(sorted(route.get("homeRegions") or ()))
                    for route in routes
                    if route.get("affinity")
                }
            )
            for name in affinity.group_names(homes)
        ]
        registries = [
            member
            for member in self.membership.members("registry")
            if self.membership.reachable(member.address) and member.state in (JOINING, UP)
        ]
        now_ms = self.context.now_ms()
        living = {member.address for member in registries}
        members = {address for _, group, _ in value.sessions.values() for address in group}
        self.lost_since_ms = {
            address: self.lost_since_ms.get(address, now_ms) for address in members - living
        }
        borne_ms = self.context.settings.bounds.contact_ms * GONE_SHARE
        gone = {
            address
            for address, since_ms in self.lost_since_ms.items()
            if now_ms - since_ms > borne_ms
        }
        after = affinity.tend(value.sessions, wanted, registries, gone)
        if after is not None:
            self.busy = True
            self.accept(value, value.after(sessions=after), lambda chosen: self.pump())
            return
        for name, (version, group, before) in value.sessions.items():
            if before:
                self.settle_sessions(name, version, group)

    def settle_sessions(self, name, version, group):
        """Asks a changed group whether a majority has learned; all of those that have are settled
        in one change.
        """
        ready = set()

        def answered(peer, answer, failure):
            if failure is None and answer:
                ready.add(peer)
            value = self.chosen
            if (
                len(ready) < majority(len(group))
                or self.busy
                or self.ballot is None
                or value is None
            ):
                return
            self.settled_names.add((name, version))
            if not self.settle_planned:
                self.settle_planned = True
                self.context.after(self.call_ms / 4.0, self.settle_all)

        for peer in group:
            self.board.call(
                peer,
                wire.SESSION_READY,
                [name, version],
                self.call_ms,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    def settle_all(self):
        self.settle_planned = False
        value = self.chosen
        if self.busy or self.ballot is None or value is None:
            return
        after = {
            name: (row[0], row[1], () if (name, row[0]) in self.settled_names else row[2])
            for name, row in value.sessions.items()
        }
        if after != value.sessions:
            self.settled_names.clear()
            self.busy = True
            self.accept(value, value.after(sessions=after), lambda chosen: self.pump())

    def publish(self, value):
        """Brings a chosen value to one registry of each region, which passes it on in its
        region.
        """
        regions = {}
        for member in self.membership.members("registry"):
            if self.membership.reachable(member.address):
                regions.setdefault(member.region, []).append(member)
        for members in regions.values():
            members.sort(key=lambda member: member.machine != self.membership.me.machine)
            self.board.cast(
                members[0].address, wire.CHOSEN, [value.packed, [m.address for m in members[1:]]]
            )
        for address in self.peers:
            if address not in self.membership.state.members:
                self.board.cast(address, wire.CHOSEN, [value.packed, []])

    def on_beacon(self, peer, body, reply):
        ballot = as_ballot(body[0])
        if ballot >= self.promised or ballot >= self.owner_ballot:
            self.owner_ballot = ballot
            self.owner_heard_ms = self.context.now_ms()
            if self.ballot is not None and ballot > self.ballot:
                self.step_down("another owner has been confirmed")

    def owner(self):
        """The address of the store that is thought to own the duty, or None."""
        if self.ballot is not None:
            return self.board.address
        if (
            self.context.now_ms() - self.owner_heard_ms < self.beat_ms * 2.2
            and self.owner_ballot > NO_BALLOT
        ):
            return self.owner_ballot[1].partition("#")[0]
        return None

    def on_order(self, peer, body, reply):
        """An order from a registry, or passed on by another store."""
        order, payload, passed_on = body
        self.take(order, payload, passed_on, reply)

    def on_read_value(self, peer, body, reply):
        self.take("value", "", body[0] if body else False, reply)

    def take(self, order, payload, passed_on, reply):
        owner = self.owner()
        waiting = Waiting(order, payload, reply, self.context.now_ms() + self.call_ms * 1.8)
        if self.ballot is not None:
            self.queue.append(waiting)
            self.pump()
            return
        if passed_on and self.electing is not None:
            self.queue.append(waiting)
            self.context.after(self.call_ms * 1.8, self.expire)
            return
        if passed_on or not self.loaded or (owner is None and not self.in_group()):
            if passed_on:
                reply([503, "not the owner"])
                return
            others = [address for address in self.group() if address != self.board.address]
            if not others:
                reply([503, "no group known"])
                return
            owner = self.context.random.choice(others)
        if owner is not None:
            self.pass_on(owner, waiting)
            return
        self.context.after(self.call_ms * 1.8, self.expire)
        if self.owner_ballot == NO_BALLOT:
            self.find_owner(waiting)
            return
        self.queue.append(waiting)
        self.elect()

    def find_owner(self, waiting):
        """A store that has heard no owner since its start asks the group for one before it stands
        itself.
        """
        others = [address for address in self.group() if address != self.board.address]
        silent = set(others)

        def heard(peer, answer, failure):
            if not silent:
                return
            silent.discard(peer)
            if failure is None and answer and answer[0]:
                silent.clear()
                self.believe(as_ballot(answer[1]), 0.0)
            if not silent:
                self.queue.append(waiting)
                self.pump()

        self.ask_all(others, wire.WHO_OWNS, [], self.call_ms * 0.3, heard)
        if not others:
            self.queue.append(waiting)
            self.elect()

    def on_who_owns(self, peer, body, reply):
        ballot = self.ballot if self.ballot is not None else self.owner_ballot
        reply([self.owner() is not None, list(ballot)])

    def pass_on(self, owner, waiting):
        def answered(answer, failure):
            if failure is None and answer is not None and answer[0] != 503:
                waiting.reply(answer)
                return
            if (
                self.in_group()
                and not self.wiped
                and self.loaded
                and waiting.expires_ms > self.context.now_ms()
            ):
                silent_ms = self.context.now_ms() - self.owner_heard_ms
                if failure == "no answer in time" and silent_ms < self.beat_ms * 1.3:
                    waiting.reply([503, "the owner is slow"])
                    return
                if self.owner_ballot[1].partition("#")[0] == owner:
                    self.owner_heard_ms = -1e12
                self.queue.append(waiting)
                self.pump()
                self.context.after(self.call_ms, self.expire)
            else:
                waiting.reply([503, "the owner can't be reached"])

        kind, body = (
            (wire.READ_VALUE, [True])
            if waiting.order == "value"
            else (wire.ORDER, [waiting.order, waiting.payload, True])
        )
        self.board.call(owner, self.kinds + kind, body, self.call_ms * 0.8, answered)

    def expire(self):
        now_ms = self.context.now_ms()
        late = [waiting for waiting in self.queue if waiting.expires_ms <= now_ms]
        self.queue = [waiting for waiting in self.queue if waiting.expires_ms > now_ms]
        for waiting in late:
            waiting.reply([503, "no owner in time"])
        if self.queue:
            self.context.after(self.call_ms / 4, self.expire)

    def pump(self):
        """Carries out the next order, if this store owns the duty and nothing else is under way."""
        if self.busy or self.judging and self.tend_rollouts() or not self.queue:
            return
        if self.ballot is None:
            owner = self.owner()
            if owner is not None and owner != self.board.address:
                queue, self.queue = self.queue, []
                for waiting in queue:
                    self.pass_on(owner, waiting)
            elif self.electing is None:
                self.elect()
            return
        if self.chosen is None:
            return
        waiting = self.queue.pop(0)
        if waiting.expires_ms <= self.context.now_ms():
            waiting.reply([503, "no owner in time"])
            self.context.soon(self.pump)
            return
        value = self.chosen
        if waiting.order == "value":
            self.busy = True
            self.finish([waiting], [200, value.packed])
            return
        if waiting.order == SERIAL:
            self.answer_serials(waiting)
            return
        if waiting.order == READ_ROLLOUTS:
            self.busy = True
            self.finish([waiting], [200, self.rollouts_shown()])
            return
        outcome = decide(value, waiting.order, waiting.payload, self.context.settings.zones)
        self.busy = True
        if outcome.value is None:
            answer = [outcome.status, outcome.text]
            if waiting.order in (OFFER, WITHDRAW, MOVE_ROLLOUT) and outcome.status == 200:
                answer.append(self.leases_left_ms())
            self.finish([waiting], answer)
            return
        narrowed = self.is_narrower(waiting.order, value, outcome.value)

        def accepted(chosen):
            if chosen and narrowed:
                self.narrowed_ms = self.context.now_ms()
            if chosen and (
                waiting.order in (OFFER, WITHDRAW) or waiting.order == MOVE_ROLLOUT and narrowed
            ):
                waiting.reply([outcome.status, outcome.text, self.leases_left_ms()])
            elif chosen:
                waiting.reply([outcome.status, outcome.text])
            else:
                waiting.reply([503, "outcome unknown"])
            self.pump()

        self.accept(value, outcome.value, accepted)

    def is_narrower(self, order, before, after):
        """True where an order takes something away that proxies may hold a lease on."""
        if order in (OFFER, WITHDRAW):
            from stagevale.partners.checking import narrows

            return narrows(before, after)
        if order in (START_ROLLOUT, MOVE_ROLLOUT):
            from stagevale.rollouts.checking import withdraws

            return withdraws(before, after)
        return False

    def leases_left_ms(self):
        """How long a lease may still stand that is older than the newest withdrawal: an owner that
        wasn't there when it was chosen counts from its own beginning.
        """
        from stagevale.leases import wait_ms

        return (
            int(
                max(
                    0.0,
                    self.narrowed_ms
                    + wait_ms(self.context.settings.bounds)
                    - self.context.now_ms(),
                )
            )
            + 1
        )

    def answer_serials(self, first):
        """Proxies' questions for leases come from every registry all the time: all that wait are
        answered by one confirmation, since each was asked before it began.
        """
        waiting = [first] + [each for each in self.queue if each.order == SERIAL]
        self.queue = [each for each in self.queue if each.order != SERIAL]
        for each in waiting:
            if each.payload:
                self.judge_of().take(json.loads(each.payload), self.context.now_ms())
        self.busy = True
        self.finish(waiting, [200, str(self.chosen.serial)])

    def judge_of(self):
        """The judgement of rollouts; made with the first rollout."""
        if self.judge is None:
            from stagevale.rollouts.judging import Judge

            self.judge = Judge(self.context.settings.bounds, self.context.settings.tolerance)
        return self.judge

    def tend_rollouts(self):
        """The owner advances rollouts or has them fall back; True where a change is under way."""
        self.judging = False
        value = self.chosen
        if self.ballot is None or value is None:
            return False
        from stagevale.rollouts.judging import tend

        proxies = [member.address for member in self.membership.members("proxy", (UP,))]
        tended = tend(self.judge_of(), value, proxies, self.context.now_ms())
        if tended is None:
            return False
        after, withdrawn = tended

        def accepted(chosen):
            if chosen and withdrawn:
                self.narrowed_ms = self.context.now_ms()
            self.pump()

        self.context.log.info(
            "%s: rollouts: %s.",
            self.prefix,
            ", ".join(
                f"{service} is {json.loads(text)['state']} at step {json.loads(text)['step'] + 1}"
                for service, text in after.rollouts.items()
                if text != value.rollouts.get(service)
            ),
        )
        self.busy = True
        self.accept(value, after, accepted)
        return True

    def rollouts_shown(self):
        """All rollouts, their step's outcomes, and for how long leases on what was withdrawn may
        still stand.
        """
        from stagevale.rollouts import ENDED, FALLEN, Rollout

        rows = []
        for service in sorted(self.chosen.rollouts):
            rollout = Rollout(json.loads(self.chosen.rollouts[service]))
            if rollout.state == ENDED:
                continue
            left_ms = self.leases_left_ms() - 1 if rollout.state == FALLEN else 0
            rows.append(
                {
                    **rollout.row(),
                    "share": rollout.share,
                    "leasesLeftMs": left_ms,
                    "shown": "falling back" if left_ms > 0 else rollout.state,
                    "outcomes": self.judge_of().show(rollout),
                }
            )
        return json.dumps({"rollouts": rows})

    def finish(self, waiting, answer):
        """Answers from the chosen value, once a majority has confirmed that it is the newest."""
        ballot = self.ballot

        def confirmed(stands):
            if self.ballot == ballot:
                self.busy = False
            for each in waiting:
                each.reply(answer if stands else [503, "not confirmed"])
            self.pump()

        self.confirm(confirmed)

    def catch_up(self):
        """A store without its disk learns from a majority of the others before it votes again."""
        known = {member.address for member in self.membership.members(self.program)} | set(
            self.seed_stores
        )
        known.discard(self.board.address)
        answers = {}

        def learned(peer, answer, failure):
            if failure is not None or not self.wiped or not answer[0]:
                return
            answers[peer] = answer
            newest = max(
                answers.values(),
                key=lambda got: (
                    as_ballot(got[2]),
                    self.read_value(got[3]).serial if got[3] else -1,
                ),
            )
            value = self.read_value(newest[3]) if newest[3] else None
            group = value.group if value else self.seed_stores
            if sum(1 for member in group if member in answers) < majority(len(group)):
                return
            self.wiped = False
            self.promised = max(as_ballot(got[1]) for got in answers.values())
            self.accepted_ballot = as_ballot(newest[2])
            self.accepted = value
            self.highest_round = max(self.highest_round, self.promised[0])
            self.context.log.info(
                "%s: learned version %d from a majority; voting again.",
                self.prefix,
                value.serial if value else 0,
            )
            self.save(lambda done: None)

        self.ask_all(known, wire.LEARN, [], self.call_ms, learned)

    def hand_over(self):
        """Before an end in order: gives the duty up, so that another may win it at once."""
        self.stopping = True
        if self.ballot is not None:
            self.step_down("this store ends")

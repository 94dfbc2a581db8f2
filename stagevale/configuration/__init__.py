"""The configuration part: a compare-and-set register by ballots, kept on disk by a small group of stores."""
import json

from stagevale import wire
from stagevale.ballots import NO_BALLOT, Round, asBallot, majority
from stagevale.configuration.orders import (MOVE_ROLLOUT, OFFER, READ_ROLLOUTS, SERIAL, START_ROLLOUT, WITHDRAW,
                                            decide)
from stagevale.configuration.value import Value, readValue
from stagevale.membership.state import JOINING, UP

GONE_SHARE = 1.25
GROUP_MOST = 9


class Waiting:
    """An order that waits for its turn at the owner."""

    __slots__ = ("order", "payload", "reply", "expiresMs")

    def __init__(self, order, payload, reply, expiresMs):
        self.order = order
        self.payload = payload
        self.reply = reply
        self.expiresMs = expiresMs


class Keeper:
    """A daemon's part in the register: it votes, and where it owns the duty it carries out orders.

    Another register of the same manner is a subclass with kinds of messages and a value of its own.
    """

    program = "store"
    portOffset = 1
    kinds = 0
    prefix = "store"
    duty = "configuration"
    readValue = staticmethod(readValue)

    __slots__ = ("context", "board", "membership", "disk", "promised", "acceptedBallot", "accepted", "wiped",
                 "loaded", "dirty", "saving", "saveWaiters", "ballot", "chosen", "ownerBallot", "ownerHeardMs",
                 "electing", "queue", "busy", "unconfirmed", "seedStores", "life", "timer", "beatMs", "callMs",
                 "highestRound", "colleagues", "stopping", "triedGrowthMs", "goneSinceMs",
                 "narrowedMs", "lostSinceMs", "settledNames", "settlePlanned", "judge", "judging")

    def __init__(self, context, board, membership, disk):
        settings = context.settings
        self.context = context
        self.board = board
        self.membership = membership
        self.disk = disk
        self.promised = NO_BALLOT
        self.acceptedBallot = NO_BALLOT
        self.accepted = None
        self.wiped = False
        self.loaded = False
        self.dirty = self.saving = False
        self.saveWaiters = []
        self.ballot = None
        self.chosen = None
        self.ownerBallot = NO_BALLOT
        self.ownerHeardMs = context.nowMs()
        self.electing = None
        self.queue = []
        self.busy = False
        self.unconfirmed = 0
        self.seedStores = tuple(f"{ip}:{settings.innerPorts[0] + self.portOffset}" for ip in settings.seeds)
        self.life = f"{context.random.getrandbits(32):08x}"
        self.beatMs = settings.bounds.contactMs / 4.0
        self.callMs = settings.bounds.ackDeadlineMs / 8.0
        self.highestRound = 0
        self.colleagues = set()
        self.stopping = False
        self.triedGrowthMs = 0.0
        self.goneSinceMs = {}
        self.narrowedMs = -1e12
        self.lostSinceMs = {}
        self.settledNames = set()
        self.settlePlanned = False
        self.judge = None
        self.judging = False
        for kind, handler in ((wire.PREPARE, self.onPrepare), (wire.ACCEPT, self.onAccept),
                              (wire.CONFIRM, self.onConfirm), (wire.LEARN, self.onLearn),
                              (wire.BEACON, self.onBeacon), (wire.ORDER, self.onOrder), (wire.WHO_OWNS, self.onWhoOwns),
                              (wire.READ_VALUE, self.onReadValue)):
            board.on(self.kinds + kind, handler)

    def start(self):
        """Loads what the disk holds, then begins to vote."""
        self.context.disk(self.disk.load, self.onLoaded)

    def onLoaded(self, record, problem):
        settings = self.context.settings
        if problem is not None:
            self.context.log.error("%s: the disk can't be read: %s; trying again.", self.prefix, problem)
            self.context.after(self.beatMs, self.start)
            return
        if record is not None:
            _, promised, acceptedBallot, packed, colleagues = wire.unpack(record, "load", "disk")
            self.promised = asBallot(promised)
            self.acceptedBallot = asBallot(acceptedBallot)
            self.accepted = self.readValue(packed) if packed else None
            self.colleagues = set(colleagues)
            self.membership.contacts.extend(sorted(self.colleagues))
            self.context.log.info("%s: loaded epoch %d.", self.prefix, self.accepted.serial if self.accepted else 0)
        elif not settings.firstStart:
            self.wiped = True
            self.context.log.warning("%s: the disk is empty though this is no first start; learning first.",
                                     self.prefix)
        self.highestRound = self.promised[0]
        self.loaded = True
        self.save(self.begin)

    def begin(self, saved):
        self.tick()

    def record(self):
        return wire.pack([0, list(self.promised), list(self.acceptedBallot),
                          self.accepted.packed if self.accepted else b"", sorted(self.colleagues)])

    def save(self, done):
        """Brings the memory's state to disk; `done(saved)` once a save that covers it has ended."""
        self.saveWaiters.append(done)
        self.dirty = True
        self.nextSave()

    def nextSave(self):
        if self.saving or not self.dirty:
            return
        if self.wiped:
            waiters, self.saveWaiters, self.dirty = self.saveWaiters, [], False
            for done in waiters:
                done(False)
            return
        waiters, self.saveWaiters = self.saveWaiters, []
        self.dirty, self.saving = False, True
        record = self.record()

        def saved(_, problem):
            self.saving = False
            if problem is not None:
                self.context.log.error("%s: saving failed: %s.", self.prefix, problem)
            for done in waiters:
                done(problem is None)
            self.nextSave()
        self.context.disk(lambda: self.disk.save(record), saved)

    def group(self):
        if self.accepted is not None:
            return self.accepted.group
        return self.seedStores

    def inGroup(self):
        return self.board.address in self.group()

    # voting

    def onPrepare(self, peer, body, reply):
        ballot = asBallot(body[0])
        self.highestRound = max(self.highestRound, ballot[0])
        if not self.loaded or self.wiped or ballot < self.promised:
            reply([False, list(self.promised), [0, ""], b""])
            return
        self.promised = ballot
        if self.ballot is not None and ballot != self.ballot:
            self.stepDown("a higher ballot was promised")
        self.believe(ballot, 0.0)

        def saved(done):
            held = done and self.promised == ballot
            reply([held, list(self.promised), list(self.acceptedBallot),
                   self.accepted.packed if self.accepted else b""])
        self.save(saved)

    def onAccept(self, peer, body, reply):
        ballot, packed = asBallot(body[0]), body[1]
        self.highestRound = max(self.highestRound, ballot[0])
        value = self.readValue(packed)
        if not self.loaded or self.wiped or ballot < self.promised:
            reply([False, list(self.promised)])
            return
        held = (self.acceptedBallot, self.accepted.serial if self.accepted else -1)
        if (ballot, value.serial) < held:
            reply([False, list(self.promised)])
            return
        self.promised = self.acceptedBallot = ballot
        self.accepted = value
        if self.ballot is not None and ballot != self.ballot:
            self.stepDown("another owner's value was accepted")
        self.save(lambda done: reply([done, list(ballot)]))

    def onConfirm(self, peer, body, reply):
        ballot = asBallot(body[0])
        reply([self.loaded and not self.wiped and self.promised == ballot, list(self.promised)])

    def onLearn(self, peer, body, reply):
        reply([self.loaded and not self.wiped, list(self.promised), list(self.acceptedBallot),
               self.accepted.packed if self.accepted else b""])

    def askAll(self, peers, kind, body, cutoffMs, answered):
        """Puts one question to several stores; `answered(peer, answer, problem)` is called for each."""
        for peer in peers:
            self.board.call(peer, self.kinds + kind, body, cutoffMs,
                            lambda answer, problem, peer=peer: answered(peer, answer, problem))

    # owning

    def tick(self):
        self.context.after(self.beatMs, self.tick)
        nowMs = self.context.nowMs()
        known = {f"{member.machine}:{self.context.settings.innerPorts[0]}"
                 for member in self.membership.others() if member.core}
        if known - self.colleagues:
            self.colleagues |= known
            self.save(lambda done: None)
        if self.wiped:
            self.catchUp()
            return
        if self.ballot is not None:
            self.beacon()
            return
        group = self.group()
        if not self.inGroup() or self.stopping:
            return
        rank = group.index(self.board.address)
        patienceMs = self.patienceMs(rank)
        if self.accepted is None and rank == 0:
            patienceMs = 0
        if nowMs - self.ownerHeardMs > patienceMs:
            self.elect()

    def patienceMs(self, rank):
        """How long the owner may be silent before this member of the group stands."""
        return self.beatMs * (1.7 + 0.6 * rank)

    def elect(self):
        """Runs for the duty: a round of ballots over the group."""
        if self.electing is not None or not self.loaded or self.wiped or self.stopping:
            return
        self.highestRound = max(self.highestRound, self.promised[0]) + 1
        ballot = (self.highestRound, f"{self.board.address}#{self.life}")
        group = self.group()
        self.electing = Round(ballot, group)
        best = [NO_BALLOT, None]
        running = self.electing

        def answered(peer, answer, problem):
            if running.over:
                return
            if problem is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                promised, highest, acceptedBallot, packed = answer
                running.count(peer, promised, asBallot(highest))
                self.highestRound = max(self.highestRound, highest[0])
                if promised and packed:
                    value = self.readValue(packed)
                    held = (best[0], best[1].serial if best[1] else -1)
                    if (asBallot(acceptedBallot), value.serial) > held:
                        best[0], best[1] = asBallot(acceptedBallot), value
            if running.won():
                running.over = True
                self.electing = None
                self.won(ballot, group, best[1], best[0])
            elif running.lost():
                running.over = True
                self.electing = None
                self.believe(running.highest, self.beatMs)
                self.context.after(self.context.random.uniform(0.1, 0.4) * self.beatMs, self.pump)

        self.askAll(group, wire.PREPARE, [list(ballot)], self.callMs, answered)

    def won(self, ballot, group, found, foundBallot):
        if found is not None and set(found.group) != set(group):
            held = (self.acceptedBallot, self.accepted.serial if self.accepted else -1)
            if (foundBallot, found.serial) > held:
                self.accepted, self.acceptedBallot = found, foundBallot
            self.context.log.info("%s: the group has changed; balloting again.", self.prefix)
            self.context.after(1, self.elect)
            return
        if self.promised > ballot:
            self.pump()
            return
        value = found or self.firstValue()
        self.ballot = ballot
        self.narrowedMs = self.context.nowMs()
        self.busy = True
        self.context.log.info("%s: won the %s duty, round %d, epoch %d.", self.prefix, self.duty, ballot[0],
                              value.serial)
        self.accept(value, self.claimed(value), lambda chosen: self.pump())

    def firstValue(self):
        """What the register holds before anything was chosen."""
        return Value(0, 0, "", (), self.seedStores, {})

    def claimed(self, value):
        """What a new owner has accepted first: the value that it found."""
        return value

    def believe(self, ballot, agoMs):
        """Takes the holder of a ballot for the owner, until it has been silent for too long."""
        if ballot > self.ownerBallot:
            self.ownerBallot = ballot
            self.ownerHeardMs = self.context.nowMs() - agoMs

    def stepDown(self, why):
        if self.ballot is None:
            return
        self.context.log.info("%s: gave up the %s duty: %s.", self.prefix, self.duty, why)
        self.ballot = None
        self.chosen = None
        self.busy = False
        self.ownerHeardMs = self.context.nowMs()

    def accept(self, before, value, done):
        """Has a value accepted by a majority of the group before and after it; `done(chosen)`."""
        ballot = self.ballot
        everyone = tuple(dict.fromkeys(before.group + value.group))
        running = Round(ballot, everyone)

        def answered(peer, answer, problem):
            if running.over:
                return
            if problem is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                running.count(peer, answer[0], asBallot(answer[1]))
                if asBallot(answer[1]) > ballot:
                    self.highestRound = max(self.highestRound, answer[1][0])
                    running.over = True
                    if self.ballot == ballot:
                        self.stepDown(f"{peer} has promised a higher ballot")
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
                    self.stepDown("no majority accepted")
                done(False)

        self.askAll(everyone, wire.ACCEPT, [list(ballot), value.packed], self.callMs, answered)

    def confirm(self, done):
        """Asks the group whether this ballot still stands; `done(stands)`."""
        ballot = self.ballot
        group = self.chosen.group if self.chosen else self.group()
        running = Round(ballot, group)

        def answered(peer, answer, problem):
            if running.over:
                return
            if problem is not None or answer is None:
                running.count(peer, False, NO_BALLOT)
            else:
                running.count(peer, answer[0], asBallot(answer[1]))
            if running.won():
                running.over = True
                done(self.ballot == ballot)
            elif len(running.yes) + len(running.no) == len(group) or running.lost():
                running.over = True
                if running.highest > ballot and self.ballot == ballot:
                    self.stepDown("a colleague has promised a higher ballot")
                done(False)

        self.askAll(group, wire.CONFIRM, [list(ballot)], self.callMs, answered)

    def beacon(self):
        """Confirms the duty with a majority and says so to stores and registries; lets the group grow."""
        ballot = self.ballot

        def confirmed(stands):
            if self.ballot != ballot:
                return
            if not stands:
                self.unconfirmed += 1
                if self.unconfirmed >= 2:
                    self.stepDown("no majority confirms it")
                return
            self.unconfirmed = 0
            self.ownerHeardMs = self.context.nowMs()
            if self.chosen is not None:
                for member in self.audience():
                    if self.membership.reachable(member.address):
                        self.board.cast(member.address, self.kinds + wire.BEACON, [list(ballot), self.chosen.serial])
                self.grow()
                self.tendSessions()
                self.judging = bool(getattr(self.chosen, "rollouts", None))
                self.pump()
        self.confirm(confirmed)

    def audience(self):
        """Who hears of the confirmed owner: every daemon of the core."""
        return [member for member in self.membership.others() if member.core]

    def grow(self):
        """Takes one more daemon into the group, until it bears whatever leaves the core settled; replaces one that is gone."""
        if self.busy or self.queue or self.chosen is None:
            return
        nowMs = self.context.nowMs()
        living = [member for member in self.membership.members(self.program)
                  if self.membership.reachable(member.address)]
        machines = {member.machine for member in living}
        group = self.chosen.group
        present = {member.address for member in living}
        self.goneSinceMs = {address: self.goneSinceMs.get(address, nowMs) for address in group
                            if address not in present and address != self.board.address}
        outside = [member for member in living if member.address not in group and member.state in (JOINING, UP)]
        if nowMs - self.triedGrowthMs < self.beatMs / 2:
            return
        borneMs = self.context.settings.bounds.contactMs * GONE_SHARE
        gone = [address for address, sinceMs in self.goneSinceMs.items() if nowMs - sinceMs > borneMs]
        target = min(GROUP_MOST, 2 * ((max(len(machines), 1) - 1) // 2) + 1)
        if gone and len(group) > target:
            self.triedGrowthMs = nowMs
            self.busy = True
            self.context.log.info("%s: %s is gone and leaves the group.", self.prefix, gone[0])
            self.accept(self.chosen, self.chosen.after(group=tuple(a for a in group if a != gone[0])),
                        lambda chosen: self.pump())
            return
        if not outside or not gone and len(group) >= target:
            return
        regions = {}
        for member in self.membership.state.members.values():
            if member.address in group and member.address not in gone:
                regions[member.region] = regions.get(member.region, 0) + 1
        outside.sort(key=lambda member: regions.get(member.region, 0))
        self.triedGrowthMs = nowMs
        comer, leaver = outside[0].address, gone[0] if gone else None

        def learned(answer, problem):
            if problem is not None or not answer[0] or self.busy or self.chosen is None or self.ballot is None:
                return
            if self.chosen.group != group:
                return
            value = self.chosen.after(group=tuple(address for address in group if address != leaver) + (comer,))
            self.busy = True
            self.context.log.info("%s: %s joins the group%s.", self.prefix, comer,
                                  f" for {leaver}, which is gone" if leaver else "")
            self.accept(self.chosen, value, lambda chosen: self.pump())
        self.board.call(comer, self.kinds + wire.LEARN, [], self.callMs, learned)

    def tendSessions(self):
        """Makes and mends the groups that keep session records; one change is settled before the next."""
        value = self.chosen
        if self.busy or self.queue or value is None or not (value.sessions or '"affinity"' in value.config):
            return
        from stagevale import affinity
        routes = json.loads(value.config)["routes"] if value.config else []
        wanted = [name for homes in sorted({tuple(sorted(route.get("homeRegions") or ())) for route in routes
                                            if route.get("affinity")}) for name in affinity.groupNames(homes)]
        registries = [member for member in self.membership.members("registry")
                      if self.membership.reachable(member.address) and member.state in (JOINING, UP)]
        nowMs = self.context.nowMs()
        living = {member.address for member in registries}
        members = {address for _, group, _ in value.sessions.values() for address in group}
        self.lostSinceMs = {address: self.lostSinceMs.get(address, nowMs) for address in members - living}
        borneMs = self.context.settings.bounds.contactMs * GONE_SHARE
        gone = {address for address, sinceMs in self.lostSinceMs.items() if nowMs - sinceMs > borneMs}
        after = affinity.tend(value.sessions, wanted, registries, gone)
        if after is not None:
            self.busy = True
            self.accept(value, value.after(sessions=after), lambda chosen: self.pump())
            return
        for name, (epoch, group, before) in value.sessions.items():
            if before:
                self.settleSessions(name, epoch, group)

    def settleSessions(self, name, epoch, group):
        """Asks a changed group whether a majority has learned; all of those that have are settled in one change."""
        ready = set()

        def answered(peer, answer, problem):
            if problem is None and answer:
                ready.add(peer)
            value = self.chosen
            if len(ready) < majority(len(group)) or self.busy or self.ballot is None or value is None:
                return
            self.settledNames.add((name, epoch))
            if not self.settlePlanned:
                self.settlePlanned = True
                self.context.after(self.callMs / 4.0, self.settleAll)
        for peer in group:
            self.board.call(peer, wire.SESSION_READY, [name, epoch], self.callMs,
                            lambda answer, problem, peer=peer: answered(peer, answer, problem))

    def settleAll(self):
        self.settlePlanned = False
        value = self.chosen
        if self.busy or self.ballot is None or value is None:
            return
        after = {name: (row[0], row[1], () if (name, row[0]) in self.settledNames else row[2])
                 for name, row in value.sessions.items()}
        if after != value.sessions:
            self.settledNames.clear()
            self.busy = True
            self.accept(value, value.after(sessions=after), lambda chosen: self.pump())

    def publish(self, value):
        """Brings a chosen value to one registry of each region, which passes it on in its region."""
        regions = {}
        for member in self.membership.members("registry"):
            if self.membership.reachable(member.address):
                regions.setdefault(member.region, []).append(member)
        for members in regions.values():
            members.sort(key=lambda member: member.machine != self.membership.me.machine)
            self.board.cast(members[0].address, wire.CHOSEN, [value.packed, [m.address for m in members[1:]]])
        for address in self.colleagues:
            if address not in self.membership.state.members:
                self.board.cast(address, wire.CHOSEN, [value.packed, []])

    def onBeacon(self, peer, body, reply):
        ballot = asBallot(body[0])
        if ballot >= self.promised or ballot >= self.ownerBallot:
            self.ownerBallot = ballot
            self.ownerHeardMs = self.context.nowMs()
            if self.ballot is not None and ballot > self.ballot:
                self.stepDown("another owner has been confirmed")

    def owner(self):
        """The address of the store that is thought to own the duty, or None."""
        if self.ballot is not None:
            return self.board.address
        if self.context.nowMs() - self.ownerHeardMs < self.beatMs * 2.2 and self.ownerBallot > NO_BALLOT:
            return self.ownerBallot[1].partition("#")[0]
        return None

    def onOrder(self, peer, body, reply):
        """An order from a registry, or passed on by another store."""
        order, payload, passedOn = body
        self.take(order, payload, passedOn, reply)

    def onReadValue(self, peer, body, reply):
        self.take("value", "", body[0] if body else False, reply)

    def take(self, order, payload, passedOn, reply):
        owner = self.owner()
        waiting = Waiting(order, payload, reply, self.context.nowMs() + self.callMs * 1.8)
        if self.ballot is not None:
            self.queue.append(waiting)
            self.pump()
            return
        if passedOn and self.electing is not None:
            self.queue.append(waiting)
            self.context.after(self.callMs * 1.8, self.expire)
            return
        if passedOn or not self.loaded or (owner is None and not self.inGroup()):
            if passedOn:
                reply([503, "not the owner"])
                return
            others = [address for address in self.group() if address != self.board.address]
            if not others:
                reply([503, "no group known"])
                return
            owner = self.context.random.choice(others)
        if owner is not None:
            self.passOn(owner, waiting)
            return
        self.context.after(self.callMs * 1.8, self.expire)
        if self.ownerBallot == NO_BALLOT:
            self.findOwner(waiting)
            return
        self.queue.append(waiting)
        self.elect()

    def findOwner(self, waiting):
        """A store that has heard no owner since its start asks the group for one before it stands itself."""
        others = [address for address in self.group() if address != self.board.address]
        silent = set(others)

        def heard(peer, answer, problem):
            if not silent:
                return
            silent.discard(peer)
            if problem is None and answer and answer[0]:
                silent.clear()
                self.believe(asBallot(answer[1]), 0.0)
            if not silent:
                self.queue.append(waiting)
                self.pump()
        self.askAll(others, wire.WHO_OWNS, [], self.callMs * 0.3, heard)
        if not others:
            self.queue.append(waiting)
            self.elect()

    def onWhoOwns(self, peer, body, reply):
        ballot = self.ballot if self.ballot is not None else self.ownerBallot
        reply([self.owner() is not None, list(ballot)])

    def passOn(self, owner, waiting):
        def answered(answer, problem):
            if problem is None and answer is not None and answer[0] != 503:
                waiting.reply(answer)
                return
            if self.inGroup() and not self.wiped and self.loaded and waiting.expiresMs > self.context.nowMs():
                silentMs = self.context.nowMs() - self.ownerHeardMs
                if problem == "no answer in time" and silentMs < self.beatMs * 1.3:
                    waiting.reply([503, "the owner is slow"])
                    return
                if self.ownerBallot[1].partition("#")[0] == owner:
                    self.ownerHeardMs = -1e12
                self.queue.append(waiting)
                self.pump()
                self.context.after(self.callMs, self.expire)
            else:
                waiting.reply([503, "the owner can't be reached"])
        kind, body = ((wire.READ_VALUE, [True]) if waiting.order == "value"
                      else (wire.ORDER, [waiting.order, waiting.payload, True]))
        self.board.call(owner, self.kinds + kind, body, self.callMs * 0.8, answered)

    def expire(self):
        nowMs = self.context.nowMs()
        late = [waiting for waiting in self.queue if waiting.expiresMs <= nowMs]
        self.queue = [waiting for waiting in self.queue if waiting.expiresMs > nowMs]
        for waiting in late:
            waiting.reply([503, "no owner in time"])
        if self.queue:
            self.context.after(self.callMs / 4, self.expire)

    def pump(self):
        """Carries out the next order, if this store owns the duty and nothing else is under way."""
        if self.busy or self.judging and self.tendRollouts() or not self.queue:
            return
        if self.ballot is None:
            owner = self.owner()
            if owner is not None and owner != self.board.address:
                queue, self.queue = self.queue, []
                for waiting in queue:
                    self.passOn(owner, waiting)
            elif self.electing is None:
                self.elect()
            return
        if self.chosen is None:
            return
        waiting = self.queue.pop(0)
        if waiting.expiresMs <= self.context.nowMs():
            waiting.reply([503, "no owner in time"])
            self.context.soon(self.pump)
            return
        value = self.chosen
        if waiting.order == "value":
            self.busy = True
            self.finish([waiting], [200, value.packed])
            return
        if waiting.order == SERIAL:
            self.answerSerials(waiting)
            return
        if waiting.order == READ_ROLLOUTS:
            self.busy = True
            self.finish([waiting], [200, self.rolloutsShown()])
            return
        outcome = decide(value, waiting.order, waiting.payload, self.context.settings.areas)
        self.busy = True
        if outcome.value is None:
            answer = [outcome.status, outcome.text]
            if waiting.order in (OFFER, WITHDRAW, MOVE_ROLLOUT) and outcome.status == 200:
                answer.append(self.leasesLeftMs())
            self.finish([waiting], answer)
            return
        narrowed = self.isNarrower(waiting.order, value, outcome.value)

        def accepted(chosen):
            if chosen and narrowed:
                self.narrowedMs = self.context.nowMs()
            if chosen and (waiting.order in (OFFER, WITHDRAW) or waiting.order == MOVE_ROLLOUT and narrowed):
                waiting.reply([outcome.status, outcome.text, self.leasesLeftMs()])
            elif chosen:
                waiting.reply([outcome.status, outcome.text])
            else:
                waiting.reply([503, "outcome unknown"])
            self.pump()
        self.accept(value, outcome.value, accepted)

    def isNarrower(self, order, before, after):
        """True where an order takes something away that proxies may hold a lease on."""
        if order in (OFFER, WITHDRAW):
            from stagevale.partners.checking import narrows
            return narrows(before, after)
        if order in (START_ROLLOUT, MOVE_ROLLOUT):
            from stagevale.rollouts.checking import withdraws
            return withdraws(before, after)
        return False

    def leasesLeftMs(self):
        """How long a lease may still stand that is older than the newest withdrawal: an owner that wasn't there when it
        was chosen counts from its own beginning."""
        from stagevale.leases import wait_ms
        return int(max(0.0, self.narrowedMs + wait_ms(self.context.settings.bounds) - self.context.nowMs())) + 1

    def answerSerials(self, first):
        """Proxies' questions for leases come from every registry all the time: all that wait are answered by one
        confirmation, since each was asked before it began."""
        waiting = [first] + [each for each in self.queue if each.order == SERIAL]
        self.queue = [each for each in self.queue if each.order != SERIAL]
        for each in waiting:
            if each.payload:
                self.judgeOf().take(json.loads(each.payload), self.context.nowMs())
        self.busy = True
        self.finish(waiting, [200, str(self.chosen.serial)])

    def judgeOf(self):
        """The judgement of rollouts; made with the first rollout."""
        if self.judge is None:
            from stagevale.rollouts.judging import Judge
            self.judge = Judge(self.context.settings.bounds, self.context.settings.tolerance)
        return self.judge

    def tendRollouts(self):
        """The owner advances rollouts or has them fall back; True where a change is under way."""
        self.judging = False
        value = self.chosen
        if self.ballot is None or value is None:
            return False
        from stagevale.rollouts.judging import tend
        proxies = [member.address for member in self.membership.members("proxy", (UP,))]
        tended = tend(self.judgeOf(), value, proxies, self.context.nowMs())
        if tended is None:
            return False
        after, withdrawn = tended

        def accepted(chosen):
            if chosen and withdrawn:
                self.narrowedMs = self.context.nowMs()
            self.pump()
        self.context.log.info("%s: rollouts: %s.", self.prefix, ", ".join(
            f"{service} is {json.loads(text)['state']} at step {json.loads(text)['step'] + 1}"
            for service, text in after.rollouts.items() if text != value.rollouts.get(service)))
        self.busy = True
        self.accept(value, after, accepted)
        return True

    def rolloutsShown(self):
        """All rollouts, their step's outcomes, and for how long leases on what was withdrawn may still stand."""
        from stagevale.rollouts import ENDED, FALLEN, Rollout
        rows = []
        for service in sorted(self.chosen.rollouts):
            rollout = Rollout(json.loads(self.chosen.rollouts[service]))
            if rollout.state == ENDED:
                continue
            leftMs = self.leasesLeftMs() - 1 if rollout.state == FALLEN else 0
            rows.append({**rollout.row(), "share": rollout.share, "leasesLeftMs": leftMs,
                         "shown": "falling back" if leftMs > 0 else rollout.state,
                         "outcomes": self.judgeOf().show(rollout)})
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

    def catchUp(self):
        """A store without its disk learns from a majority of the others before it votes again."""
        known = {member.address for member in self.membership.members(self.program)} | set(self.seedStores)
        known.discard(self.board.address)
        answers = {}

        def learned(peer, answer, problem):
            if problem is not None or not self.wiped or not answer[0]:
                return
            answers[peer] = answer
            newest = max(answers.values(), key=lambda got: (asBallot(got[2]), self.readValue(got[3]).serial if got[3] else -1))
            value = self.readValue(newest[3]) if newest[3] else None
            group = value.group if value else self.seedStores
            if sum(1 for member in group if member in answers) < majority(len(group)):
                return
            self.wiped = False
            self.promised = max(asBallot(got[1]) for got in answers.values())
            self.acceptedBallot = asBallot(newest[2])
            self.accepted = value
            self.highestRound = max(self.highestRound, self.promised[0])
            self.context.log.info("%s: learned epoch %d from a majority; voting again.", self.prefix,
                                  value.serial if value else 0)
            self.save(lambda done: None)
        self.askAll(known, wire.LEARN, [], self.callMs, learned)

    def handOver(self):
        """Before an end in order: gives the duty up, so that another may win it at once."""
        self.stopping = True
        if self.ballot is not None:
            self.stepDown("this store ends")

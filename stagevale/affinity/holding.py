"""A proxy's part in the sessions: it takes them, notes at-most-once jobs before they are offered, and answers repeats."""
from collections import OrderedDict

from stagevale import wire
from stagevale.affinity import (ANSWER_BYTES, ANSWERED, FREE, HEADER_BYTES, KEY_HEADER, NOTED, UNKNOWN, Entry, Record,
                                digest_of, entry_from, group_name, record_from)
from stagevale.ballots import majority

HELD_MOST = 20000
PATIENCE_SHARE = 0.5
CALL_SHARE = 0.1
LOOK_SHARE = 0.025
NEVER_RAN = (401, 404, 408, 429, 503)


class Hold:
    """A session that this proxy holds, as the group had it when it was taken, and what was noted since."""

    __slots__ = ("name", "epoch", "record")

    def __init__(self, name, epoch, record):
        self.name = name
        self.epoch = epoch
        self.record = record


class Note:
    """What a job needs of its session: who, under which key, and how far noting has come."""

    __slots__ = ("session", "key", "digest", "name", "turn", "noted", "settling", "settled", "attached", "first")

    def __init__(self, session, key, digest, name):
        self.session = session
        self.key = key
        self.digest = digest
        self.name = name
        self.turn = 0
        self.noted = False
        self.settling = False
        self.settled = False
        self.attached = []
        self.first = None


class Holdings:
    """All sessions of one proxy."""

    __slots__ = ("context", "board", "relay", "membership", "held", "taking", "live", "pins", "looked", "counts", "noting")

    def __init__(self, context, board, relay, membership):
        self.context = context
        self.board = board
        self.relay = relay
        self.membership = membership
        self.held = OrderedDict()
        self.taking = {}
        self.live = {}
        self.pins = OrderedDict()
        self.looked = set()
        self.counts = {"held": 0, "handedOver": 0, "repeats": 0, "unknown": 0, "shed": 0}
        self.noting = True
        board.on(wire.SESSION_HEIR, self.on_heir)

    def me(self):
        return f"{self.membership.me.address}#{self.membership.me.uid}"

    def group(self, name):
        """(epoch, members) of a group as the register has it, or None."""
        row = self.relay.digest.sessions.get(name)
        return None if row is None else (row[0], row[1])

    # reading a job

    def read(self, job):
        """Finds the session and the key in a job's headers; returns what is wrong with them, or ""."""
        affinity = job.route.affinity
        found = {affinity.header: [], KEY_HEADER: []}
        for header, value in job.headers:
            lower = header.lower()
            if lower in found:
                found[lower].append(value)
        for header, values in found.items():
            if len(values) > 1:
                return f"{header.decode()}: given twice"
            if values and not values[0].strip():
                return f"{header.decode()}: empty"
            if values and len(values[0]) > HEADER_BYTES:
                return f"{header.decode()}: longer than {HEADER_BYTES} bytes"
        sessions, keys = found[affinity.header], found[KEY_HEADER]
        if not sessions:
            return ""
        job.session = sessions[0].decode("latin-1")
        name = group_name(job.route.homes, sessions[0])
        if job.route.pure:
            job.prefers = self.pinned(job.session, job.service)
            if job.prefers is None:
                self.look_at(job.session, name)
        elif keys and self.noting:
            job.note = Note(job.session, keys[0].decode("latin-1"), digest_of(job.method, job.target, job.body), name)
        return ""

    # endpoints that sessions keep to

    def pinned(self, session, service):
        return self.pins.get(session, {}).get(service)

    def pin(self, session, service, id):
        """Notes that a session was served by this endpoint."""
        pins = self.pins.pop(session, {})
        pins[service] = id
        self.pins[session] = pins
        while len(self.pins) > HELD_MOST:
            self.looked.discard(self.pins.popitem(last=False)[0])

    def look_at(self, session, name):
        """A repeatable job goes at once; what other sites know of its session is asked for beside it, once."""
        group = self.group(name)
        if group is None or session in self.looked:
            return
        self.looked.add(session)
        if len(self.looked) > HELD_MOST:
            self.looked.clear()
        epoch, members = group
        near = sorted(members, key=lambda address: self.region_of(address) != self.membership.me.region)

        def answered(answer, problem):
            if problem is None and answer and answer[0] and answer[1] is not None:
                record = record_from(answer[1], self.context.now_ms())
                for service, id in record.pins.items():
                    if self.pinned(session, service) is None:
                        self.pin(session, service, id)
        self.board.call(near[0], wire.SESSION_LOOK, [name, epoch, session], self.call_ms(), answered)

    def region_of(self, address):
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def call_ms(self):
        return self.context.settings.bounds.contact_ms * CALL_SHARE

    # taking a session

    def ask_all(self, name, kind, body, done):
        """Puts one question to a group; `done(answers)` once a majority has said yes (1 first) or it can't any more."""
        group = self.group(name)
        if group is None:
            done([])
            return
        epoch, members = group
        answers, waiting, over = [], set(members), []

        def answered(peer, answer, problem):
            waiting.discard(peer)
            if problem is None and answer:
                answers.append(answer)
            yes = sum(1 for row in answers if row[0] == 1)
            if not over and (yes >= majority(len(members)) or yes + len(waiting) < majority(len(members))):
                over.append(1)
                done(answers)
        for peer in members:
            self.board.call(peer, kind, [name, epoch] + body, self.call_ms(),
                            lambda answer, problem, peer=peer: answered(peer, answer, problem))

    def agreed(self, name, answers):
        group = self.group(name)
        return group is not None and sum(1 for row in answers if row[0] == 1) >= majority(len(group[1]))

    def with_hold(self, note, until_ms, then, shed):
        """Calls `then(hold)` once this proxy holds the session, `shed()` where that doesn't come about in time."""
        hold = self.held.get(note.session)
        group = self.group(note.name)
        if hold is not None and group is not None and (hold.name, hold.epoch) == (note.name, group[0]):
            self.held.move_to_end(note.session)
            then(hold)
            return
        waiting = self.taking.get(note.session)
        if waiting is not None:
            waiting.append((then, shed))
            return
        self.taking[note.session] = [(then, shed)]
        self.take(note, 1, until_ms)

    def take(self, note, number, until_ms):
        epoch = (self.group(note.name) or (0, ()))[0]

        def answered(answers):
            now_ms = self.context.now_ms()
            if self.agreed(note.name, answers) and (self.group(note.name) or (None,))[0] == epoch:
                record = Record(number, self.me())
                for row in answers:
                    if row[0] == 1:
                        known = record_from(row[1], now_ms)
                        record.join(known)
                hold = self.held[note.session] = Hold(note.name, epoch, record)
                record.number, record.holder = number, self.me()
                self.counts["held"] += 1
                if any(row[0] == 1 and row[2] not in ("", self.me()) for row in answers):
                    self.counts["handedOver"] += 1
                while len(self.held) > HELD_MOST:
                    self.held.popitem(last=False)
                for service, id in record.pins.items():
                    self.pin(note.session, service, id)
                for then, _ in self.taking.pop(note.session, ()):
                    then(hold)
                return
            if now_ms < until_ms:
                higher = max([row[1] for row in answers if row[0] == 0] + [number])
                self.context.after(self.context.random.uniform(2.0, 15.0), self.take, note, higher + 1, until_ms)
                return
            for _, shed in self.taking.pop(note.session, ()):
                shed()
        self.ask_all(note.name, wire.SESSION_TAKE, [note.session, number, self.me()], answered)

    # an at-most-once job

    def carry(self, job):
        """Sees to it that the job's key is noted by a majority of its group before the job is offered."""
        note = job.note
        other = self.live.get((note.session, note.key))
        if other is not None:
            if other.note.digest != note.digest:
                self.relay.own(job, 422, "the key stands for another job")
                return
            note.first = other
            other.note.attached.append(job)
            return
        self.live[note.session, note.key] = job
        self.begin(job)

    def begin(self, job):
        note = job.note
        until_ms = job.start_ms + job.route.target_ms * PATIENCE_SHARE
        self.with_hold(note, until_ms, lambda hold: self.decide(job, hold, until_ms),
                      lambda: self.shed(job, "its session's record can't be had in time"))

    def shed(self, job, why):
        self.counts["shed"] += 1
        self.conclude(job, FREE, None)
        self.relay.give_back(job, why)

    def decide(self, job, hold, until_ms):
        """What the record says of the job's key."""
        note = job.note
        if job.answer is not None:
            self.conclude(job, FREE, None)
            return
        entry = hold.record.jobs.get(note.key)
        now_ms = self.context.now_ms()
        if entry is not None and entry.expires_ms <= now_ms:
            entry = None
        if entry is None or entry.state == FREE:
            again = entry is not None and entry.turn[:2] == hold.record.epoch()
            self.note(job, hold, entry.turn[2] + 1 if again else 1, until_ms)
        elif entry.digest != note.digest:
            self.conclude(job, None, None)
            self.relay.own(job, 422, "the key stands for another job")
        elif entry.state == ANSWERED:
            self.counts["repeats"] += 1
            self.conclude(job, None, None)
            self.replay(job, entry)
        elif entry.state == UNKNOWN or not self.at_work(entry.by):
            self.counts["unknown"] += 1
            if entry.state != UNKNOWN:
                self.mark(note, entry.turn, UNKNOWN, entry.by, None, job.route.affinity.keep_ms, None, {})
                entry.state = UNKNOWN
            self.conclude(job, None, None)
            self.relay.own(job, 504, "whether this key has run is not known; it will not run again")
        else:
            self.await_(job, entry)

    def at_work(self, by):
        """True while the proxy life that noted a key may still be working on it."""
        address, _, uid = by.partition("#")
        if by == self.me():
            return False
        member = self.membership.state.members.get(address)
        return member is not None and str(member.uid) == uid and member.state < 4 and self.membership.reachable(address)

    def await_(self, job, entry):
        """Another site is at work on the key: its answer is waited for, until the job's cutoff."""
        note = job.note

        def looked(answers):
            if job.answer is not None:
                self.conclude(job, None, None)
                return
            now_ms = self.context.now_ms()
            record = Record()
            for row in answers:
                if row[0] == 1 and row[1] is not None:
                    record.join(record_from(row[1], now_ms))
            hold = self.held.get(note.session)
            if hold is not None:
                hold.record.join(record)
            known = record.jobs.get(note.key)
            if known is not None and known.state == FREE:
                self.begin(job)
            elif known is not None and (known.state in (ANSWERED, UNKNOWN) or not self.at_work(known.by)):
                self.decide(job, Hold(note.name, 0, record), 0.0)
            elif now_ms + self.context.settings.bounds.contact_ms * LOOK_SHARE + self.call_ms() * 0.3 > job.cutoff_ms:
                self.conclude(job, None, None)
                self.relay.own(job, 409, "this key is at work at another site")
            else:
                self.context.after(self.context.settings.bounds.contact_ms * LOOK_SHARE, look)

        def look():
            self.ask_all(note.name, wire.SESSION_LOOK, [note.session], looked)
        look()

    def note(self, job, hold, count, until_ms):
        """Has the job's key noted by a majority under the epoch of the hold, then lets the job be offered."""
        note = job.note
        if self.context.now_ms() > until_ms:
            self.shed(job, "its key can't be noted in time")
            return
        keep_ms = job.route.affinity.keep_ms
        record = hold.record
        turn = note.turn = (record.number, record.holder, count)

        def answered(answers):
            if note.settled:
                return
            if self.agreed(note.name, answers):
                note.noted = True
                record.jobs[note.key] = Entry(turn, NOTED, note.digest, self.me(), None, self.context.now_ms() + keep_ms)
                if job.answer is not None:
                    self.conclude(job, FREE, None)
                    return
                job.held_ms = self.context.now_ms() - job.start_ms
                self.relay.offer(job)
                return
            if self.held.get(note.session) is hold:
                del self.held[note.session]
            known = [entry_from(row[1], self.context.now_ms()) for row in answers if row[0] == 2]
            if known:
                self.mark(note, turn, FREE, self.me(), None, keep_ms, None, {})
                for entry in known:
                    record.jobs[note.key] = max((entry, record.jobs.get(note.key, entry)), key=lambda e: e.rank())
                self.decide(job, hold, until_ms)
                return
            self.mark(note, turn, FREE, self.me(), None, keep_ms, None, {})
            if any(row[0] == 0 for row in answers) and self.context.now_ms() < until_ms and job.answer is None:
                self.begin(job)
            else:
                self.shed(job, "its key can't be noted in time")
        self.ask_all(note.name, wire.SESSION_NOTE, [note.session, record.number, record.holder, note.key, count, note.digest,
                                                   self.me(), keep_ms], answered)

    def mark(self, note, turn, state, by, answer, keep_ms, done, pins):
        """Tells the group what became of a key; `done(kept)` once a majority has it or can't."""
        fields = Entry(turn, state, note.digest, by, answer, self.context.now_ms() + keep_ms).fields(self.context.now_ms())
        hold = self.held.get(note.session)
        if hold is not None:
            entry = entry_from(fields, self.context.now_ms())
            known = hold.record.jobs.get(note.key)
            if known is None or entry.rank() > known.rank():
                hold.record.jobs[note.key] = entry
        self.ask_all(note.name, wire.SESSION_MARK, [note.session, note.key, fields, pins],
                    lambda answers: done(self.agreed(note.name, answers)) if done is not None else None)

    def settle(self, job, answer, ended):
        """Notes what an offered job came to; `ended(answer)` sends its answer, an endpoint's own once it is noted.

        `job.ran` says that an endpoint may have begun it; `job.whole` that the answer is an endpoint's own. An answer of
        ours goes back at once and is noted beside it: until then other sites take the key for one at work.
        """
        note = job.note
        if note.settling:
            note.settled = True
            self.forget(job)
            ended(answer)
            return
        note.settling = True
        state = ANSWERED if job.whole else UNKNOWN if job.ran or answer[0] not in NEVER_RAN and job.offered else FREE
        if state != ANSWERED:
            note.settled = True
            if note.noted:
                self.insist(job, state, None, self.context.now_ms() + self.call_ms() * 10, lambda agreed: None)
            if state == UNKNOWN:
                self.counts["unknown"] += 1
            self.forget(job)
            ended(answer)
            return

        def marked(agreed):
            if note.settled:
                return
            note.settled = True
            self.forget(job)
            ended(answer if agreed else (504, b"", [("Content-Type", "text/plain")],
                                         b"its answer could not be noted in time"))
        self.insist(job, state, self.kept(answer), job.cutoff_ms - self.call_ms(), marked)

    def insist(self, job, state, kept, until_ms, done):
        """Tells the group what became of a key until a majority has it, or for as long as it is worth while."""
        def answered(agreed):
            if agreed or self.context.now_ms() > until_ms:
                done(agreed)
            else:
                self.context.after(self.call_ms() * 0.1, self.insist, job, state, kept, until_ms, done)
        self.mark(job.note, job.note.turn, state, self.me(), kept, job.route.affinity.keep_ms, answered,
                  self.pins.get(job.note.session, {}))

    def kept(self, answer):
        """An answer as the record keeps it: without the job's own id, and without its body where that is too large."""
        status, reason, headers, body = answer
        fits = len(body) <= ANSWER_BYTES
        return [status, bytes(reason), [[bytes(name), bytes(value)] for name, value in headers
                                        if bytes(name).lower() != b"attempt-id"], body if fits else b"", int(fits)]

    def forget(self, job):
        """The job is over here: jobs that waited for it under the same key are looked at again."""
        note = job.note
        if self.live.get((note.session, note.key)) is job:
            del self.live[note.session, note.key]
        waiting, note.attached = note.attached, []
        for other in waiting:
            if other.answer is None:
                other.note.first = None
                self.carry(other)

    def conclude(self, job, state, answer):
        """Ends a job's part in the record without an answer to send: its client has gone, or another word was found."""
        note = job.note
        if note.settled or note.settling:
            return
        note.settled = True
        if state is None or not note.noted:
            self.forget(job)
            return
        self.insist(job, state, self.kept(answer) if answer is not None else None,
                    self.context.now_ms() + self.call_ms() * 10, lambda agreed: self.forget(job))

    def replay(self, job, entry):
        """The noted answer, under this job's own id."""
        status, reason, headers, body, whole = entry.answer
        if not whole:
            self.relay.own(job, 409, "this key was answered before, with more than is kept")
            return
        rows = [(bytes(name), bytes(value)) for name, value in headers]
        if job.attempt_id:
            rows.append((b"Attempt-Id", job.attempt_id))
        self.relay.finish(job, (status, bytes(reason), rows, bytes(body)))

    # an end in order

    def hand_on(self):
        """Before this proxy ends: others of its area take the sessions that it holds."""
        heirs = [member for member in self.membership.members("proxy")
                 if member.area == self.membership.me.area and member.address != self.membership.me.address
                 and self.membership.reachable(member.address)]
        if not heirs:
            return
        rows = {}
        for number, (session, hold) in enumerate(self.held.items()):
            rows.setdefault(heirs[number % len(heirs)].address, []).append([session, hold.name, hold.record.number])
        for heir, sessions in rows.items():
            self.board.cast(heir, wire.SESSION_HEIR, sessions)

    def on_heir(self, peer, body, reply):
        for session, name, number in body:
            if session not in self.held and session not in self.taking:
                self.taking[session] = []
                self.take(Note(session, "", "", name), number + 1, 0.0)

"""A proxy's part in the sessions: it takes them, notes at-most-once requests before they are
offered, and answers repeats.
"""

from collections import OrderedDict

from stagevale import wire
from stagevale.affinity import (
    ANSWER_BYTES,
    ANSWERED,
    FREE,
    HEADER_BYTES,
    KEY_HEADER,
    NOTED,
    UNKNOWN,
    Entry,
    Record,
    entry_from,
    fingerprint_of,
    group_name,
    record_from,
)
from stagevale.ballots import majority

HELD_MOST = 20000
PATIENCE_SHARE = 0.5
CALL_SHARE = 0.1
LOOK_SHARE = 0.025
NEVER_RAN = (401, 404, 408, 429, 503)


class Hold:
    """A session that this proxy holds, as the group had it when it was taken, and what was noted
    since.
    """

    __slots__ = ("name", "version", "record")

    def __init__(self, name, version, record):
        self.name = name
        self.version = version
        self.record = record


class Note:
    """What a request needs of its session: who, under which key, and how far noting has come."""

    __slots__ = (
        "session",
        "key",
        "fingerprint",
        "name",
        "turn",
        "noted",
        "settling",
        "settled",
        "attached",
        "first",
    )

    def __init__(self, session, key, fingerprint, name):
        self.session = session
        self.key = key
        self.fingerprint = fingerprint
        self.name = name
        self.turn = 0
        self.noted = False
        self.settling = False
        self.settled = False
        self.attached = []
        self.first = None


class Holdings:
    """All sessions of one proxy."""

    __slots__ = (
        "context",
        "switchboard",
        "forwarder",
        "membership",
        "held",
        "taking",
        "live",
        "pins",
        "looked",
        "counts",
        "noting",
    )

    def __init__(self, context, switchboard, forwarder, membership):
        self.context = context
        self.switchboard = switchboard
        self.forwarder = forwarder
        self.membership = membership
        self.held = OrderedDict()
        self.taking = {}
        self.live = {}
        self.pins = OrderedDict()
        self.looked = set()
        self.counts = {"held": 0, "handedOver": 0, "repeats": 0, "unknown": 0, "refused": 0}
        self.noting = True
        switchboard.on(wire.SESSION_HEIR, self.on_heir)

    def me(self):
        return f"{self.membership.me.address}#{self.membership.me.uid}"

    def group(self, name):
        """(version, members) of a group as the register has it, or None."""
        row = self.forwarder.snapshot.sessions.get(name)
        return None if row is None else (row[0], row[1])

    # reading a request

    def read(self, request):
        """Finds the session and the key in a request's headers; returns what is wrong with them, or
        "".
        """
        affinity = request.route.affinity
        found = {affinity.header: [], KEY_HEADER: []}
        for header, value in request.headers:
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
        request.session = sessions[0].decode("latin-1")
        name = group_name(request.route.homes, sessions[0])
        if request.route.pure:
            request.prefers = self.pinned(request.session, request.service)
            if request.prefers is None:
                self.look_at(request.session, name)
        elif keys and self.noting:
            request.note = Note(
                request.session,
                keys[0].decode("latin-1"),
                fingerprint_of(request.method, request.target, request.body),
                name,
            )
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
        """A repeatable request goes at once; what other sites know of its session is asked for
        beside it, once.
        """
        group = self.group(name)
        if group is None or session in self.looked:
            return
        self.looked.add(session)
        if len(self.looked) > HELD_MOST:
            self.looked.clear()
        version, members = group
        near = sorted(
            members, key=lambda address: self.region_of(address) != self.membership.me.region
        )

        def answered(answer, failure):
            if failure is None and answer and answer[0] and answer[1] is not None:
                record = record_from(answer[1], self.context.now_ms())
                for service, id in record.pins.items():
                    if self.pinned(session, service) is None:
                        self.pin(session, service, id)

        self.switchboard.call(
            near[0], wire.SESSION_LOOK, [name, version, session], self.call_ms(), answered
        )

    def region_of(self, address):
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def call_ms(self):
        return self.context.settings.bounds.contact_ms * CALL_SHARE

    # taking a session

    def ask_all(self, name, kind, body, done):
        """Puts one question to a group; `done(answers)` once a majority has said yes (1 first) or
        it can't any more.
        """
        group = self.group(name)
        if group is None:
            done([])
            return
        version, members = group
        answers, waiting, over = [], set(members), []

        def answered(peer, answer, failure):
            waiting.discard(peer)
            if failure is None and answer:
                answers.append(answer)
            yes = sum(1 for row in answers if row[0] == 1)
            if not over and (
                yes >= majority(len(members)) or yes + len(waiting) < majority(len(members))
            ):
                over.append(1)
                done(answers)

        for peer in members:
            self.switchboard.call(
                peer,
                kind,
                [name, version] + body,
                self.call_ms(),
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )

    def agreed(self, name, answers):
        group = self.group(name)
        return group is not None and sum(1 for row in answers if row[0] == 1) >= majority(
            len(group[1])
        )

    def with_hold(self, note, until_ms, then, refuse):
        """Calls `then(hold)` once this proxy holds the session, `refuse()` where that doesn't come
        about in time.
        """
        hold = self.held.get(note.session)
        group = self.group(note.name)
        if (
            hold is not None
            and group is not None
            and (hold.name, hold.version) == (note.name, group[0])
        ):
            self.held.move_to_end(note.session)
            then(hold)
            return
        waiting = self.taking.get(note.session)
        if waiting is not None:
            waiting.append((then, refuse))
            return
        self.taking[note.session] = [(then, refuse)]
        self.take(note, 1, until_ms)

    def take(self, note, number, until_ms):
        version = (self.group(note.name) or (0, ()))[0]

        def answered(answers):
            now_ms = self.context.now_ms()
            if self.agreed(note.name, answers) and (self.group(note.name) or (None,))[0] == version:
                record = Record(number, self.me())
                for row in answers:
                    if row[0] == 1:
                        known = record_from(row[1], now_ms)
                        record.join(known)
                hold = self.held[note.session] = Hold(note.name, version, record)
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
                self.context.after(
                    self.context.random.uniform(2.0, 15.0), self.take, note, higher + 1, until_ms
                )
                return
            for _, refuse in self.taking.pop(note.session, ()):
                refuse()

        self.ask_all(note.name, wire.SESSION_TAKE, [note.session, number, self.me()], answered)

    # an at-most-once request

    def carry(self, request):
        """Sees to it that the request's key is noted by a majority of its group before the request
        is offered.
        """
        note = request.note
        other = self.live.get((note.session, note.key))
        if other is not None:
            if other.note.fingerprint != note.fingerprint:
                self.forwarder.own(request, 422, "the key stands for another request")
                return
            note.first = other
            other.note.attached.append(request)
            return
        self.live[note.session, note.key] = request
        self.begin(request)

    def begin(self, request):
        note = request.note
        until_ms = request.start_ms + request.route.target_ms * PATIENCE_SHARE
        self.with_hold(
            note,
            until_ms,
            lambda hold: self.decide(request, hold, until_ms),
            lambda: self.refuse(request, "its session's record can't be had in time"),
        )

    def refuse(self, request, why):
        self.counts["refused"] += 1
        self.conclude(request, FREE, None)
        self.forwarder.give_back(request, why)

    def decide(self, request, hold, until_ms):
        """What the record says of the request's key."""
        note = request.note
        if request.answer is not None:
            self.conclude(request, FREE, None)
            return
        entry = hold.record.requests.get(note.key)
        now_ms = self.context.now_ms()
        if entry is not None and entry.expires_ms <= now_ms:
            entry = None
        if entry is None or entry.state == FREE:
            again = entry is not None and entry.turn[:2] == hold.record.version()
            self.note(request, hold, entry.turn[2] + 1 if again else 1, until_ms)
        elif entry.fingerprint != note.fingerprint:
            self.conclude(request, None, None)
            self.forwarder.own(request, 422, "the key stands for another request")
        elif entry.state == ANSWERED:
            self.counts["repeats"] += 1
            self.conclude(request, None, None)
            self.replay(request, entry)
        elif entry.state == UNKNOWN or not self.at_work(entry.by):
            self.counts["unknown"] += 1
            if entry.state != UNKNOWN:
                self.mark(
                    note,
                    entry.turn,
                    UNKNOWN,
                    entry.by,
                    None,
                    request.route.affinity.keep_ms,
                    None,
                    {},
                )
                entry.state = UNKNOWN
            self.conclude(request, None, None)
            self.forwarder.own(
                request, 504, "whether this key has run is not known; it will not run again"
            )
        else:
            self.await_(request, entry)

    def at_work(self, by):
        """True while the proxy life that noted a key may still be working on it."""
        address, _, uid = by.partition("#")
        if by == self.me():
            return False
        member = self.membership.state.members.get(address)
        return (
            member is not None
            and str(member.uid) == uid
            and member.state < 4
            and self.membership.reachable(address)
        )

    def await_(self, request, entry):
        """Another site is at work on the key: its answer is waited for, until the request's
        deadline.
        """
        note = request.note

        def looked(answers):
            if request.answer is not None:
                self.conclude(request, None, None)
                return
            now_ms = self.context.now_ms()
            record = Record()
            for row in answers:
                if row[0] == 1 and row[1] is not None:
                    record.join(record_from(row[1], now_ms))
            hold = self.held.get(note.session)
            if hold is not None:
                hold.record.join(record)
            known = record.requests.get(note.key)
            if known is not None and known.state == FREE:
                self.begin(request)
            elif known is not None and (
                known.state in (ANSWERED, UNKNOWN) or not self.at_work(known.by)
            ):
                self.decide(request, Hold(note.name, 0, record), 0.0)
            elif (
                now_ms + self.context.settings.bounds.contact_ms * LOOK_SHARE + self.call_ms() * 0.3
                > request.deadline_ms
            ):
                self.conclude(request, None, None)
                self.forwarder.own(request, 409, "this key is at work at another site")
            else:
                self.context.after(self.context.settings.bounds.contact_ms * LOOK_SHARE, look)

        def look():
            self.ask_all(note.name, wire.SESSION_LOOK, [note.session], looked)

        look()

    def note(self, request, hold, count, until_ms):
        """Has the request's key noted by a majority under the version of the hold, then lets the
        request be offered.
        """
        note = request.note
        if self.context.now_ms() > until_ms:
            self.refuse(request, "its key can't be noted in time")
            return
        keep_ms = request.route.affinity.keep_ms
        record = hold.record
        turn = note.turn = (record.number, record.holder, count)

        def answered(answers):
            if note.settled:
                return
            if self.agreed(note.name, answers):
                note.noted = True
                record.requests[note.key] = Entry(
                    turn, NOTED, note.fingerprint, self.me(), None, self.context.now_ms() + keep_ms
                )
                if request.answer is not None:
                    self.conclude(request, FREE, None)
                    return
                request.held_ms = self.context.now_ms() - request.start_ms
                self.forwarder.offer(request)
                return
            if self.held.get(note.session) is hold:
                del self.held[note.session]
            known = [entry_from(row[1], self.context.now_ms()) for row in answers if row[0] == 2]
            if known:
                self.mark(note, turn, FREE, self.me(), None, keep_ms, None, {})
                for entry in known:
                    record.requests[note.key] = max(
                        (entry, record.requests.get(note.key, entry)), key=lambda e: e.rank()
                    )
                self.decide(request, hold, until_ms)
                return
            self.mark(note, turn, FREE, self.me(), None, keep_ms, None, {})
            if (
                any(row[0] == 0 for row in answers)
                and self.context.now_ms() < until_ms
                and request.answer is None
            ):
                self.begin(request)
            else:
                self.refuse(request, "its key can't be noted in time")

        self.ask_all(
            note.name,
            wire.SESSION_NOTE,
            [
                note.session,
                record.number,
                record.holder,
                note.key,
                count,
                note.fingerprint,
                self.me(),
                keep_ms,
            ],
            answered,
        )

    def mark(self, note, turn, state, by, answer, keep_ms, done, pins):
        """Tells the group what became of a key; `done(kept)` once a majority has it or can't."""
        fields = Entry(
            turn, state, note.fingerprint, by, answer, self.context.now_ms() + keep_ms
        ).fields(self.context.now_ms())
        hold = self.held.get(note.session)
        if hold is not None:
            entry = entry_from(fields, self.context.now_ms())
            known = hold.record.requests.get(note.key)
            if known is None or entry.rank() > known.rank():
                hold.record.requests[note.key] = entry
        self.ask_all(
            note.name,
            wire.SESSION_MARK,
            [note.session, note.key, fields, pins],
            lambda answers: done(self.agreed(note.name, answers)) if done is not None else None,
        )

    def settle(self, request, answer, ended):
        """Notes what an offered request came to; `ended(answer)` sends its answer, an endpoint's
        own once it is noted.

        `request.ran` says that an endpoint may have begun it; `request.whole` that the answer is an
        endpoint's own. An answer of ours goes back at once and is noted beside it: until then other
        sites take the key for one at work.
        """
        note = request.note
        if note.settling:
            note.settled = True
            self.forget(request)
            ended(answer)
            return
        note.settling = True
        state = (
            ANSWERED
            if request.whole
            else UNKNOWN
            if request.ran or answer[0] not in NEVER_RAN and request.offered
            else FREE
        )
        if state != ANSWERED:
            note.settled = True
            if note.noted:
                self.insist(
                    request,
                    state,
                    None,
                    self.context.now_ms() + self.call_ms() * 10,
                    lambda agreed: None,
                )
            if state == UNKNOWN:
                self.counts["unknown"] += 1
            self.forget(request)
            ended(answer)
            return

        def marked(agreed):
            if note.settled:
                return
            note.settled = True
            self.forget(request)
            ended(
                answer
                if agreed
                else (
                    504,
                    b"",
                    [("Content-Type", "text/plain")],
                    b"its answer could not be noted in time",
                )
            )

        self.insist(request, state, self.kept(answer), request.deadline_ms - self.call_ms(), marked)

    def insist(self, request, state, kept, until_ms, done):
        """Tells the group what became of a key until a majority has it, or for as long as it is
        worth while.
        """

        def answered(agreed):
            if agreed or self.context.now_ms() > until_ms:
                done(agreed)
            else:
                self.context.after(
                    self.call_ms() * 0.1, self.insist, request, state, kept, until_ms, done
                )

        self.mark(
            request.note,
            request.note.turn,
            state,
            self.me(),
            kept,
            request.route.affinity.keep_ms,
            answered,
            self.pins.get(request.note.session, {}),
        )

    def kept(self, answer):
        """An answer as the record keeps it: without the request's own id, and without its body
        where that is too large.
        """
        status, reason, headers, body = answer
        fits = len(body) <= ANSWER_BYTES
        return [
            status,
            bytes(reason),
            [
                [bytes(name), bytes(value)]
                for name, value in headers
                if bytes(name).lower() != b"attempt-id"
            ],
            body if fits else b"",
            int(fits),
        ]

    def forget(self, request):
        """The request is over here: requests that waited for it under the same key are looked at
        again.
        """
        note = request.note
        if self.live.get((note.session, note.key)) is request:
            del self.live[note.session, note.key]
        waiting, note.attached = note.attached, []
        for other in waiting:
            if other.answer is None:
                other.note.first = None
                self.carry(other)

    def conclude(self, request, state, answer):
        """Ends a request's part in the record without an answer to send: its client has gone, or
        another word was found.
        """
        note = request.note
        if note.settled or note.settling:
            return
        note.settled = True
        if state is None or not note.noted:
            self.forget(request)
            return
        self.insist(
            request,
            state,
            self.kept(answer) if answer is not None else None,
            self.context.now_ms() + self.call_ms() * 10,
            lambda agreed: self.forget(request),
        )

    def replay(self, request, entry):
        """The noted answer, under this request's own id."""
        status, reason, headers, body, whole = entry.answer
        if not whole:
            self.forwarder.own(request, 409, "this key was answered before, with more than is kept")
            return
        rows = [(bytes(name), bytes(value)) for name, value in headers]
        if request.attempt_id:
            rows.append((b"Attempt-Id", request.attempt_id))
        self.forwarder.finish(request, (status, bytes(reason), rows, bytes(body)))

    # an end in order

    def hand_on(self):
        """Before this proxy ends: others of its zone take the sessions that it holds."""
        heirs = [
            member
            for member in self.membership.members("proxy")
            if member.zone == self.membership.me.zone
            and member.address != self.membership.me.address
            and self.membership.reachable(member.address)
        ]
        if not heirs:
            return
        rows = {}
        for number, (session, hold) in enumerate(self.held.items()):
            rows.setdefault(heirs[number % len(heirs)].address, []).append(
                [session, hold.name, hold.record.number]
            )
        for heir, sessions in rows.items():
            self.switchboard.send(heir, wire.SESSION_HEIR, sessions)

    def on_heir(self, peer, body, reply):
        for session, name, number in body:
            if session not in self.held and session not in self.taking:
                self.taking[session] = []
                self.take(Note(session, "", "", name), number + 1, 0.0)

"""A registry's part in the sessions: it keeps the records of the groups it is in, on disk before it
answers.
"""

from stagevale import wire
from stagevale.affinity import FRESH, NOTED, UNKNOWN, Entry, Record, entry_from, record_from
from stagevale.ballots import majority

RETRY_SHARE = 0.2


class Group:
    """What this registry knows of one group and, as a member, its records."""

    __slots__ = ("version", "members", "before", "learned_version", "sealed", "records", "learning")

    def __init__(self):
        self.version = 0
        self.members = ()
        self.before = ()
        self.learned_version = 0
        self.sealed = 0
        self.records = {}
        self.learning = False


class SessionKeeper:
    """Takes, notes and marks for proxies; learns before it answers, and hands over what a newcomer
    should have.
    """

    __slots__ = (
        "context",
        "switchboard",
        "log",
        "groups",
        "loaded",
        "latest",
        "unsaved",
        "saving",
        "counts",
    )

    def __init__(self, context, switchboard, log):
        self.context = context
        self.switchboard = switchboard
        self.log = log
        self.groups = {}
        self.loaded = False
        self.latest = {}
        self.unsaved = []
        self.saving = False
        self.counts = {"taken": 0, "handedOver": 0, "noted": 0}
        for kind, handler in (
            (wire.SESSION_TAKE, self.on_take),
            (wire.SESSION_NOTE, self.on_note),
            (wire.SESSION_MARK, self.on_mark),
            (wire.SESSION_LOOK, self.on_look),
            (wire.SESSION_LEARN, self.on_learn),
            (wire.SESSION_READY, self.on_ready),
        ):
            switchboard.on(kind, handler)
        context.disk(log.load, self.on_loaded)

    def on_loaded(self, rows, failure):
        if failure is not None:
            self.context.log.error("sessions: the disk can't be read: %s; trying again.", failure)
            self.context.after(500, lambda: self.context.disk(self.log.load, self.on_loaded))
            return
        now_ms = self.context.now_ms()
        for row in rows or ():
            if row[0] == "group":
                group = self.groups.setdefault(row[1], Group())
                group.learned_version, group.sealed = row[2], row[3]
            else:
                self.groups.setdefault(row[1], Group()).records[row[2]] = record_from(
                    row[3], now_ms
                )
        self.loaded = True
        self.configure(self.latest)

    def save(self, row, done):
        """Brings a row to disk; `done()` once it is there. Rows that come meanwhile go together."""
        self.unsaved.append((row, done))
        if not self.saving:
            self.save_next()

    def save_next(self):
        if not self.unsaved:
            return
        batch, self.unsaved, self.saving = self.unsaved, [], True

        def saved(_, failure):
            self.saving = False
            if failure is not None:
                self.context.log.error("sessions: saving failed: %s.", failure)
                self.unsaved = batch + self.unsaved
                self.context.after(200, self.save_next)
                return
            for _, done in batch:
                if done is not None:
                    done()
            if not self.saving:
                self.save_next()

        whole = self.log.wants_whole()
        rows = self.everything() if whole else [row for row, _ in batch]
        self.context.disk(lambda: self.log.append(rows, whole), saved)

    def everything(self):
        now_ms = self.context.now_ms()
        rows = []
        for name, group in self.groups.items():
            rows.append(["group", name, group.learned_version, group.sealed])
            rows += [
                ["record", name, session, record.fields(now_ms)]
                for session, record in group.records.items()
            ]
        return rows

    # groups

    def configure(self, sessions):
        """Takes in the register's word on the groups."""
        self.latest = sessions
        if not self.loaded:
            return
        for name, (version, members, before) in sessions.items():
            group = self.groups.setdefault(name, Group())
            if version < group.version:
                continue
            group.version, group.members, group.before = version, tuple(members), tuple(before)
            if self.switchboard.address in members and group.learned_version < version:
                self.learn(name)
            elif self.switchboard.address not in members and not before:
                group.records = {}

    def learn(self, name):
        """Brings a group's records here: from a majority of the members before, who seal, or of
        those that are.
        """
        group = self.groups[name]
        if (
            group.learning
            or group.learned_version >= group.version
            or self.switchboard.address not in group.members
        ):
            return
        version = group.version
        if group.before == (FRESH,):
            self.learnt(name, version, [])
            return
        peers = group.before or group.members
        least = version - 1 if group.before else version
        group.learning = True
        got, waiting = [], set(peers)
        if self.switchboard.address in peers:
            waiting.discard(self.switchboard.address)
            if group.learned_version >= least:
                got.append({})

        def answered(peer, answer, failure):
            waiting.discard(peer)
            if failure is None and answer and answer[0] >= least:
                got.append(answer[1])
            if group.learning and group.version == version and len(got) >= majority(len(peers)):
                group.learning = False
                self.learnt(name, version, got)
            elif not waiting and group.learning:
                group.learning = False
                self.context.after(
                    self.context.settings.bounds.contact_ms * RETRY_SHARE / 2, self.learn, name
                )

        deadline_ms = self.context.settings.bounds.contact_ms * RETRY_SHARE
        for peer in list(waiting):
            self.switchboard.call(
                peer,
                wire.SESSION_LEARN,
                [name, version],
                deadline_ms,
                lambda answer, failure, peer=peer: answered(peer, answer, failure),
            )
        if not waiting:
            answered("", None, "nobody to ask")

    def learnt(self, name, version, got):
        group = self.groups[name]
        now_ms = self.context.now_ms()
        for records in got:
            for session, fields in records.items():
                self.record_of(group, session).join(record_from(fields, now_ms))
        for session, record in group.records.items():
            self.save(["record", name, session, record.fields(now_ms)], None)

        def saved():
            if group.version == version:
                group.learned_version = version
                self.context.log.info(
                    "sessions: group %s, version %d, is learned with %d records.",
                    name,
                    version,
                    len(group.records),
                )

        self.save(["group", name, version, group.sealed], saved)

    def on_learn(self, peer, body, reply):
        """A member of a later group asks: what was noted here is handed over, and nothing more is
        noted before.
        """
        name, version = body
        group = self.groups.get(name)
        if group is None or not self.loaded:
            reply([-1, {}])
            return
        now_ms = self.context.now_ms()

        def answer():
            reply(
                [
                    group.learned_version,
                    {session: record.fields(now_ms) for session, record in group.records.items()},
                ]
            )

        if version > group.version and version > group.sealed:
            group.sealed = version
            self.save(["group", name, group.learned_version, version], answer)
        else:
            answer()

    def on_ready(self, peer, body, reply):
        name, version = body
        group = self.groups.get(name)
        reply(int(group is not None and group.learned_version >= version))

    def able(self, name, version):
        """The group, where this registry may speak for it under this version."""
        group = self.groups.get(name)
        if (
            group is None
            or group.version != version
            or group.learned_version != version
            or group.sealed > version
            or self.switchboard.address not in group.members
            or group.before == (FRESH,)
        ):
            return None
        return group

    def record_of(self, group, session):
        record = group.records.get(session)
        if record is None:
            record = group.records[session] = Record()
        return record

    def kept(self, name, session, record, reply, answer):
        self.save(
            ["record", name, session, record.fields(self.context.now_ms())], lambda: reply(answer)
        )

    # sessions

    def on_take(self, peer, body, reply):
        """A proxy wants to hold a session under a higher version."""
        name, version, session, number, holder = body
        group = self.able(name, version)
        if group is None:
            reply([-1])
            return
        now_ms = self.context.now_ms()
        record = self.record_of(group, session)
        if (number, holder) <= record.version():
            reply([0, record.number])
            return
        self.counts["taken"] += 1
        former = record.holder
        if record.holder and record.holder != holder:
            self.counts["handedOver"] += 1
        record.number, record.holder = number, holder
        self.expire(record, now_ms)
        self.kept(name, session, record, reply, [1, record.fields(now_ms), former])

    def expire(self, record, now_ms):
        for key in [key for key, entry in record.requests.items() if entry.expires_ms <= now_ms]:
            del record.requests[key]

    def on_note(self, peer, body, reply):
        """The holder notes a request before it is offered."""
        name, version, session, number, holder, key, turn, fingerprint, by, keep_ms = body
        group = self.able(name, version)
        if group is None:
            reply([-1])
            return
        record = self.record_of(group, session)
        if (number, holder) != record.version():
            reply([0, record.number])
            return
        now_ms = self.context.now_ms()
        entry = record.requests.get(key)
        turn = (number, holder, turn)
        if entry is not None and entry.turn >= turn:
            reply([2, entry.fields(now_ms)])
            return
        self.counts["noted"] += 1
        record.requests[key] = Entry(turn, NOTED, fingerprint, by, None, now_ms + keep_ms)
        self.kept(name, session, record, reply, [1])

    def on_mark(self, peer, body, reply):
        """What became of a noted request; whoever holds the session by now."""
        name, version, session, key, fields, pins = body
        group = self.able(name, version)
        if group is None:
            reply([-1])
            return
        comer = entry_from(fields, self.context.now_ms())
        record = self.record_of(group, session)
        entry = record.requests.get(key)
        if entry is None or comer.rank() > entry.rank():
            record.requests[key] = comer
        record.pins.update(pins)
        self.kept(name, session, record, reply, [1])

    def on_look(self, peer, body, reply):
        """What is known of a session, without taking it."""
        name, version, session = body
        group = self.able(name, version)
        record = group.records.get(session) if group is not None else None
        reply(
            [
                0 if group is None else 1,
                record.fields(self.context.now_ms()) if record is not None else None,
            ]
        )

    def status(self):
        """Counts for the tools; no names of sessions."""
        requests = [
            entry
            for group in self.groups.values()
            for record in group.records.values()
            for entry in record.requests.values()
        ]
        return {
            **self.counts,
            "held": sum(len(group.records) for group in self.groups.values()),
            "unknown": sum(1 for entry in requests if entry.state == UNKNOWN),
            "groups": {
                name: {
                    "version": group.version,
                    "members": list(group.members),
                    "learned": group.learned_version >= group.version,
                }
                for name, group in self.groups.items()
                if self.switchboard.address in group.members
            },
        }

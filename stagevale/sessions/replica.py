"""A registry's part in the sessions: it keeps the records of the groups it is in, on disk before it
replies.
"""

import functools
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from stagevale.configuration.value import SessionGroup
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.rpc.transport import Reply, RpcTransport
from stagevale.runtime.context import Context
from stagevale.sessions.group_replica import GroupReplica
from stagevale.sessions.groups import NEW_GROUP
from stagevale.sessions.learn_call import SYNC_RETRY_SHARE, LearnCall, PageTurns
from stagevale.sessions.messages import (
    AcquireRequest,
    FindSessionsReply,
    FindSessionsRequest,
    ReadSessionRequest,
    RecordOutcomeRequest,
    ReplyCode,
    ReserveKeyRequest,
    SessionReply,
    SyncReply,
    SyncRequest,
)
from stagevale.sessions.record_pages import PageCursor, page_of
from stagevale.sessions.records import (
    AttemptId,
    KeyRecord,
    KeyState,
    LeaseVersion,
    SessionRecord,
)
from stagevale.sessions.session_id import without_route
from stagevale.sessions.session_store import SessionStore
from stagevale.storage.row_log_writer import Log

NOT_A_REPLICA = SessionReply(ReplyCode.NOT_A_REPLICA)


class OpenRecord(NamedTuple):
    """A session's record that may be read and written here.

    Attributes:
        group: the group that the session is in.
        session: its encoded identity, as records of this release have it.
        record: what is known of it.
    """

    group: GroupReplica
    session: str
    record: SessionRecord


def _attempt_of(request: ReserveKeyRequest) -> AttemptId:
    return AttemptId(request.number, request.holder, request.attempt_count)


class SessionReplica:
    """Keeps session records for proxies; learns before it replies, and hands over what a new member
    should have.

    Attributes:
        groups: by name.
        counts: for the tools.
        page_turns: who may ask for a further page of records.
    """

    __slots__ = (
        "context",
        "rpc",
        "groups",
        "counts",
        "page_turns",
        "_store",
        "_loaded",
        "_newest_groups",
    )

    def __init__(self, context: Context, rpc: RpcTransport, log: Log, key_log: Log) -> None:
        """Makes a replica, which reads its disk first.

        Args:
            context: of the daemon.
            rpc: likewise.
            log: of groups and sessions.
            key_log: of keys.
        """
        self.context = context
        self.rpc = rpc
        self.groups: dict[str, GroupReplica] = {}
        self.counts = {"taken": 0, "handedOver": 0, "noted": 0}
        self._store = SessionStore(context, log, key_log, self.groups)
        self.page_turns = PageTurns(context)
        self._loaded = False
        self._newest_groups: Mapping[str, SessionGroup] = {}
        kind = MessageKind
        rpc.handle(kind.SESSION_ACQUIRE, AcquireRequest, self._on_acquire)
        rpc.handle(kind.SESSION_RESERVE_KEY, ReserveKeyRequest, self._on_reserve_key)
        rpc.handle(kind.SESSION_RECORD_OUTCOME, RecordOutcomeRequest, self._on_record_outcome)
        rpc.handle(kind.SESSION_READ, ReadSessionRequest, self._on_read)
        rpc.handle(kind.SESSION_FIND, FindSessionsRequest, self._on_find)
        rpc.handle(kind.SESSION_SYNC, SyncRequest, self._on_sync)
        rpc.handle(kind.SESSION_SYNC_STATUS, SyncRequest, self._on_sync_status)
        self._store.load(self._on_loaded)

    # groups

    def _on_loaded(self) -> None:
        self._loaded = True
        self.configure(self._newest_groups)

    def configure(self, groups: Mapping[str, SessionGroup]) -> None:
        """Takes in the newest session groups."""
        self._newest_groups = groups
        if not self._loaded:
            return
        for name, newest in groups.items():
            group = self.groups.setdefault(name, GroupReplica())
            if newest.version < group.version:
                continue
            group.version = newest.version
            group.members = newest.members
            group.former_members = newest.former_members
            if self._is_member(group):
                if group.learned_version < group.version:
                    self._learn(name)
            elif not group.former_members:
                group.clear()

    def _is_member(self, group: GroupReplica) -> bool:
        return self.rpc.address in group.members

    def _learn(self, name: str) -> None:
        """Brings a group's records here: from a majority of the former members, who seal their
        version, or of the present ones.
        """
        group = self.groups[name]
        if group.learning or group.learned_version >= group.version or not self._is_member(group):
            return
        if group.former_members == NEW_GROUP:
            self.finish_learning(name, group.version)
            return
        group.learning = True
        LearnCall(self, name, group).start()

    def wants_to_learn(self, name: str, version: int) -> bool:
        """True while this version of a group is the newest, and this registry a member."""
        group = self.groups[name]
        return group.version == version and self._is_member(group)

    def retry_learning(self, name: str) -> None:
        """The group has changed while it was learned: it is learned anew after a while."""
        self.groups[name].learning = False
        contact_ms = self.context.settings.bounds.contact_ms
        self.context.call_later(contact_ms * SYNC_RETRY_SHARE, self._learn, name)

    def take_page(
        self, name: str, records: Mapping[str, Any], on_saved: Callable[[], object]
    ) -> None:
        """Takes in records of a group that another member has; what is new is saved.

        Args:
            name: of the group.
            records: fields of records by session.
            on_saved: called once all of it is on disk.
        """
        group = self.groups[name]
        now_ms = self.context.now_ms()
        changed: dict[str, SessionRecord] = {}
        for encoded, fields in records.items():
            session = without_route(encoded)
            incoming = SessionRecord.from_fields(fields, now_ms)
            record = group.record_of(session)
            new_keys = {
                key: known
                for key, known in incoming.keys.items()
                if key not in record.keys or known.goes_over(record.keys[key])
            }
            record.merge(incoming)
            earlier = changed[session].keys if session in changed else {}
            changed[session] = SessionRecord(
                record.lease, record.endpoints, {**earlier, **new_keys}
            )
        self._store.save_all(name, changed, on_saved)

    def finish_learning(self, name: str, version: int) -> None:
        """A majority has handed its records over, and they are on disk."""
        group = self.groups[name]
        group.learning = False

        def learned() -> None:
            if group.version == version:
                group.learned_version = version
                self.context.log.info(
                    "sessions: group %s, version %d, is learned with %d records.",
                    name,
                    version,
                    len(group.records),
                )

        self._store.save_group(name, version, group.sealed_version, learned)

    def _on_sync(self, peer: str, request: SyncRequest, reply: Reply) -> None:
        """A member of a later group asks: what is written here is handed over, and nothing more is
        written before.
        """
        group = self.groups.get(request.group)
        if group is None or not self._loaded:
            reply(message_body(SyncReply(-1, {})))
            return

        def answer() -> None:
            reply(message_body(self._sync_reply(group, request)))

        version = request.group_version
        if version > group.version and version > group.sealed_version:
            group.sealed_version = version
            self._store.save_group(request.group, group.learned_version, version, answer)
        else:
            answer()

    def _sync_reply(self, group: GroupReplica, request: SyncRequest) -> SyncReply:
        """The page that is asked for, or all records for a release that knows no pages."""
        now_ms = self.context.now_ms()
        if request.first_session is None:
            records = {
                session: record.to_fields(now_ms) for session, record in group.records.items()
            }
            return SyncReply(group.learned_version, records)
        cursor = PageCursor(request.first_session, request.after_key or "")
        page = page_of(group.records, cursor, now_ms)
        following = page.following or (None, None)
        return SyncReply(group.learned_version, page.records, *following)

    def _on_sync_status(self, peer: str, request: SyncRequest, reply: Reply) -> None:
        group = self.groups.get(request.group)
        learned = group is not None and group.learned_version >= request.group_version
        reply(int(learned))

    def _replica_for(self, name: str, version: int) -> GroupReplica | None:
        """The group, where this registry may speak for it under this version."""
        group = self.groups.get(name)
        if group is None or not self._is_member(group) or not group.is_complete(version):
            return None
        return group

    def _open(
        self, request: AcquireRequest | ReserveKeyRequest | RecordOutcomeRequest, reply: Reply
    ) -> OpenRecord | None:
        """The record of a request's session; None, and a reply, where this registry may not speak
        for its group.
        """
        group = self._replica_for(request.group, request.group_version)
        if group is None:
            reply(message_body(NOT_A_REPLICA))
            return None
        session = without_route(request.session)
        return OpenRecord(group, session, group.record_of(session))

    # sessions

    def _on_acquire(self, peer: str, request: AcquireRequest, reply: Reply) -> None:
        """A proxy wants the lease of a session under a higher version."""
        opened = self._open(request, reply)
        if opened is None:
            return
        _, session, record = opened
        lease = LeaseVersion(request.number, request.holder)
        if lease <= record.lease:
            reply(message_body(SessionReply(ReplyCode.STALE_LEASE, record.lease.number)))
            return
        former_holder = record.lease.holder
        self.counts["taken"] += 1
        if former_holder not in ("", lease.holder):
            self.counts["handedOver"] += 1
        record.lease = lease
        keys = () if request.without_keys else None
        fields = record.to_fields(self.context.now_ms(), keys)
        answer = SessionReply(ReplyCode.DONE, fields, former_holder)
        replied = functools.partial(reply, message_body(answer))
        self._store.save_session(request.group, session, record, replied)

    def _on_reserve_key(self, peer: str, request: ReserveKeyRequest, reply: Reply) -> None:
        """The holder of the lease reserves a key before the request is sent."""
        opened = self._open(request, reply)
        if opened is None:
            return
        _, session, record = opened
        if LeaseVersion(request.number, request.holder) != record.lease:
            reply(message_body(SessionReply(ReplyCode.STALE_LEASE, record.lease.number)))
            return
        now_ms = self.context.now_ms()
        blocking = self._blocking_record(opened, request, now_ms)
        if blocking is not None:
            fields = blocking.to_fields(now_ms)
            reply(message_body(SessionReply(ReplyCode.ALREADY_RESERVED, fields)))
            return
        if self._store.is_full():
            # What was promised stays; nothing new is promised.
            reply(message_body(SessionReply(ReplyCode.FULL)))
            return
        self.counts["noted"] += 1
        reserved = record.keys[request.key] = KeyRecord(
            _attempt_of(request),
            KeyState.RESERVED,
            request.fingerprint,
            request.reserved_by,
            None,
            now_ms + request.keep_ms,
        )
        replied = functools.partial(reply, message_body(SessionReply(ReplyCode.DONE)))
        self._store.save_key(request.group, session, request.key, reserved, replied)

    def _blocking_record(
        self, opened: OpenRecord, request: ReserveKeyRequest, now_ms: float
    ) -> KeyRecord | None:
        """What is known of a key that forbids to reserve it, or None.

        A holder of a release before has seen all keys with its lease, so that only what was reserved
        since then forbids it.
        """
        group, session, record = opened
        known = record.keys.get(request.key)
        if known is not None and known.expires_ms <= now_ms:
            known = None
        if known is not None and known.attempt >= _attempt_of(request):
            return known
        if known is not None and request.if_unknown and known.may_have_run(now_ms):
            return known
        return group.key_of_other_release(session, request.key, request.fingerprint, now_ms)

    def _on_record_outcome(self, peer: str, request: RecordOutcomeRequest, reply: Reply) -> None:
        """What became of a reserved key, whoever holds the lease by now."""
        opened = self._open(request, reply)
        if opened is None:
            return
        _, session, record = opened
        outcome = KeyRecord.from_fields(request.record, self.context.now_ms())
        record.merge_key(request.key, outcome)
        if any(record.endpoints.get(service) != id for service, id in request.endpoints.items()):
            record.endpoints.update(request.endpoints)
            self._store.save_session(request.group, session, record)
        replied = functools.partial(reply, message_body(SessionReply(ReplyCode.DONE)))
        known = record.keys[request.key]
        self._store.save_key(request.group, session, request.key, known, replied)

    def _on_read(self, peer: str, request: ReadSessionRequest, reply: Reply) -> None:
        """What is known of a session or of one of its keys, without acquiring its lease."""
        group = self._replica_for(request.group, request.group_version)
        session = without_route(request.session)
        record = group.records.get(session) if group is not None else None
        keys = None if request.key is None else (request.key,)
        fields = record.to_fields(self.context.now_ms(), keys) if record is not None else None
        reply([0 if group is None else 1, fields])

    def _on_find(self, peer: str, request: FindSessionsRequest, reply: Reply) -> None:
        """All sessions that bear a name, for the tools."""
        group = self._replica_for(request.group, request.group_version)
        if group is None:
            reply(FindSessionsReply(ReplyCode.NOT_A_REPLICA, {}))
            return
        now_ms = self.context.now_ms()
        records = {id: group.records[id].to_fields(now_ms) for id in group.ids_of(request.name)}
        reply(FindSessionsReply(ReplyCode.DONE, records))

    def status(self) -> dict[str, Any]:
        """Counts for the tools; no names of sessions."""
        keys = [
            key
            for group in self.groups.values()
            for record in group.records.values()
            for key in record.keys.values()
        ]
        return {
            **self.counts,
            "held": sum(len(group.records) for group in self.groups.values()),
            "unknown": sum(1 for key in keys if key.state == KeyState.UNKNOWN),
            "groups": {
                name: {
                    "version": group.version,
                    "members": list(group.members),
                    "learned": group.learned_version >= group.version,
                }
                for name, group in self.groups.items()
                if self._is_member(group)
            },
        }

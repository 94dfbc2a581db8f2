"""Sessions and keys on a registry's disk."""

from collections.abc import Callable, Mapping

from stagevale.runtime.context import Context
from stagevale.sessions.expiry import ExpiryQueue
from stagevale.sessions.group_replica import GroupReplica
from stagevale.sessions.records import KeyRecord, SessionRecord
from stagevale.sessions.session_id import without_route
from stagevale.sessions.stored_rows import (
    GROUP_ROW,
    KEY_ROW,
    Row,
    group_row,
    key_row,
    lease_row,
)
from stagevale.storage.row_log import Rows
from stagevale.storage.row_log_writer import Log, RowLogWriter

# How often expired keys are dropped.
EXPIRY_INTERVAL_MS = 250.0
# The share of a process's memory that keys and their answers may take.
KEYS_SHARE = 0.65
MB = 1024 * 1024

OnSaved = Callable[[], object]


class SessionStore:
    """Loads and saves what `groups` hold, and drops keys whose time is over."""

    __slots__ = ("context", "groups", "_log", "_key_log", "_expiry", "_keys_to_move")

    def __init__(
        self, context: Context, log: Log, key_log: Log, groups: dict[str, GroupReplica]
    ) -> None:
        """Makes a store.

        Args:
            context: of the daemon.
            log: of groups and sessions.
            key_log: of keys.
            groups: what is kept, by name.
        """
        self.context = context
        self.groups = groups
        self._log = RowLogWriter(context, log, self._session_rows, "sessions")
        self._key_log = RowLogWriter(context, key_log, self._key_rows, "session keys")
        self._expiry = ExpiryQueue()
        # Rows of keys that still stand only in the log of sessions, where a release before kept them.
        self._keys_to_move: Rows = []

    # loading

    def load(self, on_loaded: Callable[[], object]) -> None:
        """Reads both logs."""

        def sessions_loaded(rows: Rows) -> None:
            self._read(rows)
            self._keys_to_move = self._key_rows()
            self._key_log.load(keys_loaded)

        def keys_loaded(rows: Rows) -> None:
            self._read(rows)
            self._expect_expiry()
            self._move_keys()
            self.context.call_later(EXPIRY_INTERVAL_MS, self._drop_expired)
            on_loaded()

        self._log.load(sessions_loaded)

    def _read(self, rows: Rows) -> None:
        for kind, name, *fields in rows:
            group = self.groups.setdefault(name, GroupReplica())
            if kind == GROUP_ROW:
                group.learned_version, group.sealed_version = fields
            elif kind == KEY_ROW:
                self._read_key(group, fields)
            else:
                self._read_session(group, fields)

    def _read_key(self, group: GroupReplica, fields: Row) -> None:
        session, key, record = fields
        loaded = KeyRecord.from_fields(record, self.context.now_ms())
        group.record_of(without_route(session)).merge_key(key, loaded)

    def _read_session(self, group: GroupReplica, fields: Row) -> None:
        session, content = fields
        loaded = SessionRecord.from_fields(content, self.context.now_ms())
        group.record_of(without_route(session)).merge(loaded)

    def _move_keys(self) -> None:
        """Brings keys that a release before kept with their sessions to the log of keys."""
        if not self._keys_to_move:
            return
        *first, last = self._keys_to_move
        for row in first:
            self._key_log.save(row)
        self._key_log.save(last, self._keys_to_move.clear)

    # what there is

    def _session_rows(self) -> Rows:
        now_ms = self.context.now_ms()
        rows = []
        for name, group in self.groups.items():
            rows.append(group_row(name, group.learned_version, group.sealed_version))
            rows += [
                lease_row(name, session, record, now_ms)
                for session, record in group.records.items()
            ]
        return rows + self._keys_to_move

    def _key_rows(self) -> Rows:
        now_ms = self.context.now_ms()
        return [
            key_row(name, session, key, record, now_ms)
            for name, group in self.groups.items()
            for session, kept in group.records.items()
            for key, record in kept.keys.items()
        ]

    # saving

    def save_group(self, name: str, learned_version: int, sealed: int, on_saved: OnSaved) -> None:
        """Saves how far a group is."""
        self._log.save(group_row(name, learned_version, sealed), on_saved)

    def save_session(
        self, name: str, session: str, record: SessionRecord, on_saved: OnSaved | None = None
    ) -> None:
        """Saves a session without its keys."""
        self._log.save(lease_row(name, session, record, self.context.now_ms()), on_saved)

    def save_key(
        self,
        name: str,
        session: str,
        key: str,
        record: KeyRecord,
        on_saved: OnSaved | None = None,
    ) -> None:
        """Saves what is known of a key."""
        self._expiry.add(name, session, key, record)
        row = key_row(name, session, key, record, self.context.now_ms())
        self._key_log.save(row, on_saved)

    def save_all(
        self, name: str, records: Mapping[str, SessionRecord], on_saved: Callable[[], object]
    ) -> None:
        """Saves sessions with their keys; `on_saved()` is called once all keys are there."""
        keys = [
            (session, key, known)
            for session, record in records.items()
            for key, known in record.keys.items()
        ]
        for session, record in records.items():
            self.save_session(name, session, record)
        for session, key, known in keys[:-1]:
            self.save_key(name, session, key, known)
        if keys:
            # Rows are written in order: with the last one all are there.
            session, key, known = keys[-1]
            self.save_key(name, session, key, known, on_saved)
        else:
            on_saved()

    # bounds

    def is_full(self) -> bool:
        """True while the keys that are kept take as much memory as they may."""
        most_bytes = self.context.settings.memory_mb * MB * KEYS_SHARE
        return self._expiry.kept_bytes >= most_bytes

    # dropping

    def _expect_expiry(self) -> None:
        """Notes when the keys that were loaded expire."""
        for name, group in self.groups.items():
            for session, record in group.records.items():
                for key, known in record.keys.items():
                    self._expiry.add(name, session, key, known)

    def _drop_expired(self) -> None:
        self.context.call_later(EXPIRY_INTERVAL_MS, self._drop_expired)
        now_ms = self.context.now_ms()
        for due in self._expiry.take_due(now_ms):
            group = self.groups.get(due.group)
            record = group.records.get(due.session) if group is not None else None
            known = record.keys.get(due.key) if record is not None else None
            if record is not None and known is not None and known.expires_ms <= now_ms:
                del record.keys[due.key]

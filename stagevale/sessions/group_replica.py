"""What a registry knows of one session group, and the records that it keeps as a member."""

from collections.abc import Collection

from stagevale.sessions.groups import NEW_GROUP
from stagevale.sessions.records import KeyRecord, KeyState, SessionRecord
from stagevale.sessions.session_id import is_scoped, name_of


class GroupReplica:
    """What this registry knows of one group and, as a member, its records.

    Attributes:
        version, members, former_members: as in `SessionGroup`.
        learned_version: the version whose records are complete here.
        sealed_version: a later version has begun to learn from here: nothing more is written under
            earlier ones.
        records: by encoded identity of the session.
        learning: learning is under way.
    """

    __slots__ = (
        "version",
        "members",
        "former_members",
        "learned_version",
        "sealed_version",
        "records",
        "learning",
        "_ids_by_name",
    )

    def __init__(self) -> None:
        self.version = 0
        self.members: tuple[str, ...] = ()
        self.former_members: tuple[str, ...] = ()
        self.learned_version = 0
        self.sealed_version = 0
        self.records: dict[str, SessionRecord] = {}
        self.learning = False
        self._ids_by_name: dict[str, set[str]] = {}

    def record_of(self, session: str) -> SessionRecord:
        """A session's record; a new one where there is none."""
        record = self.records.get(session)
        if record is None:
            record = self.records[session] = SessionRecord()
            self._ids_by_name.setdefault(name_of(session), set()).add(session)
        return record

    def ids_of(self, name: str) -> Collection[str]:
        """The encoded identities of all sessions that bear a name."""
        return self._ids_by_name.get(name, ())

    def clear(self) -> None:
        """Drops all records."""
        self.records = {}
        self._ids_by_name = {}

    def key_of_other_release(
        self, session: str, key: str, fingerprint: str, now_ms: float
    ) -> KeyRecord | None:
        """A key that the other release has reserved, where it may be the same request.

        Records of release 523ef46 and before don't say whose they are: the key may have run, so it
        must not run again, and its answer may be another tenant's, so it goes to nobody.

        Args:
            session: the encoded identity under which the key is to be reserved.
            key: the key.
            fingerprint: of the request.
            now_ms: the present.
        """
        name = name_of(session)
        others = [name] if is_scoped(session) else [id for id in self.ids_of(name) if id != session]
        for other in others:
            record = self.records.get(other)
            known = record.keys.get(key) if record is not None else None
            if (
                known is not None
                and known.expires_ms > now_ms
                and known.state != KeyState.NOT_RUN
                and known.fingerprint == fingerprint
            ):
                return known.without_answer()
        return None

    def is_complete(self, version: int) -> bool:
        """True where records under this version are complete here and may be written."""
        return (
            self.version == version
            and self.learned_version == version
            and self.sealed_version <= version
            and self.former_members != NEW_GROUP
        )

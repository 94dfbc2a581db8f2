"""What proxies and registries say to each other about sessions.

Fields are read in the order in which they stand here; order and types are part of the protocol.
Records travel as the lists that `records` makes of them.
"""

import enum
from typing import Any, NamedTuple

from stagevale.sessions.record_pages import PageCursor


class ReplyCode(enum.IntEnum):
    """How a replica replies to a request about a session."""

    NOT_A_REPLICA = -1
    STALE_LEASE = 0
    DONE = 1
    ALREADY_RESERVED = 2
    FULL = 3


class AcquireRequest(NamedTuple):
    """A proxy asks for the lease of a session under a higher version.

    Attributes:
        without_keys: 1 where the proxy asks for keys one by one; releases before it want the
            records of all keys with the lease.
    """

    group: str
    group_version: int
    session: str
    number: int
    holder: str
    without_keys: int | None = None


class ReserveKeyRequest(NamedTuple):
    """The holder of a session's lease reserves a key before the request is sent.

    Attributes:
        if_unknown: 1 where the holder hasn't seen what the replicas know of the key: one that knows
            of an attempt that may have run replies with it and reserves nothing.
    """

    group: str
    group_version: int
    session: str
    number: int
    holder: str
    key: str
    attempt_count: int
    fingerprint: str
    reserved_by: str
    keep_ms: float
    if_unknown: int | None = None


class RecordOutcomeRequest(NamedTuple):
    """What became of a reserved key, whoever holds the lease by now."""

    group: str
    group_version: int
    session: str
    key: str
    record: list[Any]
    endpoints: dict[str, Any]


class ReadSessionRequest(NamedTuple):
    """Asks what is known of a session, without acquiring its lease.

    Attributes:
        key: the only key whose record is wanted; None for all.
    """

    group: str
    group_version: int
    session: str
    key: str | None = None


class FindSessionsRequest(NamedTuple):
    """Asks for all sessions of a group that bear a name, whatever their tenant and host."""

    group: str
    group_version: int
    name: str


class FindSessionsReply(NamedTuple):
    """The sessions that bear a name.

    Attributes:
        code: DONE, or NOT_A_REPLICA.
        records: fields of records by encoded identity.
    """

    code: int
    records: dict[str, Any]


class SessionReply(NamedTuple):
    """A replica's reply.

    Attributes:
        code: a ReplyCode; for a read 1 where the replica may speak for the group.
        content: the session's record, the key's record, or the number of a higher lease.
        former_holder: who held the lease before; empty for nobody.
    """

    code: int
    content: Any = None
    former_holder: str | None = None


class SyncRequest(NamedTuple):
    """A registry asks for records of a group, or whether they have been learned.

    Attributes:
        first_session, after_key: a `PageCursor`: where the page begins that is wanted; None where
            all records are, as releases before ask.
    """

    group: str
    group_version: int
    first_session: int | None = None
    after_key: str | None = None


class SyncReply(NamedTuple):
    """The records of a group, or a page of them.

    Attributes:
        learned_version: the version of the group whose records are complete here; negative for
            none.
        records: fields of records by session.
        next_session, next_key: where the next page begins; None where there is none.
    """

    learned_version: int
    records: dict[str, Any]
    next_session: int | None = None
    next_key: str | None = None

    def following(self) -> PageCursor | None:
        """Where the next page begins; None where there is none."""
        if self.next_session is None:
            return None
        return PageCursor(self.next_session, self.next_key or "")


class SuccessorRow(NamedTuple):
    """A session that a proxy which shuts down leaves to another: name, group, lease number."""

    session: str
    group: str
    number: int

"""What is known of a session: who holds its lease, its endpoints, its requests by key."""

import enum
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple


class KeyState(enum.IntEnum):
    """What is known of an at-most-once request under its idempotency key; it only ever rises
    within one attempt.
    """

    RESERVED = 0
    UNKNOWN = 1
    NOT_RUN = 2
    ANSWERED = 3

    @property
    def label(self) -> str:
        """The state as operators are shown it."""
        return LABELS[self]


LABELS = {
    KeyState.RESERVED: "under way",
    KeyState.UNKNOWN: "unknown",
    KeyState.NOT_RUN: "did not run",
    KeyState.ANSWERED: "answered",
}


class LeaseVersion(NamedTuple):
    """The version of a session's lease: a number that rises with each holder, and the holder."""

    number: int
    holder: str


NO_LEASE = LeaseVersion(0, "")


class AttemptId(NamedTuple):
    """One attempt at a key: the version of the lease under which it was reserved, and a number.

    Who reserves anew has seen a majority's records, so an earlier attempt that it didn't see was
    never reserved by a majority and can't be any more.
    """

    number: int
    holder: str
    sequence: int


class KeyRecord:
    """One at-most-once request under its key.

    Attributes:
        attempt: a later one goes over an earlier one.
        state: what is known of it; a later state goes over an earlier one within an attempt.
        fingerprint: of the request: the same key with another one is another request.
        reserved_by: the proxy that reserved the key, `address#uid`.
        answer: fields of the stored answer, or None.
        expires_ms: when the record is dropped, by this daemon's monotonic clock.
    """

    __slots__ = ("attempt", "state", "fingerprint", "reserved_by", "answer", "expires_ms")

    def __init__(
        self,
        attempt: AttemptId,
        state: KeyState,
        fingerprint: str,
        reserved_by: str,
        answer: list[Any] | None,
        expires_ms: float,
    ) -> None:
        self.attempt = attempt
        self.state = state
        self.fingerprint = fingerprint
        self.reserved_by = reserved_by
        self.answer = answer
        self.expires_ms = expires_ms

    def without_answer(self) -> "KeyRecord":
        """The same attempt, of which only is known that it may have run."""
        return KeyRecord(
            self.attempt,
            KeyState.UNKNOWN,
            self.fingerprint,
            self.reserved_by,
            None,
            self.expires_ms,
        )

    def may_have_run(self, now_ms: float) -> bool:
        """True while this record forbids another attempt at its key."""
        return self.expires_ms > now_ms and self.state != KeyState.NOT_RUN

    def goes_over(self, known: "KeyRecord") -> bool:
        """True where this record, and not the one that is known, tells what became of the key.

        At most one attempt runs. What is said of one attempt is told apart by its state; an answer
        goes over other attempts, and one that didn't run says nothing of another that may have.
        Attempts of releases up to 4dd6197 are numbered by route, so that two may bear one number.
        """
        if self.attempt == known.attempt and self.fingerprint == known.fingerprint:
            return self.state > known.state
        if known.state == KeyState.ANSWERED or self.state == KeyState.ANSWERED:
            return known.state != KeyState.ANSWERED or (
                self.state == KeyState.ANSWERED and self.attempt > known.attempt
            )
        if (self.state == KeyState.NOT_RUN) != (known.state == KeyState.NOT_RUN):
            return known.state == KeyState.NOT_RUN
        return self.attempt > known.attempt

    def to_fields(self, now_ms: float) -> list[Any]:
        """The record for a message or the disk; what is left of its time travels."""
        return [
            list(self.attempt),
            self.state,
            self.fingerprint,
            self.reserved_by,
            self.answer,
            int(self.expires_ms - now_ms),
        ]

    @classmethod
    def from_fields(cls, fields: list[Any], now_ms: float) -> "KeyRecord":
        """A record out of a message or from disk.

        Raises:
            ValueError, TypeError, IndexError: the fields have another shape.
        """
        attempt, state, fingerprint, reserved_by, answer, left_ms = fields
        return cls(
            AttemptId(int(attempt[0]), attempt[1], int(attempt[2])),
            KeyState(int(state)),
            fingerprint,
            reserved_by,
            answer,
            now_ms + left_ms,
        )


class SessionRecord:
    """A session.

    Attributes:
        lease: the version of its lease.
        endpoints: the endpoint that the session keeps to, by service.
        keys: its at-most-once requests, by idempotency key.
    """

    __slots__ = ("lease", "endpoints", "keys")

    def __init__(
        self,
        lease: LeaseVersion = NO_LEASE,
        endpoints: Mapping[str, str] | None = None,
        keys: Mapping[str, KeyRecord] | None = None,
    ) -> None:
        self.lease = lease
        self.endpoints = dict(endpoints or {})
        self.keys = dict(keys or {})

    def to_fields(self, now_ms: float, keys: Collection[str] | None = None) -> list[Any]:
        """The record for a message or the disk, without expired keys.

        Args:
            now_ms: the present.
            keys: those that are wanted; None for all.
        """
        wanted = self.keys if keys is None else [key for key in keys if key in self.keys]
        return [
            self.lease.number,
            self.lease.holder,
            self.endpoints,
            {
                key: self.keys[key].to_fields(now_ms)
                for key in wanted
                if self.keys[key].expires_ms > now_ms
            },
        ]

    @classmethod
    def from_fields(cls, fields: list[Any], now_ms: float) -> "SessionRecord":
        """A record out of a message or from disk.

        Raises:
            ValueError, TypeError, IndexError: the fields have another shape.
        """
        number, holder, endpoints, keys = fields
        return cls(
            LeaseVersion(int(number), holder),
            endpoints,
            {key: KeyRecord.from_fields(row, now_ms) for key, row in keys.items()},
        )

    def merge_replies(self, contents: Iterable[list[Any] | None], now_ms: float) -> None:
        """Takes in what replicas have replied; None stands for one that has no record.

        Raises:
            ValueError, TypeError, IndexError: the fields have another shape.
        """
        for fields in contents:
            if fields is not None:
                self.merge(SessionRecord.from_fields(fields, now_ms))

    def merge(self, other: "SessionRecord") -> None:
        """Takes in what another replica, or a later row of the log, knows of the session."""
        if other.lease >= self.lease:
            self.lease = other.lease
            self.endpoints = {**self.endpoints, **other.endpoints}
        else:
            self.endpoints = {**other.endpoints, **self.endpoints}
        for key, record in other.keys.items():
            self.merge_key(key, record)

    def merge_key(self, key: str, record: KeyRecord) -> None:
        """Takes in what is known of a key, where that is newer."""
        known = self.keys.get(key)
        if known is None or record.goes_over(known):
            self.keys[key] = record

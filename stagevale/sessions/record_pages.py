"""A group's records in pages, for a member that learns them."""

import heapq
import itertools
from collections.abc import Mapping
from typing import Any, NamedTuple

from stagevale.sessions.records import KeyRecord, SessionRecord
from stagevale.sessions.stored_answer import StoredAnswer

# A page ends with the session or key with which it has so many, or so many bytes of answers: encoding
# one takes about a millisecond, in which nothing else is done.
PAGE_ITEMS = 12
PAGE_BYTES = 64 * 1024


class PageCursor(NamedTuple):
    """Where a page begins.

    Attributes:
        session: the number of its first session, in the order in which the group met them.
        after_key: of that session, keys up to this one were in an earlier page; empty for none.
    """

    session: int
    after_key: str


FIRST_PAGE = PageCursor(0, "")


class RecordPage(NamedTuple):
    """Some of a group's records.

    Attributes:
        records: fields of records by session.
        following: where the next page begins; None for the last page.
    """

    records: dict[str, Any]
    following: PageCursor | None


class _Room:
    """What a page still has room for."""

    __slots__ = ("items", "bytes")

    def __init__(self) -> None:
        self.items = PAGE_ITEMS
        self.bytes = PAGE_BYTES

    def is_used(self) -> bool:
        return self.items <= 0 or self.bytes <= 0

    def take(self, record: KeyRecord) -> None:
        self.items -= 1
        if record.answer:
            self.bytes -= len(StoredAnswer(*record.answer).body)


def page_of(records: Mapping[str, SessionRecord], cursor: PageCursor, now_ms: float) -> RecordPage:
    """The page that begins at a cursor.

    Records that are written meanwhile may be missed: they are in the pages of another member, since
    a majority has them.

    Args:
        records: the group's, in the order in which it met them; none is ever taken out.
        cursor: where to begin.
        now_ms: the present; expired keys stay away.
    """
    room = _Room()
    taken: dict[str, Any] = {}
    sessions = itertools.islice(records.items(), cursor.session, None)
    for number, (session, record) in enumerate(sessions, cursor.session):
        after_key = cursor.after_key if number == cursor.session else ""
        room.items -= 1
        keys: list[str] = []
        for key in _next_keys(record, after_key, now_ms):
            if room.is_used():
                break
            room.take(record.keys[key])
            keys.append(key)
        taken[session] = record.to_fields(now_ms, keys)
        last_key = keys[-1] if keys else after_key
        if _next_keys(record, last_key, now_ms):
            return RecordPage(taken, PageCursor(number, last_key))
        if room.is_used():
            is_last = number + 1 == len(records)
            return RecordPage(taken, None if is_last else PageCursor(number + 1, ""))
    return RecordPage(taken, None)


def _next_keys(record: SessionRecord, after_key: str, now_ms: float) -> list[str]:
    """The first keys of a session behind one of them, as many as a page may have."""
    later = (
        key for key, known in record.keys.items() if key > after_key and known.expires_ms > now_ms
    )
    return heapq.nsmallest(PAGE_ITEMS, later)

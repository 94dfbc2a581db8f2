"""When keys expire: a heap, so that dropping them costs those that are due, not all."""

import heapq
from typing import NamedTuple

from stagevale.sessions.records import KeyRecord
from stagevale.sessions.stored_answer import StoredAnswer


class ExpiringKey(NamedTuple):
    """A key, when its record was to expire at the time it was noted, and the size of its answer."""

    expires_ms: float
    group: str
    session: str
    key: str
    answer_bytes: int


class ExpiryQueue:
    """The keys that a registry keeps, by the time they expire.

    Attributes:
        answer_bytes: the bodies of all answers that are kept; one that was noted twice counts twice.
    """

    __slots__ = ("answer_bytes", "_heap")

    def __init__(self) -> None:
        self.answer_bytes = 0
        self._heap: list[ExpiringKey] = []

    def add(self, group: str, session: str, key: str, record: KeyRecord) -> None:
        """Notes a key; one whose record is replaced is noted again."""
        size = len(StoredAnswer(*record.answer).body) if record.answer else 0
        self.answer_bytes += size
        heapq.heappush(self._heap, ExpiringKey(record.expires_ms, group, session, key, size))

    def take_due(self, now_ms: float) -> list[ExpiringKey]:
        """The keys whose time has come; whoever drops them looks whether they were noted again."""
        due = []
        while self._heap and self._heap[0].expires_ms <= now_ms:
            expired = heapq.heappop(self._heap)
            self.answer_bytes -= expired.answer_bytes
            due.append(expired)
        return due

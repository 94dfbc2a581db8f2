"""When keys expire: a heap, so that dropping them costs those that are due, not all."""

import heapq
from typing import NamedTuple

from stagevale.sessions.records import KeyRecord
from stagevale.sessions.stored_answer import StoredAnswer

# What a registry's memory grew by for each key, beside the answer's body, was 1.9 KB; a key is noted
# with its reservation and with its outcome.
NOTE_BYTES = 950


class ExpiringKey(NamedTuple):
    """A key, when its record was to expire at the time it was noted, and what it takes."""

    expires_ms: float
    group: str
    session: str
    key: str
    size: int


class ExpiryQueue:
    """The keys that a registry keeps, by the time they expire.

    Attributes:
        kept_bytes: about the memory that they take.
    """

    __slots__ = ("kept_bytes", "_heap")

    def __init__(self) -> None:
        self.kept_bytes = 0
        self._heap: list[ExpiringKey] = []

    def add(self, group: str, session: str, key: str, record: KeyRecord) -> None:
        """Notes a key; one whose record is replaced is noted again."""
        size = NOTE_BYTES + (len(StoredAnswer(*record.answer).body) if record.answer else 0)
        self.kept_bytes += size
        heapq.heappush(self._heap, ExpiringKey(record.expires_ms, group, session, key, size))

    def take_due(self, now_ms: float) -> list[ExpiringKey]:
        """The keys whose time has come; whoever drops them looks whether they were noted again."""
        due = []
        while self._heap and self._heap[0].expires_ms <= now_ms:
            expired = heapq.heappop(self._heap)
            self.kept_bytes -= expired.size
            due.append(expired)
        return due

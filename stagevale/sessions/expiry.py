"""When keys expire: a heap, so that dropping them costs those that are due, not all."""

import heapq
from typing import NamedTuple


class ExpiringKey(NamedTuple):
    """A key, and when its record was to expire at the time it was noted."""

    expires_ms: float
    group: str
    session: str
    key: str


class ExpiryQueue:
    """The keys that a registry keeps, by the time they expire."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[ExpiringKey] = []

    def add(self, group: str, session: str, key: str, expires_ms: float) -> None:
        """Notes a key; one whose record is replaced is noted again."""
        heapq.heappush(self._heap, ExpiringKey(expires_ms, group, session, key))

    def take_due(self, now_ms: float) -> list[ExpiringKey]:
        """The keys whose time has come; whoever drops them looks whether they were noted again."""
        due = []
        while self._heap and self._heap[0].expires_ms <= now_ms:
            due.append(heapq.heappop(self._heap))
        return due

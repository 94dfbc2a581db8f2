"""How far a proxy's configuration value is behind what it has heard of."""

from typing import NamedTuple

# So many serials that aren't here yet are told apart; of more, the oldest ones matter.
MOST_AWAITED = 64


class AwaitedSerial(NamedTuple):
    """A value that isn't here, and when this proxy first heard of it."""

    serial: int
    heard_ms: float


class ValueLag:
    """Which values a proxy waits for, and since when.

    Attributes:
        newest_heard: the highest serial that anybody has named.
        longest_ms: the longest that one was waited for.
    """

    __slots__ = ("newest_heard", "longest_ms", "_awaited")

    def __init__(self) -> None:
        self.newest_heard = -1
        self.longest_ms = 0.0
        self._awaited: list[AwaitedSerial] = []

    def heard(self, serial: int, now_ms: float) -> None:
        """Somebody has named a serial."""
        if serial <= self.newest_heard:
            return
        self.newest_heard = serial
        if len(self._awaited) < MOST_AWAITED:
            self._awaited.append(AwaitedSerial(serial, now_ms))

    def held(self, serial: int, now_ms: float) -> None:
        """The value with this serial is in force here."""
        self.longest_ms = max(self.longest_ms, self.behind_ms(now_ms))
        self.newest_heard = max(self.newest_heard, serial)
        self._awaited = [awaited for awaited in self._awaited if awaited.serial > serial]

    def behind_ms(self, now_ms: float) -> float:
        """For how long the oldest value that isn't here has been waited for; 0 for none."""
        return now_ms - self._awaited[0].heard_ms if self._awaited else 0.0

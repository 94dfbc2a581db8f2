"""A proxy's lease on what may be withdrawn from it: partner routes and the new version of a
service.
"""

LENGTH_SHARE = 0.8
MARGIN_SHARE = 0.1
WAIT_SHARE = 1.25


def lease_ms(bounds):
    """For how long a proxy may use what it holds a lease on after it asked whether its snapshot is
    the newest.
    """
    return bounds.apply_ms * LENGTH_SHARE


def wait_ms(bounds):
    """How long after a withdrawal was chosen every lease asked for before has run out, with
    margin.
    """
    return lease_ms(bounds) * WAIT_SHARE


class Lease:
    """Asked for by number; counted on the steady clock from the moment of asking, never of the
    answer.
    """

    __slots__ = ("length_ms", "asked", "ask_number", "until_ms")

    def __init__(self, bounds):
        self.length_ms = lease_ms(bounds)
        self.asked = {}
        self.ask_number = 0
        self.until_ms = -1e12

    def ask(self, now_ms):
        """The number of the next question, asked now."""
        self.ask_number += 1
        self.asked[self.ask_number] = now_ms
        self.asked = {
            number: ms for number, ms in self.asked.items() if now_ms - ms < self.length_ms
        }
        return self.ask_number

    def granted(self, ask_number, newest_serial, serial):
        """Word that `newest_serial` was the newest at some moment after the question; it stands for
        a snapshot that is not older.
        """
        asked_ms = self.asked.get(ask_number)
        if asked_ms is not None and serial >= newest_serial:
            self.until_ms = max(self.until_ms, asked_ms + self.length_ms * (1.0 - MARGIN_SHARE))

    def holds(self, now_ms):
        """True while what may be withdrawn may be used."""
        return now_ms < self.until_ms

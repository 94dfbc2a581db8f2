"""The record of changes that were taken, by which one that is sent again is known."""

ANSWERED_KEPT = 256


class AnsweredOrders:
    """The newest changes taken, by name and fingerprint. Immutable by custom.

    Only the newest `ANSWERED_KEPT` are kept. Of versions up to `horizon` some have been dropped: a
    change under such a number that isn't on record may have been taken, or may not.
    """

    __slots__ = ("rows", "horizon")

    def __init__(self, rows=(), horizon=0):
        self.rows = tuple(rows)
        self.horizon = horizon

    def holds(self, name, fingerprint):
        """True where this very change is on record."""
        return (name, fingerprint) in self.rows

    def uncertain(self, version):
        """True where a change under this number may have been taken and dropped from the record."""
        return version <= self.horizon

    def with_order(self, name, fingerprint):
        """The record with one change more."""
        rows = (*self.rows, (name, fingerprint))
        dropped, rows = rows[:-ANSWERED_KEPT], rows[-ANSWERED_KEPT:]
        numbers = [int(old) for old, _ in dropped if old.isdigit()]
        return AnsweredOrders(rows, max([self.horizon, *numbers]))

    def fields(self):
        return [self.horizon, [list(row) for row in self.rows]]

    def delta(self, base):
        """The rows added to `base`, or None where that isn't how this record came about."""
        if self is base:
            return []
        for count in range(len(self.rows) + 1):
            kept = self.rows[: len(self.rows) - count]
            if len(kept) <= len(base.rows) and base.rows[len(base.rows) - len(kept) :] == kept:
                return [list(row) for row in self.rows[len(self.rows) - count :]]
        return None

    def applied(self, rows):
        """The record with these rows added."""
        record = self
        for name, fingerprint in rows:
            record = record.with_order(name, fingerprint)
        return record


def answered_from(fields):
    """The record out of a message's fields."""
    horizon, rows = fields
    return AnsweredOrders(((name, fingerprint) for name, fingerprint in rows), horizon)

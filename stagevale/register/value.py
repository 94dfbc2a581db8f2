"""What every register's value has: a serial number, the group of voters, bytes, and a mark."""

import hashlib

from stagevale import wire

MARK_BYTES = 10


class RegisterValue:
    """One version of a register. Immutable by custom; subclasses give its fields for the wire."""

    __slots__ = ("serial", "group", "kept_packed", "kept_mark")

    def __init__(self, serial, group, packed=None):
        self.serial = serial
        self.group = tuple(group)
        self.kept_packed = packed
        self.kept_mark = None

    def fields(self):
        """All that the value holds, as a list that is alike for equal values."""
        raise NotImplementedError

    @property
    def packed(self):
        """The whole value as bytes."""
        if self.kept_packed is None:
            self.kept_packed = wire.squeeze(wire.pack([0, *self.fields()]))
        return self.kept_packed

    @property
    def mark(self):
        """A hash that is equal for equal values only."""
        if self.kept_mark is None:
            hashed = hashlib.blake2b(digest_size=MARK_BYTES)
            for part in self.mark_parts():
                hashed.update(part)
            self.kept_mark = hashed.digest()
        return self.kept_mark

    def mark_parts(self):
        """The bytes that the mark is computed from."""
        return (wire.pack([0, *self.fields()]),)

    def delta(self, base):
        """The bytes that lead from another value to this one, or None where all is sent instead."""
        return None

    def applied(self, delta):
        """The value that a delta leads to from this one. Raises ValueError where it doesn't fit."""
        raise ValueError("this register sends no deltas")

"""The singleton roles' replicated value: who holds the role, under which fencing token, and what is
committed to be sent.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from stagevale.consensus.value import ReplicatedValue
from stagevale.rpc import codec

CHANGEABLE = ("fencing_token", "holder", "group", "pending", "last_window")


class PendingReport(NamedTuple):
    """A window that is committed to be sent, and its text."""

    window: int
    text: str


class SingletonValue(ReplicatedValue):
    """One version of the singleton roles' value; immutable by convention.

    Attributes:
        fencing_token: rises with each holder.
        holder: the name of the daemon that holds the role; empty for nobody.
        pending: reports that are committed and may not have arrived yet, oldest first.
        last_window: the last window that was committed; 0 before the first.
    """

    __slots__ = ("fencing_token", "holder", "pending", "last_window")

    def __init__(
        self,
        serial: int,
        fencing_token: int,
        holder: str,
        group: Iterable[str],
        pending: Iterable[Any],
        last_window: int,
        encoded: bytes | None = None,
    ) -> None:
        super().__init__(serial, group, encoded)
        self.fencing_token = fencing_token
        self.holder = holder
        self.pending = tuple(PendingReport(window, text) for window, text in pending)
        self.last_window = last_window

    def to_fields(self) -> list[Any]:
        """See `ReplicatedValue.to_fields`."""
        return [
            self.serial,
            self.fencing_token,
            self.holder,
            list(self.group),
            [list(report) for report in self.pending],
            self.last_window,
        ]

    def changed(self, **changes: Any) -> "SingletonValue":
        """The next version, with some of the fields in `CHANGEABLE` changed."""
        fields = {name: getattr(self, name) for name in CHANGEABLE}
        return SingletonValue(self.serial + 1, **{**fields, **changes})

    def with_group(self, group: tuple[str, ...]) -> "SingletonValue":
        """See `ReplicatedValue.with_group`."""
        return self.changed(group=group)


def read_singleton_value(encoded: bytes) -> SingletonValue:
    """A value out of its encoded bytes.

    Raises:
        DecodeError: the bytes can't be read.
        ValueError: they hold no value.
    """
    fields = codec.decode(codec.decompress(encoded), "duties", "a peer")[1:]
    serial, fencing_token, holder, group, pending, last_window = fields
    return SingletonValue(serial, fencing_token, holder, group, pending, last_window, encoded)

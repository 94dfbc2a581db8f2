"""What every replicated value has: a serial number, the group of voters, bytes, and a digest."""

import hashlib
from collections.abc import Iterable
from typing import Any, TypeVar

from stagevale.rpc import codec

DIGEST_BYTES = 10
# Encoded values begin with a whole number, as every message does.
VALUE_KIND = 0

ValueT = TypeVar("ValueT", bound="ReplicatedValue")


class ReplicatedValue:
    """One version of a replicated value; immutable by convention.

    Attributes:
        serial: rises by one with each version.
        group: identities of the voters that decide on the next version.
    """

    __slots__ = ("serial", "group", "_encoded", "_digest")

    def __init__(self, serial: int, group: Iterable[str], encoded: bytes | None = None) -> None:
        self.serial = serial
        self.group = tuple(group)
        self._encoded = encoded
        self._digest: bytes | None = None

    def to_fields(self) -> list[Any]:
        """All that the value holds, as a list that is equal for equal values."""
        raise NotImplementedError

    def with_group(self: ValueT, group: tuple[str, ...]) -> ValueT:
        """The next version, with another group of voters."""
        raise NotImplementedError

    @property
    def encoded(self) -> bytes:
        """The complete value as compressed bytes."""
        if self._encoded is None:
            self._encoded = codec.compress(codec.encode([VALUE_KIND, *self.to_fields()]))
        return self._encoded

    @property
    def digest(self) -> bytes:
        """A hash that is equal for equal values only."""
        if self._digest is None:
            hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for part in self._hashed_parts():
                hashed.update(part)
            self._digest = hashed.digest()
        return self._digest

    def _hashed_parts(self) -> tuple[bytes, ...]:
        """The bytes that the digest is computed from."""
        return (codec.encode([VALUE_KIND, *self.to_fields()]),)

    def delta_from(self: ValueT, base: ValueT) -> bytes | None:
        """The bytes that lead from `base` to this value; None where only the complete value will do."""
        return None

    def with_delta(self: ValueT, delta: bytes) -> ValueT:
        """The value that a delta leads to from this one.

        Raises:
            ValueError: the delta doesn't belong to this value.
            DecodeError: the delta can't be read.
        """
        raise ValueError("this value has no deltas")

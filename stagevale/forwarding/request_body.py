"""Bodies of requests, kept in the pieces that they came in, within a bound for the whole process."""

from collections.abc import Iterator

from stagevale.runtime.context import Context

# What the bodies that are kept may take of the process's memory.
BODY_SHARE = 0.6
BYTES_PER_MB = 1024 * 1024


class BodyBudget:
    """How much memory the bodies of all requests take.

    Attributes:
        used_bytes: what is kept now.
    """

    __slots__ = ("context", "used_bytes")

    def __init__(self, context: Context) -> None:
        self.context = context
        self.used_bytes = 0

    @property
    def limit_bytes(self) -> int:
        """How much may be kept, by the settings in force."""
        return int(self.context.settings.memory_mb * BODY_SHARE * BYTES_PER_MB)

    def has_room(self, size: int) -> bool:
        """True where so many bytes more may be kept."""
        return self.used_bytes + size <= self.limit_bytes


class RequestBody:
    """The body of one request, from its first byte until nobody sends it any more.

    Attributes:
        size: how many bytes it has.
    """

    __slots__ = ("budget", "size", "_pieces")

    def __init__(self, budget: BodyBudget | None = None) -> None:
        """Makes an empty body.

        Args:
            budget: of the process; None for a body that stays empty.
        """
        self.budget = budget
        self.size = 0
        self._pieces: list[bytes] = []

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[bytes]:
        """The body's pieces, in their order."""
        return iter(self._pieces)

    def append(self, piece: bytes) -> bool:
        """Keeps a piece; returns False, and keeps nothing, where there is no room for it."""
        if self.budget is None or not self.budget.has_room(len(piece)):
            return False
        self.budget.used_bytes += len(piece)
        self.size += len(piece)
        self._pieces.append(piece)
        return True

    def release(self) -> None:
        """Drops the pieces: the body is sent to nobody any more. Its size stays known."""
        if self.budget is not None and self._pieces:
            self.budget.used_bytes -= self.size
        self._pieces = []

"""An answer to a client."""

from collections.abc import Sequence
from typing import NamedTuple

# Answers with these have no body.
BODILESS_STATUSES = (204, 304)

HeaderList = Sequence[tuple[bytes, bytes]]


class Answer(NamedTuple):
    """A complete answer, before it is written."""

    status: int
    reason: bytes
    headers: HeaderList
    body: bytes


# The answer of a request whose client has gone.
NOT_WRITTEN = Answer(0, b"", (), b"")

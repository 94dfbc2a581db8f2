"""Writes a request to an endpoint: the head with a small body, a large body piece by piece."""

from collections.abc import Iterator
from typing import Any

import h11

from stagevale.forwarding.request_body import RequestBody

# A body up to this size goes out with its head, in one call of the system.
MOST_JOINED_BYTES = 64 * 1024


class BodyWriter:
    """Writes one request after the other on a connection, as fast as its endpoint reads.

    Attributes:
        transport: of the connection; None until it is up.
    """

    __slots__ = ("transport", "_parser", "_unsent", "_is_held")

    def __init__(self) -> None:
        self.transport: Any = None
        self._parser: Any = None
        self._unsent: Iterator[bytes] | None = None
        self._is_held = False

    def write(self, parser: Any, head: bytes, body: RequestBody) -> None:
        """Writes a request.

        Args:
            parser: which has encoded the head.
            head: the head's bytes.
            body: the body, which has to be kept until it is written or given up.
        """
        self._parser = parser
        if body.size <= MOST_JOINED_BYTES:
            joined = b"".join(body)
            data = head + (parser.send(h11.Data(data=joined)) if joined else b"")
            self.transport.write(data + parser.send(h11.EndOfMessage()))
            return
        self.transport.write(head)
        self._unsent = iter(body)
        self._write_pieces()

    def _write_pieces(self) -> None:
        while self._unsent is not None and not self._is_held:
            piece = next(self._unsent, None)
            if piece is None:
                self._unsent = None
                self._parser.send(h11.EndOfMessage())
            else:
                self.transport.write(self._parser.send(h11.Data(data=piece)))

    def hold(self) -> None:
        """The endpoint reads more slowly than the body is written."""
        self._is_held = True

    def go_on(self) -> None:
        """The endpoint has read what was written."""
        self._is_held = False
        self._write_pieces()

    def give_up(self) -> None:
        """Writes no more of the body: the connection ends."""
        self._unsent = None

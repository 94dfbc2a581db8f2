"""An answer as a session's record keeps it, for a request that is repeated."""

from typing import Any, NamedTuple

from stagevale.forwarding.answer import Answer

MOST_BODY_BYTES = 64 * 1024
ATTEMPT_HEADER = b"attempt-id"


class StoredAnswer(NamedTuple):
    """An answer without the id of the request that got it.

    Attributes:
        complete: 0 where the body was too large to be kept.
    """

    status: int
    reason: bytes
    headers: list[Any]
    body: bytes
    complete: int

    @classmethod
    def of(cls, answer: Answer) -> "StoredAnswer":
        """The answer to keep of one that was forwarded."""
        status, reason, headers, body = answer
        complete = len(body) <= MOST_BODY_BYTES
        kept = [
            [bytes(name), bytes(value)]
            for name, value in headers
            if bytes(name).lower() != ATTEMPT_HEADER
        ]
        return cls(status, bytes(reason), kept, body if complete else b"", int(complete))

    def for_attempt(self, attempt_id: bytes | None) -> Answer:
        """The answer under another request's id."""
        headers = [(bytes(name), bytes(value)) for name, value in self.headers]
        if attempt_id:
            headers.append((b"Attempt-Id", attempt_id))
        return Answer(self.status, bytes(self.reason), headers, bytes(self.body))

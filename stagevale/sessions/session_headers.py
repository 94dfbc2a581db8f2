"""The headers that name a request's session and idempotency key."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

MOST_HEADER_BYTES = 256
KEY_HEADER = b"idempotency-key"
FINGERPRINT_CHARACTERS = 24


class SessionHeaderError(Exception):
    """A header that can't be used; the message names it."""


class SessionHeaders(NamedTuple):
    """What a request's headers say; empty where a header is missing."""

    session: bytes
    key: bytes


def read_session_headers(
    headers: Iterable[tuple[bytes, bytes]], session_header: bytes
) -> SessionHeaders:
    """Reads the headers of a request.

    Args:
        headers: names and values as they were sent.
        session_header: the header that names the session, in lower case.

    Raises:
        SessionHeaderError: a header is given twice, empty or too long.
    """
    found: dict[bytes, list[bytes]] = {session_header: [], KEY_HEADER: []}
    for header, value in headers:
        lower = header.lower()
        if lower in found:
            found[lower].append(value)
    for header, values in found.items():
        name = header.decode()
        if len(values) > 1:
            raise SessionHeaderError(f"{name}: given twice")
        if values and not values[0].strip():
            raise SessionHeaderError(f"{name}: empty")
        if values and len(values[0]) > MOST_HEADER_BYTES:
            raise SessionHeaderError(f"{name}: longer than {MOST_HEADER_BYTES} bytes")
    session, key = (values[0] if values else b"" for values in found.values())
    return SessionHeaders(session, key)


def fingerprint_of(method: bytes, target: bytes, body: Iterable[bytes]) -> str:
    """What a key stands for: the same key with another fingerprint is another request under a used
    name.
    """
    hashed = hashlib.sha256(method + b"\n" + target + b"\n")
    for piece in body:
        hashed.update(piece)
    return hashed.hexdigest()[:FINGERPRINT_CHARACTERS]

"""The identity of a session: its name counts within one tenant and host.

Nothing of it is the configuration's to change: a route may be split, renamed or moved to another
service between a request and its repeat.
"""

from typing import NamedTuple

# Can't stand in a header's value, so no name contains it. Part of what is stored and sent.
SEPARATOR = "\x1f"


class SessionId(NamedTuple):
    """A session as clients name it.

    Attributes:
        name: the value of the session's header.
        tenant: whose key the request bore; empty where there was none.
        host: that the request was sent to, in lower case and without a port.
    """

    name: str
    tenant: str
    host: str

    def encode(self) -> str:
        """The identity as records and messages have it."""
        return SEPARATOR.join(self)


def without_route(encoded: str) -> str:
    """The identity as this release has it; releases up to 4dd6197 put the route's name behind."""
    return SEPARATOR.join(encoded.split(SEPARATOR)[: len(SessionId._fields)])


def read_session_id(encoded: str) -> SessionId:
    """The identity of a stored record; one of release 523ef46 and before has only a name."""
    parts = without_route(encoded).split(SEPARATOR)
    if len(parts) != len(SessionId._fields):
        return SessionId(encoded, "", "")
    return SessionId(*parts)


def name_of(encoded: str) -> str:
    """The value of the session's header."""
    return encoded.partition(SEPARATOR)[0]


def is_scoped(encoded: str) -> bool:
    """False for the identity of release 523ef46 and before, which is only a name."""
    return SEPARATOR in encoded

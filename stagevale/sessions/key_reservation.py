"""What an at-most-once request needs of its session, and how far reserving its key has come."""

from stagevale.sessions.ports import SessionRequest
from stagevale.sessions.records import AttemptId


class KeyReservation:
    """The reservation of one request's key.

    Attributes:
        session: the session's encoded identity; key: the client's name for the request.
        fingerprint: of the request.
        group: the session group that keeps the record.
        attempt: under which the key was reserved; None before.
        reserved: a majority has the reservation.
        recording: the outcome is being recorded.
        recorded: the outcome is recorded, or needn't be.
        waiting: requests under the same key that wait for this one.
        first: the request under the same key that this one waits for, or None.
        has_waited: it has waited for another one at some time.
    """

    __slots__ = (
        "session",
        "key",
        "fingerprint",
        "group",
        "attempt",
        "reserved",
        "recording",
        "recorded",
        "waiting",
        "first",
        "has_waited",
    )

    def __init__(self, session: str, key: str, fingerprint: str, group: str) -> None:
        self.session = session
        self.key = key
        self.fingerprint = fingerprint
        self.group = group
        self.attempt: AttemptId | None = None
        self.reserved = False
        self.recording = False
        self.recorded = False
        self.waiting: list[SessionRequest] = []
        self.first: SessionRequest | None = None
        self.has_waited = False

    @property
    def id(self) -> tuple[str, str]:
        """Session and key, within the session's tenant and host."""
        return self.session, self.key


def reservation_of(request: SessionRequest) -> KeyReservation:
    """The reservation of a request that has one.

    Raises:
        RuntimeError: it has none; the caller should have checked.
    """
    if request.reservation is None:
        raise RuntimeError("the request needs no reservation")
    return request.reservation

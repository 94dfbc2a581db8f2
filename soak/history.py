"""What was seen in a run: the records that the judge reads."""

import bisect
from typing import NamedTuple

from soak.bounds import CALLER_PATIENCE_MS
from soak.clock import now_ms


class Answer(NamedTuple):
    """What the judge needs of an answer."""

    attempt_id: str
    has_seal: bool
    body: bytes


class Sent:
    """One request of a client.

    Attributes:
        attempt_id: unique to it.
        machine: the proxy's machine.
        variant: `pure`, `effectful` or `keyed`.
        method, path, tenant, key, body_digest: what was asked.
        timeout_ms: the smaller of the client's deadline and the route's time-out.
        connection: the number of the connection that it was sent on.
        sent_ms: when its last byte was written; None while it is being written.
        status: of the answer; None without a complete one.
        answered_ms: when the answer was complete.
        ended_ms: when the connection ended, where that came before the answer.
        left: whether the client itself closed the connection before the answer.
        answer: what the answer says.
    """

    __slots__ = (
        "attempt_id",
        "machine",
        "variant",
        "method",
        "path",
        "tenant",
        "key",
        "body_digest",
        "timeout_ms",
        "connection",
        "sent_ms",
        "status",
        "answered_ms",
        "ended_ms",
        "left",
        "answer",
    )

    def __init__(
        self,
        attempt_id: str,
        machine: str,
        variant: str,
        method: str,
        path: str,
        tenant: str,
        key: str,
        body_digest: str,
        timeout_ms: float,
        connection: int,
    ) -> None:
        self.attempt_id = attempt_id
        self.machine = machine
        self.variant = variant
        self.method = method
        self.path = path
        self.tenant = tenant
        self.key = key
        self.body_digest = body_digest
        self.timeout_ms = timeout_ms
        self.connection = connection
        self.sent_ms: float | None = None
        self.status: int | None = None
        self.answered_ms: float | None = None
        self.ended_ms: float | None = None
        self.left = False
        self.answer: Answer | None = None


class Run:
    """One request that an endpoint has run.

    Attributes:
        whole: whether the endpoint wrote its whole answer; False where it broke off or still works.
    """

    __slots__ = (
        "endpoint",
        "zone",
        "service",
        "attempt_id",
        "method",
        "path",
        "tenant",
        "key",
        "body_digest",
        "arrived_ms",
        "ended_ms",
        "whole",
    )

    def __init__(
        self,
        endpoint: str,
        zone: str,
        service: str,
        attempt_id: str,
        method: str,
        path: str,
        tenant: str,
        key: str,
        body_digest: str,
        arrived_ms: float,
    ) -> None:
        self.endpoint = endpoint
        self.zone = zone
        self.service = service
        self.attempt_id = attempt_id
        self.method = method
        self.path = path
        self.tenant = tenant
        self.key = key
        self.body_digest = body_digest
        self.arrived_ms = arrived_ms
        self.ended_ms: float | None = None
        self.whole = False


class Change(NamedTuple):
    """A configuration: which service its probe route goes to, and when it was sent and acknowledged."""

    version: int
    probe_service: str
    sent_ms: float
    acknowledged_ms: float | None


class Evacuation(NamedTuple):
    """An order about a zone; `begins` is False for one that takes the evacuation back."""

    zone: str
    begins: bool
    sent_ms: float
    acknowledged_ms: float | None


class Departure(NamedTuple):
    """An endpoint said that it drains or leaves, and this was acknowledged."""

    endpoint: str
    order: str
    acknowledged_ms: float


class ConfigRead(NamedTuple):
    """A read of the configuration that was answered with a version."""

    sent_ms: float
    machine: str
    version: int


class TallyAdd:
    """An add to a tally that was sent to a machine.

    Attributes:
        name, id, amount: what was added, and where.
        machine: to whom.
        sent_ms: when.
        status: of the answer; None without one.
        answered_ms: when the answer came, or the caller went on.
    """

    __slots__ = ("name", "id", "amount", "machine", "sent_ms", "status", "answered_ms")

    def __init__(self, name: str, id: str, amount: int, machine: str, sent_ms: float) -> None:
        self.name = name
        self.id = id
        self.amount = amount
        self.machine = machine
        self.sent_ms = sent_ms
        self.status: int | None = None
        self.answered_ms: float | None = None


class TallyRead(NamedTuple):
    """A read of a tally; `total` is None for one at the end that was never answered."""

    name: str
    machine: str
    sent_ms: float
    total: int | None
    is_last: bool

    def answered_by_ms(self) -> float:
        """Until when an add may have been sent that this read tells."""
        return self.sent_ms + CALLER_PATIENCE_MS


class Span(NamedTuple):
    """A time in which something was wrong; `machine` is empty where it concerns all."""

    machine: str
    what: str
    begin_ms: float
    end_ms: float


class Termination(NamedTuple):
    """A SIGTERM of a machine's daemons."""

    machine: str
    at_ms: float


class OwnEnd(NamedTuple):
    """A process that ended though nobody ended it, or that passed its memory limit."""

    machine: str
    program: str
    what: str


class History:
    """Everything that the judge reads."""

    def __init__(self) -> None:
        self.began_ms = now_ms()
        self.sent: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.changes: list[Change] = []
        self.evacuations: list[Evacuation] = []
        self.departures: list[Departure] = []
        self.reads: list[ConfigRead] = []
        self.tally_adds: list[TallyAdd] = []
        self.tally_reads: list[TallyRead] = []
        self.spans: list[Span] = []
        self.terminations: list[Termination] = []
        self.reloads: list[Termination] = []
        self.own_ends: list[OwnEnd] = []
        self.events: list[tuple[float, str]] = []

    def say(self, text: str) -> None:
        """Notes an event for the report."""
        self.events.append((now_ms(), text))

    def runs_of(self) -> dict[str, list[Run]]:
        """The runs by attempt id."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.attempt_id, []).append(run)
        return found

    def between(self, begin_ms: float, end_ms: float) -> list[str]:
        """The events of a time, as texts."""
        times = [at_ms for at_ms, _ in self.events]
        first, last = bisect.bisect_left(times, begin_ms), bisect.bisect_right(times, end_ms)
        return [
            f"{(at - self.began_ms) / 1000:8.3f} s {text}" for at, text in self.events[first:last]
        ]

"""What the rules ask of a run's history: who was in touch, when there was trouble, what ran."""

from typing import NamedTuple

from soak import bounds
from soak.clock import MS_PER_S
from soak.history import History, Run, Sent, Span

SAMPLED_EVERY = 10


class Break(NamedTuple):
    """A rule that was broken, or something that the rules excuse but should be looked at.

    Attributes:
        rule: its name, as the pages have it.
        machine: whose daemon did it; empty where that isn't known.
        at_ms: when.
        what: the request or order, the connection, and what was seen.
    """

    rule: str
    machine: str
    at_ms: float
    what: str


class Evidence:
    """A history with what all rules need of it."""

    def __init__(self, history: History, core: list[str]) -> None:
        self.history = history
        self.core = set(core)
        self.runs_of = history.runs_of()

    def runs(self, sent: Sent) -> list[Run]:
        """The runs of a request."""
        return self.runs_of.get(sent.attempt_id, [])

    def is_settled(self, begin_ms: float, end_ms: float) -> bool:
        """True where nothing happened to the core in a time, nor in `contactMs` before it."""
        return not any(
            span.machine in self.core or not span.machine
            for span in self._spans(begin_ms - bounds.CONTACT_MS, end_ms)
        )

    def in_touch(self, machine: str, at_ms: float) -> bool:
        """True where a machine was in touch, as the rules say it."""
        return not any(
            span.machine in ("", machine) or span.machine in self.core
            for span in self._spans(at_ms - bounds.CONTACT_MS, at_ms)
        )

    def in_touch_share(self) -> float:
        """The share of requests whose machine was in touch when they were sent: where it is small,
        a run that held says little.
        """
        times = [
            (sent.machine, sent.sent_ms)
            for sent in self.history.sent.values()
            if sent.sent_ms is not None
        ][::SAMPLED_EVERY]
        return sum(self.in_touch(machine, at_ms) for machine, at_ms in times) / max(1, len(times))

    def unplanned_trouble(self, begin_ms: float, end_ms: float) -> bool:
        """True where anything but planned work happened to any machine."""
        return any(
            span.what != "stopped in order"
            for span in self._spans(begin_ms - bounds.CONTACT_MS, end_ms)
        )

    def _spans(self, begin_ms: float, end_ms: float) -> list[Span]:
        return [
            span
            for span in self.history.spans
            if span.begin_ms <= end_ms and span.end_ms >= begin_ms
        ]

    def describe(self, sent: Sent) -> str:
        """A request, its connection and its runs, in words."""
        began_ms = self.history.began_ms

        def at(ms: float | None) -> str:
            return f"{(ms - began_ms) / MS_PER_S:.3f}" if ms is not None else "-"

        runs = ", ".join(
            f"{run.endpoint} at {at(run.arrived_ms)} to {at(run.ended_ms)}"
            for run in self.runs(sent)
        )
        return (
            f"{sent.variant} {sent.method} {sent.path} ({sent.attempt_id}) on connection "
            f"{sent.connection}, sent {at(sent.sent_ms)}, status {sent.status}, answered "
            f"{at(sent.answered_ms)}, ended {at(sent.ended_ms)}; ran: {runs or 'nowhere'}"
        )

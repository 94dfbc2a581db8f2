"""DRAIN and EVAC: no request reaches an endpoint that drains, has left, or lies in an evacuated zone."""

import math

from soak import bounds
from soak.evidence import Break, Evidence
from soak.history import Evacuation, Run


def check(evidence: Evidence) -> list[Break]:
    """Both."""
    return [*_drain(evidence), *_evacuated(evidence)]


def _by_machine_in_touch(evidence: Evidence, run: Run) -> str | None:
    """The machine that passed a run's request on, where it was in touch; else None."""
    sent = evidence.history.sent.get(run.attempt_id)
    if sent is None or not evidence.in_touch(sent.machine, run.arrived_ms):
        return None
    return sent.machine


def _drain(evidence: Evidence) -> list[Break]:
    first: dict[str, float] = {}
    for departure in evidence.history.departures:
        first.setdefault(departure.endpoint, departure.acknowledged_ms)
    breaks = []
    for run in evidence.history.runs:
        acknowledged_ms = first.get(run.endpoint, math.inf)
        if run.arrived_ms <= acknowledged_ms + bounds.DRAIN_CUTOFF_MS:
            continue
        machine = _by_machine_in_touch(evidence, run)
        if machine is not None:
            late_ms = run.arrived_ms - acknowledged_ms
            what = f"{run.attempt_id} reached {run.endpoint} {late_ms:.0f} ms after its departure"
            breaks.append(Break("DRAIN", machine, run.arrived_ms, f"{what} was acknowledged"))
    return breaks


def _evacuated(evidence: Evidence) -> list[Break]:
    breaks = []
    for begin, until_ms in evacuated_times(evidence.history.evacuations):
        from_ms = (begin.acknowledged_ms or math.inf) + bounds.EVACUATE_MS
        for run in evidence.history.runs:
            if run.zone != begin.zone or not from_ms < run.arrived_ms < until_ms:
                continue
            machine = _by_machine_in_touch(evidence, run)
            if machine is not None:
                late_ms = run.arrived_ms - (begin.acknowledged_ms or 0.0)
                what = (
                    f"{run.attempt_id} reached {run.endpoint} in {run.zone} {late_ms:.0f} ms after"
                )
                breaks.append(Break("EVAC", machine, run.arrived_ms, f"{what} its evacuation"))
    return breaks


def evacuated_times(orders: list[Evacuation]) -> list[tuple[Evacuation, float]]:
    """Each acknowledged evacuation, and when the next order for its zone was sent."""
    found = []
    for position, order in enumerate(orders):
        if not order.begins or order.acknowledged_ms is None:
            continue
        following = [later.sent_ms for later in orders[position + 1 :] if later.zone == order.zone]
        found.append((order, min(following, default=math.inf)))
    return found

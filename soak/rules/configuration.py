"""CONFIG and the gate's Acks: which configuration is in force, and how soon orders are acknowledged."""

import math

from soak import bounds
from soak.configuration import ACK_MS
from soak.evidence import Break, Evidence
from soak.history import Change


def check(evidence: Evidence) -> list[Break]:
    """All of these."""
    return [*_reads(evidence), *_probes(evidence), *_orders(evidence), *_unanswered(evidence)]


def _reads(evidence: Evidence) -> list[Break]:
    acknowledged = _acknowledged(evidence)
    breaks = []
    for read in evidence.history.reads:
        newest = max(
            (
                change.version
                for change in acknowledged
                if (change.acknowledged_ms or 0.0) + bounds.APPLY_MS < read.sent_ms
            ),
            default=0,
        )
        if read.version < newest:
            what = f"r{read.version} was read, r{newest} had been acknowledged"
            breaks.append(Break("CONFIG", read.machine, read.sent_ms, what))
    return breaks


def _acknowledged(evidence: Evidence) -> list[Change]:
    return [change for change in evidence.history.changes if change.acknowledged_ms is not None]


def _probes(evidence: Evidence) -> list[Break]:
    """Requests on the probe route run by the service of an older version."""
    changes = sorted(evidence.history.changes, key=lambda change: change.sent_ms)
    breaks = []
    for position, change in enumerate(changes):
        if change.acknowledged_ms is None:
            continue
        until_ms = changes[position + 1].sent_ms if position + 1 < len(changes) else math.inf
        from_ms = change.acknowledged_ms + bounds.APPLY_MS
        for run in evidence.history.runs:
            sent = evidence.history.sent.get(run.attempt_id)
            if sent is None or sent.sent_ms is None or not run.path.startswith("/probe/"):
                continue
            if not from_ms < sent.sent_ms or not run.arrived_ms < until_ms:
                continue
            if run.service != change.probe_service and evidence.in_touch(
                sent.machine, run.arrived_ms
            ):
                what = f"r{change.version} is in force: {evidence.describe(sent)}"
                breaks.append(Break("CONFIG", sent.machine, run.arrived_ms, what))
    return breaks


def _orders(evidence: Evidence) -> list[Break]:
    breaks = []
    orders = [
        (f"r{change.version}", change.sent_ms, change.acknowledged_ms, ACK_MS)
        for change in evidence.history.changes
    ]
    orders += [
        (
            f"{order.zone} {'begin' if order.begins else 'finish'}",
            order.sent_ms,
            order.acknowledged_ms,
            bounds.ACK_DEADLINE_MS,
        )
        for order in evidence.history.evacuations
    ]
    for name, sent_ms, acknowledged_ms, limit_ms in orders:
        late = acknowledged_ms is None or acknowledged_ms - sent_ms > limit_ms
        if late and evidence.is_settled(sent_ms, sent_ms + limit_ms):
            breaks.append(Break("Acks", "", sent_ms, f"{name} was not acknowledged in time"))
    return breaks


# Of requests that are due, so many and so large a share may be late.
LATE_SLACK_MS = 500.0
MOST_LATE, MOST_LATE_SHARE = 8, 0.25


def _unanswered(evidence: Evidence) -> list[Break]:
    """Requests without a final answer half a second after their route's time-out."""
    due, late = 0, []
    for sent in evidence.history.sent.values():
        if sent.sent_ms is None:
            continue
        limit_ms = sent.sent_ms + sent.timeout_ms
        over_ms = sent.answered_ms or sent.ended_ms or math.inf
        if over_ms < limit_ms or math.isinf(over_ms):
            continue
        if not evidence.in_touch(sent.machine, limit_ms + LATE_SLACK_MS):
            continue
        due += 1
        if over_ms > limit_ms + LATE_SLACK_MS:
            what = f"not answered at its route's time-out: {evidence.describe(sent)}"
            late.append(Break("CONFIG", sent.machine, limit_ms, what))
    return late if len(late) >= MOST_LATE and len(late) > due * MOST_LATE_SHARE else []

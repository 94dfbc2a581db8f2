"""GONE and faults: requests of clients that have left; processes that end by themselves."""

from soak.evidence import Break, Evidence

GONE_MS = 500.0
MOST_GONE = 3


def check(evidence: Evidence) -> list[Break]:
    """Both."""
    gone = []
    for sent in evidence.history.sent.values():
        if not sent.left or sent.ended_ms is None or sent.variant == "keyed":
            continue
        for run in evidence.runs(sent):
            late = run.arrived_ms > sent.ended_ms + GONE_MS
            if late and evidence.in_touch(sent.machine, run.arrived_ms):
                what = f"its client had left: {evidence.describe(sent)}"
                gone.append(Break("GONE", sent.machine, run.arrived_ms, what))
    faults = [
        Break("Fault", end.machine, 0.0, f"{end.program} {end.what}")
        for end in evidence.history.own_ends
    ]
    return faults + (gone if len(gone) > MOST_GONE else [])

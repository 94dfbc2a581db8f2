"""LOST: a request that was read ends without an answer, around planned work."""

from soak import bounds
from soak.clock import MS_PER_S
from soak.evidence import Break, Evidence
from soak.history import Sent, Termination

# A request that used so nearly all of its time was ended by it.
TIMEOUT_SLACK_MS = 100.0
AFTER_GRACE_MS = 1000.0
LAST_SHARE_OF_GRACE = 5 / 6
EARLY_AFTER_TERM_MS = 3000.0
MOST_IN_CALM = 3


def check(evidence: Evidence) -> list[Break]:
    """Requests of machines that end in order or read their settings again; and those in calm times."""
    breaks, calm = [], []
    for sent in evidence.history.sent.values():
        if not _is_cut(evidence, sent):
            continue
        work = _planned_work(evidence, sent)
        if work is not None:
            if not _is_excused(evidence, sent, work):
                text = f"{evidence.describe(sent)}; planned work began at {_at(evidence, work)}"
                breaks.append(Break("LOST", sent.machine, sent.ended_ms or 0.0, text))
        elif _is_calm(evidence, sent):
            text = f"in a calm time: {evidence.describe(sent)}"
            calm.append(Break("LOST", sent.machine, sent.ended_ms or 0.0, text))
    return breaks + (calm if len(calm) > MOST_IN_CALM else [])


def _at(evidence: Evidence, work: Termination) -> str:
    return f"{(work.at_ms - evidence.history.began_ms) / MS_PER_S:.3f}"


def _is_cut(evidence: Evidence, sent: Sent) -> bool:
    """True for a request that was sent whole, and whose connection ended under it."""
    if sent.sent_ms is None or sent.ended_ms is None or sent.left:
        return False
    if sent.ended_ms - sent.sent_ms >= sent.timeout_ms - TIMEOUT_SLACK_MS:
        return False
    runs = evidence.runs(sent)
    # One that isn't passed on may cross the close, or stand behind another.
    return any(run.whole or run.ended_ms is None for run in runs)


def _planned_work(evidence: Evidence, sent: Sent) -> Termination | None:
    ended_ms = sent.ended_ms or 0.0
    longest_ms = bounds.GRACE_PERIOD_S * MS_PER_S + AFTER_GRACE_MS
    for work in evidence.history.terminations:
        if work.machine == sent.machine and work.at_ms <= ended_ms <= work.at_ms + longest_ms:
            return work
    for work in evidence.history.reloads:
        within = (sent.sent_ms or 0.0) <= work.at_ms + bounds.APPLY_MS
        if work.machine == sent.machine and work.at_ms <= ended_ms and within:
            return work if ended_ms <= work.at_ms + longest_ms else None
    return None


def _is_excused(evidence: Evidence, sent: Sent, work: Termination) -> bool:
    begin_ms, end_ms = sent.sent_ms or 0.0, sent.ended_ms or 0.0
    if evidence.unplanned_trouble(begin_ms, end_ms):
        return True
    late_ms = work.at_ms + bounds.GRACE_PERIOD_S * MS_PER_S * LAST_SHARE_OF_GRACE
    at_work = any(run.ended_ms is None or run.ended_ms > late_ms for run in evidence.runs(sent))
    return at_work and begin_ms <= work.at_ms + EARLY_AFTER_TERM_MS and end_ms >= late_ms


def _is_calm(evidence: Evidence, sent: Sent) -> bool:
    ended_ms = sent.ended_ms or 0.0
    return evidence.in_touch(sent.machine, ended_ms) and any(
        run.whole for run in evidence.runs(sent)
    )

"""TWICE, STALE and LOST of tallies: what reads tell, beside what adds may and must have counted."""

from collections.abc import Iterable

from soak import bounds
from soak.evidence import Break, Evidence
from soak.history import TallyAdd, TallyRead
from soak.http_client import is_success

# A 503 or 429 is a promise that nothing was done.
NOT_DONE = (429, 503)


def check(evidence: Evidence) -> list[Break]:
    """All three."""
    breaks = []
    for read in evidence.history.tally_reads:
        adds = [add for add in evidence.history.tally_adds if add.name == read.name]
        if read.total is None:
            breaks.append(_broken("LOST", read, "can't be read at the end"))
            continue
        possible = _sum(add for add in adds if _may_count(add, read))
        if read.total > possible:
            breaks.append(_broken("TWICE", read, f"at most {possible} could have counted"))
        owed = _sum(add for add in adds if _is_owed(add, read))
        if read.total < owed and _is_calm(evidence, read):
            rule = "LOST" if read.is_last else "STALE"
            breaks.append(_broken(rule, read, f"{owed} were acknowledged in time"))
    return breaks


def _may_count(add: TallyAdd, read: TallyRead) -> bool:
    before = add.sent_ms <= read.answered_by_ms()
    return before and add.status not in NOT_DONE


def _is_owed(add: TallyAdd, read: TallyRead) -> bool:
    """An add that was acknowledged `mergeMs` before the read."""
    if not is_success(add.status) or add.answered_ms is None:
        return False
    return add.answered_ms < read.sent_ms - bounds.MERGE_MS


def _is_calm(evidence: Evidence, read: TallyRead) -> bool:
    """True where nothing has happened to the core for as long as merging takes."""
    return evidence.is_settled(read.sent_ms - bounds.MERGE_MS, read.sent_ms)


def _sum(adds: Iterable[TallyAdd]) -> int:
    """What adds come to; an id counts once."""
    return sum({add.id: add.amount for add in adds}.values())


def _broken(rule: str, read: TallyRead, what: str) -> Break:
    return Break(rule, read.machine, read.sent_ms, f"{read.name} reads {read.total}: {what}")

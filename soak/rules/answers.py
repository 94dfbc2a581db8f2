"""MIXED, UNASKED, TWICE, REFUSED, DENIED: whose answers clients get, and what endpoints run."""

import collections

from soak.endpoints import answer_body
from soak.evidence import Break, Evidence
from soak.history import Run, Sent
from soak.http_client import is_success

PROMISES = (408, 421, 429, 503)
ALLOWED_REFUSALS = (408, 409, 421, 429)
REFUSALS = range(300, 500)
MOST_DENIED, DENIED_EVERY = 5, 500


def check(evidence: Evidence) -> list[Break]:
    """All of these."""
    return [
        *_mixed(evidence),
        *_unasked(evidence),
        *_twice(evidence),
        *_refused_and_denied(evidence),
    ]


def _mixed(evidence: Evidence) -> list[Break]:
    by_endpoint = {(run.endpoint, run.attempt_id): run for run in evidence.history.runs}
    return [
        Break("MIXED", sent.machine, sent.answered_ms or 0.0, f"{wrong}: {evidence.describe(sent)}")
        for sent in evidence.history.sent.values()
        if (wrong := _wrong_answer(sent, by_endpoint))
    ]


def _wrong_answer(sent: Sent, by_endpoint: dict[tuple[str, str], Run]) -> str:
    """What is wrong with an answer; empty for none."""
    answer = sent.answer
    if answer is None or not is_success(sent.status):
        return ""
    if answer.attempt_id != sent.attempt_id:
        return f"the answer names {answer.attempt_id}"
    if not answer.has_seal:
        return "no seal"
    fields = answer.body.rstrip(b".").decode("latin-1").split("|")
    run = by_endpoint.get((fields[-1], fields[0]))
    if run is None or answer_body(run) != answer.body:
        return "not the endpoint's whole body"
    if sent.variant != "keyed" and run.attempt_id != sent.attempt_id:
        return f"the answer of {run.attempt_id}"
    asked = (sent.method, sent.path, sent.tenant, sent.key, sent.body_digest)
    if asked != (run.method, run.path, run.tenant, run.key, run.body_digest):
        return f"the answer to another request, {run.attempt_id}"
    return ""


def _unasked(evidence: Evidence) -> list[Break]:
    breaks = []
    for run in evidence.history.runs:
        sent = evidence.history.sent.get(run.attempt_id)
        asked = (sent.method, sent.path, sent.tenant, sent.body_digest) if sent else None
        if asked != (run.method, run.path, run.tenant, run.body_digest):
            what = f"{run.endpoint} ran {run.attempt_id} {run.method} {run.path}; sent was {asked}"
            breaks.append(Break("UNASKED", sent.machine if sent else "", run.arrived_ms, what))
    return breaks


def _twice(evidence: Evidence) -> list[Break]:
    breaks = []
    by_key: dict[tuple[str, str], list[Run]] = collections.defaultdict(list)
    for run in evidence.history.runs:
        sent = evidence.history.sent.get(run.attempt_id)
        if sent is not None and run.key:
            by_key[run.tenant, run.key].append(run)
    for (tenant, key), runs in by_key.items():
        if len(runs) > 1:
            sent = evidence.history.sent[runs[1].attempt_id]
            what = f"key {key} of {tenant} ran {len(runs)} times: {evidence.describe(sent)}"
            breaks.append(Break("TWICE", sent.machine, runs[1].arrived_ms, what))
    for sent in evidence.history.sent.values():
        runs = evidence.runs(sent)
        if sent.variant != "pure" and len(runs) > 1:
            breaks.append(Break("TWICE", sent.machine, runs[1].arrived_ms, evidence.describe(sent)))
    return breaks


def _refused_and_denied(evidence: Evidence) -> list[Break]:
    refused, denied = [], []
    for sent in evidence.history.sent.values():
        if sent.status is None or sent.answered_ms is None:
            continue
        ran = bool(evidence.runs(sent))
        if sent.status in PROMISES and ran and sent.variant != "pure":
            refused.append(
                Break("REFUSED", sent.machine, sent.answered_ms, evidence.describe(sent))
            )
        if sent.status in REFUSALS and sent.status not in ALLOWED_REFUSALS:
            in_touch = evidence.in_touch(sent.machine, sent.answered_ms)
            own = not (ran and sent.answer is not None and sent.answer.has_seal)
            if in_touch and own:
                what = evidence.describe(sent)
                denied.append(Break("DENIED", sent.machine, sent.answered_ms, what))
    most = MOST_DENIED + len(evidence.history.sent) // DENIED_EVERY
    return refused + (denied if len(denied) > most else [])

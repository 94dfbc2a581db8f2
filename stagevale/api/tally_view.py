"""Calls of applications that count in tallies."""

import http
import json
from typing import Any

from stagevale.api.router import Answer, BadCallError, Call, CallError, Names, text_of
from stagevale.configuration.commands import OK
from stagevale.discovery.registry_service import RegistryService
from stagevale.tallies.add import Add
from stagevale.tallies.replica import AddOutcome, TallyReplica

MOST_NAME_CHARACTERS = 200
# Amounts are whole numbers of 64 bits with a sign.
MOST_AMOUNT = 2**63 - 1
# What a caller is told. A 503 promises that nothing was done; an add that lies on too few disks may
# count, so that its caller must not be promised that.
ANSWERS: dict[AddOutcome, tuple[int, Any]] = {
    AddOutcome.ACKNOWLEDGED: (OK, {}),
    AddOutcome.REFUSED: (
        http.HTTPStatus.SERVICE_UNAVAILABLE.value,
        {"error": "tallies can't be kept here at present"},
    ),
    AddOutcome.UNKNOWN: (
        http.HTTPStatus.GATEWAY_TIMEOUT.value,
        {"error": "too few other disks have this add yet"},
    ),
}


class TallyView:
    """Adds to tallies and tells their totals."""

    __slots__ = ("service",)

    def __init__(self, service: RegistryService) -> None:
        self.service = service

    def _replica(self) -> TallyReplica:
        replica = self.service.tallies
        if replica is None:
            raise CallError(
                http.HTTPStatus.SERVICE_UNAVAILABLE.value, "there is no disk to keep tallies on"
            )
        return replica

    def amend(self, call: Call, names: Names, answer: Answer) -> None:
        """`POST /v1/tallies/NAME/amend`: counts an add once."""
        add = read_add(_tally_name(names), call)
        self._replica().amend(add, lambda outcome: answer(*ANSWERS[outcome]))

    def read(self, call: Call, names: Names, answer: Answer) -> None:
        """`GET /v1/tallies/NAME/read`: tells a total."""
        total = self._replica().total(_tally_name(names))
        if total is None:
            raise CallError(
                http.HTTPStatus.SERVICE_UNAVAILABLE.value, "the tallies aren't known here yet"
            )
        answer(OK, {"total": total})


def _tally_name(names: Names) -> str:
    (name,) = names
    if not name or len(name) > MOST_NAME_CHARACTERS:
        raise BadCallError(f"tally: want a name of at most {MOST_NAME_CHARACTERS} characters")
    return name


def read_add(tally: str, call: Call) -> Add:
    """The add that a call's body describes: `{"id": text, "actor": whole number}`.

    Raises:
        BadCallError: the body is anything else; the reason names the field.
    """
    try:
        body = json.loads(text_of(call))
    except (ValueError, RecursionError) as error:
        raise BadCallError("the body is not JSON") from error
    if not isinstance(body, dict):
        raise BadCallError("the body is not an object")
    id, amount = body.get("id"), body.get("actor")
    if not isinstance(id, str) or not 0 < len(id) <= MOST_NAME_CHARACTERS:
        raise BadCallError(f"id: want a text of at most {MOST_NAME_CHARACTERS} characters")
    if isinstance(amount, bool) or not isinstance(amount, int) or abs(amount) > MOST_AMOUNT:
        raise BadCallError("actor: want a whole number of 64 bits")
    return Add(tally, id, amount)

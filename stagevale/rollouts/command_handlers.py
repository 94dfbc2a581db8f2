"""What each command about rollouts does to the configuration value."""

import json
from typing import NamedTuple

from stagevale.configuration.commands import (
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    OK,
    PRECONDITION_FAILED,
    CommandHandler,
    CommandKind,
    Outcome,
    Zones,
)
from stagevale.configuration.documents import Document, fingerprint
from stagevale.configuration.value import ConfigurationValue
from stagevale.rollouts.documents import check_rollout
from stagevale.rollouts.rollout import Rollout, RolloutState

END = "end"


class Transition(NamedTuple):
    """An operator's order: from which states it leads to which."""

    sources: tuple[RolloutState, ...]
    target: RolloutState


TRANSITIONS = {
    "pause": Transition((RolloutState.SHIFTING,), RolloutState.PAUSED),
    "resume": Transition((RolloutState.PAUSED,), RolloutState.SHIFTING),
    "promote": Transition((RolloutState.SHIFTING, RolloutState.PAUSED), RolloutState.DONE),
    "rollback": Transition(
        (RolloutState.SHIFTING, RolloutState.PAUSED, RolloutState.DONE), RolloutState.ROLLED_BACK
    ),
}


def start_rollout(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """Starts a rollout; the payload is the service's name, a line end, and the rollout."""
    service, _, text = payload.partition("\n")
    checked = check_rollout(text)
    if checked.is_error():
        return Outcome(checked.error.status, checked.error.reason)
    document = checked.ok
    config = json.loads(value.config) if value.config else {}
    if service not in {row["name"] for row in config.get("services", ())}:
        return Outcome(NOT_FOUND, f"service: {service} is not in the configuration")
    before = _rollout_of(value, service)
    hashed = fingerprint(text)
    if before and before.fingerprint == hashed and before.version == document["version"]:
        return Outcome(OK, before.to_json())
    rejection = _rejection(service, document, before)
    if rejection is not None:
        return rejection
    rollout = Rollout(
        {
            "service": service,
            "version": document["version"],
            "from": document["from"],
            "to": document["to"],
            "steps": document["steps"],
            "failureShare": document["failureShare"],
            "leastRequests": document["leastRequests"],
            "watchS": document["watchS"],
            "state": RolloutState.SHIFTING,
            "step": 0,
            "withheld": _withheld_versions(document, before),
            "hashed": hashed,
        }
    )
    return _changed(value, rollout, rollout.to_json())


def _rollout_of(value: ConfigurationValue, service: str) -> Rollout | None:
    text = value.rollouts.get(service)
    return Rollout.from_json(text) if text is not None else None


def _rejection(service: str, document: Document, before: Rollout | None) -> Outcome | None:
    """Why a rollout can't follow the one before, or None."""
    current = before.version if before is not None else 0
    if document["parentVersion"] != current:
        return Outcome(PRECONDITION_FAILED, f"rollout r{current} of {service} is in place")
    if document["version"] <= current:
        return Outcome(BAD_REQUEST, f"version: r{document['version']} is not above r{current}")
    if before is not None and before.is_judged:
        return Outcome(CONFLICT, f"rollout r{current} of {service} is still {before.state}")
    return None


def _withheld_versions(document: Document, before: Rollout | None) -> list[str]:
    """The versions that get no requests during a new rollout: those that earlier ones fell back
    from, but for the two that it is about.
    """
    if before is None or before.state == RolloutState.ENDED:
        return []
    withheld = list(before.withheld)
    if before.state == RolloutState.ROLLED_BACK:
        withheld.append(before.new)
    return [name for name in withheld if name not in (document["from"], document["to"])]


def move_rollout(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """Pauses, resumes, promotes, rolls back or ends a rollout; the payload is the service's name,
    a line end, and which of these.
    """
    service, _, order = payload.partition("\n")
    rollout = _rollout_of(value, service)
    if rollout is None:
        return Outcome(NOT_FOUND, f"no rollout of {service}")
    if order == END:
        if rollout.state == RolloutState.ENDED:
            return Outcome(OK, rollout.to_json())
        ended = rollout.changed(state=RolloutState.ENDED, reason="ended by the operator")
        return _changed(value, ended, "")
    if rollout.state == RolloutState.ENDED:
        return Outcome(NOT_FOUND, f"no rollout of {service}")
    transition = TRANSITIONS[order]
    if rollout.state == transition.target:
        return Outcome(OK, rollout.to_json())
    if rollout.state not in transition.sources:
        return Outcome(CONFLICT, f"the rollout of {service} is {rollout.state}")
    after = rollout.changed(state=transition.target, reason=f"{order} by the operator")
    return _changed(value, after, after.to_json())


def _changed(before: ConfigurationValue, rollout: Rollout, text: str) -> Outcome:
    """The outcome of a change of one rollout."""
    rollouts = {**before.rollouts, rollout.service: rollout.to_json()}
    after = before.changed(rollouts=rollouts)
    return Outcome(OK, text, after, withdraws(before, after))


def withdraws(before: ConfigurationValue, after: ConfigurationValue) -> bool:
    """True where the later value keeps proxies from a version that the earlier one let them use."""
    for service, text in before.rollouts.items():
        was = Rollout.from_json(text)
        now = Rollout.from_json(after.rollouts.get(service, text))
        replaced = now.new != was.new and was.state != RolloutState.ENDED
        if was.share > 0.0 and (now.state == RolloutState.ROLLED_BACK or replaced):
            return True
    return False


HANDLERS: dict[str, CommandHandler] = {
    CommandKind.START_ROLLOUT: start_rollout,
    CommandKind.MOVE_ROLLOUT: move_rollout,
}

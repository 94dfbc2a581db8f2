"""What each command of an operator does to the configuration value."""

import enum
import http
from collections.abc import Callable, Mapping
from typing import NamedTuple

from stagevale.configuration.documents import fingerprint
from stagevale.configuration.validation import check_configuration
from stagevale.configuration.value import ConfigurationValue

OK = http.HTTPStatus.OK.value
NOT_FOUND = http.HTTPStatus.NOT_FOUND.value
BAD_REQUEST = http.HTTPStatus.BAD_REQUEST.value
CONFLICT = http.HTTPStatus.CONFLICT.value
PRECONDITION_FAILED = http.HTTPStatus.PRECONDITION_FAILED.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value


class CommandKind(enum.StrEnum):
    """The commands of the configuration's register; the texts are part of the protocol."""

    REPLACE = "replace"
    READ = "read"
    SERIAL = "serial"
    EVACUATE = "evacuate"
    END_EVACUATION = "takeBack"
    OFFER = "offer"
    WITHDRAW_OFFER = "withdraw"
    READ_OFFER = "readOffer"
    START_ROLLOUT = "startRollout"
    MOVE_ROLLOUT = "moveRollout"
    READ_ROLLOUTS = "readRollouts"


class Outcome(NamedTuple):
    """What a command comes to.

    Attributes:
        status: an HTTP status for the caller.
        text: for the caller.
        value: the next value, where there is a change.
        withdraws: whether the change takes away something that proxies may hold a lease on.
    """

    status: int
    text: str = ""
    value: ConfigurationValue | None = None
    withdraws: bool = False


Zones = Mapping[str, str]
CommandHandler = Callable[[ConfigurationValue, str, Zones], Outcome]
FindHandler = Callable[[str], CommandHandler | None]


def read(value: ConfigurationValue, _payload: str, _zones: Zones) -> Outcome:
    """The configuration in force."""
    if value.config:
        return Outcome(OK, value.config)
    return Outcome(NOT_FOUND, "no configuration yet")


def evacuate(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """Evacuates the zone that the payload names."""
    if payload in value.evacuated:
        return Outcome(OK)
    return Outcome(OK, value=value.changed(evacuated=(*value.evacuated, payload)))


def end_evacuation(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """Ends the evacuation of the zone that the payload names."""
    if payload not in value.evacuated:
        return Outcome(OK)
    rest = tuple(zone for zone in value.evacuated if zone != payload)
    return Outcome(OK, value=value.changed(evacuated=rest))


def replace(value: ConfigurationValue, payload: str, zones: Zones) -> Outcome:
    """Replaces the configuration by the payload, which names the version it builds on."""
    checked = check_configuration(payload, frozenset(zones.values()))
    if checked.is_error():
        return Outcome(checked.error.status, checked.error.reason)
    document = checked.ok
    version, parent = document["version"], document["parentVersion"]
    hashed = fingerprint(payload)
    if value.answered.contains(str(version), hashed):
        return Outcome(OK)
    if parent != value.version:
        if value.answered.may_have_dropped(version):
            return Outcome(UNAVAILABLE, f"r{version} is too old to say whether it was taken")
        return Outcome(PRECONDITION_FAILED, f"version r{value.version} is in place")
    if version <= value.version:
        return Outcome(BAD_REQUEST, f"version r{version} is not above r{value.version}")
    answered = value.answered.with_change(str(version), hashed)
    return Outcome(OK, value=value.changed(version=version, config=payload, answered=answered))


HANDLERS: dict[str, CommandHandler] = {
    CommandKind.READ: read,
    CommandKind.REPLACE: replace,
    CommandKind.EVACUATE: evacuate,
    CommandKind.END_EVACUATION: end_evacuation,
}

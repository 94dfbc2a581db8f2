"""What each command of an operator does to the configuration value."""

from stagevale.configuration.commands import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    PRECONDITION_FAILED,
    UNAVAILABLE,
    CommandHandler,
    CommandKind,
    Outcome,
    Zones,
)
from stagevale.configuration.documents import fingerprint
from stagevale.configuration.validation import check_configuration
from stagevale.configuration.value import ConfigurationValue


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

"""The commands of operators: their kinds, and what carrying one out comes to."""

import enum
import http
from collections.abc import Callable, Mapping
from typing import NamedTuple

from stagevale.configuration.value import ConfigurationValue
from stagevale.consensus.commands import READ_VALUE

OK = http.HTTPStatus.OK.value
NOT_FOUND = http.HTTPStatus.NOT_FOUND.value
BAD_REQUEST = http.HTTPStatus.BAD_REQUEST.value
CONFLICT = http.HTTPStatus.CONFLICT.value
PRECONDITION_FAILED = http.HTTPStatus.PRECONDITION_FAILED.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value
# Between daemons only: the command's subject was changed after the command's basis. Nothing was
# done; callers get a 503.
SUPERSEDED = http.HTTPStatus.PRECONDITION_REQUIRED.value


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


# Commands that set a state without naming the state that they follow. A copy of one that is carried
# out late undoes what was acknowledged meanwhile, unless it is known to be late.
UNVERSIONED_COMMANDS = frozenset(
    (
        CommandKind.EVACUATE,
        CommandKind.END_EVACUATION,
        CommandKind.WITHDRAW_OFFER,
        CommandKind.MOVE_ROLLOUT,
    )
)
# Commands that change nothing, whatever they find.
READ_KINDS: frozenset[str] = frozenset(
    (
        READ_VALUE,
        CommandKind.READ,
        CommandKind.SERIAL,
        CommandKind.READ_OFFER,
        CommandKind.READ_ROLLOUTS,
    )
)
ZONE_SUBJECT, PARTNER_SUBJECT, ROLLOUT_SUBJECT = "zone", "partner", "rollout"
SUBJECT_TYPES: dict[str, str] = {
    CommandKind.EVACUATE: ZONE_SUBJECT,
    CommandKind.END_EVACUATION: ZONE_SUBJECT,
    CommandKind.OFFER: PARTNER_SUBJECT,
    CommandKind.WITHDRAW_OFFER: PARTNER_SUBJECT,
    CommandKind.START_ROLLOUT: ROLLOUT_SUBJECT,
    CommandKind.MOVE_ROLLOUT: ROLLOUT_SUBJECT,
}


class Subject(NamedTuple):
    """What a command changes: a zone's evacuation, a partner's offer, a service's rollout."""

    type: str
    name: str


def subject_of(kind: str, payload: str) -> Subject | None:
    """The subject of a command; None for one that changes or reads the whole configuration."""
    subject_type = SUBJECT_TYPES.get(kind)
    if subject_type is None:
        return None
    name, _, _ = payload.partition("\n")
    return Subject(subject_type, name)


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

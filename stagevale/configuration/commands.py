"""The commands of operators: their kinds, and what carrying one out comes to."""

import enum
import http
from collections.abc import Callable, Mapping
from typing import NamedTuple

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

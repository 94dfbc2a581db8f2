"""Reading and checking of rollouts, with trafaret."""

import itertools

import trafaret as t
from expression import Ok

from stagevale.configuration.documents import (
    CheckedDocument,
    check_document,
    check_version,
    invalid,
)

MOST_VERSION_CHARACTERS = 200
MOST_STEPS = 100
LONGEST_WATCH_S = 86400.0

SHARE = t.Float(gt=0.0, lte=1.0)
ROLLOUT = t.Dict(
    {
        t.Key("version"): check_version,
        t.Key("parentVersion", default=0): check_version,
        t.Key("from"): t.String(max_length=MOST_VERSION_CHARACTERS),
        t.Key("to"): t.String(max_length=MOST_VERSION_CHARACTERS),
        t.Key("steps"): t.List(SHARE, min_length=1, max_length=MOST_STEPS),
        t.Key("failureShare"): t.Float(gte=0.0, lt=1.0),
        t.Key("leastRequests"): t.Int(gte=1),
        t.Key("watchS"): t.Float(gt=0.0, lte=LONGEST_WATCH_S),
    }
)


def check_rollout(text: str) -> CheckedDocument:
    """The rollout, or the field that is wrong."""
    shaped = check_document(text, ROLLOUT)
    if shaped.is_error():
        return shaped
    rollout = shaped.ok
    if rollout["from"] == rollout["to"]:
        return invalid("to: the same version as from")
    steps = rollout["steps"]
    if any(later <= earlier for earlier, later in itertools.pairwise(steps)):
        return invalid("steps: want shares that rise")
    if steps[-1] != 1.0:
        return invalid("steps: the last share must be 1")
    return Ok(rollout)

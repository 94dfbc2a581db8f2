"""Reading and checking of rollouts, with trafaret; and what each order about them does to the
register.
"""

import json

import trafaret as t
from expression import Error, Ok, Result

from stagevale.configuration.checking import ConfigFailure, check_version, fingerprint, read_shape
from stagevale.rollouts import DONE, ENDED, FALLEN, PAUSED, SHIFTING, Rollout

SHARE = t.Float(gt=0.0, lte=1.0)
ROLLOUT = t.Dict(
    {
        t.Key("version"): check_version,
        t.Key("parentVersion", default=0): check_version,
        t.Key("from"): t.String(max_length=200),
        t.Key("to"): t.String(max_length=200),
        t.Key("steps"): t.List(SHARE, min_length=1, max_length=100),
        t.Key("failureShare"): t.Float(gte=0.0, lt=1.0),
        t.Key("leastRequests"): t.Int(gte=1),
        t.Key("watchS"): t.Float(gt=0.0, lte=86400.0),
    }
)
MOVES = {
    "pause": ((SHIFTING,), PAUSED),
    "resume": ((PAUSED,), SHIFTING),
    "promote": ((SHIFTING, PAUSED), DONE),
    "rollback": ((SHIFTING, PAUSED, DONE), FALLEN),
}


def read_rollout(text) -> Result:
    """The text of a rollout as Ok(table), or Error(ConfigFailure) with the field that is wrong."""
    shaped = read_shape(text, ROLLOUT)
    if shaped.is_error():
        return shaped
    table = shaped.ok
    if table["from"] == table["to"]:
        return Error(ConfigFailure(400, "to: the same version as from"))
    steps = table["steps"]
    if any(later <= earlier for earlier, later in zip(steps, steps[1:], strict=False)):
        return Error(ConfigFailure(400, "steps: want shares that rise"))
    if steps[-1] != 1.0:
        return Error(ConfigFailure(400, "steps: the last share must be 1"))
    return Ok(table)


def started(value, payload, outcome):
    """What the start of a rollout does; payload is the service's name, a line end, the rollout."""
    service, _, text = payload.partition("\n")
    checked = read_rollout(text)
    if checked.is_error():
        return outcome(checked.error.status, checked.error.reason)
    table = checked.ok
    config = json.loads(value.config) if value.config else {}
    if service not in {row["name"] for row in config.get("services", ())}:
        return outcome(404, f"service: {service} is not in the configuration")
    before = Rollout(json.loads(value.rollouts[service])) if service in value.rollouts else None
    hashed = fingerprint(text)
    if before is not None and before.hashed == hashed and before.version == table["version"]:
        return outcome(200, before.text())
    current = before.version if before is not None else 0
    if table["parentVersion"] != current:
        return outcome(412, f"rollout r{current} of {service} is in place")
    if table["version"] <= current:
        return outcome(400, f"version: r{table['version']} is not above r{current}")
    if before is not None and before.state in (SHIFTING, PAUSED):
        return outcome(409, f"rollout r{current} of {service} is still {before.state}")
    withheld = []
    if before is not None and before.state != ENDED:
        withheld = [
            name
            for name in before.withheld + ((before.new,) if before.state == FALLEN else ())
            if name not in (table["from"], table["to"])
        ]
    rollout = Rollout(
        {
            "service": service,
            "version": table["version"],
            "from": table["from"],
            "to": table["to"],
            "steps": table["steps"],
            "failureShare": table["failureShare"],
            "leastRequests": table["leastRequests"],
            "watchS": table["watchS"],
            "state": SHIFTING,
            "step": 0,
            "withheld": withheld,
            "hashed": hashed,
        }
    )
    return outcome(200, rollout.text(), put(value, rollout))


def moved(value, payload, outcome):
    """What pause, resume, promote, rollback and end do; payload is the service's name, a line end,
    the order.
    """
    service, _, order = payload.partition("\n")
    if service not in value.rollouts:
        return outcome(404, f"no rollout of {service}")
    rollout = Rollout(json.loads(value.rollouts[service]))
    if order == "end":
        if rollout.state == ENDED:
            return outcome(200, rollout.text())
        return outcome(
            200, "", put(value, rollout.after(state=ENDED, reason="ended by the operator"))
        )
    if rollout.state == ENDED:
        return outcome(404, f"no rollout of {service}")
    sources, goal = MOVES[order]
    if rollout.state == goal:
        return outcome(200, rollout.text())
    if rollout.state not in sources:
        return outcome(409, f"the rollout of {service} is {rollout.state}")
    after = rollout.after(state=goal, reason=f"{order} by the operator")
    return outcome(200, after.text(), put(value, after))


def put(value, rollout):
    """The register's value with this rollout in it."""
    return value.after(rollouts={**value.rollouts, rollout.service: rollout.text()})


def withdraws(before, after):
    """True where the later value keeps proxies from a version that the earlier one let them use."""
    for service, text in before.rollouts.items():
        was, now = Rollout(json.loads(text)), Rollout(json.loads(after.rollouts.get(service, text)))
        if was.share > 0.0 and (now.state == FALLEN or now.new != was.new and was.state != ENDED):
            return True
    return False

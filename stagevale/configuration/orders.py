"""What each order of the operator does to the register's value."""

from stagevale.configuration.checking import ConfigFailure, fingerprint, read_config

REPLACE, EVACUATE, TAKE_BACK, READ = "replace", "evacuate", "takeBack", "read"
OFFER, WITHDRAW, READ_OFFER, SERIAL = "offer", "withdraw", "readOffer", "serial"
START_ROLLOUT, MOVE_ROLLOUT, READ_ROLLOUTS = "startRollout", "moveRollout", "readRollouts"


class Outcome:
    """What an order comes to: an HTTP status and text, and the next value where there is a
    change.
    """

    __slots__ = ("status", "text", "value")

    def __init__(self, status, text="", value=None):
        self.status = status
        self.text = text
        self.value = value


def decide(value, order, payload, zones):
    """The outcome of an order on top of the chosen value; the value stays as it is."""
    if order == READ:
        return Outcome(200, value.config) if value.config else Outcome(404, "no configuration yet")
    if order == EVACUATE:
        if payload in value.evacuated:
            return Outcome(200)
        return Outcome(200, value=value.after(evacuated=value.evacuated + (payload,)))
    if order == TAKE_BACK:
        if payload not in value.evacuated:
            return Outcome(200)
        return Outcome(
            200, value=value.after(evacuated=tuple(z for z in value.evacuated if z != payload))
        )
    if order == SERIAL:
        return Outcome(200, str(value.serial))
    if order in (OFFER, WITHDRAW, READ_OFFER):
        from stagevale.partners import checking

        if order == OFFER:
            return checking.offered(value, payload, zones, Outcome)
        return (checking.withdrawn if order == WITHDRAW else checking.read_back)(
            value, payload, Outcome
        )
    if order in (START_ROLLOUT, MOVE_ROLLOUT):
        from stagevale.rollouts import checking

        return (checking.started if order == START_ROLLOUT else checking.moved)(
            value, payload, Outcome
        )
    if order == REPLACE:
        checked = read_config(payload, frozenset(zones.values()))
        if checked.is_error():
            failure: ConfigFailure = checked.error
            return Outcome(failure.status, failure.reason)
        table = checked.ok
        version, parent, hashed = table["version"], table["parentVersion"], fingerprint(payload)
        if value.answered.holds(str(version), hashed):
            return Outcome(200)
        if parent != value.version:
            if value.answered.uncertain(version):
                return Outcome(503, f"r{version} is too old to say whether it was taken")
            return Outcome(412, f"version r{value.version} is in place")
        if version <= value.version:
            return Outcome(400, f"version r{version} is not above r{value.version}")
        return Outcome(
            200,
            value=value.after(
                version=version,
                config=payload,
                answered=value.answered.with_order(str(version), hashed),
            ),
        )
    return Outcome(404, f"unknown order {order}")

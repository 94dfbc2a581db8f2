"""The value of the configuration register: the newest configuration, evacuations, offers, voters."""

from stagevale import wire
from stagevale.configuration.answered import AnsweredOrders, answered_from
from stagevale.configuration.text_delta import apply_text_delta, text_delta
from stagevale.register.value import RegisterValue

CHANGEABLE = (
    "version",
    "config",
    "evacuated",
    "group",
    "answered",
    "offers",
    "sessions",
    "rollouts",
)
CONFIG_FIELD = 2


class Value(RegisterValue):
    """One version of the configuration register."""

    __slots__ = ("version", "config", "evacuated", "answered", "offers", "sessions", "rollouts")

    def __init__(
        self,
        serial,
        version,
        config,
        evacuated,
        group,
        answered=None,
        packed=None,
        offers=None,
        sessions=None,
        rollouts=None,
    ):
        super().__init__(serial, group, packed)
        self.version = version
        self.config = config
        self.evacuated = tuple(evacuated)
        self.answered = answered or AnsweredOrders()
        self.offers = offers or {}
        self.sessions = sessions or {}
        self.rollouts = rollouts or {}

    def fields(self):
        return [
            self.serial,
            self.version,
            self.config,
            list(self.evacuated),
            list(self.group),
            self.answered.fields(),
            self.offers_fields(),
            self.sessions_fields(),
            self.rollouts,
        ]

    def mark_parts(self):
        """The configuration's text as it is: packing it costs more than hashing it."""
        fields = self.fields()
        fields[CONFIG_FIELD] = len(self.config)
        return wire.pack([0, *fields]), self.config.encode()

    def offers_fields(self):
        return {name: list(row) for name, row in self.offers.items()}

    def sessions_fields(self):
        return {
            name: [version, list(members), list(before)]
            for name, (version, members, before) in self.sessions.items()
        }

    def after(self, **changes):
        """The next version with these things changed."""
        held = {name: getattr(self, name) for name in CHANGEABLE}
        return Value(self.serial + 1, **{**held, **changes})

    # changes of a value, for the wire and the disk

    def delta(self, base):
        """What leads from `base` to this value: the fields that differ, the configuration as a
        change of its text; None where the record of changes taken doesn't follow on.
        """
        changed = {}
        for name in ("version", "evacuated", "group"):
            if getattr(self, name) != getattr(base, name):
                value = getattr(self, name)
                changed[name] = list(value) if isinstance(value, tuple) else value
        if self.config != base.config:
            changed["config"] = text_delta(base.config, self.config)
        if self.answered is not base.answered:
            rows = self.answered.delta(base.answered)
            if rows is None:
                return None
            changed["answered"] = rows
        if self.offers != base.offers:
            changed["offers"] = self.offers_fields()
        if self.sessions != base.sessions:
            changed["sessions"] = self.sessions_fields()
        if self.rollouts != base.rollouts:
            changed["rollouts"] = self.rollouts
        return wire.squeeze(wire.pack([0, self.serial, self.mark, changed]))

    def applied(self, delta):
        _, serial, mark, changed = wire.unpack(wire.unsqueeze(delta), "delta", "a peer")
        held = {name: getattr(self, name) for name in CHANGEABLE}
        for name, fields in changed.items():
            held[name] = self.changed_field(name, fields)
        value = Value(serial, **held)
        if value.mark != mark:
            raise ValueError("the delta leads to another value than was meant")
        return value

    def changed_field(self, name, fields):
        """A field's value after a change, out of the change's fields."""
        if name == "config":
            return apply_text_delta(self.config, fields)
        if name == "answered":
            return self.answered.applied(fields)
        if name == "offers":
            return offers_from(fields)
        if name == "sessions":
            return sessions_from(fields)
        return fields


def offers_from(fields):
    return {name: (row[0], row[1]) for name, row in fields.items()}


def sessions_from(fields):
    return {name: (row[0], tuple(row[1]), tuple(row[2])) for name, row in fields.items()}


def read_value(packed):
    """A value out of its packed bytes."""
    fields = wire.unpack(wire.unsqueeze(packed), "value", "a peer")[1:]
    if isinstance(fields[5], dict):
        return former_value(fields)
    serial, version, config, evacuated, group, answered, offers, sessions, rollouts = fields
    return Value(
        serial,
        version,
        config,
        evacuated,
        group,
        answered_from(answered),
        packed,
        offers_from(offers),
        sessions_from(sessions),
        dict(rollouts),
    )


def former_value(fields):
    """A value as it was written while it held every version ever taken, by number."""
    serial, version, config, evacuated, group, taken, *more = fields
    record = AnsweredOrders()
    for name in sorted(taken, key=lambda name: (not name.isdigit(), len(name), name)):
        record = record.with_order(name, taken[name])
    return Value(
        serial,
        version,
        config,
        evacuated,
        group,
        record,
        offers=offers_from(more[0]) if more else None,
        sessions=sessions_from(more[1]) if more else None,
        rollouts=dict(more[2]) if len(more) > 2 else None,
    )

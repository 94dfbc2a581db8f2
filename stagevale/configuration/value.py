"""The value of the configuration register: the newest configuration, evacuations, partners' offers,
who votes.
"""

from stagevale import wire


class Value:
    """One version of the register. Immutable by custom."""

    __slots__ = (
        "serial",
        "version",
        "config",
        "evacuated",
        "group",
        "taken",
        "offers",
        "sessions",
        "rollouts",
        "packed",
    )

    def __init__(
        self,
        serial,
        version,
        config,
        evacuated,
        group,
        taken,
        packed=None,
        offers=None,
        sessions=None,
        rollouts=None,
    ):
        self.serial = serial
        self.version = version
        self.config = config
        self.evacuated = tuple(evacuated)
        self.group = tuple(group)
        self.taken = taken
        self.offers = offers or {}
        self.sessions = sessions or {}
        self.rollouts = rollouts or {}
        more = []
        if self.offers or self.sessions or self.rollouts:
            more = [
                {name: [version, text] for name, (version, text) in self.offers.items()},
                {
                    name: [session_version, list(group), list(before)]
                    for name, (session_version, group, before) in self.sessions.items()
                },
            ]
        if self.rollouts:
            more.append(self.rollouts)
        self.packed = packed or wire.squeeze(
            wire.pack(
                [0, serial, version, config, list(self.evacuated), list(self.group), taken, *more]
            )
        )

    def after(
        self,
        version=None,
        config=None,
        evacuated=None,
        group=None,
        taken=None,
        offers=None,
        sessions=None,
        rollouts=None,
    ):
        """The next version with these things changed."""
        return Value(
            self.serial + 1,
            self.version if version is None else version,
            self.config if config is None else config,
            self.evacuated if evacuated is None else evacuated,
            self.group if group is None else group,
            self.taken if taken is None else taken,
            offers=self.offers if offers is None else offers,
            sessions=self.sessions if sessions is None else sessions,
            rollouts=self.rollouts if rollouts is None else rollouts,
        )


def read_value(packed):
    """A value out of its packed bytes."""
    _, serial, version, config, evacuated, group, taken, *more = wire.unpack(
        wire.unsqueeze(packed), "value", "a peer"
    )
    offers = {name: (row[0], row[1]) for name, row in more[0].items()} if more else {}
    sessions = (
        {name: (row[0], tuple(row[1]), tuple(row[2])) for name, row in more[1].items()}
        if more
        else {}
    )
    rollouts = dict(more[2]) if len(more) > 2 else {}
    return Value(
        serial, version, config, evacuated, group, taken, packed, offers, sessions, rollouts
    )

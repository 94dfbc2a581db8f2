"""The value of the configuration register: the newest configuration, evacuations, the group that votes."""
from stagevale import wire


class Value:
    """One epoch of the register. Immutable by custom."""

    __slots__ = ("serial", "version", "config", "evacuated", "group", "taken", "packed")

    def __init__(self, serial, version, config, evacuated, group, taken, packed=None):
        self.serial = serial
        self.version = version
        self.config = config
        self.evacuated = tuple(evacuated)
        self.group = tuple(group)
        self.taken = taken
        self.packed = packed or wire.squeeze(wire.pack(
            [0, serial, version, config, list(self.evacuated), list(self.group), taken]))

    def after(self, version=None, config=None, evacuated=None, group=None, taken=None):
        """The next epoch with these things changed."""
        return Value(self.serial + 1,
                     self.version if version is None else version,
                     self.config if config is None else config,
                     self.evacuated if evacuated is None else evacuated,
                     self.group if group is None else group,
                     self.taken if taken is None else taken)


def readValue(packed):
    """A value out of its packed bytes."""
    _, serial, version, config, evacuated, group, taken = wire.unpack(wire.unsqueeze(packed), "value", "a colleague")
    return Value(serial, version, config, evacuated, group, taken, packed)

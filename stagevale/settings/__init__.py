"""The settings of one daemon: read from TOML, checked, and kept as plain fields."""

import os
import re
import tomllib

SETTINGS_VARIABLE = "STAGEVALE_CONFIG"
SETTINGS_PATH = "/etc/stagevale/settings.toml"

BOUND_DEFAULTS = {
    "seedStalenessS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackDeadlineMs": 4000,
    "syncS": 4,
    "drainCutoffMs": 2500,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "applyMs": 2500,
    "revertSlackMs": 250,
    "stretchMaxMs": 6000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retryExtra": 60,
    "coldExcess": 1.5,
    "coldMargin": 5,
    "evacuateMs": 5000,
    "recoveryS": 15,
    "ttl_max_s": 5,
    "leaseMs": 3000,
    "reportWindowS": 5,
    "usageDelayS": 10,
}


class SettingsFailure(Exception):
    """A settings file that can't be used; the message names the field."""


def snake_case(name):
    """The platform's name of a figure as a name in the code."""
    return re.sub(r"(?<=[a-z])[A-Z]", lambda found: "_" + found.group().lower(), name)


class Bounds:
    """The figures of the rules in force, by the names of the platform."""

    __slots__ = tuple(snake_case(name) for name in BOUND_DEFAULTS)

    def __init__(self, table):
        for name, default in BOUND_DEFAULTS.items():
            value = table.get(name, default)
            if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
                raise SettingsFailure(f"bounds.{name}: want a number not below 0, got {value!r}")
            setattr(self, snake_case(name), value)
        for name in (
            "contactMs",
            "ackDeadlineMs",
            "gracePeriodS",
            "applyMs",
            "retryWindowS",
            "leaseMs",
            "reportWindowS",
            "usageDelayS",
        ):
            if getattr(self, snake_case(name)) <= 0:
                raise SettingsFailure(f"bounds.{name}: want a number above 0")


class Settings:
    """One daemon's settings; immutable by custom, replaced whole on a reload."""

    __slots__ = (
        "name",
        "machine_class",
        "ip",
        "zone",
        "region",
        "counted",
        "first_start",
        "data_path",
        "memory_mb",
        "file_limit",
        "inner_ports",
        "seeds",
        "listen",
        "zones",
        "beat_ms",
        "tolerance",
        "bounds",
        "policy_path",
        "steering",
        "platform",
        "duties",
        "duty_per_s",
    )


def split_address(text, field):
    """Takes `ip:port` apart; a wrong one is a SettingsFailure that names the field."""
    ip, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536 or ip.count(".") != 3:
        raise SettingsFailure(f"{field}: want ip:port, got {text!r}")
    return ip, int(port)


def take(table, section, name, kind, default=None):
    value = table.get(section, {}).get(name, default)
    if value is None or not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        wanted = kind.__name__ if isinstance(kind, type) else "a number"
        raise SettingsFailure(f"{section}.{name}: want {wanted}, got {value!r}")
    return value


def read_settings(text):
    """Checks the text of a settings file and returns Settings, or raises SettingsFailure."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as failure:
        raise SettingsFailure(f"not TOML: {failure}") from None
    for section, value in table.items():
        if not isinstance(value, dict):
            raise SettingsFailure(f"{section}: want a table, got {value!r}")
    settings = Settings()
    settings.name = take(table, "daemon", "name", str)
    settings.machine_class = take(table, "daemon", "machineClass", str, "")
    settings.ip = take(table, "daemon", "ip", str)
    split_address(settings.ip + ":1", "daemon.ip")
    settings.zone = take(table, "daemon", "zone", str)
    settings.region = take(table, "daemon", "region", str)
    settings.counted = take(table, "daemon", "counted", bool, False)
    settings.first_start = take(table, "daemon", "firstStart", bool, False)
    settings.data_path = take(table, "daemon", "dataPath", str, "")
    settings.memory_mb = take(table, "limits", "memoryMb", (int, float), 300)
    settings.file_limit = take(table, "limits", "fileLimit", int, 4096)
    ports = take(table, "connections", "innerPorts", list)
    if (
        len(ports) != 2
        or not all(isinstance(p, int) and 0 < p < 65536 for p in ports)
        or ports[0] >= ports[1]
    ):
        raise SettingsFailure(f"connections.innerPorts: want two rising ports, got {ports!r}")
    settings.inner_ports = tuple(ports)
    seeds = take(table, "connections", "seeds", list, [])
    settings.seeds = tuple(split_address(seed, "connections.seeds")[0] for seed in seeds)
    settings.listen = {
        name: split_address(address, f"listen.{name}")
        for name, address in table.get("listen", {}).items()
    }
    zones = table.get("zones", {})
    for zone, region in zones.items():
        if not isinstance(region, str):
            raise SettingsFailure(f"zones.{zone}: want the name of a region, got {region!r}")
    settings.zones = dict(zones)
    settings.zones.setdefault(settings.zone, settings.region)
    settings.beat_ms = take(table, "terms", "beatMs", (int, float), 1500)
    settings.tolerance = dict(table.get("tolerance", {}))
    settings.bounds = Bounds(table.get("bounds", {}))
    settings.policy_path = take(table, "policy", "path", str, "")
    settings.steering = take(table, "steering", "on", bool, False)
    platform = take(table, "platform", "address", str, "")
    settings.platform = split_address(platform, "platform.address") if platform else None
    duties = take(table, "platform", "duties", list, []) if platform else []
    if not all(isinstance(duty, str) for duty in duties):
        raise SettingsFailure(f"platform.duties: want a list of names, got {duties!r}")
    settings.duties = tuple(duties)
    settings.duty_per_s = take(table, "platform", "dutyPerS", (int, float), 10)
    if isinstance(settings.duty_per_s, bool) or settings.duty_per_s <= 0:
        raise SettingsFailure(
            f"platform.dutyPerS: want a number above 0, got {settings.duty_per_s!r}"
        )
    return settings


def settings_path():
    """The path of the settings file that this process is to use."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


def load_settings(path):
    """Reads and checks the settings file at `path`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as failure:
        raise SettingsFailure(
            f"can't be read: {getattr(failure, 'strerror', None) or failure}"
        ) from None
    return read_settings(text)

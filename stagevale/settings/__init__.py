"""The settings of one daemon: read from TOML, checked, and kept as plain fields."""
import os
import tomllib

SETTINGS_VARIABLE = "STAGEVALE_CONFIG"
SETTINGS_PATH = "/etc/stagevale/settings.toml"

BOUND_DEFAULTS = {
    "seedStalenessS": 3, "addrReuseS": 2, "contactMs": 4000, "ackDeadlineMs": 4000,
    "syncS": 4, "drainCutoffMs": 2500, "gracePeriodS": 6, "lossSlackMs": 200,
    "applyMs": 2500, "revertSlackMs": 250, "stretchMaxMs": 6000, "retryRatio": 0.2,
    "retryWindowS": 10, "retryExtra": 60, "coldExcess": 1.5, "coldMargin": 5,
    "evacuateMs": 5000, "recoveryS": 15, "ttl_max_s": 5,
    "leaseMs": 3000, "reportWindowS": 5, "usageDelayS": 10,
}


class SettingsProblem(Exception):
    """A settings file that can't be used; the message names the field."""


class Bounds:
    """The figures of the rules in force, by the names of the platform."""

    __slots__ = tuple(BOUND_DEFAULTS)

    def __init__(self, table):
        for name, default in BOUND_DEFAULTS.items():
            value = table.get(name, default)
            if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
                raise SettingsProblem(f"bounds.{name}: want a number not below 0, got {value!r}")
            setattr(self, name, value)
        for name in ("contactMs", "ackDeadlineMs", "gracePeriodS", "applyMs", "retryWindowS", "leaseMs", "reportWindowS",
                     "usageDelayS"):
            if getattr(self, name) <= 0:
                raise SettingsProblem(f"bounds.{name}: want a number above 0")


class Settings:
    """One daemon's settings; immutable by custom, replaced whole on a reload."""

    __slots__ = ("name", "machineClass", "ip", "area", "region", "counted", "firstStart", "dataPath",
                 "memoryMb", "fileLimit", "innerPorts", "seeds", "listen", "areas", "beatMs",
                 "tolerance", "bounds", "policyPath", "steering", "platform", "duties", "dutyPerS")


def splitAddress(text, field):
    """Takes `ip:port` apart; a wrong one is a SettingsProblem that names the field."""
    ip, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not port.isdigit() or not 0 < int(port) < 65536 or ip.count(".") != 3:
        raise SettingsProblem(f"{field}: want ip:port, got {text!r}")
    return ip, int(port)


def take(table, section, name, kind, default=None):
    value = table.get(section, {}).get(name, default)
    if value is None or not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        wanted = kind.__name__ if isinstance(kind, type) else "a number"
        raise SettingsProblem(f"{section}.{name}: want {wanted}, got {value!r}")
    return value


def readSettings(text):
    """Checks the text of a settings file and returns Settings, or raises SettingsProblem."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        raise SettingsProblem(f"not TOML: {problem}") from None
    for section, value in table.items():
        if not isinstance(value, dict):
            raise SettingsProblem(f"{section}: want a table, got {value!r}")
    settings = Settings()
    settings.name = take(table, "daemon", "name", str)
    settings.machineClass = take(table, "daemon", "machineClass", str, "")
    settings.ip = take(table, "daemon", "ip", str)
    splitAddress(settings.ip + ":1", "daemon.ip")
    settings.area = take(table, "daemon", "area", str)
    settings.region = take(table, "daemon", "region", str)
    settings.counted = take(table, "daemon", "counted", bool, False)
    settings.firstStart = take(table, "daemon", "firstStart", bool, False)
    settings.dataPath = take(table, "daemon", "dataPath", str, "")
    settings.memoryMb = take(table, "limits", "memoryMb", (int, float), 300)
    settings.fileLimit = take(table, "limits", "fileLimit", int, 4096)
    ports = take(table, "streams", "innerPorts", list)
    if len(ports) != 2 or not all(isinstance(p, int) and 0 < p < 65536 for p in ports) or ports[0] >= ports[1]:
        raise SettingsProblem(f"streams.innerPorts: want two rising ports, got {ports!r}")
    settings.innerPorts = tuple(ports)
    seeds = take(table, "streams", "seeds", list, [])
    settings.seeds = tuple(splitAddress(seed, "streams.seeds")[0] for seed in seeds)
    settings.listen = {name: splitAddress(address, f"listen.{name}")
                       for name, address in table.get("listen", {}).items()}
    areas = table.get("areas", {})
    for area, region in areas.items():
        if not isinstance(region, str):
            raise SettingsProblem(f"areas.{area}: want the name of a region, got {region!r}")
    settings.areas = dict(areas)
    settings.areas.setdefault(settings.area, settings.region)
    settings.beatMs = take(table, "terms", "beatMs", (int, float), 1500)
    settings.tolerance = dict(table.get("tolerance", {}))
    settings.bounds = Bounds(table.get("bounds", {}))
    settings.policyPath = take(table, "policy", "path", str, "")
    settings.steering = take(table, "steering", "on", bool, False)
    platform = take(table, "platform", "address", str, "")
    settings.platform = splitAddress(platform, "platform.address") if platform else None
    duties = take(table, "platform", "duties", list, []) if platform else []
    if not all(isinstance(duty, str) for duty in duties):
        raise SettingsProblem(f"platform.duties: want a list of names, got {duties!r}")
    settings.duties = tuple(duties)
    settings.dutyPerS = take(table, "platform", "dutyPerS", (int, float), 10)
    if isinstance(settings.dutyPerS, bool) or settings.dutyPerS <= 0:
        raise SettingsProblem(f"platform.dutyPerS: want a number above 0, got {settings.dutyPerS!r}")
    return settings


def settingsPath():
    """The path of the settings file that this process is to use."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


def loadSettings(path):
    """Reads and checks the settings file at `path`."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as problem:
        raise SettingsProblem(f"can't be read: {getattr(problem, 'strerror', None) or problem}") from None
    return readSettings(text)

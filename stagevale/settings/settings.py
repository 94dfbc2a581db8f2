"""The settings of one daemon: read from TOML, checked, and kept as plain fields."""

import os
import re
import tomllib
from collections.abc import Mapping
from typing import Any

from stagevale.settings.file_stamp import FileStamp, stamp_of

SETTINGS_VARIABLE = "STAGEVALE_CONFIG"
SETTINGS_PATH = "/etc/stagevale/settings.toml"
MOST_PORT = 65535
IPV4_DOTS = 3
PORT_RANGE_ENDS = 2
DEFAULT_TOLERANCE = 1
# In `contactMs`.
GONE_FOR_GOOD_CONTACTS = 8.0
LEAST_REPLICAS = 3

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
    "mergeMs": 3000,
    "recoveryS": 15,
    "ttl_max_s": 5,
    "leaseMs": 3000,
    "reportWindowS": 5,
    "usageDelayS": 10,
}
# Bounds that others are divided by, or that timers run on.
POSITIVE_BOUNDS = (
    "contactMs",
    "ackDeadlineMs",
    "gracePeriodS",
    "applyMs",
    "mergeMs",
    "retryWindowS",
    "leaseMs",
    "reportWindowS",
    "usageDelayS",
)

SocketAddress = tuple[str, int]
Table = dict[str, Any]


class SettingsError(Exception):
    """A settings file that can't be used; the message names the field."""


def snake_case(name: str) -> str:
    """The platform's name of a bound as a name in the code: `contactMs` as `contact_ms`."""
    return re.sub(r"(?<=[a-z])[A-Z]", lambda found: "_" + found.group().lower(), name)


class Bounds:
    """The bounds in force, by the platform's names; a name ends in its unit."""

    __slots__ = tuple(snake_case(name) for name in BOUND_DEFAULTS)

    seed_staleness_s: float
    addr_reuse_s: float
    contact_ms: float
    ack_deadline_ms: float
    sync_s: float
    drain_cutoff_ms: float
    grace_period_s: float
    loss_slack_ms: float
    apply_ms: float
    revert_slack_ms: float
    stretch_max_ms: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    cold_excess: float
    cold_margin: float
    evacuate_ms: float
    merge_ms: float
    recovery_s: float
    ttl_max_s: float
    lease_ms: float
    report_window_s: float
    usage_delay_s: float

    def __init__(self, table: Table) -> None:
        """Takes the bounds that a table gives, and defaults for the rest.

        Raises:
            SettingsError: a bound is no number, or below what it may be.
        """
        for name, default in BOUND_DEFAULTS.items():
            value = table.get(name, default)
            if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
                raise SettingsError(f"bounds.{name}: want a number not below 0, got {value!r}")
            setattr(self, snake_case(name), value)
        for name in POSITIVE_BOUNDS:
            if getattr(self, snake_case(name)) <= 0:
                raise SettingsError(f"bounds.{name}: want a number above 0")

    @property
    def gone_for_good_ms(self) -> float:
        """After so long a machine that is away isn't waited for any more. It decides effort only:
        its disk may still come back.
        """
        return self.contact_ms * GONE_FOR_GOOD_CONTACTS


class Settings:
    """One daemon's settings; immutable by convention, replaced as a whole on a reload.

    Attributes:
        name: the daemon's, unique in the system.
        machine_class: `edge` or `core`.
        ip: of the machine; `inner_ports` are the first and last port for peers.
        counted: whether the machine counts in the platform's judgement.
        first_start: whether this is the first start of the whole system.
        data_path: the folder on disk; empty where there is no disk.
        memory_mb, file_limit: of the process.
        seeds: IP addresses of daemons to join by.
        listen: where each interface is served.
        zones: the region of each zone.
        beat_ms: how far apart endpoints' heartbeats are.
        tolerance: which losses have to be borne at once.
        policy_path: a balancing policy; empty for none.
        steering: whether requests are routed by learned latency.
        metrics_ports: where each program shows its metrics, by its name.
        stamp: of the file that they were read from, taken before it was read; None without a file.
        platform, duties, duty_per_s: where the platform is, its singleton roles, and how often it
            may be called.
    """

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
        "metrics_ports",
        "stamp",
    )

    name: str
    machine_class: str
    ip: str
    zone: str
    region: str
    counted: bool
    first_start: bool
    data_path: str
    memory_mb: float
    file_limit: int
    inner_ports: tuple[int, int]
    seeds: tuple[str, ...]
    listen: dict[str, SocketAddress]
    zones: dict[str, str]
    beat_ms: float
    tolerance: Table
    bounds: Bounds
    policy_path: str
    steering: bool
    platform: SocketAddress | None
    duties: tuple[str, ...]
    duty_per_s: float
    metrics_ports: dict[str, int]
    stamp: FileStamp | None


def tolerated_disks(tolerance: Mapping[str, Any]) -> int:
    """How many machines that count may lose their disks at once, by the platform's tolerance."""
    return int(tolerance.get("machines", DEFAULT_TOLERANCE))


def replicas_to_outlive(tolerance: Mapping[str, Any]) -> int:
    """How many replicas state needs of which a majority acknowledges, to outlive the loss of as
    many disks as the platform's tolerance says: one that has it is left then, and so is a majority.

    A platform that tolerates no loss still restarts machines, so that there are three at least.
    """
    return max(LEAST_REPLICAS, 2 * tolerated_disks(tolerance) + 1)


def split_address(text: object, field: str) -> SocketAddress:
    """Takes `ip:port` apart.

    Raises:
        SettingsError: it is anything else; the message names the field.
    """
    ip, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    valid_port = port.isdigit() and 0 < int(port) <= MOST_PORT
    if not colon or not valid_port or ip.count(".") != IPV4_DOTS:
        raise SettingsError(f"{field}: want ip:port, got {text!r}")
    return ip, int(port)


def _take(table: Table, section: str, name: str, kind: Any, default: Any = None) -> Any:
    """A field of a section, of this type or one of these types."""
    value = table.get(section, {}).get(name, default)
    if value is None or not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        wanted = kind.__name__ if isinstance(kind, type) else "a number"
        raise SettingsError(f"{section}.{name}: want {wanted}, got {value!r}")
    return value


def read_settings(text: str) -> Settings:
    """Checks the text of a settings file.

    Raises:
        SettingsError: the settings can't be used; the message names the field.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not TOML: {error}") from error
    for section, value in table.items():
        if not isinstance(value, dict):
            raise SettingsError(f"{section}: want a table, got {value!r}")
    settings = Settings()
    settings.stamp = None
    _read_daemon(settings, table)
    _read_limits(settings, table)
    _read_network(settings, table)
    settings.beat_ms = _take(table, "terms", "beatMs", (int, float), 1500)
    settings.tolerance = dict(table.get("tolerance", {}))
    settings.bounds = Bounds(table.get("bounds", {}))
    settings.policy_path = _take(table, "policy", "path", str, "")
    settings.steering = _take(table, "steering", "on", bool, False)
    _read_platform(settings, table)
    settings.metrics_ports = _read_metrics(table)
    return settings


def _read_daemon(settings: Settings, table: Table) -> None:
    settings.name = _take(table, "daemon", "name", str)
    settings.machine_class = _take(table, "daemon", "machineClass", str, "")
    settings.ip = _take(table, "daemon", "ip", str)
    split_address(settings.ip + ":1", "daemon.ip")
    settings.zone = _take(table, "daemon", "zone", str)
    settings.region = _take(table, "daemon", "region", str)
    settings.counted = _take(table, "daemon", "counted", bool, False)
    settings.first_start = _take(table, "daemon", "firstStart", bool, False)
    settings.data_path = _take(table, "daemon", "dataPath", str, "")


def _read_limits(settings: Settings, table: Table) -> None:
    settings.memory_mb = _take(table, "limits", "memoryMb", (int, float), 300)
    settings.file_limit = _take(table, "limits", "fileLimit", int, 4096)


def _read_network(settings: Settings, table: Table) -> None:
    ports = _take(table, "connections", "innerPorts", list)
    if (
        len(ports) != PORT_RANGE_ENDS
        or not all(isinstance(port, int) and 0 < port <= MOST_PORT for port in ports)
        or ports[0] >= ports[1]
    ):
        raise SettingsError(f"connections.innerPorts: want two rising ports, got {ports!r}")
    settings.inner_ports = (ports[0], ports[1])
    seeds = _take(table, "connections", "seeds", list, [])
    settings.seeds = tuple(split_address(seed, "connections.seeds")[0] for seed in seeds)
    settings.listen = {
        name: split_address(address, f"listen.{name}")
        for name, address in table.get("listen", {}).items()
    }
    zones = table.get("zones", {})
    for zone, region in zones.items():
        if not isinstance(region, str):
            raise SettingsError(f"zones.{zone}: want the name of a region, got {region!r}")
    settings.zones = dict(zones)
    settings.zones.setdefault(settings.zone, settings.region)


def _read_platform(settings: Settings, table: Table) -> None:
    platform = _take(table, "platform", "address", str, "")
    settings.platform = split_address(platform, "platform.address") if platform else None
    duties = _take(table, "platform", "duties", list, []) if platform else []
    if not all(isinstance(duty, str) for duty in duties):
        raise SettingsError(f"platform.duties: want a list of names, got {duties!r}")
    settings.duties = tuple(duties)
    settings.duty_per_s = _take(table, "platform", "dutyPerS", (int, float), 10)
    if isinstance(settings.duty_per_s, bool) or settings.duty_per_s <= 0:
        raise SettingsError(
            f"platform.dutyPerS: want a number above 0, got {settings.duty_per_s!r}"
        )


def _read_metrics(table: Table) -> dict[str, int]:
    """The ports of section `metrics`: a program's name and its port."""
    return {program: _take(table, "metrics", program, int) for program in table.get("metrics", {})}


def settings_path() -> str:
    """The path of the settings file that this process is to use."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


def load_settings(path: str) -> Settings:
    """Reads and checks the settings file at `path`.

    Raises:
        SettingsError: the file can't be read, or its settings can't be used.
    """
    stamp = stamp_of(path)
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        raise SettingsError(f"can't be read: {reason}") from error
    settings = read_settings(text)
    settings.stamp = stamp
    return settings

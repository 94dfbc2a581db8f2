"""In which regions the requests of a host may be served, by the configuration."""

import json

from stagevale.configuration.value import ConfigurationValue


class HostHomes:
    """The homes of each host; read when they are asked for, once for each value."""

    __slots__ = ("_serial", "_homes")

    def __init__(self) -> None:
        self._serial: int | None = None
        self._homes: dict[str, frozenset[str]] = {}

    def of(self, host: str, value: ConfigurationValue | None) -> frozenset[str]:
        """The regions that all routes of the host with homes share, or any of them where there is
        no such region; empty for a host without homes.
        """
        if value is None or not value.config:
            return frozenset()
        if self._serial != value.serial:
            self._serial, self._homes = value.serial, _read(value.config)
        return self._homes.get(host.lower(), frozenset())


def _read(config: str) -> dict[str, frozenset[str]]:
    by_host: dict[str, list[frozenset[str]]] = {}
    for route in json.loads(config)["routes"]:
        homes = frozenset(route.get("homeRegions") or ())
        if homes:
            by_host.setdefault(route["host"].lower(), []).append(homes)
    return {
        host: frozenset.intersection(*homes) or frozenset.union(*homes)
        for host, homes in by_host.items()
    }

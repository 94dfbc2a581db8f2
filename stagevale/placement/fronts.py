"""Which fronts a client is told of."""

from collections.abc import Iterable
from typing import NamedTuple

MOST_FRONTS = 64


class ReadyFront(NamedTuple):
    """A front that is ready to serve, `ip:port`, and where it is."""

    front: str
    zone: str
    region: str


def fronts_for(zone: str, region: str, ready: Iterable[ReadyFront]) -> list[str]:
    """The fronts for a client: those of its own zone, else of its region, else any."""
    ready = list(ready)
    in_zone = sorted(each.front for each in ready if each.zone == zone)
    if in_zone:
        return in_zone
    in_region = sorted(each.front for each in ready if each.region == region)
    return in_region or sorted(each.front for each in ready)[:MOST_FRONTS]

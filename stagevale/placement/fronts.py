"""Which fronts a client is told of."""

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import Bounds

MOST_FRONTS = 64
# A proxy that shuts down takes new connections for this share of the grace period.
OPEN_SHARE = 0.4
# The contract excuses a cut only for requests that were sent within 3 s of SIGTERM.
LONGEST_OPEN_MS = 2500.0
# How long an answer that names proxies which shut down may be kept, and how long before they close
# their fronts they are named for the last time.
SHORT_TTL_S = 0.25
CLOSING_MARGIN_MS = SHORT_TTL_S * MS_PER_S + 100.0


def front_open_ms(bounds: Bounds) -> float:
    """How long a proxy takes new connections after it has begun to shut down."""
    return min(bounds.grace_period_s * MS_PER_S * OPEN_SHARE, LONGEST_OPEN_MS)


def named_while_draining_ms(bounds: Bounds) -> float:
    """How long a proxy that shuts down may still be named, where its region has no other."""
    return front_open_ms(bounds) - CLOSING_MARGIN_MS


class ReadyFront(NamedTuple):
    """A front that serves, `ip:port`, and where it is."""

    front: str
    zone: str
    region: str


class FrontChoice(NamedTuple):
    """The fronts that a client is told of.

    Attributes:
        fronts: `ip:port` of each.
        is_brief: they shut down, so that the answer must not be kept.
    """

    fronts: list[str]
    is_brief: bool


def _named(fronts: Iterable[ReadyFront]) -> list[str]:
    return sorted(each.front for each in fronts)


def choose_fronts(
    zone: str,
    region: str,
    ready: Collection[ReadyFront],
    draining: Collection[ReadyFront] = (),
    homes_of_host: Callable[[], Collection[str]] = tuple,
) -> FrontChoice:
    """The fronts for a client: those of its own zone, else of its region, there rather one that
    shuts down than one of another region; then those of its host's homes, else any.

    Args:
        zone: the client's.
        region: likewise.
        ready: the fronts that are ready.
        draining: those that shut down and still take connections.
        homes_of_host: tells the regions that the host's requests may be served in, none for all;
            called only where the client's region has no front.
    """
    in_zone = _named(each for each in ready if each.zone == zone)
    if in_zone:
        return FrontChoice(in_zone, False)
    in_region = _named(each for each in ready if each.region == region)
    if in_region:
        return FrontChoice(in_region, False)
    still_open = _named(each for each in draining if each.region == region)
    if still_open:
        return FrontChoice(still_open, True)
    homes = homes_of_host()
    in_homes = _named(each for each in ready if each.region in homes)
    return FrontChoice((in_homes or _named(ready))[:MOST_FRONTS], False)

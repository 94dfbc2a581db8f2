"""A proxy's lease on what may be withdrawn from it, and how long the stores wait for it."""

from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.settings.settings import Bounds

# A lease lasts this share of `applyMs`. A proxy uses it for a little less, and the stores wait a
# little longer, since their clocks don't run alike.
LENGTH_SHARE = 0.8
USE_MARGIN_SHARE = 0.1
WAIT_FACTOR = 1.25


def lease_ms(bounds: Bounds) -> float:
    """How long a lease lasts, from the request on."""
    return bounds.apply_ms * LENGTH_SHARE


def longest_use_ms(bounds: Bounds) -> float:
    """How long after a withdrawal was committed every lease requested before is out of use."""
    return lease_ms(bounds) * WAIT_FACTOR


class Lease:
    """A lease that is renewed by numbered requests; counted on the monotonic clock from the moment
    of the request, never of the grant.

    Attributes:
        length_ms: how long it lasts.
        last_number: of the last request; 0 before the first.
        until_ms: until when it may be used.
    """

    __slots__ = ("length_ms", "_requests", "last_number", "until_ms")

    def __init__(self, bounds: Bounds) -> None:
        self.length_ms = lease_ms(bounds)
        self._requests: dict[int, float] = {}
        self.last_number = 0
        self.until_ms = LONG_AGO_MS

    def request(self, now_ms: float) -> int:
        """The number of the next request, which is sent now."""
        self.last_number += 1
        self._requests[self.last_number] = now_ms
        self._requests = {
            number: sent_ms
            for number, sent_ms in self._requests.items()
            if now_ms - sent_ms < self.length_ms
        }
        return self.last_number

    def grant(self, number: int, newest_serial: int, own_serial: int) -> None:
        """Takes in the reply to a request.

        Args:
            number: of the request.
            newest_serial: the newest at some moment after the request.
            own_serial: of the configuration value that the proxy holds; an older one gets no lease.
        """
        requested_ms = self._requests.get(number)
        if requested_ms is not None and own_serial >= newest_serial:
            until_ms = requested_ms + self.length_ms * (1.0 - USE_MARGIN_SHARE)
            self.until_ms = max(self.until_ms, until_ms)

    def is_held(self, now_ms: float) -> bool:
        """True while what may be withdrawn may be used."""
        return now_ms < self.until_ms

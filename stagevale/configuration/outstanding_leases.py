"""For how long proxies may still use what has just been withdrawn from them."""

from stagevale.leases.lease import longest_use_ms
from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.runtime.context import Context


class OutstandingLeases:
    """Until when leases may be in use that are older than the newest withdrawal."""

    __slots__ = ("context", "_withdrawn_ms")

    def __init__(self, context: Context) -> None:
        self.context = context
        self._withdrawn_ms = LONG_AGO_MS

    def record_withdrawal(self) -> None:
        """A withdrawal has been committed now; or this daemon begins to lead and may have missed
        one.
        """
        self._withdrawn_ms = self.context.now_ms()

    def left_ms(self) -> int:
        """How long a lease may still be in use that is older than the newest withdrawal; at least
        1.
        """
        until_ms = self._withdrawn_ms + longest_use_ms(self.context.settings.bounds)
        return int(max(0.0, until_ms - self.context.now_ms())) + 1

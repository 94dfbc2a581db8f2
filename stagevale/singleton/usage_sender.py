"""Sends committed reports to the platform, one after the other, word for word."""

import http
from typing import TYPE_CHECKING

from stagevale.runtime.clock import LONG_AGO_MS, MS_PER_S
from stagevale.singleton.platform_call import PlatformCall, PlatformRequest
from stagevale.singleton.value import PendingReport, SingletonValue

if TYPE_CHECKING:
    from stagevale.singleton.node import SingletonNode

SUCCESS, REDIRECTION = 200, 300
USAGE_PATH = "/usage"
SENT_KEPT = 100
# Shares of `usageDelayS`: the shortest and the longest pause after a failed call, and how long a
# call may take.
LEAST_BACKOFF_SHARE = 0.05
MOST_BACKOFF_SHARE = 0.2
TIMEOUT_SHARE = 0.4
BACKOFF_FACTOR = 1.6
# After a call under one fencing token, none is made under another for so many `leaseMs`.
TOKEN_PAUSE_LEASES = 1.25


class UsageSender:
    """Sends the oldest report that is due; a call whose outcome is unclear is repeated as it was.

    Attributes:
        call: the call that is under way, or None.
    """

    __slots__ = (
        "node",
        "_sent",
        "call",
        "_backoff_ms",
        "_next_ms",
        "_last_write_ms",
        "_last_token",
    )

    def __init__(self, node: "SingletonNode") -> None:
        self.node = node
        self._sent: set[int] = set()
        self.call: PlatformCall | None = None
        self._backoff_ms = self._least_backoff_ms()
        self._next_ms = 0.0
        self._last_write_ms = LONG_AGO_MS
        self._last_token = 0

    def is_sent(self, report: PendingReport) -> bool:
        """True for a report that is known to have arrived."""
        return report.window in self._sent

    def sent_windows(self) -> list[int]:
        """Windows whose reports are known to have arrived, oldest first."""
        return sorted(self._sent)

    def unsent_windows(self, value: SingletonValue | None) -> list[int]:
        """Windows of a value's reports that aren't known to have arrived."""
        if value is None:
            return []
        return [report.window for report in value.pending if not self.is_sent(report)]

    def _least_backoff_ms(self) -> float:
        settings = self.node.context.settings
        least_ms = settings.bounds.usage_delay_s * MS_PER_S * LEAST_BACKOFF_SHARE
        return max(MS_PER_S / settings.duty_per_s, least_ms)

    def send_next(self) -> None:
        """Sends the oldest report that is due, if no call is under way."""
        node = self.node
        now_ms = node.context.now_ms()
        if not node.holds_role() or self.call is not None or now_ms < self._next_ms:
            return
        value = node.role_value()
        report = next((each for each in value.pending if not self.is_sent(each)), None)
        if report is None:
            return
        token = value.fencing_token
        lease_ms = node.context.settings.bounds.lease_ms
        pause_until_ms = self._last_write_ms + lease_ms * TOKEN_PAUSE_LEASES
        if now_ms < pause_until_ms and self._last_token != token:
            self._next_ms = pause_until_ms
            return
        self._send(report, token)

    def _send(self, report: PendingReport, token: int) -> None:
        node = self.node
        settings = node.context.settings

        def done(status: int | None, error: str | None) -> None:
            if self.call is call:
                self.call = None
                self._on_done(report.window, token, status, error)

        def written() -> None:
            self._last_write_ms = node.context.now_ms()
            self._last_token = token

        call = PlatformCall(
            node.context,
            PlatformRequest(USAGE_PATH, report.text, settings.name, token),
            node.confirm_role,
            written,
            done,
            settings.bounds.usage_delay_s * MS_PER_S * TIMEOUT_SHARE,
        )
        self.call = call
        call.open()

    def _on_done(self, window: int, token: int, status: int | None, error: str | None) -> None:
        """A call has ended; one with an unclear outcome is repeated after a backoff."""
        context = self.node.context
        now_ms = context.now_ms()
        if status is not None and SUCCESS <= status < REDIRECTION:
            self._sent.add(window)
            self._sent = {kept for kept in self._sent if kept > window - SENT_KEPT}
            self._backoff_ms = self._least_backoff_ms()
            self._next_ms = now_ms + MS_PER_S / context.settings.duty_per_s
            context.log.info("duties: window %d was taken under fence %d.", window, token)
            context.call_soon(self.send_next)
            return
        context.log.info(
            "duties: window %d under fence %d: %s.",
            window,
            token,
            f"the platform answers {status}" if status is not None else error,
        )
        self._next_ms = now_ms + self._backoff_ms
        most_ms = context.settings.bounds.usage_delay_s * MS_PER_S * MOST_BACKOFF_SHARE
        self._backoff_ms = min(self._backoff_ms * BACKOFF_FACTOR, most_ms)
        if status == http.HTTPStatus.CONFLICT:
            self.node.on_fenced_off()

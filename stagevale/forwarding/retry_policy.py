"""Which requests are sent to a second endpoint: retries after a failure, hedges beside silence."""

from typing import TYPE_CHECKING

from stagevale.balancing.budget import Budget
from stagevale.balancing.target import Target
from stagevale.forwarding.request import Request

if TYPE_CHECKING:
    from stagevale.forwarding.forwarder import Forwarder

# An idempotent request is hedged once its endpoint has been silent for so many times what was
# expected, and for this share of its latency target.
HEDGE_EXPECTED = 2.5
HEDGE_TARGET_SHARE = 0.4
# Of the work that is expected, this share has to fit into the time that is left.
RETRY_WORK_SHARE = 0.5
HEDGE_WORK_SHARE = 0.7
# Endpoints that can't be reached don't count as attempts, but there is an end to it.
MOST_UNREACHABLE = 4


class RetryPolicy:
    """Spends the budget that all proxies share."""

    __slots__ = ("forwarder", "context", "chooser", "_budgets", "_started_ms")

    def __init__(self, forwarder: "Forwarder") -> None:
        self.forwarder = forwarder
        self.context = forwarder.context
        self.chooser = forwarder.chooser
        self._budgets: dict[str, Budget] = {}
        self._started_ms = forwarder.context.now_ms()

    def _budget(self, service: str) -> Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = Budget(self.context.settings.bounds, self._started_ms)
            self._budgets[service] = budget
        return budget

    def count_request(self, request: Request) -> None:
        """A request raises its service's budget."""
        self._budget(request.service).note(request.start_ms)

    def count_retry(self, request: Request) -> None:
        """An attempt beyond the first spends it."""
        self._budget(request.service).spend(request.sent_ms)

    def _is_affordable(self, request: Request, now_ms: float) -> bool:
        proxies = len(self.forwarder.snapshot.proxies)
        return bool(self._budget(request.service).allows(now_ms, proxies))

    def retry(self, request: Request, target: Target, now_ms: float) -> bool:
        """Sends a request once more, where its route, the budget and its time allow."""
        request.tried += (target.id,)
        work_ms = self.chooser.estimates.work_ms(request.route) * RETRY_WORK_SHARE
        if (
            request.attempts >= request.route.max_attempts
            or now_ms + work_ms > request.deadline_ms
            or not self._is_affordable(request, now_ms)
            or self.chooser.choose(request, self.forwarder.snapshot, now_ms) is None
        ):
            return False
        self.forwarder.offer(request)
        return True

    def may_try_unreachable(self, request: Request) -> bool:
        """True while a request may go on looking for an endpoint that can be reached."""
        return len(request.tried) <= MOST_UNREACHABLE

    def plan_hedge(self, request: Request, target: Target) -> None:
        """Has an idempotent request looked at again once its endpoint has been silent for long."""
        route = request.route
        if not route.pure or route.max_attempts <= 1 or request.expected_ms is None:
            return
        wait_ms = max(request.expected_ms * HEDGE_EXPECTED, route.target_ms * HEDGE_TARGET_SHARE)
        self.context.call_later(wait_ms, self._hedge, request, target, request.sent_ms)

    def _hedge(self, request: Request, target: Target, sent_ms: float) -> None:
        """Sends a request to a second endpoint beside one that is silent."""
        now_ms = self.context.now_ms()
        work_ms = self.chooser.estimates.work_ms(request.route) * HEDGE_WORK_SHARE
        if (
            request.answer is not None
            or not request.connections
            or request.attempts >= request.route.max_attempts
            or target.answered_ms > sent_ms
            or request.route.partner is not None
            or now_ms + work_ms > request.deadline_ms
            or not self._is_affordable(request, now_ms)
        ):
            return
        request.tried += (target.id,)
        second = self.chooser.choose(request, self.forwarder.snapshot, now_ms)
        if second is not None and second.load(now_ms) < second.slots:
            self.forwarder.offer_to(request, second, now_ms)

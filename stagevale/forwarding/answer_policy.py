"""What an endpoint's answer means: for its request, and for what is known of the endpoint."""

import http
from typing import TYPE_CHECKING

from stagevale.balancing.target import Target
from stagevale.forwarding.endpoint_connection import MISDIRECTED, EndpointAnswer
from stagevale.forwarding.request import Request
from stagevale.sessions.records import KeyState

if TYPE_CHECKING:
    from stagevale.forwarding.forwarder import Forwarder

BAD_GATEWAY = http.HTTPStatus.BAD_GATEWAY.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value
SERVER_ERROR = http.HTTPStatus.INTERNAL_SERVER_ERROR.value
# Statuses that promise that the request has not run: an endpoint's without `Not-Run` promise
# nothing, so they never go to the client.
PROMISING_STATUSES = (408, 429, 503)
SEAL_HEADER = b"server-seal"
LOAD_HEADER = b"server-load"
LOAD_FIELDS = 3
# A full endpoint's load, in its slots, where it doesn't tell.
FULL_LOAD_SLOTS = 3.0


class AnswerPolicy:
    """Handles the complete answers of endpoints."""

    __slots__ = ("forwarder", "context", "chooser")

    def __init__(self, forwarder: "Forwarder") -> None:
        self.forwarder = forwarder
        self.context = forwarder.context
        self.chooser = forwarder.chooser

    def handle(self, request: Request, target: Target, answer: EndpointAnswer) -> None:
        """Handles an endpoint's answer to a request."""
        now_ms = self.context.now_ms()
        _learn_load(target, answer, now_ms)
        not_run = answer.proves_not_run
        if request.answer is not None:
            self._record_late(request, answer, not_run)
            return
        target.answered_ms = now_ms
        if request.connections and (not_run or answer.status >= SERVER_ERROR):
            # Another endpoint still works on it.
            request.ran = request.ran or not not_run
            if answer.status == MISDIRECTED:
                target.gone = True
            return
        if not_run:
            self._on_not_run(request, target, answer.status, now_ms)
            return
        request.ran = True
        failed = answer.status >= SERVER_ERROR or (
            answer.is_success and SEAL_HEADER not in answer.fields
        )
        self.forwarder.count_outcome(request, target, failed)
        if answer.is_success:
            if not _is_genuine(answer):
                self._on_not_genuine(request, target, now_ms)
                return
            self._on_success(request, target, answer, now_ms)
        elif self._is_retried(request, target, answer, now_ms):
            return
        elif answer.status in PROMISING_STATUSES:
            self.forwarder.answer(request, BAD_GATEWAY, "the endpoint failed")
            return
        request.from_endpoint = True
        self.forwarder.finish(request, answer.to_client())

    def _record_late(self, request: Request, answer: EndpointAnswer, not_run: bool) -> None:
        """The client has gone: what became of its key is recorded."""
        if not_run:
            self.forwarder.record_unanswered(request, KeyState.NOT_RUN)
        elif answer.is_success and SEAL_HEADER not in answer.fields:
            self.forwarder.record_unanswered(request, KeyState.UNKNOWN)
        else:
            self.forwarder.record_unanswered(request, KeyState.ANSWERED, answer.to_client())

    def _on_not_run(self, request: Request, target: Target, status: int, now_ms: float) -> None:
        """The endpoint has rejected the request: it may go elsewhere whatever its kind."""
        usage = self.forwarder.usage
        if usage is not None and request.window is not None and not request.ran:
            if request.tenant is not None:
                usage.undo(request.window, request.tenant.name)
            request.window = None
        if status == MISDIRECTED:
            target.gone = True
        elif status == UNAVAILABLE:
            target.others = max(target.others, target.slots * FULL_LOAD_SLOTS)
            target.others_ms = now_ms
        if not self.forwarder.retries.retry(request, target, now_ms):
            self.forwarder.reject(request, "endpoints turned it away")

    def _is_retried(
        self, request: Request, target: Target, answer: EndpointAnswer, now_ms: float
    ) -> bool:
        """Sends an idempotent request elsewhere whose endpoint has failed; False where that can't
        be.
        """
        if answer.status < SERVER_ERROR or not request.route.pure:
            return False
        return self.forwarder.retries.retry(request, target, now_ms)

    def _on_not_genuine(self, request: Request, target: Target, now_ms: float) -> None:
        target.failed(now_ms, 0, 0, False)
        if request.connections:
            return
        if request.route.pure and self.forwarder.retries.retry(request, target, now_ms):
            return
        self.forwarder.answer(request, BAD_GATEWAY, "not the endpoint's own answer")

    def _on_success(
        self, request: Request, target: Target, answer: EndpointAnswer, now_ms: float
    ) -> None:
        """Learns from a served request."""
        forwarder, chooser, route = self.forwarder, self.chooser, request.route
        target.served()
        if request.session is not None and forwarder.sessions is not None:
            forwarder.sessions.pin(request.session, request.service, target.id)
        if forwarder.usage is not None and request.tenant is not None and route.cacheable:
            forwarder.usage.count(request.tenant.name, now_ms)
        took_ms = now_ms - request.sent_ms
        if chooser.latency_router is not None:
            chooser.latency_router.add_answer(
                target.service,
                target.region,
                chooser.estimates.work_ms(route),
                took_ms,
                request.expected_ms,
                now_ms,
            )
        chooser.estimates.add_served(route, target, took_ms, request.was_queued)
        chooser.estimates.add_size(route, len(request.body) + len(answer.body))


def _is_genuine(answer: EndpointAnswer) -> bool:
    """True for a success that is the endpoint's own, with the body as it is."""
    return SEAL_HEADER in answer.fields and b"content-encoding" not in answer.fields


def _learn_load(target: Target, answer: EndpointAnswer, now_ms: float) -> None:
    """Takes in a `Server-Load`: requests running, requests waiting, slots."""
    load = answer.fields.get(LOAD_HEADER)
    if not load:
        return
    numbers = load.split(b",")
    if len(numbers) == LOAD_FIELDS and all(number.strip().isdigit() for number in numbers):
        target.told(int(numbers[0]), int(numbers[1]), now_ms)

"""Carries requests between clients' connections and endpoints' connections."""

import http
from typing import TYPE_CHECKING

from stagevale.balancing.chooser import Chooser
from stagevale.balancing.snapshot import empty_snapshot
from stagevale.balancing.target import Target
from stagevale.forwarding.admission import Admission
from stagevale.forwarding.answer import NOT_WRITTEN, Answer
from stagevale.forwarding.answer_policy import AnswerPolicy
from stagevale.forwarding.client_connection import ClientConnection
from stagevale.forwarding.endpoint_connection import EndpointAnswer, EndpointConnection
from stagevale.forwarding.flow_counter import FlowCounter
from stagevale.forwarding.queue import RequestQueue
from stagevale.forwarding.request import Request
from stagevale.forwarding.request_body import BodyBudget
from stagevale.forwarding.retry_policy import RetryPolicy
from stagevale.leases.lease import Lease
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context
from stagevale.sessions.records import KeyState
from stagevale.singleton.usage_counter import UsageCounter

if TYPE_CHECKING:
    from stagevale.rollouts.outcomes import Outcomes
    from stagevale.sessions.proxy_sessions import ProxySessions

CONFLICT = http.HTTPStatus.CONFLICT.value
BAD_GATEWAY = http.HTTPStatus.BAD_GATEWAY.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value
GATEWAY_TIMEOUT = http.HTTPStatus.GATEWAY_TIMEOUT.value
# Load shedding: a request that no endpoint can take within this share of its latency target is
# rejected, while a second attempt of the client may still be in time.
REJECT_SHARE = 0.2
# When the client may try again, as a share of the latency target.
RETRY_AFTER_SHARE = 0.12
RETRY_AFTER_JITTER = (0.8, 1.6)
# A request that would need more than this share of the expected time beyond its deadline isn't
# sent.
LEAST_TIME_SHARE = 0.5
# An endpoint that couldn't be reached, or broke off, rests for so small a part of `contactMs`.
UNREACHABLE_RESTS_PER_CONTACT = 8.0
BROKEN_RESTS_PER_CONTACT = 10.0


class Forwarder:
    """The way of requests through a proxy.

    Attributes:
        snapshot: what the proxy knows of configuration and endpoints; replaced as a whole.
        chooser: chooses endpoints.
        lease: on partner routes and new versions.
        connections: clients' connections; running: how many requests are under way.
        bodies: what the bodies of all requests take.
        leaving: a graceful shutdown has begun: connections end with what was read so far.
        end_ms: when the process ends, once it takes no connections any more; None until then.
        usage: counts of requests by tenant, or None.
        sessions: the proxy's sessions, or None.
        outcomes: of requests under rollouts, or None before the first.
        flows: where requests went.
    """

    __slots__ = (
        "context",
        "snapshot",
        "chooser",
        "lease",
        "admission",
        "retries",
        "answers",
        "queue",
        "connections",
        "bodies",
        "running",
        "leaving",
        "end_ms",
        "usage",
        "sessions",
        "outcomes",
        "flows",
    )

    def __init__(self, context: Context, address: str) -> None:
        self.context = context
        self.snapshot = empty_snapshot()
        self.lease = Lease(context.settings.bounds)
        self.chooser = Chooser(context, address, self.lease)
        self.admission = Admission(self)
        self.retries = RetryPolicy(self)
        self.answers = AnswerPolicy(self)
        self.queue = RequestQueue()
        self.connections: set[ClientConnection] = set()
        self.bodies = BodyBudget(context)
        self.running = 0
        self.leaving = False
        self.end_ms: float | None = None
        self.usage: UsageCounter | None = None
        self.sessions: ProxySessions | None = None
        self.outcomes: Outcomes | None = None
        self.flows = FlowCounter(self.chooser.estimates)

    # a request begins

    def read(self, request: Request) -> None:
        """Finds what a request asks for; one that can't go on gets its answer here."""
        rejection = self.admission.read(request)
        if rejection is None:
            self.retries.count_request(request)
        elif rejection.status == UNAVAILABLE:
            self.answer(request, rejection.status, rejection.reason, may_retry=True)
        else:
            self.answer(request, rejection.status, rejection.reason)

    def start(self, request: Request) -> None:
        """Starts a request that has been read: a timer for its deadline, then the first offer."""
        request.started = True
        self.running += 1
        left_ms = max(1.0, request.deadline_ms - self.context.now_ms())
        request.timer = self.context.call_later(left_ms, self._on_deadline, request)
        if request.reservation is not None and self.sessions is not None:
            self.sessions.start(request)
        else:
            self.offer(request)

    def offer(self, request: Request) -> None:
        """Sends a request to the best endpoint, queues it, or rejects it while that is early."""
        now_ms = self.context.now_ms()
        if not self.admission.may_send(request):
            return
        target = self.chooser.choose(request, self.snapshot, now_ms)
        if target is not None and not request.offered:
            least_ms = (request.expected_ms or 0.0) * LEAST_TIME_SHARE
            if now_ms + least_ms > request.deadline_ms:
                target = None
        if target is not None:
            self.offer_to(request, target, now_ms)
            return
        shed_ms = request.route.target_ms * REJECT_SHARE
        patience_ms = request.start_ms + request.reservation_ms + shed_ms - now_ms
        if patience_ms <= 0 or request.attempts > 0:
            self.reject(request, "no endpoint can take it")
            return
        self.queue.add(request)
        self.context.call_later(patience_ms + 1, self._on_queue_timeout, request)

    def offer_to(self, request: Request, target: Target, now_ms: float) -> None:
        """Puts a request on a connection to an endpoint, an idle one where there is one."""
        request.offered = True
        request.attempts += 1
        request.was_queued = target.load(now_ms) >= target.slots
        target.took(now_ms)
        if now_ms < target.cold_until_ms:
            target.cold_sent.append(now_ms)
        if target.idle:
            connection = target.idle.pop()
            request.connections.append(connection)
            connection.send(request)
        else:
            connection = EndpointConnection(self, target)
            request.connections.append(connection)
            connection.open(request)

    # the queue

    def _on_queue_timeout(self, request: Request) -> None:
        if self.queue.remove(request):
            self.reject(request, "no endpoint free in time")

    def _serve_queue(self, service: str) -> None:
        """An endpoint of this service has room: the next request is offered."""
        request = self.queue.pop(service)
        if request is not None:
            self.offer(request)

    def offer_queued(self) -> None:
        """After a change of the snapshot every queued request is looked at again."""
        for request in self.queue.take_all():
            self.offer(request)

    # what endpoints' connections report

    def may_use(self, target: Target) -> bool:
        """Looks again, at the moment of writing, whether an endpoint's software version may still
        be used.
        """
        return self.chooser.may_use(target, self.snapshot, self.context.now_ms())

    def may_send(self, request: Request) -> bool:
        """See `Admission.may_send`."""
        return self.admission.may_send(request)

    def on_sent(self, request: Request, target: Target) -> None:
        """A request's bytes go out now."""
        request.sent_ms = self.context.now_ms()
        self._count_usage(request, target)
        if request.attempts > 1:
            self.retries.count_retry(request)
            self.flows.count_retry(request)
        else:
            self.flows.count_first(request, target.zone)
            self.retries.plan_hedge(request, target)

    def _count_usage(self, request: Request, target: Target) -> None:
        """Counts a request in the window in which its endpoint begins it."""
        if self.usage is None or request.tenant is None or request.window is not None:
            return
        if not request.route.cacheable:
            begins_ms = request.sent_ms + self.chooser.estimates.one_way_ms(target.region)
            request.window = self.usage.count(request.tenant.name, begins_ms)

    def _release(self, request: Request, target: Target) -> None:
        """An endpoint is done with a request."""
        target.gave(self.context.now_ms())
        request.connections = [
            connection for connection in request.connections if connection.target is not target
        ]
        request.release_body()
        self.context.call_soon(self._serve_queue, target.service)

    def on_not_needed(self, request: Request, target: Target) -> None:
        """A request was answered at the last moment before its first byte would have gone out."""
        self._release(request, target)

    def on_not_sent(self, request: Request, target: Target, error: BaseException | None) -> None:
        """Nothing of a request was written: it may go elsewhere whatever its kind.

        Args:
            request: the request.
            target: the endpoint.
            error: why it couldn't be reached; None where it may be sound.
        """
        self._release(request, target)
        if error is not None:
            self.count_outcome(request, target, True)
            service = self.snapshot.services.get(target.service)
            target.failed(
                self.context.now_ms(),
                self.context.settings.bounds.contact_ms / UNREACHABLE_RESTS_PER_CONTACT,
                service.warmup_ms if service else 0,
                True,
            )
        request.attempts -= 1
        request.tried += (target.id,)
        if request.answer is not None or request.connections:
            return
        if self.retries.may_try_unreachable(request):
            self.offer(request)
        else:
            self.reject(request, "no endpoint can be reached")

    def on_broken(self, request: Request, target: Target, reason: str) -> None:
        """The connection broke under a request: it may have run."""
        self._release(request, target)
        self.count_outcome(request, target, True)
        now_ms = self.context.now_ms()
        rest_ms = self.context.settings.bounds.contact_ms / BROKEN_RESTS_PER_CONTACT
        target.failed(now_ms, rest_ms, 0, False)
        if request.answer is not None:
            self.record_unanswered(request, KeyState.UNKNOWN)
            return
        request.ran = True
        if request.connections:
            return
        if request.route.pure and self.retries.retry(request, target, now_ms):
            return
        self.context.log.debug(
            "forwarder: %s at %s: %s.", request.route.name, target.address, reason
        )
        self.answer(request, BAD_GATEWAY, "the endpoint's answer broke off")

    def on_answer(self, request: Request, target: Target, answer: EndpointAnswer) -> None:
        """An endpoint's complete answer has come."""
        self._release(request, target)
        self.answers.handle(request, target, answer)

    def count_outcome(self, request: Request, target: Target, failed: bool) -> None:
        """Counts what became of a request at an endpoint, for a rollout and for the choice of
        regions.
        """
        now_ms = self.context.now_ms()
        if failed and self.chooser.latency_router is not None and request.sent_ms:
            self.chooser.latency_router.add_failure(
                target.service,
                target.region,
                self.chooser.estimates.work_ms(request.route),
                now_ms - request.sent_ms,
                now_ms,
            )
        rollouts = self.snapshot.rollouts
        rollout = rollouts.get(target.service) if rollouts else None
        if rollout is not None:
            if self.outcomes is None:
                # Loaded with the first rollout: most systems have none.
                from stagevale.rollouts.outcomes import Outcomes

                self.outcomes = Outcomes()
            late = now_ms - request.start_ms > request.route.target_ms
            self.outcomes.count(rollout, target.software, target.zone, failed, late)

    # a request ends

    def reject(self, request: Request, reason: str) -> None:
        """Ends a request that no endpoint has run: the promise of a 503, or 502 where it may have
        run.
        """
        if request.ran:
            self.answer(request, BAD_GATEWAY, reason)
        else:
            self.answer(request, UNAVAILABLE, reason, may_retry=True)

    def answer(self, request: Request, status: int, reason: str, may_retry: bool = False) -> None:
        """Answers a request with a status of the proxy's own.

        Args:
            request: the request.
            status: an HTTP status.
            reason: the body.
            may_retry: whether the client is told when to try again.
        """
        self.context.metrics.refusals.increment(f"{status} {reason}")
        headers = [(b"Content-Type", b"text/plain")]
        if request.attempt_id:
            headers.append((b"Attempt-Id", request.attempt_id))
        if may_retry:
            bounds = self.context.settings.bounds
            target_ms = request.route.target_ms if request.route else bounds.contact_ms
            jitter = self.context.random.uniform(*RETRY_AFTER_JITTER)
            wait_ms = target_ms * RETRY_AFTER_SHARE * jitter
            headers.append((b"Retry-After", f"{wait_ms / MS_PER_S:.3f}".encode()))
        self.finish(request, Answer(status, b"", headers, reason.encode()))

    def _on_deadline(self, request: Request) -> None:
        """A request's time is over: its endpoint, if any, is no longer waited for."""
        if request.answer is not None:
            self._detach(request)
            state = KeyState.UNKNOWN if request.offered else KeyState.NOT_RUN
            self.record_unanswered(request, state)
            return
        self.end_request(request)

    def end_request(self, request: Request) -> None:
        """Answers a request that is no longer waited for: 504 where an endpoint may have begun it,
        503 where none has.
        """
        if request.reservation is not None and not request.offered:
            first = request.reservation.first
            if first is not None and first.offered:
                self.answer(request, CONFLICT, "this key is at work")
            else:
                reason = "its key can't be noted in time"
                self.answer(request, UNAVAILABLE, reason, may_retry=True)
            return
        if self.queue.remove(request):
            self.reject(request, "no endpoint free in time")
            return
        self._detach(request)
        if request.offered:
            self.answer(request, GATEWAY_TIMEOUT, "no answer in time")
        else:
            self.reject(request, "no endpoint in time")

    def _detach(self, request: Request) -> None:
        """Takes a request off the endpoints' connections that carry it."""
        connections, request.connections = request.connections, []
        now_ms = self.context.now_ms()
        for connection in connections:
            if connection.request is not request:
                continue
            if request.answer is None and request.deadline_ms <= now_ms + 1:
                self.count_outcome(request, connection.target, True)
            connection.give_up()
            connection.target.outstanding -= 1
            self.context.call_soon(self._serve_queue, connection.target.service)
        request.release_body()

    def on_client_gone(self, request: Request) -> None:
        """The client has gone: an idempotent request ends; another ends too while nothing of it
        was written, else it runs on and its answer is dropped.
        """
        if request.answer is not None:
            return
        request.answer = NOT_WRITTEN
        request.release_body()
        if not request.started:
            return
        self.queue.remove(request)
        unwritten = request.reservation is None and all(
            connection.transport is None for connection in request.connections
        )
        ends = request.route.pure or unwritten
        if request.timer is not None and ends:
            request.timer.cancel()
        self.running -= 1
        if ends:
            self._detach(request)

    def record_unanswered(
        self, request: Request, state: KeyState, answer: Answer | None = None
    ) -> None:
        """A request with a reserved key, whose client has gone, came to its end."""
        if request.reservation is not None and self.sessions is not None:
            self.sessions.finish_unanswered(request, state, answer)

    def finish(self, request: Request, answer: Answer) -> None:
        """Sets a request's answer and has its connection write what is due; the outcome of a
        reserved key is recorded first.
        """
        if request.answer is not None:
            return
        reservation, sessions = request.reservation, self.sessions
        if (
            reservation is not None
            and sessions is not None
            and not reservation.recorded
            and sessions.is_live(request)
        ):
            sessions.settle(request, answer, lambda recorded: self.finish(request, recorded))
            return
        request.answer = answer
        request.release_body()
        if request.timer is not None and not request.connections:
            request.timer.cancel()
        if request.started:
            self.running -= 1
            request.connection.flush()

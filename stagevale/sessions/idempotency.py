"""At-most-once requests: a key is reserved by a majority of its group before its request is sent,
and its outcome is recorded before the client gets the answer.
"""

import http
from collections.abc import Callable

from stagevale.forwarding.answer import Answer
from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.endpoint_affinity import EndpointAffinity
from stagevale.sessions.group_client import GroupClient, GroupReplies
from stagevale.sessions.key_lookup import KeyLookup
from stagevale.sessions.key_reservation import reservation_of
from stagevale.sessions.messages import ReplyCode, ReserveKeyRequest
from stagevale.sessions.outcome_recorder import OutcomeRecorder
from stagevale.sessions.ports import SessionForwarder, SessionRequest
from stagevale.sessions.records import KeyRecord, KeyState, SessionRecord
from stagevale.sessions.session_leases import SessionLease, SessionLeases
from stagevale.sessions.stored_answer import StoredAnswer

IF_UNKNOWN = 1
TOO_LATE = "its key can't be noted in time"
# A key is waited for up to this share of the route's latency target.
PATIENCE_SHARE = 0.5
# How often a key that is at work elsewhere is looked at, as a share of `contactMs`.
LOOK_SHARE = 0.025
# What a last look has to leave of the request's time, in replica time-outs.
LAST_LOOK_TIMEOUTS = 0.3
# Answers of the proxy's own that say that no endpoint has run the request.
NOT_RUN_STATUSES = (401, 404, 408, 429, 503)

UNPROCESSABLE = http.HTTPStatus.UNPROCESSABLE_ENTITY.value
CONFLICT = http.HTTPStatus.CONFLICT.value
GATEWAY_TIMEOUT = http.HTTPStatus.GATEWAY_TIMEOUT.value
NOT_RECORDED = Answer(
    GATEWAY_TIMEOUT,
    b"",
    [(b"Content-Type", b"text/plain")],
    b"its answer could not be noted in time",
)


class IdempotentRequests:
    """All at-most-once requests of one proxy.

    Attributes:
        recorder: tells the group outcomes.
        lookup: reads what the group knows.
        live: the request at work here under each session and key.
        counts: for the tools.
    """

    __slots__ = (
        "client",
        "context",
        "forwarder",
        "affinity",
        "leases",
        "counts",
        "live",
        "recorder",
        "lookup",
    )

    def __init__(
        self,
        client: GroupClient,
        forwarder: SessionForwarder,
        affinity: EndpointAffinity,
        leases: SessionLeases,
        counts: dict[str, int],
    ) -> None:
        self.client = client
        self.context = client.context
        self.forwarder = forwarder
        self.affinity = affinity
        self.leases = leases
        self.counts = counts
        self.live: dict[tuple[str, str], SessionRequest] = {}
        self.recorder = OutcomeRecorder(client, affinity, leases)
        self.lookup = KeyLookup(client)

    # before the request is sent

    def start(self, request: SessionRequest) -> None:
        """Begins a request: its key is reserved first, or it waits for another under its key."""
        reservation = reservation_of(request)
        other = self.live.get(reservation.id)
        if other is None:
            self.live[reservation.id] = request
            self._acquire_lease(request)
            return
        first = reservation_of(other)
        if first.fingerprint != reservation.fingerprint:
            self.forwarder.answer(request, UNPROCESSABLE, "the key stands for another request")
            return
        reservation.first = other
        reservation.has_waited = True
        first.waiting.append(request)

    def _acquire_lease(self, request: SessionRequest) -> None:
        reservation = reservation_of(request)
        until_ms = request.start_ms + request.route.target_ms * PATIENCE_SHARE
        self.leases.with_lease(
            reservation.session,
            reservation.group,
            until_ms,
            lambda lease: self._decide(request, lease, until_ms),
            lambda: self._reject(request, "its session's record can't be had in time"),
        )

    def _reject(self, request: SessionRequest, reason: str) -> None:
        self.counts["refused"] += 1
        self.finish_unanswered(request, KeyState.NOT_RUN)
        self.forwarder.reject(request, reason)

    def _decide(self, request: SessionRequest, lease: SessionLease, until_ms: float) -> None:
        """Goes on by what the record says of the request's key."""
        reservation = reservation_of(request)
        if request.answer is not None:
            self.finish_unanswered(request, KeyState.NOT_RUN)
            return
        known = lease.record.keys.get(reservation.key)
        if known is not None and known.expires_ms <= self.context.now_ms():
            known = None
        if known is None or known.state == KeyState.NOT_RUN:
            self._reserve(request, lease, until_ms)
        elif known.fingerprint != reservation.fingerprint:
            self.finish_unanswered(request, None)
            self.forwarder.answer(request, UNPROCESSABLE, "the key stands for another request")
        elif known.state == KeyState.ANSWERED:
            self.counts["repeats"] += 1
            self.finish_unanswered(request, None)
            self._answer_again(request, known)
        elif known.state == KeyState.UNKNOWN or not self.lookup.is_at_work(known.reserved_by):
            self._answer_unknown(request, known)
        else:
            self._wait_for_other_site(request)

    def _answer_unknown(self, request: SessionRequest, known: KeyRecord) -> None:
        """Nobody knows whether the key has run: it never runs again."""
        self.counts["unknown"] += 1
        if known.state != KeyState.UNKNOWN:
            self.recorder.record(request, known.attempt, KeyState.UNKNOWN, known.reserved_by)
            known.state = KeyState.UNKNOWN
        self.finish_unanswered(request, None)
        self.forwarder.answer(
            request,
            GATEWAY_TIMEOUT,
            "whether this key has run is not known; it will not run again",
        )

    def _answer_again(self, request: SessionRequest, known: KeyRecord) -> None:
        answer = StoredAnswer(*(known.answer or ()))
        if answer.complete:
            self.forwarder.finish(request, answer.for_attempt(request.attempt_id))
        else:
            self.forwarder.answer(
                request, CONFLICT, "this key was answered before, with more than is kept"
            )

    # another site is at work on the key

    def _wait_for_other_site(self, request: SessionRequest) -> None:
        """Looks again and again, until the request's deadline."""
        self.lookup.read(request, lambda record: self._on_look(request, record))

    def _on_look(self, request: SessionRequest, record: SessionRecord) -> None:
        reservation = reservation_of(request)
        if request.answer is not None:
            self.finish_unanswered(request, None)
            return
        self.leases.learn(reservation.session, reservation.key, record)
        known = record.keys.get(reservation.key)
        look_ms = self.context.settings.bounds.contact_ms * LOOK_SHARE
        least_left_ms = look_ms + self.client.timeout_ms() * LAST_LOOK_TIMEOUTS
        last_look_ms = self.context.now_ms() + least_left_ms
        if known is not None and known.state == KeyState.NOT_RUN:
            self._acquire_lease(request)
        elif known is not None and not self._is_open(known):
            self._decide(request, SessionLease(reservation.group, 0, record), 0.0)
        elif last_look_ms > request.deadline_ms:
            self.finish_unanswered(request, None)
            self.forwarder.answer(request, CONFLICT, "this key is at work at another site")
        else:
            self.context.call_later(look_ms, self._wait_for_other_site, request)

    def _is_open(self, known: KeyRecord) -> bool:
        """True for a key whose outcome may still come."""
        if known.state in (KeyState.ANSWERED, KeyState.UNKNOWN):
            return False
        return self.lookup.is_at_work(known.reserved_by)

    # reserving

    def _reserve(self, request: SessionRequest, lease: SessionLease, until_ms: float) -> None:
        """Has the request's key reserved by a majority under the lease, then sends the request."""
        reservation = reservation_of(request)
        if self.context.now_ms() > until_ms:
            self._give_up_reserving(request)
            return
        attempt = reservation.attempt = lease.next_attempt()
        own_id = self.client.own_id()
        self.client.request_all(
            reservation.group,
            MessageKind.SESSION_RESERVE_KEY,
            lambda version: ReserveKeyRequest(
                reservation.group,
                version,
                reservation.session,
                attempt.number,
                attempt.holder,
                reservation.key,
                attempt.sequence,
                reservation.fingerprint,
                own_id,
                request.route.affinity.keep_ms,
                IF_UNKNOWN,
            ),
            lambda replies: self._on_reserved(request, lease, until_ms, replies),
        )

    def _give_up_reserving(self, request: SessionRequest) -> None:
        """It is too late to begin a request; one that waited for another gets that one's answer."""
        reservation = reservation_of(request)
        if not reservation.has_waited:
            self._reject(request, TOO_LATE)
            return

        def on_read(record: SessionRecord) -> None:
            known = record.keys.get(reservation.key)
            if request.answer is None and known is not None and known.state == KeyState.ANSWERED:
                self._decide(request, SessionLease(reservation.group, 0, record), 0.0)
            else:
                self._reject(request, TOO_LATE)

        self.lookup.read(request, on_read)

    def _on_reserved(
        self,
        request: SessionRequest,
        lease: SessionLease,
        until_ms: float,
        replies: GroupReplies,
    ) -> None:
        reservation = reservation_of(request)
        if reservation.recorded or reservation.attempt is None:
            return
        now_ms = self.context.now_ms()
        if not replies.agreed:
            self._on_not_reserved(request, lease, until_ms, replies)
            return
        reservation.reserved = True
        lease.record.keys[reservation.key] = KeyRecord(
            reservation.attempt,
            KeyState.RESERVED,
            reservation.fingerprint,
            self.client.own_id(),
            None,
            now_ms + request.route.affinity.keep_ms,
        )
        if request.answer is not None:
            self.finish_unanswered(request, KeyState.NOT_RUN)
            return
        request.reservation_ms = now_ms - request.start_ms
        self.forwarder.offer(request)

    def _on_not_reserved(
        self,
        request: SessionRequest,
        lease: SessionLease,
        until_ms: float,
        replies: GroupReplies,
    ) -> None:
        """No majority has reserved the key: what few have is freed, and the lease is acquired
        again.
        """
        reservation = reservation_of(request)
        self.leases.drop(reservation.session, lease)
        now_ms = self.context.now_ms()
        known = [
            KeyRecord.from_fields(reply.content, now_ms)
            for reply in replies.with_code(ReplyCode.ALREADY_RESERVED)
        ]
        if reservation.attempt is not None:
            own_id = self.client.own_id()
            self.recorder.record(request, reservation.attempt, KeyState.NOT_RUN, own_id)
        if known:
            for record in known:
                lease.record.merge_key(reservation.key, record)
            self._decide(request, lease, until_ms)
            return
        if replies.with_code(ReplyCode.FULL):
            self._reject(request, "too many answers are kept for its key to be noted")
            return
        overtaken = bool(replies.with_code(ReplyCode.STALE_LEASE))
        if overtaken and now_ms < until_ms and request.answer is None:
            self._acquire_lease(request)
        else:
            self._reject(request, TOO_LATE)

    # after the request was sent

    def settle(
        self,
        request: SessionRequest,
        answer: Answer,
        on_recorded: Callable[[Answer], object],
    ) -> None:
        """Records what a request came to.

        An answer of the proxy's own goes back at once and is recorded beside it: until then other
        sites take the key for one at work.

        Args:
            request: the request; its `ran` says that an endpoint may have begun it, its
                `from_endpoint` that the answer is an endpoint's own.
            answer: the answer.
            on_recorded: called once with the answer to send: an endpoint's own once it is recorded.
        """
        reservation = reservation_of(request)
        if reservation.recording:
            reservation.recorded = True
            self._forget(request)
            on_recorded(answer)
            return
        reservation.recording = True
        if not request.from_endpoint:
            self._settle_own_answer(request, answer)
            on_recorded(answer)
            return

        def recorded(agreed: bool) -> None:
            if reservation.recorded:
                return
            reservation.recorded = True
            self._forget(request)
            on_recorded(answer if agreed else NOT_RECORDED)

        until_ms = request.deadline_ms - self.client.timeout_ms()
        self.recorder.record_until(
            request, KeyState.ANSWERED, list(StoredAnswer.of(answer)), until_ms, recorded
        )

    def _settle_own_answer(self, request: SessionRequest, answer: Answer) -> None:
        reservation = reservation_of(request)
        may_have_run = request.ran or (answer.status not in NOT_RUN_STATUSES and request.offered)
        state = KeyState.UNKNOWN if may_have_run else KeyState.NOT_RUN
        reservation.recorded = True
        if reservation.reserved:
            self.recorder.record_until(request, state, None, self.recorder.patience_end_ms())
        if state == KeyState.UNKNOWN:
            self.counts["unknown"] += 1
        self._forget(request)

    def finish_unanswered(
        self,
        request: SessionRequest,
        state: KeyState | None,
        answer: Answer | None = None,
    ) -> None:
        """Ends a request's part in the record without an answer to send: its client has gone, or
        the record has one.

        Args:
            request: the request.
            state: what became of its key; None where the record says so already.
            answer: the endpoint's answer, where one came.
        """
        reservation = reservation_of(request)
        if reservation.recorded or reservation.recording:
            return
        reservation.recorded = True
        if state is None or not reservation.reserved:
            self._forget(request)
            return
        stored = list(StoredAnswer.of(answer)) if answer is not None else None
        self.recorder.record_until(
            request,
            state,
            stored,
            self.recorder.patience_end_ms(),
            lambda _agreed: self._forget(request),
        )

    def _forget(self, request: SessionRequest) -> None:
        """The request is over here: requests that waited for it are begun anew, and go by what the
        lease has of the key. Whoever repeats it later asks the group.
        """
        reservation = reservation_of(request)
        if self.live.get(reservation.id) is request:
            del self.live[reservation.id]
        waiting, reservation.waiting = reservation.waiting, []
        for other in waiting:
            if other.answer is None:
                reservation_of(other).first = None
                self.start(other)
        lease = self.leases.held.get(reservation.session)
        if lease is not None and reservation.attempt is not None:
            lease.record.keys.pop(reservation.key, None)

"""Tells a session group what became of an at-most-once request's key."""

from collections.abc import Callable
from typing import Any

from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.endpoint_affinity import EndpointAffinity
from stagevale.sessions.group_client import GroupClient, GroupReplies
from stagevale.sessions.key_reservation import reservation_of
from stagevale.sessions.messages import RecordOutcomeRequest
from stagevale.sessions.ports import SessionRequest
from stagevale.sessions.records import AttemptId, KeyRecord, KeyState
from stagevale.sessions.session_leases import SessionLeases

# In replica time-outs: how long recording an outcome goes on, and the pause between attempts.
RECORD_TIMEOUTS = 10
RECORD_RETRY_TIMEOUTS = 0.1


def ignore_outcome(_agreed: bool) -> None:
    """For callers that needn't know whether a majority has the outcome."""


class OutcomeRecorder:
    """Records outcomes with a majority of a session's group, and in the lease held here."""

    __slots__ = ("client", "context", "affinity", "leases")

    def __init__(
        self, client: GroupClient, affinity: EndpointAffinity, leases: SessionLeases
    ) -> None:
        self.client = client
        self.context = client.context
        self.affinity = affinity
        self.leases = leases

    def patience_end_ms(self) -> float:
        """Until when recording an outcome is worth while."""
        return self.context.now_ms() + self.client.timeout_ms() * RECORD_TIMEOUTS

    def record_until(
        self,
        request: SessionRequest,
        state: KeyState,
        stored: list[Any] | None,
        until_ms: float,
        on_done: Callable[[bool], object] = ignore_outcome,
    ) -> None:
        """Has an outcome recorded until a majority has it, or for as long as it is worth while.

        Args:
            request: whose key it is.
            state: the outcome.
            stored: the answer to keep, as fields; None for none.
            until_ms: when to stop trying.
            on_done: called once with whether a majority has it.
        """
        reservation = reservation_of(request)

        def recorded(agreed: bool) -> None:
            if agreed or self.context.now_ms() > until_ms:
                on_done(agreed)
                return
            self.context.call_later(
                self.client.timeout_ms() * RECORD_RETRY_TIMEOUTS,
                self.record_until,
                request,
                state,
                stored,
                until_ms,
                on_done,
            )

        if reservation.attempt is None:
            on_done(False)
            return
        self.record(request, reservation.attempt, state, self.client.own_id(), stored, recorded)

    def record(
        self,
        request: SessionRequest,
        attempt: AttemptId,
        state: KeyState,
        reserved_by: str,
        stored: list[Any] | None = None,
        on_done: Callable[[bool], object] | None = None,
    ) -> None:
        """Tells the group what became of a key; `on_done` gets whether a majority has it."""
        reservation = reservation_of(request)
        now_ms = self.context.now_ms()
        expires_ms = now_ms + request.route.affinity.keep_ms
        record = KeyRecord(attempt, state, reservation.fingerprint, reserved_by, stored, expires_ms)
        fields = record.to_fields(now_ms)
        lease = self.leases.held.get(reservation.session)
        if lease is not None:
            lease.record.merge_key(reservation.key, KeyRecord.from_fields(fields, now_ms))
        # Endpoints go along with an outcome of this proxy's own request only.
        own = on_done is not None
        endpoints = dict(self.affinity.endpoints_of(reservation.session)) if own else {}

        def done(replies: GroupReplies) -> None:
            if on_done is not None:
                on_done(replies.agreed)

        self.client.request_all(
            reservation.group,
            MessageKind.SESSION_RECORD_OUTCOME,
            lambda version: RecordOutcomeRequest(
                reservation.group, version, reservation.session, reservation.key, fields, endpoints
            ),
            done,
        )

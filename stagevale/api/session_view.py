"""A session's records, as a majority of their groups have them."""

import functools
import http
from collections.abc import Iterable
from typing import Any

from stagevale.api.router import Answer
from stagevale.configuration.value import SessionGroup
from stagevale.discovery.registry_service import RegistryService
from stagevale.quorum.ballot import INCARNATION_SEPARATOR
from stagevale.quorum.rules import majority
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.runtime.clock import MS_PER_S
from stagevale.sessions.groups import group_name, homes_of
from stagevale.sessions.messages import FindSessionsReply, FindSessionsRequest, ReplyCode
from stagevale.sessions.records import SessionRecord
from stagevale.sessions.session_id import read_session_id, without_route


def _address_of(holder: str) -> str:
    return holder.partition(INCARNATION_SEPARATOR)[0]


class SessionView:
    """Shows what is known of a session."""

    __slots__ = ("service",)

    def __init__(self, service: RegistryService) -> None:
        self.service = service

    def show(self, session: str, answer: Answer) -> None:
        """Answers with the session's records, 404 for none, 503 where no majority answers."""
        value = self.service.configuration.value
        groups = value.sessions if value is not None else {}
        # A session's route may have any homes: its record is in one group of each set of homes.
        names = {group_name(homes_of(name), session.encode()) for name in groups}
        wanted = {name: groups[name] for name in names if name in groups}
        if not wanted:
            answer(http.HTTPStatus.NOT_FOUND.value, {"error": "no route asks for affinity"})
            return
        SessionRead(self.service, session, wanted, answer).start()


class SessionRead:
    """Reads a session from all members of its groups, then answers."""

    __slots__ = ("service", "session", "groups", "answer", "_waiting", "_replies")

    def __init__(
        self,
        service: RegistryService,
        session: str,
        groups: dict[str, SessionGroup],
        answer: Answer,
    ) -> None:
        self.service = service
        self.session = session
        self.groups = groups
        self.answer = answer
        self._waiting = {name: set(group.members) for name, group in groups.items()}
        self._replies: dict[str, list[dict[str, Any]]] = {name: [] for name in groups}

    def start(self) -> None:
        """Sends the requests."""
        for name, group in self.groups.items():
            request = FindSessionsRequest(name, group.version, self.session)
            for peer in list(self._waiting[name]):
                self.service.rpc.request(
                    peer,
                    MessageKind.SESSION_FIND,
                    request,
                    FindSessionsReply,
                    functools.partial(self._replied, name, peer),
                    self.service.interval_ms,
                )

    def _replied(
        self, name: str, peer: str, reply: FindSessionsReply | None, error: RequestError | None
    ) -> None:
        self._waiting[name].discard(peer)
        if reply is not None and reply.code == ReplyCode.DONE:
            self._replies[name].append(reply.records)
        if not any(self._waiting.values()):
            self._finish()

    def _finish(self) -> None:
        silent = [
            name
            for name, group in sorted(self.groups.items())
            if len(self._replies[name]) < majority(len(group.members))
        ]
        rows = [
            self._row(name, id, record)
            for name in sorted(self.groups)
            if name not in silent
            for id, record in self._merged(self._replies[name]).items()
            if record.lease.number or record.keys
        ]
        if silent:
            text = f"no majority of the groups {', '.join(silent)} answers"
            self.answer(http.HTTPStatus.SERVICE_UNAVAILABLE.value, {"error": text})
        elif not rows:
            self.answer(http.HTTPStatus.NOT_FOUND.value, {"error": "no record of this session"})
        else:
            self.answer(http.HTTPStatus.OK.value, {"session": self.session, "records": rows})

    def _merged(self, replies: Iterable[dict[str, Any]]) -> dict[str, SessionRecord]:
        """What the members have together, by encoded identity."""
        records: dict[str, SessionRecord] = {}
        now_ms = self.service.context.now_ms()
        for reply in replies:
            for encoded, fields in reply.items():
                record = records.setdefault(without_route(encoded), SessionRecord())
                record.merge_replies([fields], now_ms)
        return dict(sorted(records.items()))

    def _row(self, group: str, encoded: str, record: SessionRecord) -> dict[str, Any]:
        now_ms = self.service.context.now_ms()
        id = read_session_id(encoded)
        return {
            "group": group,
            "tenant": id.tenant,
            "host": id.host,
            "version": record.lease.number,
            "holder": _address_of(record.lease.holder),
            "endpoints": record.endpoints,
            "requests": [
                {
                    "key": key,
                    "state": known.state.label,
                    "by": _address_of(known.reserved_by),
                    "keptForS": int((known.expires_ms - now_ms) / MS_PER_S),
                }
                for key, known in sorted(record.keys.items())
            ],
        }

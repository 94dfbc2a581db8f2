"""The leases that a proxy holds on sessions: who holds one may reserve the session's keys."""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from stagevale.membership.member import PROXY_PROGRAM
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply
from stagevale.sessions.endpoint_affinity import MOST_SESSIONS, EndpointAffinity
from stagevale.sessions.group_client import GroupClient, GroupReplies
from stagevale.sessions.messages import AcquireRequest, ReplyCode, SuccessorRow
from stagevale.sessions.records import AttemptId, LeaseVersion, SessionRecord
from stagevale.sessions.session_id import without_route

FIRST_NUMBER = 1
WITHOUT_KEYS = 1
# A lease that another proxy has acquired meanwhile is tried again after a random pause, so that two
# don't go on overtaking each other.
BACKOFF_MS = (2.0, 15.0)


class SessionLease:
    """A session that this proxy holds; its record has the keys that are at work here, and no others.

    Attributes:
        group, group_version: of the group that granted it.
        version: under which it was granted; what others acquire later never changes it.
        record: what is known of the session.
    """

    __slots__ = ("group", "group_version", "version", "record", "_last_sequence")

    def __init__(self, group: str, group_version: int, record: SessionRecord) -> None:
        self.group = group
        self.group_version = group_version
        self.version = record.lease
        self.record = record
        self._last_sequence = 0

    def next_attempt(self) -> AttemptId:
        """An attempt under this lease; no two are alike."""
        self._last_sequence += 1
        return AttemptId(*self.version, self._last_sequence)


class Waiter(NamedTuple):
    """Who waits for a lease."""

    on_acquired: Callable[[SessionLease], object]
    on_failed: Callable[[], object]


class SessionLeases:
    """Acquires leases and hands them on.

    Attributes:
        held: by session, the one used last at the end.
        counts: for the tools.
    """

    __slots__ = ("client", "context", "affinity", "counts", "held", "_acquiring")

    def __init__(
        self, client: GroupClient, affinity: EndpointAffinity, counts: dict[str, int]
    ) -> None:
        self.client = client
        self.context = client.context
        self.affinity = affinity
        self.counts = counts
        self.held: OrderedDict[str, SessionLease] = OrderedDict()
        self._acquiring: dict[str, list[Waiter]] = {}
        client.rpc.handle(MessageKind.SESSION_SUCCESSOR, list, self._on_successor)

    def with_lease(
        self,
        session: str,
        group_name: str,
        until_ms: float,
        on_acquired: Callable[[SessionLease], object],
        on_failed: Callable[[], object],
    ) -> None:
        """Acquires the lease of a session, unless it is held.

        Args:
            session: its name.
            group_name: of the group that keeps its record.
            until_ms: when to stop trying.
            on_acquired: called once with the lease.
            on_failed: called once in its place where the lease couldn't be had in time.
        """
        lease = self.held.get(session)
        group = self.client.group(group_name)
        if (
            lease is not None
            and group is not None
            and (lease.group, lease.group_version) == (group_name, group.version)
        ):
            self.held.move_to_end(session)
            on_acquired(lease)
            return
        waiters = self._acquiring.get(session)
        if waiters is not None:
            waiters.append(Waiter(on_acquired, on_failed))
            return
        self._acquiring[session] = [Waiter(on_acquired, on_failed)]
        self._acquire(session, group_name, FIRST_NUMBER, until_ms)

    def drop(self, session: str, lease: SessionLease) -> None:
        """Holds a lease no more that another proxy may have acquired."""
        if self.held.get(session) is lease:
            del self.held[session]

    def learn(self, session: str, key: str, record: SessionRecord) -> None:
        """Takes in what the group knows of a key. Where it knows a higher lease, another proxy has
        acquired the session: this one's is held no more.

        Args:
            session: its name.
            key: the key that was looked up.
            record: what was read.
        """
        lease = self.held.get(session)
        if lease is None:
            return
        if record.lease > lease.version:
            self.drop(session, lease)
        elif key in record.keys:
            lease.record.merge_key(key, record.keys[key])

    def _acquire(self, session: str, group_name: str, number: int, until_ms: float) -> None:
        own_id = self.client.own_id()
        group = self.client.group(group_name)
        group_version = group.version if group is not None else 0

        def done(replies: GroupReplies) -> None:
            newest = self.client.group(group_name)
            unchanged = newest is not None and newest.version == group_version
            if replies.agreed and unchanged:
                self._on_acquired(session, group_name, group_version, number, replies)
                return
            if self.context.now_ms() >= until_ms:
                for waiter in self._acquiring.pop(session, ()):
                    waiter.on_failed()
                return
            stale = [reply.content for reply in replies.with_code(ReplyCode.STALE_LEASE)]
            self.context.call_later(
                self.context.random.uniform(*BACKOFF_MS),
                self._acquire,
                session,
                group_name,
                max([*stale, number]) + 1,
                until_ms,
            )

        self.client.request_all(
            group_name,
            MessageKind.SESSION_ACQUIRE,
            lambda version: AcquireRequest(
                group_name, version, session, number, own_id, WITHOUT_KEYS
            ),
            done,
        )

    def _on_acquired(
        self,
        session: str,
        group_name: str,
        group_version: int,
        number: int,
        replies: GroupReplies,
    ) -> None:
        own_id = self.client.own_id()
        now_ms = self.context.now_ms()
        record = SessionRecord(LeaseVersion(number, own_id))
        granted = replies.with_code(ReplyCode.DONE)
        for reply in granted:
            record.merge(SessionRecord.from_fields(reply.content, now_ms))
        record.lease = LeaseVersion(number, own_id)
        lease = self.held[session] = SessionLease(group_name, group_version, record)
        self.counts["held"] += 1
        if any(reply.former_holder not in ("", own_id) for reply in granted):
            self.counts["handedOver"] += 1
        while len(self.held) > MOST_SESSIONS:
            self.held.popitem(last=False)
        for service, id in record.endpoints.items():
            self.affinity.pin(session, service, id)
        for waiter in self._acquiring.pop(session, ()):
            waiter.on_acquired(lease)

    # graceful shutdown

    def hand_over(self) -> None:
        """Has other proxies of the zone acquire the sessions that this one holds, before it ends."""
        membership = self.client.membership
        successors = [
            member
            for member in membership.members(PROXY_PROGRAM)
            if member.zone == membership.me.zone
            and member.address != membership.me.address
            and membership.is_reachable(member.address)
        ]
        if not successors:
            return
        rows: dict[str, list[SuccessorRow]] = {}
        for number, (session, lease) in enumerate(self.held.items()):
            successor = successors[number % len(successors)].address
            row = SuccessorRow(session, lease.group, lease.version.number)
            rows.setdefault(successor, []).append(row)
        for successor, sessions in rows.items():
            self.client.rpc.send(successor, MessageKind.SESSION_SUCCESSOR, sessions)

    def _on_successor(self, _peer: str, rows: list[list[object]], _reply: Reply) -> None:
        """Another proxy of the zone shuts down and leaves sessions to this one."""
        for row in rows:
            left = SuccessorRow(*row)  # type: ignore[arg-type]  # checked by use
            session, group_name, number = without_route(left.session), left.group, left.number
            if session not in self.held and session not in self._acquiring:
                self._acquiring[session] = []
                self._acquire(session, group_name, number + 1, 0.0)

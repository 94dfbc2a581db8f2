"""Which endpoint each session keeps to."""

from collections import OrderedDict
from collections.abc import Mapping

from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.group_client import GroupClient
from stagevale.sessions.messages import ReadSessionRequest, SessionReply
from stagevale.sessions.records import SessionRecord

MOST_SESSIONS = 20000


class EndpointAffinity:
    """The endpoints that sessions were served by, by service; the oldest are forgotten."""

    __slots__ = ("client", "_endpoints", "_read")

    def __init__(self, client: GroupClient) -> None:
        self.client = client
        self._endpoints: OrderedDict[str, dict[str, str]] = OrderedDict()
        self._read: set[str] = set()

    def endpoint_of(self, session: str, service: str) -> str | None:
        """The id of the endpoint that a session keeps to, or None."""
        return self._endpoints.get(session, {}).get(service)

    def endpoints_of(self, session: str) -> Mapping[str, str]:
        """The endpoints that a session keeps to, by service."""
        return self._endpoints.get(session, {})

    def pin(self, session: str, service: str, id: str) -> None:
        """A session was served by this endpoint."""
        endpoints = self._endpoints.pop(session, {})
        endpoints[service] = id
        self._endpoints[session] = endpoints
        while len(self._endpoints) > MOST_SESSIONS:
            forgotten, _ = self._endpoints.popitem(last=False)
            self._read.discard(forgotten)

    def read_once(self, session: str, group_name: str) -> None:
        """Asks a replica for what other sites know of a session, beside its request and once."""
        group = self.client.group(group_name)
        if group is None or session in self._read:
            return
        self._read.add(session)
        if len(self._read) > MOST_SESSIONS:
            self._read.clear()

        def replied(reply: SessionReply | None, _error: RequestError | None) -> None:
            if reply is None or not reply.code or reply.content is None:
                return
            now_ms = self.client.context.now_ms()
            record = SessionRecord.from_fields(reply.content, now_ms)
            for service, id in record.endpoints.items():
                if self.endpoint_of(session, service) is None:
                    self.pin(session, service, id)

        self.client.rpc.request(
            self.client.nearest_member(group),
            MessageKind.SESSION_READ,
            ReadSessionRequest(group_name, group.version, session),
            SessionReply,
            replied,
            self.client.timeout_ms(),
        )

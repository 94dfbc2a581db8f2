"""What a session group knows of a key that another site has reserved."""

from collections.abc import Callable

from stagevale.membership.member import MemberState
from stagevale.quorum.ballot import INCARNATION_SEPARATOR
from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.group_client import GroupClient, GroupReplies
from stagevale.sessions.key_reservation import reservation_of
from stagevale.sessions.messages import ReadSessionRequest, ReplyCode
from stagevale.sessions.ports import SessionRequest
from stagevale.sessions.records import SessionRecord


class KeyLookup:
    """Reads records from a group, without a lease."""

    __slots__ = ("client",)

    def __init__(self, client: GroupClient) -> None:
        self.client = client

    def read(self, request: SessionRequest, on_read: Callable[[SessionRecord], object]) -> None:
        """Reads what is known of a request's key; `on_read` gets what the replies have together."""
        reservation = reservation_of(request)

        def replied(replies: GroupReplies) -> None:
            record = SessionRecord()
            record.merge_replies(
                (reply.content for reply in replies.with_code(ReplyCode.DONE)),
                self.client.context.now_ms(),
            )
            on_read(record)

        self.client.request_all(
            reservation.group,
            MessageKind.SESSION_READ,
            lambda version: ReadSessionRequest(
                reservation.group, version, reservation.session, reservation.key
            ),
            replied,
        )

    def is_at_work(self, proxy_id: str) -> bool:
        """True while the proxy that reserved a key may still be working on it.

        Args:
            proxy_id: address and incarnation of the proxy.
        """
        address, _, uid = proxy_id.partition(INCARNATION_SEPARATOR)
        if proxy_id == self.client.own_id():
            return False
        membership = self.client.membership
        member = membership.state.members.get(address)
        return (
            member is not None
            and str(member.uid) == uid
            and member.state < MemberState.DOWN
            and membership.is_reachable(address)
        )

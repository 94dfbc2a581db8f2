"""How a new member of a session group learns its records."""

import functools
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from stagevale.quorum.call import majority
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.sessions.group_replica import GroupReplica
from stagevale.sessions.messages import SyncReply, SyncRequest

if TYPE_CHECKING:
    from stagevale.sessions.replica import SessionReplica

# How long a replica may take to hand its records over, as a share of `contactMs`.
SYNC_TIMEOUT_SHARE = 0.2


class LearnCall:
    """Asks the members of a group for its records until a majority has handed them over."""

    __slots__ = ("replica", "name", "version", "peers", "least_version", "replies", "_waiting")

    def __init__(self, replica: "SessionReplica", name: str, group: GroupReplica) -> None:
        self.replica = replica
        self.name = name
        self.version = group.version
        self.peers = group.former_members or group.members
        # Records of the version before will do, where there are former members.
        self.least_version = group.version - 1 if group.former_members else group.version
        self.replies: list[Mapping[str, Any]] = []
        self._waiting = set(self.peers)
        own_address = replica.rpc.address
        if own_address in self.peers:
            self._waiting.discard(own_address)
            if group.learned_version >= self.least_version:
                # This registry's own records are at hand.
                self.replies.append({})

    def start(self) -> None:
        """Sends the requests."""
        if not self._waiting:
            self._count()
            return
        context = self.replica.context
        timeout_ms = context.settings.bounds.contact_ms * SYNC_TIMEOUT_SHARE
        request = SyncRequest(self.name, self.version)
        for peer in list(self._waiting):
            self.replica.rpc.request(
                peer,
                MessageKind.SESSION_SYNC,
                request,
                SyncReply,
                functools.partial(self._replied, peer),
                timeout_ms,
            )

    def _replied(self, peer: str, reply: SyncReply | None, error: RequestError | None) -> None:
        self._waiting.discard(peer)
        if reply is not None and reply.learned_version >= self.least_version:
            self.replies.append(reply.records)
        self._count()

    def _count(self) -> None:
        group = self.replica.groups[self.name]
        if not group.learning:
            return
        complete = len(self.replies) >= majority(len(self.peers))
        if complete and group.version == self.version:
            self.replica.finish_learning(self.name, self.version, self.replies)
        elif not self._waiting:
            self.replica.retry_learning(self.name)

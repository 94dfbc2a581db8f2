"""Requests of a proxy to the replicas of a session group."""

import functools
from collections.abc import Callable
from typing import Any

from stagevale.configuration.value import SessionGroup
from stagevale.membership.membership import Membership
from stagevale.quorum.ballot import INCARNATION_SEPARATOR
from stagevale.quorum.rules import disk_rule
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import RpcTransport
from stagevale.runtime.context import Context
from stagevale.sessions.messages import ReplyCode, SessionReply
from stagevale.sessions.ports import SessionForwarder

# How long a replica may take, as a share of `contactMs`.
TIMEOUT_SHARE = 0.1

MakeRequest = Callable[[int], tuple[Any, ...]]


class GroupReplies:
    """The replies of a group's members to one request.

    Attributes:
        received: those that came before the decision.
        agreed: whether enough members have done what was asked: a majority, and as many as outlive
            the lost disks that the platform's tolerance speaks of.
    """

    __slots__ = ("received", "agreed")

    def __init__(self, received: list[SessionReply], agreed: bool) -> None:
        self.received = received
        self.agreed = agreed

    def with_code(self, code: ReplyCode) -> list[SessionReply]:
        """The replies with a code."""
        return [reply for reply in self.received if reply.code == code]


OnReplies = Callable[[GroupReplies], object]


class GroupCall:
    """One request to all members of a group, until enough have done it or can't any more."""

    __slots__ = ("client", "name", "group", "on_done", "_received", "_waiting", "_decided")

    def __init__(
        self, client: "GroupClient", name: str, group: SessionGroup, on_done: OnReplies
    ) -> None:
        self.client = client
        self.name = name
        self.group = group
        self.on_done = on_done
        self._received: list[SessionReply] = []
        self._waiting = set(group.members)
        self._decided = False

    def start(self, kind: MessageKind, request: tuple[Any, ...]) -> None:
        """Sends the request."""
        for peer in self.group.members:
            self.client.rpc.request(
                peer,
                kind,
                request,
                SessionReply,
                functools.partial(self._replied, peer),
                self.client.timeout_ms(),
            )

    def _replied(self, peer: str, reply: SessionReply | None, _error: RequestError | None) -> None:
        self._waiting.discard(peer)
        if reply is not None:
            self._received.append(reply)
        done = sum(1 for each in self._received if each.code == ReplyCode.DONE)
        needed = self.client.needed_replies(self.group)
        if self._decided or needed > done and needed <= done + len(self._waiting):
            return
        self._decided = True
        # The group may have changed meanwhile: its new size counts.
        group = self.client.group(self.name)
        agreed = group is not None and done >= self.client.needed_replies(group)
        self.on_done(GroupReplies(self._received, agreed))


class GroupClient:
    """Finds the replicas of sessions and sends them requests."""

    __slots__ = ("context", "rpc", "membership", "forwarder")

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        membership: Membership,
        forwarder: SessionForwarder,
    ) -> None:
        self.context = context
        self.rpc = rpc
        self.membership = membership
        self.forwarder = forwarder

    def group(self, name: str) -> SessionGroup | None:
        """A group as the configuration value has it, or None."""
        return self.forwarder.snapshot.sessions.get(name)

    def own_id(self) -> str:
        """This proxy as the holder of a lease: `address#uid`."""
        me = self.membership.me
        return f"{me.address}{INCARNATION_SEPARATOR}{me.uid}"

    def timeout_ms(self) -> float:
        """How long a replica may take."""
        return self.context.settings.bounds.contact_ms * TIMEOUT_SHARE

    def needed_replies(self, group: SessionGroup) -> int:
        """How many members of a group have to have done what was asked."""
        return disk_rule(self.context.settings.tolerance).acknowledgers(len(group.members))

    def nearest_member(self, group: SessionGroup) -> str:
        """A member of a group, one of the own region where there is one."""
        own_region = self.membership.me.region
        return min(group.members, key=lambda address: self._region_of(address) != own_region)

    def _region_of(self, address: str) -> str:
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def request_all(
        self, name: str, kind: MessageKind, make_request: MakeRequest, on_done: OnReplies
    ) -> None:
        """Sends a request to all members of a group.

        Args:
            name: of the group.
            kind: of the message.
            make_request: makes the message of the group's version.
            on_done: called once enough members have done it, or can't any more.
        """
        group = self.group(name)
        if group is None:
            on_done(GroupReplies([], False))
            return
        GroupCall(self, name, group, on_done).start(kind, make_request(group.version))

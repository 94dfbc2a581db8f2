"""How a member of a session group learns its records: page by page, from a majority."""

import functools
import heapq
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from stagevale.quorum.rules import majority
from stagevale.rpc.errors import ConnectionLostError, RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.runtime.context import Context
from stagevale.sessions.group_replica import GroupReplica
from stagevale.sessions.messages import SyncReply, SyncRequest
from stagevale.sessions.record_pages import FIRST_PAGE, PageCursor

if TYPE_CHECKING:
    from stagevale.sessions.replica import SessionReplica

# Shares of `contactMs`: how long a replica may take to hand a page over, and how soon it is asked
# again.
SYNC_TIMEOUT_SHARE = 0.2
SYNC_RETRY_SHARE = 0.1
# A page is asked for after a pause of so many times what the one before took, so that those who hand
# records over have time for their other work.
PAUSE_FACTOR = 1.0


class WaitingTurn(NamedTuple):
    """A request for a further page that waits; compared by group, then by who came first."""

    group: str
    number: int
    ask: Callable[[], object]


class PageTurns:
    """Which of the groups that are learned here may ask for a further page: one at a time, the first
    by name, so that one group after the other is complete.

    First pages don't wait: most groups have no others.
    """

    __slots__ = ("context", "_waiting", "_count", "_began_ms")

    def __init__(self, context: Context) -> None:
        self.context = context
        self._waiting: list[WaitingTurn] = []
        self._count = 0
        self._began_ms: float | None = None

    def take(self, group: str, ask: Callable[[], object]) -> None:
        """Calls `ask()` when it is this group's turn; it ends the turn with `end`."""
        self._count += 1
        heapq.heappush(self._waiting, WaitingTurn(group, self._count, ask))
        self._next()

    def _next(self) -> None:
        if self._began_ms is None and self._waiting:
            self._began_ms = self.context.now_ms()
            heapq.heappop(self._waiting).ask()

    def end(self) -> None:
        """The page has come, or was given up."""
        if self._began_ms is None:
            return
        pause_ms = (self.context.now_ms() - self._began_ms) * PAUSE_FACTOR
        self.context.call_later(pause_ms, self._resume)

    def _resume(self) -> None:
        self._began_ms = None
        self._next()


class LearnCall:
    """Asks the members of a group for its records until a majority has handed all of them over.

    What a page brought is kept: one that is lost is asked for again, not those before it.
    """

    __slots__ = ("replica", "name", "version", "peers", "least_version", "_complete", "_is_over")

    def __init__(self, replica: "SessionReplica", name: str, group: GroupReplica) -> None:
        self.replica = replica
        self.name = name
        self.version = group.version
        self.peers = group.former_members or group.members
        # Records of the version before will do, where there are former members.
        self.least_version = group.version - 1 if group.former_members else group.version
        self._complete: set[str] = set()
        self._is_over = False
        own_address = replica.rpc.address
        if own_address in self.peers and group.learned_version >= self.least_version:
            # This registry's own records are at hand.
            self._complete.add(own_address)

    def start(self) -> None:
        """Asks for the first pages."""
        if self._end_if_complete():
            return
        for peer in self.peers:
            if peer != self.replica.rpc.address:
                self._ask(peer, FIRST_PAGE, True)

    def _ask(self, peer: str, cursor: PageCursor, paged: bool) -> None:
        if self._end_if_outdated():
            self._end_turn(cursor)
            return
        bounds = self.replica.context.settings.bounds
        request = SyncRequest(self.name, self.version, *(cursor if paged else ()))
        self.replica.rpc.request(
            peer,
            MessageKind.SESSION_SYNC,
            message_body(request),
            SyncReply,
            functools.partial(self._replied, peer, cursor, paged),
            bounds.contact_ms * SYNC_TIMEOUT_SHARE,
        )

    def _replied(
        self,
        peer: str,
        cursor: PageCursor,
        paged: bool,
        reply: SyncReply | None,
        error: RequestError | None,
    ) -> None:
        self._end_turn(cursor)
        if self._end_if_outdated():
            return
        if reply is None or reply.learned_version < self.least_version:
            # A release before knows no pages, and closes the connection.
            lost = isinstance(error, ConnectionLostError) and not error.refused
            self._retry(peer, cursor, not (lost and paged and cursor == FIRST_PAGE))
            return
        following = reply.following()
        self.replica.take_page(
            self.name, reply.records, lambda: self._on_page_saved(peer, following)
        )

    def _on_page_saved(self, peer: str, following: PageCursor | None) -> None:
        if self._end_if_outdated():
            return
        if following is not None:
            self.replica.page_turns.take(self.name, lambda: self._ask(peer, following, True))
            return
        self._complete.add(peer)
        self._end_if_complete()

    def _retry(self, peer: str, cursor: PageCursor, paged: bool) -> None:
        context = self.replica.context
        pause_ms = context.settings.bounds.contact_ms * SYNC_RETRY_SHARE
        if cursor == FIRST_PAGE:
            context.call_later(pause_ms, self._ask, peer, cursor, paged)
            return
        turns = self.replica.page_turns
        context.call_later(pause_ms, turns.take, self.name, lambda: self._ask(peer, cursor, paged))

    def _end_turn(self, cursor: PageCursor) -> None:
        if cursor != FIRST_PAGE:
            self.replica.page_turns.end()

    def _end_if_complete(self) -> bool:
        """Ends the call once a majority has handed its records over."""
        if self._is_over or len(self._complete) < majority(len(self.peers)):
            return self._is_over
        self._is_over = True
        self.replica.finish_learning(self.name, self.version)
        return True

    def _end_if_outdated(self) -> bool:
        """Ends the call where the group has changed; True where it is over."""
        if not self._is_over and not self.replica.wants_to_learn(self.name, self.version):
            self._is_over = True
            self.replica.retry_learning(self.name)
        return self._is_over

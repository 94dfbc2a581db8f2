"""Collects the counts of one window after the other from all registries and commits them."""

import functools
import json
from collections.abc import Iterable
from typing import TYPE_CHECKING

from stagevale.membership.member import PROXY_PROGRAM, REGISTRY_PROGRAM
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import read_message
from stagevale.runtime.clock import MS_PER_S
from stagevale.singleton.messages import ProxyCountsRow, UsageCountsReply, UsageCountsRequest
from stagevale.singleton.usage_table import TenantCounts, add_counts
from stagevale.singleton.value import PendingReport

if TYPE_CHECKING:
    from stagevale.singleton.node import SingletonNode

NO_COUNTS = "{}"
# Shares of `usageDelayS`: how long after its end a window's counts are taken to have arrived, when
# it is committed though some are missing, and how far apart looks are.
ARRIVAL_SHARE = 0.12
LATEST_SHARE = 0.6
RETRY_SHARE = 0.1
# How long a registry may take, as a share of `contactMs`.
TIMEOUT_SHARE = 0.2


class Collection:
    """The counts of one window, from all registries.

    A proxy that has reported to two registries is counted once: these give their counts proxy by
    proxy, and the later report counts.
    """

    __slots__ = ("collector", "window", "replies", "proxy_rows", "proxies", "complete", "_waiting")

    def __init__(self, collector: "UsageCollector", window: int) -> None:
        self.collector = collector
        self.window = window
        self.replies: dict[str, UsageCountsReply] = {}
        self.proxy_rows: dict[int, ProxyCountsRow] = {}
        self.proxies = 0
        self.complete = True
        self._waiting: set[str] = set()

    def start(self, registries: Iterable[str]) -> None:
        """Asks every registry for its sum."""
        registries = list(registries)
        self._waiting = set(registries)
        for peer in registries:
            self._request(peer, by_proxy=False)

    def _request(self, peer: str, by_proxy: bool) -> None:
        node = self.collector.node
        on_reply = self._on_proxy_counts if by_proxy else self._on_sum
        node.rpc.request(
            peer,
            MessageKind.USAGE_COUNTS_REQUEST,
            UsageCountsRequest(self.window, int(by_proxy)),
            UsageCountsReply,
            functools.partial(on_reply, peer),
            node.context.settings.bounds.contact_ms * TIMEOUT_SHARE,
        )

    def _on_sum(
        self, peer: str, reply: UsageCountsReply | None, error: RequestError | None
    ) -> None:
        self._waiting.discard(peer)
        if reply is not None:
            self.replies[peer] = reply
        else:
            self.complete = False
        if self._waiting:
            return
        registries_of: dict[int, list[str]] = {}
        for address, each in self.replies.items():
            for proxy in each.proxies:
                registries_of.setdefault(proxy, []).append(address)
        self.proxies = len(registries_of)
        self._waiting = {
            address
            for addresses in registries_of.values()
            if len(addresses) > 1
            for address in addresses
        }
        if not self._waiting:
            self.collector.finish(self)
            return
        for address in list(self._waiting):
            self._request(address, by_proxy=True)

    def _on_proxy_counts(
        self, peer: str, reply: UsageCountsReply | None, error: RequestError | None
    ) -> None:
        self._waiting.discard(peer)
        if reply is None:
            self.replies.pop(peer, None)
        else:
            for fields in reply.counts:
                row = read_message(ProxyCountsRow, fields)
                known = self.proxy_rows.get(row.key)
                if known is None or row.upto_ms > known.upto_ms:
                    self.proxy_rows[row.key] = row
            self.replies[peer] = reply._replace(counts=NO_COUNTS)
        if not self._waiting:
            self.collector.finish(self)

    def total(self) -> TenantCounts:
        """The window's counts by tenant."""
        total: TenantCounts = {}
        texts = [reply.counts for reply in self.replies.values()]
        texts += [row.counts for row in self.proxy_rows.values()]
        for text in texts:
            add_counts(total, json.loads(text))
        return total


class UsageCollector:
    """Commits a window's report once its counts have arrived, or can't be waited for any longer.

    Attributes:
        collecting: a collection is under way.
    """

    __slots__ = ("node", "_skipped_through", "collecting", "_next_ms")

    def __init__(self, node: "SingletonNode") -> None:
        self.node = node
        self._skipped_through = 0
        self.collecting = False
        self._next_ms = 0.0

    def _retry_ms(self) -> float:
        return self.node.context.settings.bounds.usage_delay_s * MS_PER_S * RETRY_SHARE

    def _end_ms(self, window: int) -> float:
        """The agreed time at which a window ends."""
        return (window + 1) * self.node.context.settings.bounds.report_window_s * MS_PER_S

    def _next_window(self) -> int | None:
        """The window to be committed next; None before the first was ever counted."""
        last = max(self.node.role_value().last_window, self._skipped_through)
        return last + 1 if last else None

    def collect_next(self) -> None:
        """Collects the next window, if its counts have had time to arrive."""
        node = self.node
        agreed_ms = node.clock.now_ms()
        now_ms = node.context.now_ms()
        if agreed_ms is None or self.collecting or node.busy or now_ms < self._next_ms:
            return
        window = self._next_window()
        if window is None:
            self._next_ms = now_ms + self._retry_ms()
            self._collect(0)
            return
        delay_ms = node.context.settings.bounds.usage_delay_s * MS_PER_S * ARRIVAL_SHARE
        arrived_ms = self._end_ms(window) + delay_ms
        if agreed_ms >= arrived_ms:
            self._collect(window)
        else:
            self._next_ms = now_ms + min(arrived_ms - agreed_ms, self._retry_ms())

    def _collect(self, window: int) -> None:
        membership = self.node.membership
        registries = [
            member.address
            for member in membership.members(REGISTRY_PROGRAM)
            if membership.is_reachable(member.address)
        ]
        self.collecting = True
        Collection(self, window).start(registries)

    def finish(self, collection: Collection) -> None:
        """All that can be had of a window's counts is here: they are committed, unless more is
        worth waiting for.
        """
        self.collecting = False
        node = self.node
        agreed_ms = node.clock.now_ms()
        if not node.holds_role() or node.busy or agreed_ms is None:
            return
        window = collection.window
        if window == 0:
            self._begin_with(collection)
            return
        if window != self._next_window():
            return
        known = len(node.membership.members(PROXY_PROGRAM))
        complete = (
            collection.complete
            and collection.proxies >= known
            and all(reply.complete for reply in collection.replies.values())
        )
        delay_ms = node.context.settings.bounds.usage_delay_s * MS_PER_S * LATEST_SHARE
        if not complete and agreed_ms < self._end_ms(window) + delay_ms:
            self._next_ms = node.context.now_ms() + self._retry_ms()
            return
        self._next_ms = 0.0
        total = collection.total()
        if not sum(total.values()):
            self._skipped_through = window
            return
        self._commit(window, total, complete)

    def _begin_with(self, collection: Collection) -> None:
        """Begins with the oldest window that any registry knows."""
        oldest = [reply.oldest_window for reply in collection.replies.values()]
        known = [window for window in oldest if window > 0]
        if known:
            self._skipped_through = min(known) - 1
            self._next_ms = 0.0

    def _commit(self, window: int, total: TenantCounts, complete: bool) -> None:
        node = self.node
        counts = {tenant: total[tenant] for tenant in sorted(total) if total[tenant]}
        text = json.dumps({"windowNo": window, "counts": counts}, separators=(",", ":"))
        value = node.role_value()
        unsent = tuple(report for report in value.pending if not node.sender.is_sent(report))
        node.context.log.info(
            "duties: window %d is put to the vote%s.", window, "" if complete else ", incomplete"
        )

        def proposed(committed: bool) -> None:
            if committed:
                node.sender.send_next()

        pending = (*unsent, PendingReport(window, text))
        node.propose(value.changed(pending=pending, last_window=window), proposed)

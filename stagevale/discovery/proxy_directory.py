"""Which proxies there are, by whom they are fed, and which of them clients are told of."""

import zlib
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from stagevale.discovery.feeds import BATCH_SHARE
from stagevale.discovery.host_homes import HostHomes
from stagevale.discovery.messages import ProxyRow
from stagevale.placement.fronts import (
    FrontChoice,
    ReadyFront,
    choose_fronts,
    named_while_draining_ms,
)
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import read_message
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService


def proxies_checksum(rows: Iterable[ProxyRow]) -> int:
    """A short number that is equal for equal rows."""
    return zlib.crc32(repr([list(row) for row in rows]).encode())


def _front_of(row: ProxyRow) -> ReadyFront:
    return ReadyFront(row.front, row.zone, row.region)


class ProxyDirectory:
    """The proxies that this registry feeds and those that others feed.

    Attributes:
        fed_by: what other registries feed, by their addresses.
    """

    __slots__ = (
        "service",
        "context",
        "rpc",
        "fed_by",
        "_draining_since_ms",
        "_homes",
        "_unannounced",
    )

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.fed_by: dict[str, list[ProxyRow]] = {}
        # Of the proxies in `fed_by` that were ready and aren't any more, by their feeders.
        self._draining_since_ms: dict[str, dict[str, float]] = {}
        self._homes = HostHomes()
        self._unannounced: set[str] = set()
        self.rpc.handle(MessageKind.SUBSCRIBED_PROXIES, list, self._on_announcement)
        self.rpc.handle_raw(MessageKind.SUBSCRIBED_PROXIES_REQUEST, self._on_request)

    def fed_here(self) -> list[ProxyRow]:
        """The proxies that this registry feeds."""
        subscribers = self.service.feeds.subscribers.values()
        return sorted(subscriber.to_row() for subscriber in subscribers)

    def own_checksum(self) -> int:
        """The checksum of the proxies that this registry feeds."""
        return proxies_checksum(self.fed_here())

    def resolve(self, zone: str, region: str, host: str = "") -> FrontChoice:
        """The fronts for a client of a zone that wants a host: ready ones, near ones first."""
        rows = self.fed_here()
        for registry, fed in self.fed_by.items():
            if self.service.contact.may_be_live(registry):
                rows += fed
        settings = self.context.settings
        ready = {_front_of(row) for row in rows if row.is_ready and row.front}
        still_open = self._still_open()
        draining = {_front_of(row) for row in rows if row.address in still_open and row.front}
        value = self.service.configuration.value
        return choose_fronts(
            zone,
            region or settings.zones.get(zone, ""),
            ready,
            draining - ready,
            lambda: self._homes.of(host, value),
        )

    def _still_open(self) -> set[str]:
        """The proxies that shut down and take connections for a while still."""
        begun = {
            address: ms for each in self._draining_since_ms.values() for address, ms in each.items()
        }
        for address, subscriber in self.service.feeds.subscribers.items():
            if subscriber.draining_since_ms is not None:
                begun[address] = subscriber.draining_since_ms
        oldest_ms = self.context.now_ms() - named_while_draining_ms(self.context.settings.bounds)
        return {address for address, begun_ms in begun.items() if begun_ms > oldest_ms}

    # among registries

    def announce(self, proxy: str) -> None:
        """Tells the other registries that a proxy is fed here, is ready, or isn't, together with
        what else changes within a moment; pings repair what gets lost.
        """
        if not self._unannounced:
            self.context.call_later(self.service.interval_ms * BATCH_SHARE, self.send_announcements)
        self._unannounced.add(proxy)

    def send_announcements(self) -> None:
        """Sends what has changed: a proxy's row, or its address alone where it is fed no more."""
        proxies, self._unannounced = self._unannounced, set()
        if not proxies:
            return
        known: dict[str, Any] = {row.address: row for row in self.fed_here()}
        changes = [known.get(proxy, [proxy]) for proxy in sorted(proxies)]
        for member in self.service.contact.registries():
            if member.address != self.rpc.address:
                self.rpc.send(member.address, MessageKind.SUBSCRIBED_PROXIES, changes)

    def _on_announcement(self, peer: str, changes: list[Any], reply: Reply) -> None:
        rows = {row.address: row for row in self.fed_by.get(peer, ())}
        for address, *rest in changes:
            rows.pop(address, None)
            if rest:
                rows[address] = read_message(ProxyRow, [address, *rest])
        self._set_fed(peer, sorted(rows.values()))

    def _set_fed(self, peer: str, rows: list[ProxyRow]) -> None:
        """Takes in which proxies another registry feeds."""
        were_ready = {row.address for row in self.fed_by.get(peer, ()) if row.is_ready}
        begun = self._draining_since_ms.get(peer, {})
        now_ms = self.context.now_ms()
        self._draining_since_ms[peer] = {
            row.address: begun.get(row.address, now_ms)
            for row in rows
            if not row.is_ready and (row.address in were_ready or row.address in begun)
        }
        self.fed_by[peer] = rows

    def _on_request(self, peer: str, body: Any, reply: Reply) -> None:
        reply(self.fed_here())

    def compare(self, peer: str, checksum: int) -> None:
        """A registry tells the checksum of the proxies that it feeds: where that differs from what
        is known here, it is asked for them.
        """
        if checksum == proxies_checksum(self.fed_by.get(peer, ())):
            return

        def replied(rows: list[Any] | None, _error: RequestError | None) -> None:
            if rows is not None:
                self._set_fed(peer, [read_message(ProxyRow, row) for row in rows])

        self.rpc.request(
            peer,
            MessageKind.SUBSCRIBED_PROXIES_REQUEST,
            [],
            list,
            replied,
            self.service.interval_ms,
        )

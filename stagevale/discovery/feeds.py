"""Feeds: instances and the configuration value, brought to the proxies that subscribe here."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, NamedTuple

from stagevale.discovery.instance import Instance, InstanceState
from stagevale.discovery.instance_table import rows_of
from stagevale.discovery.messages import (
    NO_SERIAL,
    RECEIVED,
    FeedHeartbeat,
    FeedMessage,
    ProxyRow,
    PullValue,
    SubscribeMessage,
)
from stagevale.placement.shards import SHARDS
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

# What comes within this share of a round goes out together, so that a proxy's work doesn't rise
# with the square of the instances.
BATCH_SHARE = 0.05
# In rounds: how long ago the value may have been confirmed for a proxy to start with it, and how
# long a proxy may be silent.
CONFIRMED_ROUNDS = 1.5
SILENT_ROUNDS = 2.2


class PartnerTableMark(NamedTuple):
    """Which table of partner routes a proxy holds: of which value, and its hash."""

    serial: int
    mark: str


class Subscriber:
    """A proxy that this registry feeds.

    Attributes:
        serial: of the configuration value that it has.
        draining_since_ms: when it was ready for the last time; None for one that is ready, or
            that never was.
        last_heard_ms: when it last renewed its subscription.
        waiting: it gets nothing until the value is confirmed.
        started: it has been sent everything once.
        report: its latest report about endpoints.
        partner_table: its table of partner routes, or None.
    """

    __slots__ = (
        "address",
        "front",
        "zone",
        "region",
        "ready",
        "serial",
        "draining_since_ms",
        "last_heard_ms",
        "waiting",
        "started",
        "report",
        "partner_table",
    )

    def __init__(self, address: str, message: SubscribeMessage, now_ms: float) -> None:
        self.address = address
        self.front = message.front
        self.zone = message.zone
        self.region = message.region
        self.ready = message.ready
        self.serial = message.serial
        self.draining_since_ms: float | None = None
        self.last_heard_ms = now_ms
        self.waiting = False
        self.started = False
        self.report: list[Any] = message.report
        self.partner_table: PartnerTableMark | None = None

    def renew(self, message: SubscribeMessage, now_ms: float) -> None:
        """The proxy renews its subscription."""
        self.last_heard_ms = now_ms
        if message.ready:
            self.draining_since_ms = None
        elif self.ready:
            self.draining_since_ms = now_ms
        self.ready = message.ready
        self.partner_table = None
        if message.partner_serial is not None and message.partner_mark is not None:
            self.partner_table = PartnerTableMark(message.partner_serial, message.partner_mark)

    def to_row(self) -> ProxyRow:
        """The proxy as other registries are told of it."""
        return ProxyRow(self.address, self.front, self.zone, self.region, bool(self.ready))


class Feeds:
    """Pushes instances and the configuration value to subscribers.

    Attributes:
        subscribers: by the proxy's address.
    """

    __slots__ = (
        "service",
        "context",
        "rpc",
        "subscribers",
        "_unsent",
        "_send_planned",
        "_all_rows",
        "_all_rows_ms",
    )

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.subscribers: dict[str, Subscriber] = {}
        self._unsent: dict[str, Instance] = {}
        self._send_planned = False
        self._all_rows: bytes | None = None
        self._all_rows_ms = 0.0
        self.rpc.handle(MessageKind.SUBSCRIBE, SubscribeMessage, self.on_subscribe)
        self.rpc.handle_raw(MessageKind.UNSUBSCRIBE, self._on_unsubscribe)
        self.rpc.handle(MessageKind.PULL_VALUE, PullValue, self._on_pull_value)
        self.rpc.peer_lost_hooks.append(self.remove)

    # instances

    def publish(self, changed: Iterable[Instance]) -> None:
        """Pushes instances to all subscribers: at once what takes an endpoint away, the rest
        together with what else comes within a moment.
        """
        self._all_rows = None
        if not self.subscribers:
            return
        urgent = False
        for instance in changed:
            self._unsent[instance.id] = instance
            urgent = urgent or instance.state != InstanceState.READY or not instance.is_healthy
        if urgent:
            self._send_unsent()
        elif not self._send_planned:
            self._send_planned = True
            self.context.call_later(self.service.interval_ms * BATCH_SHARE, self._send_unsent)

    def _send_unsent(self) -> None:
        self._send_planned = False
        unsent, self._unsent = self._unsent, {}
        if not unsent:
            return
        by_id = self.service.instances.by_id
        newest = [by_id.get(id, instance) for id, instance in unsent.items()]
        message = FeedMessage(0, b"", codec.encode_rows(rows_of(newest, self.context.now_ms())))
        for subscriber in self.subscribers.values():
            if not subscriber.waiting:
                self._send(subscriber, message)

    def _send(self, subscriber: Subscriber, message: FeedMessage) -> None:
        self.rpc.send(subscriber.address, MessageKind.FEED, message)

    # subscriptions

    def on_subscribe(self, peer: str, message: SubscribeMessage, reply: Reply) -> None:
        """A proxy subscribes, or renews its subscription."""
        now_ms = self.context.now_ms()
        known = self.subscribers.get(peer)
        changed = known is None or known.ready != message.ready
        if known is not None and message.report:
            known.report = message.report
        if known is not None and message.serial >= 0:
            known.renew(message, now_ms)
            if changed:
                self.service.proxies.announce(peer)
            reply(RECEIVED)
            return
        subscriber = Subscriber(peer, message, now_ms)
        if known is not None:
            subscriber.report = known.report
        self.subscribers[peer] = subscriber
        if changed:
            self.service.proxies.announce(peer)
        reply(RECEIVED)
        self._start(subscriber, message.serial)

    def _start(self, subscriber: Subscriber, serial: int) -> None:
        """Sends a new subscriber everything, once the value held here is known to be the newest."""
        configuration = self.service.configuration
        confirmed_ms = self.context.now_ms() - configuration.confirmed_ms
        if serial >= 0 or confirmed_ms <= self.service.interval_ms * CONFIRMED_ROUNDS:
            self.send_everything(subscriber, True)
            return
        subscriber.waiting = True

        def pulled(success: bool) -> None:
            if success or serial != NO_SERIAL:
                self.send_everything(subscriber, success)

        configuration.pull_value(pulled)

    def start_waiting(self) -> None:
        """The value held here has been confirmed: subscribers that waited for that are started."""
        for subscriber in list(self.subscribers.values()):
            if subscriber.waiting:
                self.send_everything(subscriber, True)

    def send_everything(self, subscriber: Subscriber, confirmed: bool) -> None:
        """Sends a new subscriber all instances and, where it is confirmed, the value."""
        if self.subscribers.get(subscriber.address) is not subscriber or subscriber.started:
            return
        subscriber.started = True
        subscriber.waiting = False
        rows = self._encoded_instances()
        value = self.service.configuration.value
        if confirmed and value is not None and subscriber.serial < value.serial:
            subscriber.serial = value.serial
            self._send(subscriber, FeedMessage(1, value.encoded, rows))
        else:
            self._send(subscriber, FeedMessage(0, b"", rows))

    def _encoded_instances(self) -> bytes:
        """All instances, encoded once for subscribers that come within a moment without a change
        between.
        """
        now_ms = self.context.now_ms()
        age_ms = now_ms - self._all_rows_ms
        if self._all_rows is None or age_ms > self.service.interval_ms * BATCH_SHARE:
            instances = self.service.instances
            rows = [row for shard in SHARDS for row in instances.rows(shard, now_ms)]
            self._all_rows = codec.encode_rows(rows)
            self._all_rows_ms = now_ms
        return self._all_rows

    def _on_unsubscribe(self, peer: str, body: Any, reply: Reply) -> None:
        self.remove(peer)
        reply(RECEIVED)

    def remove(self, proxy: str) -> None:
        """Feeds a proxy no more."""
        if self.subscribers.pop(proxy, None) is not None:
            self.service.proxies.announce(proxy)

    def send_heartbeats(self, heartbeat: FeedHeartbeat) -> None:
        """Sends a heartbeat to the subscribers, and drops those that have been silent."""
        body = message_body(heartbeat)
        now_ms = self.context.now_ms()
        limit_ms = self.service.interval_ms * SILENT_ROUNDS
        for subscriber in list(self.subscribers.values()):
            if now_ms - subscriber.last_heard_ms > limit_ms:
                self.remove(subscriber.address)
            else:
                self.rpc.send(subscriber.address, MessageKind.FEED_HEARTBEAT, body)

    # the configuration value

    def _on_pull_value(self, peer: str, message: PullValue, reply: Reply) -> None:
        subscriber = self.subscribers.get(peer)
        if subscriber is not None:
            subscriber.serial = message.serial
            self._send_value(subscriber)

    def publish_value(self) -> None:
        """Pushes the value to all subscribers that have an older one."""
        for subscriber in self.subscribers.values():
            self._send_value(subscriber)

    def _send_value(self, subscriber: Subscriber) -> None:
        value = self.service.configuration.value
        if value is None or subscriber.serial >= value.serial or subscriber.waiting:
            return
        subscriber.serial = value.serial
        self._send(subscriber, FeedMessage(1, value.encoded, b""))

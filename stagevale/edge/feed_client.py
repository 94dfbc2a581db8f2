"""The proxy's subscription: it finds a registry to be fed by and changes it when that goes silent."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stagevale.discovery.messages import (
    NO_SERIAL,
    FeedHeartbeat,
    FeedMessage,
    PullValue,
    SubscribeMessage,
)
from stagevale.edge.feeder_choice import FeederChoice
from stagevale.edge.value_lag import ValueLag
from stagevale.edge.value_reader import ValueReader
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.daemons.proxy import Proxy

ROUNDS_PER_CONTACT = 4.0
# In rounds: how often an unsubscribed proxy looks for a feeder, when usage is reported between
# renewals, how long a feeder may be silent, how long a former one is avoided, and how far apart
# reports about endpoints are.
SEARCH_SHARE = 0.3
USAGE_SHARE = 0.5
SILENT_ROUNDS = 1.6
AVOID_ROUNDS = 4
REPORT_ROUNDS = 3.5
# In rounds: how long a value counts as the newest after a feeder has last said so.
FRESH_ROUNDS = 1.5
# A feeder that hasn't brought a value for this share of `applyMs`, although it was asked for it, is
# changed for another one, at most once in so many rounds.
BEHIND_SHARE = 0.2
BEHIND_ROUNDS = 1.5


class FeedClient:
    """Keeps the subscription to one registry.

    Attributes:
        feeder: address of the registry that feeds this proxy, or None.
        subscribed: it has answered.
        interval_ms: the length of a round.
        choice: ranks the registries that may feed this proxy.
        lag: the values that this proxy has heard of and doesn't have.
        reader: asks others than the feeder for them.
    """

    __slots__ = (
        "proxy",
        "context",
        "rpc",
        "membership",
        "feeder",
        "subscribed",
        "interval_ms",
        "on_feed",
        "_feeder_heard_ms",
        "_feeder_since_ms",
        "_fed_ms",
        "choice",
        "lag",
        "reader",
        "_last_report_ms",
        "_check_planned",
    )

    def __init__(self, proxy: "Proxy", on_feed: Callable[[FeedMessage], None]) -> None:
        """Makes a client without a feeder.

        Args:
            proxy: the daemon.
            on_feed: called with everything that a feeder sends.
        """
        self.proxy = proxy
        self.context = proxy.context
        self.rpc = proxy.rpc
        self.membership = proxy.membership
        self.on_feed = on_feed
        self.feeder: str | None = None
        self.subscribed = False
        self.interval_ms = proxy.context.settings.bounds.contact_ms / ROUNDS_PER_CONTACT
        self._feeder_heard_ms = 0.0
        self._feeder_since_ms = 0.0
        self._fed_ms = proxy.context.now_ms()
        self.lag = ValueLag()
        self.reader = ValueReader(
            self.context, self.rpc, self.membership, self._longest_behind_ms(), self._on_value_read
        )
        self.choice = FeederChoice(self.context, self.membership)
        self._last_report_ms = 0.0
        self._check_planned = False
        self.membership.on_newer_value = self._on_newer_value
        self.rpc.handle(MessageKind.FEED, FeedMessage, self._on_feed)
        self.rpc.handle(MessageKind.FEED_HEARTBEAT, FeedHeartbeat, self._on_heartbeat)
        self.rpc.peer_lost_hooks.append(self._on_peer_lost)

    def start(self) -> None:
        """Begins to look for a feeder."""
        self._tick()

    # the feeder

    def _tick(self) -> None:
        """Renews the subscription, or looks for another feeder."""
        now_ms = self.context.now_ms()
        share = 1.0 if self.subscribed else SEARCH_SHARE
        self.context.call_later(self.interval_ms * share, self._tick)
        if self.proxy.usage is not None:
            self.context.call_later(self.interval_ms * USAGE_SHARE, self.proxy.report_usage, False)
        if self.proxy.stopping:
            return
        if self.feeder is not None and now_ms - self._feeder_heard_ms > (
            self.interval_ms * SILENT_ROUNDS
        ):
            self.drop_feeder("silent")
        if self.feeder is None:
            self._find_feeder()
        else:
            self._renew(self.feeder)
        self._read_while_unfed()

    def _find_feeder(self) -> None:
        feeder = self.choice.best()
        if feeder is not None:
            snapshot = self.proxy.forwarder.snapshot
            self._change_feeder(feeder, snapshot.serial if snapshot.hosts else NO_SERIAL)

    def _find_next_feeder(self) -> None:
        """After a feeder has failed: the next is tried at once, but for one that has failed just
        now.
        """
        feeder = self.choice.best()
        if self.feeder is None and feeder is not None and self.choice.is_usable(feeder):
            self._find_feeder()

    def _change_feeder(self, feeder: str, serial: int) -> None:
        self.feeder = feeder
        self.subscribed = False
        self._feeder_heard_ms = self._feeder_since_ms = self.context.now_ms()
        self.subscribe(min(serial, NO_SERIAL))
        self.proxy.report_usage(True)

    def _renew(self, feeder: str) -> None:
        """Renews the subscription, or changes to a registry that is to be preferred by now."""
        best = self.choice.best()
        if best is not None and best != feeder and self._may_leave(best, feeder):
            self._change_feeder(best, self.proxy.forwarder.snapshot.serial)
            self.rpc.send(feeder, MessageKind.UNSUBSCRIBE, [])
        else:
            self.renew()

    def _may_leave(self, best: str, feeder: str) -> bool:
        return self.subscribed and self.choice.is_preferred(best, feeder)

    def renew(self) -> None:
        """Renews the subscription, if there is one: the feeder learns whether this proxy is ready."""
        if self.feeder is not None:
            self.subscribe(self.proxy.forwarder.snapshot.serial)
            self.proxy.report_usage(False)

    def subscribe(self, serial: int) -> None:
        """Sends a subscription; a negative serial asks for everything anew."""
        if self.feeder is None:
            return
        settings = self.context.settings
        ip, port = settings.listen["front"]
        snapshot = self.proxy.forwarder.snapshot
        has_partners = bool(snapshot.partners.routes)
        message = SubscribeMessage(
            f"{ip}:{port}",
            settings.zone,
            settings.region,
            self.proxy.is_ready(),
            serial,
            self._due_report(),
            snapshot.serial if has_partners else None,
            snapshot.partners.mark if has_partners else None,
        )
        self.rpc.send(self.feeder, MessageKind.SUBSCRIBE, message_body(message))

    def _due_report(self) -> list[Any]:
        """The report about endpoints, where it is due; else empty."""
        now_ms = self.context.now_ms()
        age_ms = now_ms - self._last_report_ms
        if not self.subscribed or age_ms <= REPORT_ROUNDS * self.interval_ms:
            return []
        self._last_report_ms = now_ms
        return self.proxy.endpoint_report(int(age_ms))

    def drop_feeder(self, reason: str) -> None:
        """Gives up the feeder, which is avoided for a while."""
        feeder, self.feeder = self.feeder, None
        if feeder is None:
            return
        self.context.log.info("proxy: feeder %s is dropped: %s.", feeder, reason)
        self.choice.avoid(feeder, self.interval_ms * AVOID_ROUNDS)
        self.subscribed = False
        self.rpc.close_connections(feeder)
        self.context.call_soon(self._find_next_feeder)

    def _on_peer_lost(self, peer: str) -> None:
        if peer == self.feeder:
            self.drop_feeder("its connection was lost")

    # what it sends

    def _on_heartbeat(self, peer: str, heartbeat: FeedHeartbeat, reply: Reply) -> None:
        if peer != self.feeder:
            self.rpc.send(peer, MessageKind.UNSUBSCRIBE, [])
            return
        self._feeder_heard_ms = self.context.now_ms()
        self.subscribed = True
        if heartbeat.agreed_ms is not None and self.proxy.usage is not None:
            self.proxy.usage.set_agreed_time(heartbeat.agreed_ms, self._feeder_heard_ms)
        if not heartbeat.in_contact:
            self.rpc.send(peer, MessageKind.UNSUBSCRIBE, [])
            self.drop_feeder("it is out of touch with the core")
            return
        self._fed_ms = self._feeder_heard_ms
        self.pull_if_newer(heartbeat.serial)

    def _on_newer_value(self, sender: str, serial: int) -> None:
        self.reader.record_name(sender, serial)
        self.pull_if_newer(serial)

    def pull_if_newer(self, serial: int) -> None:
        """Asks the feeder for the configuration value, where there is a newer one."""
        own_serial = self.proxy.forwarder.snapshot.serial
        if serial <= own_serial:
            return
        self.lag.heard(serial, self.context.now_ms())
        if self.feeder is not None:
            self.rpc.send(self.feeder, MessageKind.PULL_VALUE, PullValue(own_serial))
        self._plan_check()

    def unfed_ms(self) -> float:
        """For how long no feeder that is in touch with the core has named the newest serial."""
        return self.context.now_ms() - self._fed_ms

    def _read_while_unfed(self) -> None:
        """Asks registries for the value while nobody feeds this proxy: it may be old, and this proxy
        hears of a newer one by chance only.
        """
        is_unfed = self.unfed_ms() >= self.interval_ms * FRESH_ROUNDS
        if is_unfed and self.proxy.forwarder.snapshot.hosts:
            self.reader.read(self.feeder)

    def _longest_behind_ms(self) -> float:
        return self.context.settings.bounds.apply_ms * BEHIND_SHARE

    def _plan_check(self) -> None:
        if not self._check_planned:
            self._check_planned = True
            self.context.call_later(self._longest_behind_ms(), self._check_lag)

    def _check_lag(self) -> None:
        """Asks others, and changes the feeder, where it doesn't bring what they have."""
        self._check_planned = False
        now_ms = self.context.now_ms()
        behind_ms = self.lag.behind_ms(now_ms)
        if self.proxy.stopping or behind_ms == 0:
            self.reader.end()
            return
        self._plan_check()
        if behind_ms < self._longest_behind_ms():
            return
        if self.proxy.forwarder.snapshot.hosts:
            # The first value is a feeder's, which has had it confirmed.
            self.reader.read(self.feeder)
        had_time = now_ms - self._feeder_since_ms >= self.interval_ms * BEHIND_ROUNDS
        if self.feeder is None or not had_time:
            return
        self.drop_feeder(f"version {self.lag.newest_heard} has not come for {behind_ms:.0f} ms")

    def _on_value_read(self, encoded: bytes) -> None:
        """Another registry than the feeder has told its value."""
        self.on_feed(FeedMessage(1, encoded, b""))

    def _on_feed(self, peer: str, message: FeedMessage, reply: Reply) -> None:
        if peer == self.feeder:
            self._feeder_heard_ms = self.context.now_ms()
            self.subscribed = True
        self.on_feed(message)

"""The proxy's subscription: it finds a registry to be fed by and changes it when that goes silent."""

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stagevale.discovery.messages import (
    NO_SERIAL,
    FeedHeartbeat,
    FeedMessage,
    PullValue,
    SubscribeMessage,
)
from stagevale.edge.value_lag import ValueLag
from stagevale.edge.value_reader import ValueReader
from stagevale.membership.member import REGISTRY_PROGRAM
from stagevale.placement.rule import feed_key
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
        avoid_until_ms: until when former feeders are avoided, by address.
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
        "avoid_until_ms",
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
        self.lag = ValueLag()
        self.reader = ValueReader(
            self.context, self.rpc, self.membership, self._longest_behind_ms(), self._on_value_read
        )
        self.avoid_until_ms: dict[str, float] = {}
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

    def _feeders(self) -> list[str]:
        """Registries to be fed by: by the placement table, then by nearness, then the seeds; those
        that are avoided or unreachable last.
        """
        settings = self.context.settings
        members = sorted(
            self.membership.members(REGISTRY_PROGRAM),
            key=lambda member: (
                member.zone != settings.zone,
                member.region != settings.region,
                member.address,
            ),
        )
        # Machines of one zone have addresses that begin alike.
        seeds = sorted(settings.seeds, key=lambda ip: -len(os.path.commonprefix((ip, settings.ip))))
        addresses = list(self._placed())
        addresses += [member.address for member in members]
        addresses += [f"{ip}:{settings.inner_ports[0]}" for ip in seeds]
        now_ms = self.context.now_ms()
        return sorted(
            dict.fromkeys(addresses),
            key=lambda address: (
                now_ms < self.avoid_until_ms.get(address, 0),
                not self.membership.is_reachable(address),
            ),
        )

    def _placed(self) -> tuple[str, ...]:
        """The feeders of this zone by the placement table."""
        return self.membership.state.table.get(feed_key(self.context.settings.zone), ())

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

    def _find_feeder(self) -> None:
        feeders = self._feeders()
        if feeders:
            snapshot = self.proxy.forwarder.snapshot
            self._change_feeder(feeders[0], snapshot.serial if snapshot.hosts else NO_SERIAL)

    def _change_feeder(self, feeder: str, serial: int) -> None:
        self.feeder = feeder
        self._feeder_heard_ms = self._feeder_since_ms = self.context.now_ms()
        self.subscribe(min(serial, NO_SERIAL))
        self.proxy.report_usage(True)

    def _renew(self, feeder: str) -> None:
        """Renews the subscription, or changes to a registry that is to be preferred by now."""
        best = self._feeders()[0]
        if best != feeder and self.subscribed and self._is_preferred(best, feeder):
            self.rpc.send(feeder, MessageKind.UNSUBSCRIBE, [])
            self._change_feeder(best, self.proxy.forwarder.snapshot.serial)
        else:
            self.renew()

    def _is_preferred(self, best: str, feeder: str) -> bool:
        placed = self._placed()
        if placed:
            return best in placed and feeder not in placed
        # Before there is a table: a registry of the own zone goes over one of another.
        members = self.membership.state.members
        zone = self.context.settings.zone
        return (
            best in members
            and members[best].zone == zone
            and (feeder not in members or members[feeder].zone != zone)
        )

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
        self.avoid_until_ms[feeder] = self.context.now_ms() + self.interval_ms * AVOID_ROUNDS
        self.subscribed = False
        self.rpc.close_connections(feeder)

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
        self._find_feeder()

    def _on_value_read(self, encoded: bytes) -> None:
        """Another registry than the feeder has told its value."""
        self.on_feed(FeedMessage(1, encoded, b""))

    def _on_feed(self, peer: str, message: FeedMessage, reply: Reply) -> None:
        if peer == self.feeder:
            self._feeder_heard_ms = self.context.now_ms()
            self.subscribed = True
        self.on_feed(message)

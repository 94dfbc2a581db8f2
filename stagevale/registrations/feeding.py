"""The proxies that this registry feeds, and those that others feed, for the directory."""

import zlib

from stagevale import wire
from stagevale.placement import PARTS, fronts_for
from stagevale.registrations import READY

FEED_SHARE = 0.05


class Subscriber:
    """A proxy that this registry feeds."""

    __slots__ = (
        "address",
        "front",
        "zone",
        "region",
        "ready",
        "serial",
        "heard_ms",
        "waiting",
        "welcomed",
        "report",
        "table",
    )

    def __init__(self, address, front, zone, region, ready, serial, heard_ms):
        self.address = address
        self.front = front
        self.zone = zone
        self.region = region
        self.ready = ready
        self.serial = serial
        self.heard_ms = heard_ms
        self.waiting = False
        self.welcomed = False
        self.report = []
        self.table = []


class Feeding:
    """Pushes endpoints and the chosen configuration to proxies and knows which of them are ready."""

    __slots__ = (
        "service",
        "context",
        "switchboard",
        "membership",
        "subscribers",
        "attached",
        "unfed",
        "feeding",
        "unannounced",
        "packed_rows",
    )

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership
        self.subscribers = {}
        self.attached = {}
        self.unfed = {}
        self.feeding = False
        self.unannounced = set()
        self.packed_rows = 0.0, None
        self.switchboard.on(wire.SUBSCRIBE, self.on_subscribe)
        self.switchboard.on(wire.UNSUBSCRIBE, self.on_unsubscribe)
        self.switchboard.on(wire.PULL, self.on_pull)
        self.switchboard.on(wire.ATTACHED, self.on_attached)
        self.switchboard.on(wire.ATTACHED_WANTED, self.on_attached_wanted)
        self.switchboard.lost_hooks.append(self.connection_lost)

    def feed(self, news):
        """Pushes lives to the proxies that this registry feeds: at once what takes an endpoint
        away, the rest together with what else comes within a moment, so that a proxy's work doesn't
        rise with the square of the endpoints.
        """
        self.packed_rows = 0.0, None
        if not self.subscribers:
            return
        for life in news:
            self.unfed[life.id] = life
        if any(life.state != READY or not life.healthy for life in news):
            self.feed_now()
        elif not self.feeding:
            self.feeding = True
            self.context.after(self.service.interval_ms * FEED_SHARE, self.feed_now)

    def feed_now(self):
        self.feeding = False
        news, self.unfed = self.unfed, {}
        if not news:
            return
        now_ms = self.context.now_ms()
        rows = wire.pack_rows(
            [self.service.lives.by_id.get(id, life).fields(now_ms) for id, life in news.items()]
        )
        for subscriber in self.subscribers.values():
            if not subscriber.waiting:
                self.switchboard.send(subscriber.address, wire.FEED, [0, b"", rows])

    def on_subscribe(self, peer, body, reply):
        front, zone, region, ready, serial, report, *table = body
        now_ms = self.context.now_ms()
        known = self.subscribers.get(peer)
        fresh = known is None or serial < 0
        changed = known is None or known.ready != ready
        if known is not None and report:
            known.report = report
        if known is not None and not fresh:
            known.heard_ms, known.ready, known.table = now_ms, ready, table
            if changed:
                self.announce(peer)
            if reply is not None:
                reply(1)
            return
        subscriber = Subscriber(peer, front, zone, region, ready, serial, now_ms)
        subscriber.report = known.report if known is not None else report
        self.subscribers[peer] = subscriber
        if changed:
            self.announce(peer)
        if reply is not None:
            reply(1)
        if (
            serial < 0
            and now_ms - self.service.register.value_heard_ms > self.service.interval_ms * 1.5
        ):
            subscriber.waiting = True
            self.service.register.pull_value(
                lambda read: (
                    self.send_everything(subscriber, read) if read or serial != -1 else None
                )
            )
        else:
            self.send_everything(subscriber, True)

    def send_everything(self, subscriber, read):
        """Sends a new subscriber all lives, and the value once a majority has confirmed it."""
        if self.subscribers.get(subscriber.address) is not subscriber or subscriber.welcomed:
            return
        subscriber.welcomed = True
        subscriber.waiting = False
        rows = self.all_rows(self.context.now_ms())
        if (
            read
            and self.service.register.value is not None
            and subscriber.serial < self.service.register.value.serial
        ):
            subscriber.serial = self.service.register.value.serial
            self.switchboard.send(
                subscriber.address, wire.FEED, [1, self.service.register.value.packed, rows]
            )
        else:
            self.switchboard.send(subscriber.address, wire.FEED, [0, b"", rows])

    def all_rows(self, now_ms):
        """All lives as a new subscriber gets them, packed once for those that come within a moment
        without news between.
        """
        made_ms, rows = self.packed_rows
        if rows is None or now_ms - made_ms > self.service.interval_ms * FEED_SHARE:
            rows = wire.pack_rows(
                [row for part in PARTS for row in self.service.lives.rows(part, now_ms)]
            )
            self.packed_rows = now_ms, rows
        return rows

    def own_proxies(self):
        """The proxies that this registry feeds, as the directory wants them."""
        return sorted(
            [
                subscriber.address,
                subscriber.front,
                subscriber.zone,
                subscriber.region,
                bool(subscriber.ready),
            ]
            for subscriber in self.subscribers.values()
        )

    def attached_mark(self, rows):
        return zlib.crc32(repr([list(row) for row in rows]).encode())

    def announce(self, proxy):
        """Tells the other registries that a proxy is fed here, is ready, or isn't, together with
        what else changes within a moment, since a start brings all proxies at once; pings repair
        what gets lost.
        """
        if not self.unannounced:
            self.context.after(self.service.interval_ms * FEED_SHARE, self.announce_now)
        self.unannounced.add(proxy)

    def announce_now(self):
        proxies, self.unannounced = self.unannounced, set()
        if not proxies:
            return
        known = {row[0]: row for row in self.own_proxies()}
        news = [known.get(proxy, [proxy]) for proxy in sorted(proxies)]
        for member in self.service.registries():
            if member.address != self.switchboard.address:
                self.switchboard.send(member.address, wire.ATTACHED, news)

    def on_attached(self, peer, body, reply):
        """News of one proxy that another registry feeds: its row, or its address alone where it is
        fed there no more.
        """
        rows = {row[0]: row for row in self.attached.get(peer, ())}
        for proxy, *rest in body:
            rows.pop(proxy, None)
            if rest:
                front, zone, region, ready = rest
                rows[proxy] = [proxy, front, zone, region, bool(ready)]
        self.attached[peer] = sorted(rows.values())

    def got_attached(self, peer, rows):
        """All proxies that another registry feeds."""
        self.attached[peer] = [
            [proxy, front, zone, region, bool(ready)] for proxy, front, zone, region, ready in rows
        ]

    def on_attached_wanted(self, peer, body, reply):
        reply(self.own_proxies())

    def on_unsubscribe(self, peer, body, reply):
        self.drop(peer)
        if reply is not None:
            reply(1)

    def drop(self, proxy):
        if self.subscribers.pop(proxy, None) is not None:
            self.announce(proxy)

    def connection_lost(self, peer):
        if peer in self.subscribers:
            self.drop(peer)

    def on_pull(self, peer, body, reply):
        subscriber = self.subscribers.get(peer)
        if subscriber is not None:
            subscriber.serial = body[0]
            self.feed_value(subscriber)

    def feed_value(self, subscriber):
        if (
            self.service.register.value is not None
            and subscriber.serial < self.service.register.value.serial
            and not subscriber.waiting
        ):
            subscriber.serial = self.service.register.value.serial
            self.switchboard.send(
                subscriber.address, wire.FEED, [1, self.service.register.value.packed, b""]
            )

    def resolve(self, zone, region):
        """The fronts for a client of this zone: ready, near ones first."""
        lists = [self.own_proxies()] + [
            rows for registry, rows in self.attached.items() if self.service.live(registry)
        ]
        ready = {
            (front, its_zone, its_region)
            for rows in lists
            for _, front, its_zone, its_region, is_ready in rows
            if is_ready and front
        }
        return fronts_for(zone, region or self.context.settings.zones.get(zone, ""), ready)

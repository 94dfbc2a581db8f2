"""The proxy: carries the traffic; serves front and readiness; diskless."""

import os

from stagevale import wire
from stagevale.balancing import Target
from stagevale.configuration.value import read_value
from stagevale.duties.counts import WindowCounts
from stagevale.forwarding import Forwarder
from stagevale.forwarding.client import ClientConnection
from stagevale.forwarding.endpoint import HOP_HEADERS, EndpointConnection
from stagevale.placement import place
from stagevale.programs import Daemon
from stagevale.registrations import GONE, READY, life_from_fields
from stagevale.registrations.calls import CallConnection

REPORT_ROUNDS = 3.5
OUTCOMES_EVERY = 3


class Proxy(Daemon):
    """The daemon on an edge machine."""

    __slots__ = (
        "forwarder",
        "targets",
        "feeder",
        "feeder_heard_ms",
        "subscribed",
        "shunned",
        "lives_heard",
        "interval_ms",
        "front_server",
        "reported_ms",
        "life",
        "asking",
        "asks",
    )

    def __init__(self, context, path):
        super().__init__(context, "proxy", 0, path)
        self.forwarder = Forwarder(
            context, self.switchboard.address, EndpointConnection, HOP_HEADERS
        )
        self.targets = {}
        self.feeder = None
        self.feeder_heard_ms = 0.0
        self.subscribed = False
        self.shunned = {}
        self.lives_heard = False
        self.front_server = None
        self.reported_ms = 0.0
        if context.settings.steering:
            from stagevale.steering import Steering

            self.forwarder.chooser.steering = Steering(
                context.settings.bounds,
                context.settings.region,
                context.random,
                self.forwarder.chooser.rtt_ms,
            )
        self.life = f"{context.random.getrandbits(32):08x}"
        if "usage_report" in context.settings.duties:
            self.forwarder.counts = WindowCounts(context.settings.bounds)
        self.interval_ms = context.settings.bounds.contact_ms / 4.0
        self.membership.placer = lambda members, table, moves: place(
            members, table, moves, context.settings.zones
        )
        self.membership.serial_hook = self.serial_heard
        self.membership.change_hooks.append(self.members_changed)
        self.switchboard.on(wire.FEED, self.on_feed)
        self.switchboard.on(wire.FEED_PING, self.on_feed_ping)
        self.switchboard.on(wire.LEASE, self.on_lease)
        self.asking = False
        self.asks = 0
        self.switchboard.lost_hooks.append(self.connection_lost)

    def begin(self):
        super().begin()
        self.read_policy()
        listen = self.context.settings.listen
        if "ready" in listen:
            self.context.listen(
                listen["ready"], lambda: CallConnection(self.context, self.readiness)
            )
        self.context.listen(listen["front"], lambda: ClientConnection(self.forwarder), self.fronted)
        self.tick()

    def reload(self):
        super().reload()
        self.read_policy()

    def read_policy(self):
        """Takes the policy that the settings name; one that can't be used leaves the built-in
        choice.
        """
        path = self.context.settings.policy_path
        if not path:
            self.forwarder.chooser.policy = None
            return
        from stagevale.balancing.policies import PolicyFailure, load_policy

        try:
            self.forwarder.chooser.policy = load_policy(path, self.context.log)
            self.context.log.info("policy: %s is in use.", path)
        except PolicyFailure as failure:
            self.forwarder.chooser.policy = None
            self.context.log.error("policy: %s; the built-in choice is used.", failure)

    def fronted(self, server):
        self.front_server = server

    def ready(self):
        """True once this proxy can serve: it has a configuration and knows endpoints, and doesn't
        leave.
        """
        return bool(self.forwarder.snapshot.hosts) and self.lives_heard and not self.ending

    def readiness(self, method, segments, query, body, answer):
        if segments != ("v1", "readiness"):
            return answer(404, {"error": "no such call"})
        if method != "GET":
            return answer(405, {"error": "want GET"})
        ready = self.ready()
        return answer(200 if ready else 503, {"ready": ready})

    # the feeder

    def feeders(self):
        """Registries to be fed by: by the placement table, then by nearness, then the seeds."""
        settings = self.context.settings
        members = {member.address: member for member in self.membership.members("registry")}
        table = list(self.membership.state.table.get("feeds-" + settings.zone, ()))
        rest = sorted(
            members.values(),
            key=lambda member: (
                member.zone != settings.zone,
                member.region != settings.region,
                member.address,
            ),
        )
        order = table + [member.address for member in rest]
        alike = sorted(settings.seeds, key=lambda ip: -len(os.path.commonprefix((ip, settings.ip))))
        order += [f"{ip}:{settings.inner_ports[0]}" for ip in alike]
        order = list(dict.fromkeys(order))
        now_ms = self.context.now_ms()
        return sorted(
            order,
            key=lambda address: (
                now_ms < self.shunned.get(address, 0),
                not self.membership.reachable(address),
            ),
        )

    def tick(self):
        """Keeps the subscription alive, or looks for another feeder."""
        now_ms = self.context.now_ms()
        self.context.after(self.interval_ms * (1.0 if self.subscribed else 0.3), self.tick)
        if self.forwarder.counts is not None:
            self.context.after(self.interval_ms * 0.5, self.tell_counts, False)
        if self.ending:
            return
        if self.feeder is not None and now_ms - self.feeder_heard_ms > self.interval_ms * 1.6:
            self.change_feeder("silent")
        if self.feeder is None:
            feeders = self.feeders()
            if not feeders:
                return
            self.feeder = feeders[0]
            self.feeder_heard_ms = now_ms
            self.subscribe(
                -1 if not self.forwarder.snapshot.hosts else self.forwarder.snapshot.serial, True
            )
        else:
            best = self.feeders()[0]
            table = self.membership.state.table.get("feeds-" + self.context.settings.zone, ())
            if (
                best != self.feeder
                and self.subscribed
                and (best in table and self.feeder not in table or not table and self.nearer(best))
            ):
                self.switchboard.send(self.feeder, wire.UNSUBSCRIBE, [])
                self.feeder = best
                self.feeder_heard_ms = now_ms
                self.subscribe(self.forwarder.snapshot.serial, True)
                return
            self.subscribe(self.forwarder.snapshot.serial, False)

    def nearer(self, best):
        """Before there is a table: a registry of the own zone goes over one of another."""
        members = self.membership.state.members
        zone = self.context.settings.zone
        return (
            best in members
            and members[best].zone == zone
            and (self.feeder not in members or members[self.feeder].zone != zone)
        )

    def subscribe(self, serial, anew):
        listen = self.context.settings.listen["front"]
        settings = self.context.settings
        now_ms = self.context.now_ms()
        report = []
        if self.subscribed and now_ms - self.reported_ms > REPORT_ROUNDS * self.interval_ms:
            report = [
                int(now_ms - self.reported_ms),
                self.forwarder.take_flows(),
                [
                    [target.id, round(target.speed, 2)]
                    for target in self.targets.values()
                    if target.speed != 1.0
                ],
                [
                    [region, round(rtt_ms, 1)]
                    for region, rtt_ms in self.forwarder.chooser.rtt_ms.items()
                ],
            ]
            if self.forwarder.holdings is not None:
                report.append(self.forwarder.holdings.counts)
            if self.forwarder.chooser.steering is not None:
                report += [{}] * (5 - len(report)) + [self.forwarder.chooser.steering.rows(now_ms)]
            self.reported_ms = now_ms
        table = self.forwarder.snapshot.partners
        self.switchboard.send(
            self.feeder,
            wire.SUBSCRIBE,
            [
                f"{listen[0]}:{listen[1]}",
                settings.zone,
                settings.region,
                self.ready(),
                serial if not anew else min(serial, -1),
                report,
            ]
            + ([self.forwarder.snapshot.serial, table.mark] if table.rows else []),
        )
        self.tell_counts(anew)

    def tell_counts(self, everything):
        """Tells the feeder how many requests of each tenant began, a window at a time."""
        counts = self.forwarder.counts
        if counts is None or counts.offset_ms is None or self.feeder is None:
            return
        self.switchboard.send(
            self.feeder,
            wire.USAGE,
            [self.life, counts.true_ms(self.context.now_ms()), counts.rows(everything)],
        )

    def change_feeder(self, why):
        self.context.log.info("proxy: feeder %s is left: %s.", self.feeder, why)
        self.shunned[self.feeder] = self.context.now_ms() + self.interval_ms * 4
        feeder, self.feeder = self.feeder, None
        self.subscribed = False
        self.switchboard.hang_up(feeder)

    def connection_lost(self, peer):
        if peer == self.feeder:
            self.change_feeder("its connection was lost")

    def on_feed_ping(self, peer, body, reply):
        serial, contact, *clock = body
        if peer != self.feeder:
            self.switchboard.send(peer, wire.UNSUBSCRIBE, [])
            return
        self.feeder_heard_ms = self.context.now_ms()
        self.subscribed = True
        if clock and self.forwarder.counts is not None:
            self.forwarder.counts.told(clock[0], self.feeder_heard_ms)
        if not contact:
            self.switchboard.send(peer, wire.UNSUBSCRIBE, [])
            self.change_feeder("it is out of touch with the core")
            return
        if serial > self.forwarder.snapshot.serial:
            self.switchboard.send(peer, wire.PULL, [self.forwarder.snapshot.serial])

    def serial_heard(self, sender, serial):
        if self.feeder is not None and serial > self.forwarder.snapshot.serial:
            self.switchboard.send(self.feeder, wire.PULL, [self.forwarder.snapshot.serial])

    def on_feed(self, peer, body, reply):
        """News from a feeder: the register's value, lives, or both."""
        has_value, packed, rows = body[0], body[1], wire.unpack_rows(body[2])
        now_ms = self.context.now_ms()
        if peer == self.feeder:
            self.feeder_heard_ms = now_ms
            self.subscribed = True
        was_ready = self.ready()
        snapshot = self.forwarder.snapshot
        if has_value:
            value = read_value(packed)
            if value.serial > snapshot.serial:
                before = snapshot.evacuated
                snapshot = snapshot.with_value(value)
                for zone in before - snapshot.evacuated:
                    self.taken_back(zone, snapshot, now_ms)
                self.membership.serial = value.serial
                self.context.log.info(
                    "proxy: version %d is in force, configuration r%d.", value.serial, value.version
                )
        for row in rows:
            self.take_life(life_from_fields(row, now_ms), now_ms, snapshot)
        if rows:
            self.lives_heard = True
            snapshot = snapshot.with_targets(self.tables())
        elif not has_value:
            self.lives_heard = True
        self.forwarder.snapshot = snapshot
        if snapshot.sessions and self.forwarder.holdings is None:
            from stagevale.affinity.holding import Holdings

            self.forwarder.holdings = Holdings(
                self.context, self.switchboard, self.forwarder, self.membership
            )
        if (snapshot.partners.rows or snapshot.rollouts) and not self.asking:
            self.asking = True
            self.ask_lease()
        if self.ready() != was_ready:
            self.context.log.info(
                "proxy: %s.", "ready to serve" if self.ready() else "no longer ready to serve"
            )
            if self.feeder is not None:
                self.subscribe(snapshot.serial, False)
        self.forwarder.pump_all()

    def ask_lease(self):
        """While partners offer anything or a rollout is on: asks the feeder again and again whether
        this snapshot is the newest, and now and then tells what became of requests under rollouts.
        """
        snapshot = self.forwarder.snapshot
        if not snapshot.partners.rows and not snapshot.rollouts:
            self.asking = False
            return
        lease = self.forwarder.lease
        self.context.after(lease.length_ms / 5.0, self.ask_lease)
        if self.feeder is not None and self.subscribed:
            told = []
            self.asks += 1
            if snapshot.rollouts and self.asks % OUTCOMES_EVERY == 0:
                told = [
                    self.life,
                    self.forwarder.outcomes.rows(snapshot.rollouts)
                    if self.forwarder.outcomes
                    else [],
                ]
            self.switchboard.send(
                self.feeder, wire.LEASE_WANTED, [lease.ask(self.context.now_ms()), *told]
            )

    def on_lease(self, peer, body, reply):
        ask_no, newest = body
        self.forwarder.lease.granted(ask_no, newest, self.forwarder.snapshot.serial)
        if newest > self.forwarder.snapshot.serial and peer == self.feeder:
            self.switchboard.send(peer, wire.PULL, [self.forwarder.snapshot.serial])
        self.forwarder.pump_all()

    def taken_back(self, zone, snapshot, now_ms):
        """Endpoints of a zone that is taken back count as cold until fresh word says otherwise."""
        for target in self.targets.values():
            service = snapshot.services.get(target.service)
            if target.zone == zone and service is not None:
                target.cold_until_ms = max(
                    target.cold_until_ms, now_ms + service.warmup_ms + self.context.settings.beat_ms
                )

    def take_life(self, life, now_ms, snapshot):
        """Takes in what is told of one life; drained, left and unhealthy ones get nothing new."""
        target = self.targets.get(life.id)
        if life.state == GONE:
            if target is not None:
                target.gone = True
                del self.targets[life.id]
                for connection in list(target.idle):
                    connection.close()
            return
        if target is None:
            region = self.context.settings.zones.get(life.zone, "")
            target = self.targets[life.id] = Target(
                life.id, life.service, life.address, life.zone, region, life.slots, life.software
            )
        if life.state != READY and target.state == READY:
            target.state = life.state
            for connection in list(target.idle):
                connection.close()
        target.slots = max(1, life.slots)
        if life.cold_ms > 0 and life.cold_seq >= target.cold_seq:
            target.cold_until_ms = max(target.cold_until_ms, now_ms + life.cold_ms + 200)
        target.cold_seq = max(target.cold_seq, life.cold_seq)
        if life.healthy and not target.healthy:
            target.eject_until_ms = 0.0
        if not life.healthy and target.healthy:
            for connection in list(target.idle):
                connection.close()
        target.healthy = life.healthy

    def tables(self):
        tables = {}
        for target in self.targets.values():
            tables.setdefault(target.service, []).append(target)
        return {service: tuple(targets) for service, targets in tables.items()}

    def members_changed(self):
        proxies = tuple(
            (member.address, member.zone, member.region)
            for member in self.membership.members("proxy")
        )
        if proxies != self.forwarder.snapshot.proxies:
            self.forwarder.snapshot = self.forwarder.snapshot.with_proxies(proxies)

    # the end

    def end(self):
        """Leaves in order: unready and left out, then answers what it has, then ends."""
        self.forwarder.leaving = True
        if self.forwarder.holdings is not None:
            self.forwarder.holdings.hand_on()
        if self.feeder is not None:
            self.subscribe(self.forwarder.snapshot.serial, False)
        self.membership.leave()
        self.membership.exit()
        grace_ms = self.context.settings.bounds.grace_period_s * 1000.0
        self.context.after(grace_ms * 0.4, self.close_front)
        self.context.after(grace_ms * 0.85, self.finish)

    def finish(self):
        """The last word on what began here goes to the feeder before the end."""
        self.tell_counts(False)
        self.context.after(20, super().finish)

    def close_front(self):
        """Takes no new connections; those that are idle end, the others end with their last
        answer.
        """
        if self.front_server is not None:
            self.front_server.close()
        for connection in list(self.forwarder.connections):
            if connection.idle():
                connection.transport.close()
        self.when_done()

    def when_done(self):
        for connection in list(self.forwarder.connections):
            if connection.idle():
                connection.transport.close()
        if not self.forwarder.connections and not self.forwarder.running:
            self.finish()
        else:
            self.context.after(50, self.when_done)

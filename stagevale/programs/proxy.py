"""The proxy: carries the traffic; serves front and readiness; diskless."""
import os

from stagevale import wire
from stagevale.balancing import Target
from stagevale.configuration.value import read_value
from stagevale.duties.counts import WindowCounts
from stagevale.placement import place
from stagevale.programs import Daemon
from stagevale.registrations import GONE, READY, life_from_fields
from stagevale.registrations.calls import CallStream
from stagevale.relaying import Relay
from stagevale.relaying.client import ClientStream
from stagevale.relaying.endpoint import HOP_HEADERS, EndpointStream


REPORT_ROUNDS = 3.5
OUTCOMES_EVERY = 3


class Proxy(Daemon):
    """The daemon on an edge machine."""

    __slots__ = ("relay", "targets", "feeder", "feeder_heard_ms", "subscribed", "shunned",
                 "lives_heard", "interval_ms", "front_server", "reported_ms", "life", "asking",
                 "asks")

    def __init__(self, context, path):
        super().__init__(context, "proxy", 0, path)
        self.relay = Relay(context, self.board.address, EndpointStream, HOP_HEADERS)
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
            self.relay.chooser.steering = Steering(context.settings.bounds, context.settings.region, context.random,
                                                   self.relay.chooser.rtt_ms)
        self.life = f"{context.random.getrandbits(32):08x}"
        if "usage_report" in context.settings.duties:
            self.relay.counts = WindowCounts(context.settings.bounds)
        self.interval_ms = context.settings.bounds.contact_ms / 4.0
        self.membership.placer = lambda members, table, moves: place(members, table, moves, context.settings.areas)
        self.membership.epoch_hook = self.epoch_heard
        self.membership.change_hooks.append(self.members_changed)
        self.board.on(wire.FEED, self.on_feed)
        self.board.on(wire.FEED_PING, self.on_feed_ping)
        self.board.on(wire.CLAIM, self.on_claim)
        self.asking = False
        self.asks = 0
        self.board.lost_hooks.append(self.stream_lost)

    def begin(self):
        super().begin()
        self.read_policy()
        listen = self.context.settings.listen
        if "ready" in listen:
            self.context.listen(listen["ready"], lambda: CallStream(self.context, self.readiness))
        self.context.listen(listen["front"], lambda: ClientStream(self.relay), self.fronted)
        self.tick()

    def reload(self):
        super().reload()
        self.read_policy()

    def read_policy(self):
        """Takes the policy that the settings name; one that can't be used leaves the built-in choice."""
        path = self.context.settings.policy_path
        if not path:
            self.relay.chooser.policy = None
            return
        from stagevale.balancing.policies import PolicyProblem, load_policy
        try:
            self.relay.chooser.policy = load_policy(path, self.context.log)
            self.context.log.info("policy: %s is in use.", path)
        except PolicyProblem as problem:
            self.relay.chooser.policy = None
            self.context.log.error("policy: %s; the built-in choice is used.", problem)

    def fronted(self, server):
        self.front_server = server

    def ready(self):
        """True once this proxy can serve: it has a configuration and knows endpoints, and doesn't leave."""
        return bool(self.relay.digest.hosts) and self.lives_heard and not self.ending

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
        table = list(self.membership.state.table.get("feeds-" + settings.area, ()))
        rest = sorted(members.values(), key=lambda member: (member.area != settings.area,
                                                            member.region != settings.region, member.address))
        order = table + [member.address for member in rest]
        alike = sorted(settings.seeds, key=lambda ip: -len(os.path.commonprefix((ip, settings.ip))))
        order += [f"{ip}:{settings.inner_ports[0]}" for ip in alike]
        order = list(dict.fromkeys(order))
        now_ms = self.context.now_ms()
        return sorted(order, key=lambda address: (now_ms < self.shunned.get(address, 0),
                                                  not self.membership.reachable(address)))

    def tick(self):
        """Keeps the subscription alive, or looks for another feeder."""
        now_ms = self.context.now_ms()
        self.context.after(self.interval_ms * (1.0 if self.subscribed else 0.3), self.tick)
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
            self.subscribe(-1 if not self.relay.digest.hosts else self.relay.digest.serial, True)
        else:
            best = self.feeders()[0]
            table = self.membership.state.table.get("feeds-" + self.context.settings.area, ())
            if best != self.feeder and self.subscribed and (best in table and self.feeder not in table
                                                            or not table and self.nearer(best)):
                self.board.cast(self.feeder, wire.UNSUBSCRIBE, [])
                self.feeder = best
                self.feeder_heard_ms = now_ms
                self.subscribe(self.relay.digest.serial, True)
                return
            self.subscribe(self.relay.digest.serial, False)

    def nearer(self, best):
        """Before there is a table: a registry of the own area goes over one of another."""
        members = self.membership.state.members
        area = self.context.settings.area
        return best in members and members[best].area == area and (
            self.feeder not in members or members[self.feeder].area != area)

    def subscribe(self, serial, anew):
        listen = self.context.settings.listen["front"]
        settings = self.context.settings
        now_ms = self.context.now_ms()
        report = []
        if self.subscribed and now_ms - self.reported_ms > REPORT_ROUNDS * self.interval_ms:
            report = [int(now_ms - self.reported_ms), self.relay.take_flows(),
                      [[target.id, round(target.speed, 2)] for target in self.targets.values() if target.speed != 1.0],
                      [[region, round(rtt_ms, 1)] for region, rtt_ms in self.relay.chooser.rtt_ms.items()]]
            if self.relay.holdings is not None:
                report.append(self.relay.holdings.counts)
            if self.relay.chooser.steering is not None:
                report += [{}] * (5 - len(report)) + [self.relay.chooser.steering.rows(now_ms)]
            self.reported_ms = now_ms
        table = self.relay.digest.partners
        self.board.cast(self.feeder, wire.SUBSCRIBE, [f"{listen[0]}:{listen[1]}", settings.area, settings.region,
                                                      self.ready(), serial if not anew else min(serial, -1), report]
                        + ([self.relay.digest.serial, table.mark] if table.rows else []))
        self.tell_counts(anew)

    def tell_counts(self, everything):
        """Tells the feeder how many jobs of each tenant began, a window at a time."""
        counts = self.relay.counts
        if counts is None or counts.offset_ms is None or self.feeder is None:
            return
        self.board.cast(self.feeder, wire.USAGE, [self.life, counts.true_ms(self.context.now_ms()),
                                                  counts.rows(everything)])

    def change_feeder(self, why):
        self.context.log.info("proxy: feeder %s is left: %s.", self.feeder, why)
        self.shunned[self.feeder] = self.context.now_ms() + self.interval_ms * 4
        feeder, self.feeder = self.feeder, None
        self.subscribed = False
        self.board.hang_up(feeder)

    def stream_lost(self, peer):
        if peer == self.feeder:
            self.change_feeder("its stream was lost")

    def on_feed_ping(self, peer, body, reply):
        serial, contact, *clock = body
        if peer != self.feeder:
            self.board.cast(peer, wire.UNSUBSCRIBE, [])
            return
        self.feeder_heard_ms = self.context.now_ms()
        self.subscribed = True
        if clock and self.relay.counts is not None:
            self.relay.counts.told(clock[0], self.feeder_heard_ms)
        if not contact:
            self.board.cast(peer, wire.UNSUBSCRIBE, [])
            self.change_feeder("it is out of touch with the core")
            return
        if serial > self.relay.digest.serial:
            self.board.cast(peer, wire.PULL, [self.relay.digest.serial])

    def epoch_heard(self, sender, epoch):
        if self.feeder is not None and epoch > self.relay.digest.serial:
            self.board.cast(self.feeder, wire.PULL, [self.relay.digest.serial])

    def on_feed(self, peer, body, reply):
        """News from a feeder: the register's value, lives, or both."""
        has_value, packed, rows = body[0], body[1], wire.unpack_rows(body[2])
        now_ms = self.context.now_ms()
        if peer == self.feeder:
            self.feeder_heard_ms = now_ms
            self.subscribed = True
        was_ready = self.ready()
        digest = self.relay.digest
        if has_value:
            value = read_value(packed)
            if value.serial > digest.serial:
                before = digest.evacuated
                digest = digest.with_value(value)
                for area in before - digest.evacuated:
                    self.taken_back(area, digest, now_ms)
                self.membership.epoch = value.serial
                self.context.log.info("proxy: epoch %d is in force, configuration r%d.", value.serial, value.version)
        for row in rows:
            self.take_life(life_from_fields(row, now_ms), now_ms, digest)
        if rows:
            self.lives_heard = True
            digest = digest.with_targets(self.tables())
        elif not has_value:
            self.lives_heard = True
        self.relay.digest = digest
        if digest.sessions and self.relay.holdings is None:
            from stagevale.affinity.holding import Holdings
            self.relay.holdings = Holdings(self.context, self.board, self.relay, self.membership)
        if (digest.partners.rows or digest.rollouts) and not self.asking:
            self.asking = True
            self.ask_lease()
        if self.ready() != was_ready and self.feeder is not None:
            self.subscribe(digest.serial, False)
        self.relay.pump_all()

    def ask_lease(self):
        """While partners offer anything or a rollout is on: asks the feeder again and again whether this snapshot is the
        newest, and now and then tells what became of requests under rollouts."""
        digest = self.relay.digest
        if not digest.partners.rows and not digest.rollouts:
            self.asking = False
            return
        lease = self.relay.lease
        self.context.after(lease.length_ms / 5.0, self.ask_lease)
        if self.feeder is not None and self.subscribed:
            told = []
            self.asks += 1
            if digest.rollouts and self.asks % OUTCOMES_EVERY == 0:
                told = [self.life, self.relay.outcomes.rows(digest.rollouts) if self.relay.outcomes else []]
            self.board.cast(self.feeder, wire.CLAIM_WANTED, [lease.ask(self.context.now_ms()), *told])

    def on_claim(self, peer, body, reply):
        ask_no, newest = body
        self.relay.lease.granted(ask_no, newest, self.relay.digest.serial)
        if newest > self.relay.digest.serial and peer == self.feeder:
            self.board.cast(peer, wire.PULL, [self.relay.digest.serial])
        self.relay.pump_all()

    def taken_back(self, area, digest, now_ms):
        """Endpoints of a zone that is taken back count as cold until fresh word says otherwise."""
        for target in self.targets.values():
            service = digest.services.get(target.service)
            if target.area == area and service is not None:
                target.cold_until_ms = max(target.cold_until_ms, now_ms + service.warmup_ms + self.context.settings.beat_ms)

    def take_life(self, life, now_ms, digest):
        """Takes in what is told of one life; drained, left and unsound ones get nothing new."""
        target = self.targets.get(life.id)
        if life.state == GONE:
            if target is not None:
                target.gone = True
                del self.targets[life.id]
                for stream in list(target.idle):
                    stream.close()
            return
        if target is None:
            region = self.context.settings.areas.get(life.area, "")
            target = self.targets[life.id] = Target(life.id, life.service, life.address, life.area, region, life.slots,
                                                    life.software)
        if life.state != READY and target.state == READY:
            target.state = life.state
            for stream in list(target.idle):
                stream.close()
        target.slots = max(1, life.slots)
        if life.cold_ms > 0 and life.cold_seq >= target.cold_seq:
            target.cold_until_ms = max(target.cold_until_ms, now_ms + life.cold_ms + 200)
        target.cold_seq = max(target.cold_seq, life.cold_seq)
        if life.sound and not target.sound:
            target.eject_until_ms = 0.0
        if not life.sound and target.sound:
            for stream in list(target.idle):
                stream.close()
        target.sound = life.sound

    def tables(self):
        tables = {}
        for target in self.targets.values():
            tables.setdefault(target.service, []).append(target)
        return {service: tuple(targets) for service, targets in tables.items()}

    def members_changed(self):
        proxies = tuple((member.address, member.area, member.region) for member in self.membership.members("proxy"))
        if proxies != self.relay.digest.proxies:
            self.relay.digest = self.relay.digest.with_proxies(proxies)

    # the end

    def end(self):
        """Leaves in order: unready and left out, then answers what it has, then ends."""
        self.relay.leaving = True
        if self.relay.holdings is not None:
            self.relay.holdings.hand_on()
        if self.feeder is not None:
            self.subscribe(self.relay.digest.serial, False)
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
        """Takes no new streams; those that are idle end, the others end with their last answer."""
        if self.front_server is not None:
            self.front_server.close()
        for stream in list(self.relay.streams):
            if stream.idle():
                stream.transport.close()
        self.when_done()

    def when_done(self):
        for stream in list(self.relay.streams):
            if stream.idle():
                stream.transport.close()
        if not self.relay.streams and not self.relay.running:
            self.finish()
        else:
            self.context.after(50, self.when_done)

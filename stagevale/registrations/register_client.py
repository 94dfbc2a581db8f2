"""A registry as a client of the configuration register: values, orders, leases."""

import json

from stagevale import wire
from stagevale.configuration.value import read_value
from stagevale.partners import NO_TABLE, table_of
from stagevale.register.orders import ORDER_BYTES_PER_MS

STORE_SHARE = 0.23
CALLER_SHARE = 0.25


class RegisterClient:
    """Reads the chosen value, forwards orders, and asks for the newest serial on behalf of leases."""

    __slots__ = (
        "service",
        "context",
        "switchboard",
        "membership",
        "value",
        "value_heard_ms",
        "pulling",
        "lease_askers",
        "outcomes",
        "confirming",
        "partners",
    )

    def __init__(self, service):
        self.service = service
        self.context = service.context
        self.switchboard = service.switchboard
        self.membership = service.membership
        self.value = None
        self.value_heard_ms = -1e12
        self.pulling = False
        self.lease_askers = []
        self.outcomes = {}
        self.confirming = False
        self.partners = NO_TABLE
        self.switchboard.on(wire.CHOSEN, self.on_chosen)
        self.switchboard.on(wire.BEACON, self.on_beacon)
        self.switchboard.on(wire.READ_VALUE, self.on_value_wanted)
        self.switchboard.on(wire.LEASE_WANTED, self.on_lease_wanted)
        self.membership.serial_hook = self.serial_heard

    def first_value(self):
        """Asks the stores until there is a value: proxies that start wait for it."""
        if self.value is None and not self.service.stopping:
            self.pull_value()
            self.context.after(self.service.interval_ms * 0.2, self.first_value)

    def on_chosen(self, peer, body, reply):
        packed, others = body
        for address in others:
            if address != self.switchboard.address:
                self.switchboard.send(address, wire.CHOSEN, [packed, []])
        self.take_value(read_value(packed))
        if not self.context.stalled():
            self.confirmed()

    def take_value(self, value):
        if self.value is not None and value.serial <= self.value.serial:
            return
        self.value = value
        self.partners = table_of(value) if value.offers else NO_TABLE
        self.membership.serial = value.serial
        if value.sessions:
            if self.service.sessions is None:
                from stagevale.affinity.keeping import SessionKeeper

                self.service.sessions = SessionKeeper(
                    self.context, self.switchboard, self.service.open_log()
                )
            self.service.sessions.configure(value.sessions)
        for subscriber in self.service.feeding.subscribers.values():
            self.service.feeding.feed_value(subscriber)

    def on_beacon(self, peer, body, reply):
        serial = body[1]
        if self.context.stalled():
            return
        if self.value is not None and serial <= self.value.serial:
            self.confirmed()
        else:
            self.pull_value()

    def confirmed(self):
        """The value held here is the newest that a majority knows: proxies that waited for that are
        fed.
        """
        self.value_heard_ms = self.context.now_ms()
        for subscriber in list(self.service.feeding.subscribers.values()):
            if subscriber.waiting:
                self.service.feeding.send_everything(subscriber, True)

    def serial_heard(self, sender, serial):
        if self.value is None or serial > self.value.serial:
            self.pull_value()

    def stores(self):
        """Stores to ask: the one beside this registry first, then those of members, then the seeds'
        ones.
        """
        addresses = [f"{self.membership.me.machine}:{self.service.ports[0] + 1}"]
        members = [
            member
            for member in self.membership.members("store")
            if self.membership.reachable(member.address)
        ]
        members.sort(key=lambda member: member.region != self.membership.me.region)
        addresses += [member.address for member in members]
        addresses += [f"{ip}:{self.service.ports[0] + 1}" for ip in self.context.settings.seeds]
        return list(dict.fromkeys(addresses))

    def pull_value(self, then=None):
        """Reads the value from the stores, confirmed by a majority."""
        if self.pulling and then is None:
            return
        self.pulling = True

        def answered(answer, failure):
            self.pulling = False
            if failure is None and answer and answer[0] == 200:
                self.take_value(read_value(answer[1]))
                self.confirmed()
                if then is not None:
                    then(True)
            elif then is not None:
                then(False)

        self.ask_stores(
            wire.READ_VALUE, [False], answered, self.stores()[:3], self.service.interval_ms * 0.9
        )

    def ask_stores(self, kind, body, done, addresses, deadline_ms, until_ms=None):
        """Asks one store after the other until one gives a clear answer, or `until_ms` is past."""

        def answered(answer, failure):
            unclear = failure is not None or not answer or answer[0] == 503
            left_ms = until_ms - self.context.now_ms() if until_ms is not None else deadline_ms
            if unclear and len(addresses) > 1 and left_ms > 0:
                next_ms = min(deadline_ms, left_ms)
                self.ask_stores(kind, body, done, addresses[1:], next_ms, until_ms)
            else:
                done(answer, failure)

        self.switchboard.call(addresses[0], kind, body, deadline_ms, answered)

    def on_lease_wanted(self, peer, body, reply):
        """A proxy asks whether its table is the newest: one question to the register serves all
        that asked before it.
        """
        ask_no, *told = body
        self.lease_askers.append((peer, ask_no))
        if told:
            self.outcomes[peer] = [peer, *told]
        self.ask_newest()

    def ask_newest(self):
        if self.confirming or not self.lease_askers:
            return
        asking, self.lease_askers = self.lease_askers, []
        outcomes, self.outcomes = list(self.outcomes.values()), {}
        self.confirming = True

        def answered(answer, failure):
            self.confirming = False
            if failure is None and answer and answer[0] == 200:
                newest = int(answer[1])
                for proxy, ask_no in asking:
                    self.switchboard.send(proxy, wire.LEASE, [ask_no, newest])
                if self.value is None or newest > self.value.serial:
                    self.pull_value()
            self.ask_newest()

        payload = json.dumps(outcomes, separators=(",", ":")) if outcomes else ""
        self.ask_stores(
            wire.ORDER,
            ["serial", payload, False],
            answered,
            self.stores()[:2],
            self.service.interval_ms * 0.5,
        )

    def got_value(self, answer, failure):
        if failure is None and answer:
            self.take_value(read_value(answer))

    def on_value_wanted(self, peer, body, reply):
        reply(self.value.packed if self.value else b"")

    def order(self, order, payload, answer):
        """An operator's order, forwarded to the store; given up when its caller has gone on, so
        that it isn't carried out long after it was sent to another daemon.
        """
        if self.context.stalled():
            answer(503, "this daemon stood still; ask again")
            return

        def answered(reply, failure):
            if failure is None and reply and len(reply) > 2 and reply[2] > 0:
                self.context.after(reply[2], answer, reply[0], reply[1])
            elif failure is None and reply:
                answer(reply[0], reply[1])
            else:
                answer(503, f"no store answers: {failure}")

        ack_ms = self.context.settings.bounds.ack_deadline_ms
        large_ms = len(payload) / ORDER_BYTES_PER_MS
        self.ask_stores(
            wire.ORDER,
            [order, payload, False],
            answered,
            self.stores()[:3],
            ack_ms * STORE_SHARE + large_ms,
            self.context.now_ms() + ack_ms * CALLER_SHARE + large_ms,
        )

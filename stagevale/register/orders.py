"""Orders on their way to the leader: passed on, queued for a moment, answered once."""

from stagevale.ballots import NO_BALLOT
from stagevale.register.messages import LeaderInfo
from stagevale.wire import ORDER, READ_VALUE, WHO_LEADS
from stagevale.wire.switchboard import LATE

EXPIRY_CALLS = 1.8
PASS_ON_CALLS = 0.8
FIND_CALLS = 0.3
SLOW_LEADER_BEATS = 1.3
ORDER_BYTES_PER_MS = 100.0
READ_WHOLE = "value"
UNAVAILABLE = 503


class Order:
    """An order that waits for the leader; `reply` is called exactly once, with a list that begins
    with a status.
    """

    __slots__ = ("name", "payload", "reply", "expires_ms")

    def __init__(self, name, payload, reply, expires_ms):
        self.name = name
        self.payload = payload
        self.reply = reply
        self.expires_ms = expires_ms


class OrderQueue:
    """Takes orders from registries and other voters, and has the leader carry them out in turn."""

    __slots__ = ("node", "waiting")

    def __init__(self, node):
        self.node = node
        self.waiting = []

    def on_order(self, peer, body, reply):
        name, payload, passed_on = body
        self.take(name, payload, passed_on, reply)

    def on_read_value(self, peer, body, reply):
        self.take(READ_WHOLE, "", body[0] if body else False, reply)

    def take(self, name, payload, passed_on, reply):
        """Carries an order out here, passes it on to the leader, or refuses it unheard (503)."""
        node = self.node
        if node.context.stalled():
            reply([UNAVAILABLE, "this daemon stood still; ask again"])
            return
        large_ms = len(payload) / ORDER_BYTES_PER_MS
        expires_ms = node.context.now_ms() + node.call_ms * EXPIRY_CALLS + large_ms
        order = Order(name, payload, reply, expires_ms)
        if node.ballot is not None:
            self.waiting.append(order)
            self.pump()
        elif passed_on:
            self.take_passed_on(order)
        elif not node.acceptor.loaded:
            reply([UNAVAILABLE, "the disk is still being read"])
        else:
            self.route(order)

    def take_passed_on(self, order):
        """An order from a daemon that took this one for the leader."""
        if not self.node.election.running:
            order.reply([UNAVAILABLE, "not the leader"])
            return
        self.hold(order)

    def hold(self, order):
        """Keeps an order until there is a leader, or its time is over."""
        self.waiting.append(order)
        self.node.context.after(order.expires_ms - self.node.context.now_ms(), self.expire)

    def route(self, order):
        """Passes an order on to the leader, once that is known."""
        leader = self.node.election.leader()
        if leader is not None:
            self.pass_on(leader, order)
            return
        self.hold(order)
        if self.node.is_voter():
            self.node.election.campaign()
        else:
            self.find_leader(self.pump)

    def find_leader(self, then):
        """Asks voters and other daemons of this program who leads; `then()` at the first good word
        or the last bad one.
        """
        node = self.node
        silent = set(node.known_addresses())
        if not silent:
            node.context.soon(then)
            return

        def heard(peer, answer):
            if not silent:
                return
            silent.discard(peer)
            if answer is not None:
                node.learn_group(answer.serial, answer.group)
                if answer.known and answer.leader_ballot > NO_BALLOT:
                    silent.clear()
                    node.election.heard(answer.leader_ballot)
            if not silent:
                then()

        for peer in list(silent):
            node.ask(
                peer,
                WHO_LEADS,
                None,
                LeaderInfo,
                lambda answer, failure, peer=peer: heard(peer, answer),
                node.call_ms * FIND_CALLS,
            )

    def pass_on(self, leader, order):
        """Hands an order to the leader; where that fails, the order waits for the next one."""
        node = self.node

        def answered(answer, failure):
            if failure is None and answer and answer[0] != UNAVAILABLE:
                order.reply(answer)
                return
            if node.context.now_ms() >= order.expires_ms or not node.is_voter():
                order.reply([UNAVAILABLE, "the leader can't be reached"])
                return
            slow = failure == LATE
            if slow and node.election.silent_ms() < node.beat_ms * SLOW_LEADER_BEATS:
                order.reply([UNAVAILABLE, "the leader is slow"])
                return
            if node.election.leader() == leader:
                node.election.forget()
            self.hold(order)
            self.pump()

        if order.name == READ_WHOLE:
            kind, body = READ_VALUE, [True]
        else:
            kind, body = ORDER, [order.name, order.payload, True]
        node.switchboard.call(
            leader, node.kinds + kind, body, node.call_ms * PASS_ON_CALLS, answered
        )

    def expire(self):
        """Refuses the orders whose time is over."""
        now_ms = self.node.context.now_ms()
        late = [order for order in self.waiting if order.expires_ms <= now_ms]
        self.waiting = [order for order in self.waiting if order.expires_ms > now_ms]
        for order in late:
            order.reply([UNAVAILABLE, "no leader in time"])

    def pump(self):
        """Carries out the next order where this daemon leads and is idle; else passes them on."""
        node = self.node
        if node.busy:
            return
        if node.ballot is None:
            self.pass_on_all()
            return
        if node.chosen is None or node.before_orders():
            return
        self.expire()
        if not self.waiting:
            node.reconfiguration.review()
            return
        node.execute(self.waiting.pop(0))

    def pass_on_all(self):
        node = self.node
        leader = node.election.leader()
        if not self.waiting:
            return
        if leader is not None and leader != node.address:
            waiting, self.waiting = self.waiting, []
            for order in waiting:
                self.pass_on(leader, order)
        elif node.is_voter():
            node.election.campaign()

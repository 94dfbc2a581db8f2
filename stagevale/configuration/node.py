"""The configuration register: a replicated register that carries out the operator's orders."""

from stagevale import wire
from stagevale.configuration.orders import (
    MOVE_ROLLOUT,
    OFFER,
    READ_ROLLOUTS,
    SERIAL,
    START_ROLLOUT,
    WITHDRAW,
    decide,
)
from stagevale.configuration.rollout_tending import RolloutTending
from stagevale.configuration.session_groups import SessionGroups
from stagevale.configuration.value import Value, read_value
from stagevale.leases import wait_ms
from stagevale.register.node import RegisterNode
from stagevale.register.orders import READ_WHOLE, UNAVAILABLE

LEASED_ORDERS = (OFFER, WITHDRAW, MOVE_ROLLOUT)


class OutstandingLeases:
    """Until when leases may stand that are older than the newest withdrawal."""

    __slots__ = ("context", "narrowed_ms")

    def __init__(self, context):
        self.context = context
        self.narrowed_ms = -1e12

    def narrowed(self):
        """A withdrawal has been chosen now; or this daemon begins to lead, and may have missed one."""
        self.narrowed_ms = self.context.now_ms()

    def left_ms(self):
        """How long a lease may still stand that is older than the newest withdrawal."""
        until_ms = self.narrowed_ms + wait_ms(self.context.settings.bounds)
        return int(max(0.0, until_ms - self.context.now_ms())) + 1


class ConfigurationNode(RegisterNode):
    """A store's part in the configuration register."""

    __slots__ = ("leases", "rollouts", "sessions")

    read_value = staticmethod(read_value)

    def __init__(self, context, switchboard, membership, storage):
        super().__init__(context, switchboard, membership, storage)
        self.leases = OutstandingLeases(context)
        self.rollouts = RolloutTending(self)
        self.sessions = SessionGroups(self)

    def first_value(self):
        return Value(0, 0, "", (), self.group())

    def lead(self, ballot, value):
        self.leases.narrowed()
        super().lead(ballot, value)

    def tend(self):
        self.reconfiguration.review()
        self.sessions.tend()
        self.rollouts.due = bool(self.chosen is not None and self.chosen.rollouts)
        self.orders.pump()

    def before_orders(self):
        return self.rollouts.advance()

    # orders

    def execute(self, order):
        if order.name == READ_WHOLE:
            self.finish([order], [200, self.chosen.packed])
        elif order.name == SERIAL:
            self.answer_serials(order)
        elif order.name == READ_ROLLOUTS:
            self.finish([order], [200, self.rollouts.shown()])
        else:
            self.decide(order)

    def decide(self, order):
        """Carries out an order that may change the value; a refusal is confirmed like a read."""
        before = self.chosen
        outcome = decide(before, order.name, order.payload, self.context.settings.zones)
        if outcome.value is None:
            answer = [outcome.status, outcome.text]
            if order.name in LEASED_ORDERS and outcome.status == 200:
                answer.append(self.leases.left_ms())
            self.finish([order], answer)
            return
        narrowed = narrows(order.name, before, outcome.value)

        def accepted(chosen):
            if chosen and narrowed:
                self.leases.narrowed()
            order.reply(self.answer_of(order, outcome, chosen, narrowed))
            self.orders.pump()

        self.accept(outcome.value, accepted)

    def answer_of(self, order, outcome, chosen, narrowed):
        """The answer to an order whose change was proposed."""
        if not chosen:
            return [UNAVAILABLE, "outcome unknown"]
        answer = [outcome.status, outcome.text]
        if order.name in (OFFER, WITHDRAW) or (order.name == MOVE_ROLLOUT and narrowed):
            answer.append(self.leases.left_ms())
        return answer

    def answer_serials(self, first):
        """Proxies' questions for leases come from every registry all the time: all that wait are
        answered by one confirmation, since each was asked before it began.
        """
        waiting = self.orders.waiting
        asking = [first] + [order for order in waiting if order.name == SERIAL]
        self.orders.waiting = [order for order in waiting if order.name != SERIAL]
        for order in asking:
            if order.payload:
                self.rollouts.take(order.payload)
        self.finish(asking, [200, str(self.chosen.serial)])

    # spreading

    def publish(self, value):
        """Brings a chosen value to one registry of each region, which passes it on there; and to
        core machines that are known but not yet, or no more, members.
        """
        regions = {}
        for member in self.membership.members("registry"):
            if self.membership.reachable(member.address):
                regions.setdefault(member.region, []).append(member)
        for members in regions.values():
            members.sort(key=lambda member: member.machine != self.membership.me.machine)
            rest = [member.address for member in members[1:]]
            self.switchboard.send(members[0].address, wire.CHOSEN, [value.packed, rest])
        for address in self.acceptor.vote.peers:
            if address not in self.membership.state.members:
                self.switchboard.send(address, wire.CHOSEN, [value.packed, []])


def narrows(order, before, after):
    """True where an order takes something away that proxies may hold a lease on."""
    if order in (OFFER, WITHDRAW):
        from stagevale.partners.checking import narrows as offers_narrow

        return offers_narrow(before, after)
    if order in (START_ROLLOUT, MOVE_ROLLOUT):
        from stagevale.rollouts.checking import withdraws

        return withdraws(before, after)
    return False

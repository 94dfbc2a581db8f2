"""A daemon's part in a register: wires acceptor, election, replication, reconfiguration, orders."""

from stagevale import wire
from stagevale.register.acceptor import Acceptor
from stagevale.register.election import Election, leader_address
from stagevale.register.messages import (
    Accept,
    Beacon,
    Confirm,
    LeaderInfo,
    Leave,
    MessageError,
    Poll,
    Prepare,
    Resigned,
)
from stagevale.register.orders import UNAVAILABLE, OrderQueue
from stagevale.register.reconfiguration import Reconfiguration
from stagevale.register.replication import Replication, group_mark
from stagevale.register.voters import address_of, addresses_of

BACKOFF_BEATS = (0.1, 0.4)
BEATS_PER_CONTACT = 4.0
CALLS_PER_ACK_DEADLINE = 8.0


class RegisterNode:
    """Votes, and where it leads, carries out orders. Subclasses say what the value is, how an order
    changes it, and to whom a chosen value goes.

    `ballot` is that under which this daemon leads, or None; `chosen` the newest value that
    majorities are known to have accepted, while it leads.
    """

    program = "store"
    port_offset = 1
    kinds = 0
    prefix = "store"
    subject = "configuration"

    __slots__ = (
        "context",
        "switchboard",
        "membership",
        "address",
        "life",
        "beat_ms",
        "call_ms",
        "acceptor",
        "election",
        "replication",
        "reconfiguration",
        "orders",
        "ballot",
        "chosen",
        "busy",
        "stopping",
        "known_serial",
        "known_group",
    )

    def __init__(self, context, switchboard, membership, storage):
        bounds = context.settings.bounds
        self.context = context
        self.switchboard = switchboard
        self.membership = membership
        self.address = switchboard.address
        self.life = f"{context.random.getrandbits(32):08x}"
        self.beat_ms = bounds.contact_ms / BEATS_PER_CONTACT
        self.call_ms = bounds.ack_deadline_ms / CALLS_PER_ACK_DEADLINE
        self.ballot = None
        self.chosen = None
        self.busy = False
        self.stopping = False
        self.known_serial = -1
        self.known_group = ()
        self.acceptor = Acceptor(self, storage)
        self.election = Election(self)
        self.replication = Replication(self)
        self.reconfiguration = Reconfiguration(self)
        self.orders = OrderQueue(self)
        self.handle()

    def handle(self):
        """Takes the register's kinds of messages."""
        acceptor = self.acceptor
        self.on(wire.POLL, Poll, lambda message, answer: answer(acceptor.poll(message)))
        self.on(wire.PREPARE, Prepare, acceptor.prepare)
        self.on(wire.ACCEPT, Accept, acceptor.accept)
        self.on(wire.CONFIRM, Confirm, self.on_confirm)
        self.on(wire.RESIGNED, Resigned, lambda message, _: self.election.on_resigned(message))
        self.switchboard.on(self.kinds + wire.BEACON, self.on_beacon)
        self.switchboard.on(
            self.kinds + wire.LEAVE_GROUP,
            lambda peer, body, reply: self.reconfiguration.on_leave(Leave.read(body), reply),
        )
        self.switchboard.on(self.kinds + wire.WHO_LEADS, self.on_who_leads)
        self.switchboard.on(self.kinds + wire.ORDER, self.orders.on_order)
        self.switchboard.on(self.kinds + wire.READ_VALUE, self.orders.on_read_value)
        self.switchboard.lost_hooks.append(self.election.connection_lost)

    def on(self, kind, message_type, handler):
        """Sets the handler(message, answer) of a kind; a misshapen message is told with its sender."""

        def handle(peer, body, reply):
            try:
                message = message_type.read(body)
            except MessageError as failure:
                raise wire.WireFailure(f"{self.prefix} message", peer, str(failure)) from None
            handler(message, lambda answer: reply(answer.fields()))

        self.switchboard.on(self.kinds + kind, handle)

    def ask(self, peer, kind, message, answer_type, done, deadline_ms=None):
        """Puts a question to a daemon; `done(answer or None, failure or None)` once."""
        body = message.fields() if message is not None else []

        def answered(fields, failure):
            answer = None
            if failure is None:
                try:
                    answer = answer_type.read(fields)
                except MessageError as unreadable:
                    failure = f"unreadable answer: {unreadable}"
                    self.context.log.warning("%s: %s from %s.", self.prefix, failure, peer)
            done(answer, failure)

        self.switchboard.call(peer, self.kinds + kind, body, deadline_ms or self.call_ms, answered)

    def ask_voter(self, voter, kind, message, answer_type, done):
        """Puts a question to a voter; `done(voter, answer or None, failure or None)` once."""
        self.ask(
            address_of(voter),
            kind,
            message,
            answer_type,
            lambda answer, failure: done(voter, answer, failure),
        )

    def notify(self, address, kind, message):
        self.switchboard.send(address, self.kinds + kind, message.fields())

    # life

    def start(self):
        """Loads what the disk holds, then begins to vote."""
        self.acceptor.load()

    def begin(self):
        """The vote is loaded: takes part."""
        self.election.highest_round = self.acceptor.vote.promised[0]
        self.membership.contacts.extend(sorted(self.acceptor.vote.peers))
        self.tick()

    def tick(self):
        """A leader's round, or a voter's look at how long the leader has been silent."""
        self.context.after(self.beat_ms, self.tick)
        self.note_peers()
        if self.ballot is not None:
            self.replication.beacon()
            return
        group = self.group()
        if self.stopping or not self.is_voter():
            return
        rank = group.index(self.acceptor.vote.voter)
        patience_ms = self.patience_ms(rank)
        if self.acceptor.accepted is None and rank == 0:
            patience_ms = 0.0
        if self.election.silent_ms() > patience_ms:
            self.election.campaign()

    def patience_ms(self, rank):
        """How long the leader may be silent before this voter stands."""
        return self.beat_ms * (1.7 + 0.6 * rank)

    def note_peers(self):
        """Keeps on disk where other daemons of the core are, for a start with old settings."""
        port = self.context.settings.inner_ports[0]
        known = {f"{member.machine}:{port}" for member in self.membership.others() if member.core}
        if known - set(self.acceptor.vote.peers):
            self.acceptor.changed(peers=tuple(sorted(known | set(self.acceptor.vote.peers))))
            self.acceptor.save(lambda done: None)

    # the group

    def seed_addresses(self):
        """The voters of the first start of the whole system, which all get the same seeds."""
        settings = self.context.settings
        port = settings.inner_ports[0] + self.port_offset
        return tuple(f"{ip}:{port}" for ip in settings.seeds)

    def group(self):
        """The voters by the newest value accepted here; before any, the founders that the first
        start named, for those that are founders themselves.
        """
        vote = self.acceptor.vote
        if vote.accepted is not None:
            return vote.accepted.group
        return vote.founders if vote.voter in vote.founders else ()

    def is_voter(self):
        return self.acceptor.loaded and self.acceptor.vote.voter in self.group()

    def may_campaign(self):
        """True where this daemon may run for the leadership."""
        return self.is_voter() and not self.stopping and self.ballot is None

    def learn_group(self, serial, group):
        """Notes the newest group heard of, which says where to ask; it never says who votes."""
        if serial > self.known_serial:
            self.known_serial, self.known_group = serial, tuple(group)

    def adopt(self, value, ballot):
        """Takes a newer value that a voter has shown: this daemon may be out of the group by it."""
        self.acceptor.adopt(value, ballot)
        self.learn_group(value.serial, value.group)

    def known_addresses(self):
        """Where others of this register may be found: voters, members, seeds."""
        found = list(addresses_of(self.known_group or self.group()))
        found += [
            m.address for m in self.membership.members(self.program) if m.address != self.address
        ]
        found += self.seed_addresses()
        return [address for address in dict.fromkeys(found) if address != self.address]

    def audience(self):
        """Who hears of a confirmed leader: every daemon of the core that is reachable."""
        return [
            member.address
            for member in self.membership.others()
            if member.core and self.membership.reachable(member.address)
        ]

    # leading

    def lead(self, ballot, value):
        """Begins to lead: the value found in the election is accepted anew under this ballot."""
        self.ballot = ballot
        self.chosen = None
        self.busy = True
        self.replication.begin()
        self.reconfiguration.begin()

        def accepted(chosen):
            if chosen:
                self.replication.announce()
            self.orders.pump()

        self.replication.accept(value, self.taken_over(value), accepted)

    def overruled(self, ballot, why):
        """Another ballot was promised or accepted here."""
        if self.ballot is not None and ballot != self.ballot:
            self.step_down(why)

    def step_down(self, why):
        if self.ballot is None:
            return
        self.context.log.info(
            "%s: leads the %s register no more: %s.", self.prefix, self.subject, why
        )
        self.ballot = None
        self.chosen = None
        self.busy = False
        self.election.heard_ms = self.context.now_ms()

    def unelected(self):
        """An election ended without a win: orders that wait are looked at again after a moment."""
        pause = self.context.random.uniform(*BACKOFF_BEATS)
        self.context.after(pause * self.beat_ms, self.orders.pump)

    def confirm(self, done):
        """Has a majority confirm the leadership; `done(stands)`."""
        self.replication.confirm(done)

    def accept(self, value, done):
        """Has a changed value chosen; `done(chosen)`. Nothing else is carried out meanwhile."""
        self.busy = True
        self.replication.accept(self.chosen, value, done)

    def finish(self, orders, answer):
        """Answers from the chosen value, once a majority has confirmed that it is the newest."""
        ballot = self.ballot
        self.busy = True

        def confirmed(stands):
            if self.ballot == ballot:
                self.busy = False
            for order in orders:
                order.reply(answer if stands else [UNAVAILABLE, "not confirmed"])
            self.orders.pump()

        self.confirm(confirmed)

    def hand_over(self, done):
        """Before an end in order: gives up leadership and seat; `done()` once that is agreed."""
        self.stopping = True
        self.reconfiguration.leave(done)

    # messages

    def on_confirm(self, message, answer):
        answer(self.acceptor.confirm(message))

    def on_beacon(self, peer, body, reply):
        """A confirmed leader: heard, unless a higher ballot is known here."""
        message = Beacon.read(body)
        promised = self.acceptor.vote.promised
        if message.ballot < promised and message.ballot < self.election.leader_ballot:
            return
        if self.ballot is not None and message.ballot > self.ballot:
            self.step_down("another leader has been confirmed")
        if self.ballot is None:
            self.election.heard(message.ballot)
        if message.group_mark != group_mark(self.known_group):
            self.ask(
                leader_address(message.ballot),
                wire.WHO_LEADS,
                None,
                LeaderInfo,
                self.got_leader_info,
            )

    def got_leader_info(self, answer, failure):
        if answer is not None:
            self.learn_group(answer.serial, answer.group)

    def on_who_leads(self, peer, body, reply):
        reply(self.election.info().fields())

    # what subclasses add

    def first_value(self):
        """What the register holds before anything was chosen."""
        raise NotImplementedError

    def taken_over(self, value):
        """What a new leader has accepted first: the value that it found."""
        return value

    def publish(self, value):
        """Brings a chosen value to those that use it."""

    def execute(self, order):
        """Carries out one order; replies to it and pumps the queue in the end."""
        raise NotImplementedError

    def before_orders(self):
        """Work of the leader that comes before the next order; True while it is under way."""
        return False

    def tend(self):
        """A leader's work after each confirmed round."""
        self.reconfiguration.review()
        self.orders.pump()

"""Changes of the group of voters: one voter at a time, accepted by majorities of both groups."""

from stagevale.membership.state import JOINING, UP
from stagevale.register.messages import Leave
from stagevale.register.voters import address_of
from stagevale.wire import LEAVE_GROUP

GONE_SHARE = 1.25
LARGEST_GROUP = 9
AVOID_BEATS = 2.0
LEAVE_RETRY_SHARE = 0.4


class Reconfiguration:
    """Decides and carries out the next change of the group, where this daemon leads; and asks the
    leader to be taken out where this daemon is about to end.
    """

    __slots__ = (
        "node",
        "gone_since_ms",
        "lost",
        "leaving",
        "inviting",
        "tried_ms",
        "avoid_until_ms",
    )

    def __init__(self, node):
        self.node = node
        self.gone_since_ms = {}
        self.lost = set()
        self.leaving = {}
        self.inviting = False
        self.tried_ms = 0.0
        self.avoid_until_ms = {}

    def begin(self):
        """A new leadership begins with no word of anybody."""
        self.gone_since_ms = {}
        self.lost = set()
        self.leaving = {}
        self.inviting = False

    def disk_lost(self, voter):
        """Another disk stands behind a voter's address now: the voter will never answer again."""
        self.lost.add(voter)

    def on_leave(self, message, reply):
        """A voter is about to end: its seat is given to another, or given up, before it does."""
        node = self.node
        if node.ballot is None or node.chosen is None:
            reply([False])
            return
        if message.voter not in node.chosen.group:
            reply([True])
            return
        self.leaving[message.voter] = reply
        self.review()

    def answer_leavers(self):
        """Tells those that asked to leave and are out of the chosen group that they may end."""
        node = self.node
        until_ms = node.context.now_ms() + node.beat_ms * AVOID_BEATS
        for voter in [voter for voter in self.leaving if voter not in node.chosen.group]:
            self.leaving.pop(voter)([True])
            self.avoid_until_ms[address_of(voter)] = until_ms

    # what to change

    def review(self):
        """Starts the next change of the group, if one is due and nothing else is under way."""
        node = self.node
        if node.ballot is None or node.chosen is None or node.busy or self.inviting:
            return
        self.answer_leavers()
        now_ms = node.context.now_ms()
        living = self.living()
        group = node.chosen.group
        departed = self.departed(living, now_ms)
        urgent = bool(self.leaving or self.lost)
        if not urgent and (node.orders.waiting or now_ms - self.tried_ms < node.beat_ms / 2):
            return
        newcomer = self.newcomer(living, departed, now_ms)
        target = self.target(living)
        if departed and newcomer is not None:
            self.invite(newcomer, departed[0])
        elif departed and len(group) > 1 and (len(group) > target or departed[0] in self.leaving):
            self.tried_ms = now_ms
            self.change(
                tuple(v for v in group if v != departed[0]), f"{departed[0]} leaves the group"
            )
        elif not departed and newcomer is not None and len(group) < target:
            self.invite(newcomer, None)

    def living(self):
        """The members that run this register's program, are reachable and don't leave."""
        node = self.node
        return [
            member
            for member in node.membership.members(node.program, (JOINING, UP))
            if node.membership.reachable(member.address)
        ]

    def target(self, living):
        """The largest odd group that the living machines can man: it bears any loss that leaves
        more than half of them.
        """
        machines = len({member.machine for member in living})
        return min(LARGEST_GROUP, 2 * ((max(machines, 1) - 1) // 2) + 1)

    def departed(self, living, now_ms):
        """Voters whose seat is to be given to another: those that leave or lost their disk first,
        then those that have been away for long.
        """
        node = self.node
        group = node.chosen.group
        present = {member.address for member in living} | {node.address}
        self.gone_since_ms = {
            voter: self.gone_since_ms.get(voter, now_ms)
            for voter in group
            if address_of(voter) not in present
        }
        self.lost &= set(group)
        limit_ms = node.context.settings.bounds.contact_ms * GONE_SHARE
        gone = [v for v, since_ms in self.gone_since_ms.items() if now_ms - since_ms > limit_ms]
        first = [v for v in group if v in self.leaving or v in self.lost]
        return first + [voter for voter in gone if voter not in first]

    def newcomer(self, living, departed, now_ms):
        """The address of the daemon to be taken in next, or None: of the region with the fewest
        voters, one that did not just fail to answer.
        """
        node = self.node
        kept = [voter for voter in node.chosen.group if voter not in departed]
        seats = {address_of(voter) for voter in kept}
        seats |= {
            address_of(v) for v in departed if v not in self.lost and v not in self.gone_since_ms
        }
        regions = {}
        for member in node.membership.state.members.values():
            if member.address in seats:
                regions[member.region] = regions.get(member.region, 0) + 1
        able = [
            member
            for member in living
            if member.address not in seats
            and self.avoid_until_ms.get(member.address, 0.0) <= now_ms
        ]
        able.sort(key=lambda member: regions.get(member.region, 0))
        return able[0].address if able else None

    # changing

    def invite(self, address, leaver):
        """Brings the chosen value to a newcomer's disk first, then proposes the changed group."""
        node = self.node
        value, ballot = node.chosen, node.ballot
        self.tried_ms = node.context.now_ms()
        self.inviting = True

        def answered(_, answer, failure):
            self.inviting = False
            if node.ballot != ballot or node.chosen is None:
                return
            if answer is None or not answer.granted:
                self.avoid_until_ms[address] = node.context.now_ms() + node.beat_ms * AVOID_BEATS
                if answer is not None and answer.promised > ballot:
                    node.replication.superseded(ballot, address, answer.promised)
                    node.election.campaign()
                return
            if node.busy or node.chosen.group != value.group:
                return
            group = tuple(voter for voter in value.group if voter != leaver) + (answer.voter,)
            why = f"{answer.voter} joins the group" + (f" for {leaver}" if leaver else "")
            self.change(group, why, answer.voter)

        node.replication.send("", address, None, value, answered)

    def change(self, group, why, newcomer=None):
        """Proposes a group; majorities of the one before and of this one have to accept."""
        node = self.node
        node.busy = True
        node.context.log.info("%s: %s.", node.prefix, why)

        def done(chosen):
            if chosen:
                self.answer_leavers()
            node.orders.pump()

        node.replication.accept(node.chosen, node.chosen.after(group=group), done, newcomer)

    # leaving

    def leave(self, done):
        """Before an end in order: gives up the leadership and the seat; `done()` once the group is
        without this voter, or it never had a seat.
        """
        node = self.node
        voter = node.acceptor.vote.voter
        if node.ballot is not None:
            node.election.resign()
        if voter not in node.group():
            done()
            return

        def answered(answer, failure):
            if failure is None and answer == [True]:
                done()
            else:
                node.context.after(node.call_ms * LEAVE_RETRY_SHARE, ask)

        def ask():
            leader = node.election.leader()
            if leader is None or leader == node.address:
                self.find_leader(ask)
                return
            node.switchboard.call(
                leader, node.kinds + LEAVE_GROUP, Leave(voter).fields(), node.call_ms * 2, answered
            )

        ask()

    def find_leader(self, then):
        """Asks the voters who leads, then calls `then` after a pause."""
        self.node.orders.find_leader(
            lambda: self.node.context.after(self.node.call_ms * LEAVE_RETRY_SHARE, then)
        )

"""Elections: a poll that changes nothing, then a round of promises by a majority of the group."""

from stagevale.ballots import NO_BALLOT, Round
from stagevale.register.messages import LeaderInfo, Poll, PollAnswer, Prepare, Promise, Resigned
from stagevale.register.voters import address_of
from stagevale.wire import POLL, PREPARE, RESIGNED, WHO_LEADS

LEADER_KNOWN_BEATS = 2.2
LEADER_HEARD_BEATS = 1.4
SILENT_MS = -1e12


def leader_address(ballot):
    """The address of the daemon that a ballot belongs to."""
    return ballot[1].partition("#")[0]


class Election:
    """Who leads, as this daemon knows it; and how it becomes the leader itself."""

    __slots__ = ("node", "running", "highest_round", "leader_ballot", "heard_ms", "probing")

    def __init__(self, node):
        self.node = node
        self.running = False
        self.highest_round = 0
        self.leader_ballot = NO_BALLOT
        self.heard_ms = node.context.now_ms()
        self.probing = False

    # who leads

    def note_leader(self, ballot):
        """Takes the holder of a ballot for the leader, from now until it has been silent for too
        long.
        """
        self.highest_round = max(self.highest_round, ballot[0])
        if ballot > self.leader_ballot:
            self.leader_ballot = ballot
            self.heard_ms = self.node.context.now_ms()

    def heard(self, ballot):
        """The holder of this ballot has just been confirmed by a majority."""
        self.highest_round = max(self.highest_round, ballot[0])
        self.leader_ballot = max(self.leader_ballot, ballot)
        self.heard_ms = self.node.context.now_ms()

    def forget(self):
        """The leader is known to have gone: nobody waits for its silence."""
        self.heard_ms = SILENT_MS

    def silent_ms(self):
        """How long ago the leader was heard last."""
        return self.node.context.now_ms() - self.heard_ms

    def leader(self):
        """The address of the daemon that is thought to lead, or None."""
        node = self.node
        if node.ballot is not None:
            return node.address
        known = leader_address(self.leader_ballot)
        if known in ("", node.address) or self.silent_ms() >= node.beat_ms * LEADER_KNOWN_BEATS:
            return None
        return known

    def heard_ballot(self, candidate):
        """The ballot of a leader that is heard here and isn't the candidate; NO_BALLOT for none."""
        node = self.node
        if node.ballot is not None:
            heard, silent_ms = node.ballot, 0.0
        else:
            heard, silent_ms = self.leader_ballot, self.silent_ms()
        if silent_ms >= node.beat_ms * LEADER_HEARD_BEATS:
            return NO_BALLOT
        holder = leader_address(heard)
        former = node.ballot is None and holder == node.address
        return NO_BALLOT if former or holder == address_of(candidate) else heard

    def info(self):
        """What this daemon tells of the leader and of the newest group."""
        node = self.node
        ballot = node.ballot if node.ballot is not None else self.leader_ballot
        return LeaderInfo(
            self.leader() is not None, ballot, node.known_serial, list(node.known_group)
        )

    def connection_lost(self, peer):
        """A connection to the leader ended: a leader that refuses a new one has gone."""
        if self.probing or self.node.ballot is not None:
            return
        if self.leader_ballot == NO_BALLOT or peer != leader_address(self.leader_ballot):
            return
        self.probing = True

        def answered(answer, failure):
            self.probing = False
            refused = failure is not None and "refused" in failure.lower()
            if refused or (answer is not None and not answer.known):
                self.forget()

        self.node.ask(peer, WHO_LEADS, None, LeaderInfo, answered)

    # standing

    def campaign(self):
        """Polls the group and, where a majority would promise, runs for the leadership."""
        node = self.node
        if self.running or not node.may_campaign():
            return
        self.running = True
        group = node.group()
        vote = node.acceptor.vote
        poll = Poll("", vote.voter, vote.accepted_ballot, node.acceptor.accepted_serial())
        running = Round(NO_BALLOT, group)
        heard = []

        def answered(voter, answer, failure):
            if running.over:
                return
            granted = answer is not None and answer.granted
            running.count(voter, granted, NO_BALLOT)
            if answer is not None:
                self.highest_round = max(self.highest_round, answer.promised[0])
                if answer.leader_ballot > NO_BALLOT:
                    heard.append(answer.leader_ballot)
                if answer.packed:
                    node.adopt(node.read_value(answer.packed), answer.accepted_ballot)
            if running.won():
                running.over = True
                self.polled(group)
            elif running.lost():
                running.over = True
                self.running = False
                if heard:
                    self.told_of_leader(max(heard))
                else:
                    node.unelected()

        for voter in group:
            poll.voter = voter
            node.ask_voter(voter, POLL, poll, PollAnswer, answered)

    def told_of_leader(self, ballot):
        """Voters hear a leader: orders go there, at once unless it was just found to be gone."""
        found_gone = self.heard_ms == SILENT_MS and ballot <= self.leader_ballot
        self.heard(ballot)
        if found_gone:
            self.node.unelected()
        else:
            self.node.orders.pump()

    def polled(self, group):
        """A majority would promise: runs, unless another candidate was promised a ballot here since
        the poll began; of several that stand at once the first goes on alone.
        """
        if self.heard_ballot(self.node.acceptor.vote.voter) == NO_BALLOT:
            self.prepare(group)
            return
        self.running = False
        self.node.orders.pump()

    def prepare(self, group):
        """Asks the group for promises of a ballot above every one that was seen."""
        node = self.node
        acceptor = node.acceptor
        self.highest_round = max(self.highest_round, acceptor.vote.promised[0]) + 1
        ballot = (self.highest_round, f"{node.address}#{node.life}")
        mine, mark = acceptor.accepted, acceptor.accepted_mark()
        vote = acceptor.vote
        running = Round(ballot, group)
        best = [NO_BALLOT, None]

        def answered(voter, answer, failure):
            if running.over:
                return
            if answer is None:
                running.count(voter, False, NO_BALLOT)
            else:
                running.count(voter, answer.granted, answer.promised)
                self.highest_round = max(self.highest_round, answer.promised[0])
                if answer.granted and (answer.same or answer.packed):
                    value = mine if answer.same else node.read_value(answer.packed)
                    found = (best[0], best[1].serial if best[1] is not None else -1)
                    if (answer.accepted_ballot, value.serial) > found:
                        best[:] = answer.accepted_ballot, value
            if running.won():
                running.over = True
                self.running = False
                self.won(ballot, group, best[1], best[0])
            elif running.lost():
                running.over = True
                self.running = False
                if running.highest > ballot:
                    self.note_leader(running.highest)
                node.unelected()

        for voter in group:
            request = Prepare(
                ballot, voter, vote.voter, vote.accepted_ballot, acceptor.accepted_serial(), mark
            )
            node.ask_voter(voter, PREPARE, request, Promise, answered)

    def won(self, ballot, group, found, found_ballot):
        """A majority has promised: the newest value that it has shown is finished first."""
        node = self.node
        if found is not None and set(found.group) != set(group):
            node.adopt(found, found_ballot)
            node.context.log.info("%s: the group has changed; asking the new one.", node.prefix)
            node.context.after(1, self.campaign)
            return
        if node.acceptor.vote.promised > ballot:
            node.unelected()
            return
        value = found if found is not None else node.first_value()
        node.context.log.info(
            "%s: elected leader of the %s register, round %d, version %d.",
            node.prefix,
            node.subject,
            ballot[0],
            value.serial,
        )
        node.lead(ballot, value)

    # resigning

    def resign(self):
        """Tells the voters that this daemon leads no more, so that the next stands at once."""
        node = self.node
        ballot, group = node.ballot, node.group()
        node.step_down("it resigns")
        self.forget()
        for voter in group:
            if address_of(voter) != node.address:
                node.notify(address_of(voter), RESIGNED, Resigned(ballot))

    def on_resigned(self, message):
        """The leader has resigned: the voters stand one after the other, without waiting."""
        node = self.node
        if message.ballot < self.leader_ballot or node.ballot is not None:
            return
        self.leader_ballot = message.ballot
        self.forget()
        group = node.group()
        if node.acceptor.vote.voter not in group:
            return

        def campaign():
            if self.leader_ballot == message.ballot and self.heard_ms == SILENT_MS:
                self.campaign()

        turn = [v for v in group if address_of(v) != leader_address(message.ballot)].index(
            node.acceptor.vote.voter
        )
        node.context.after(node.call_ms * 0.3 * turn, campaign)

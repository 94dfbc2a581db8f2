"""A leader's rounds: having a value accepted, having the ballot confirmed, repairing voters."""

import zlib

from stagevale.ballots import NO_BALLOT, Round
from stagevale.register.messages import Accept, Accepted, Beacon, Confirm, Confirmation
from stagevale.register.voters import address_of
from stagevale.wire import ACCEPT, BEACON, CONFIRM

UNCONFIRMED_ROUNDS = 2
BYTES_PER_MS = 4000.0


class Replication:
    """Brings the leader's value to the voters and keeps track of what each of them holds."""

    __slots__ = ("node", "held", "unconfirmed", "last_delta")

    def __init__(self, node):
        self.node = node
        self.held = {}
        self.unconfirmed = 0
        self.last_delta = None, None, None

    def begin(self):
        """A new leadership: nothing is known yet of what the voters hold."""
        self.held = {}
        self.unconfirmed = 0

    # accepting

    def payload(self, voter, before, value):
        """What a voter has to be sent of a value: (mark of what it changes, bytes); the mark is empty
        for all of it. The delta is computed once for all voters.
        """
        if before is None or not voter or self.held.get(voter) != before.mark:
            return b"", value.packed
        if self.last_delta[0] is not before or self.last_delta[1] is not value:
            self.last_delta = before, value, value.delta(before)
        delta = self.last_delta[2]
        return (before.mark, delta) if delta is not None else (b"", value.packed)

    def send(self, voter, address, before, value, answered):
        """Sends a value to one voter: what changed where it holds `before`, else all of it. Calls
        `answered(voter, Accepted or None, failure)` once.
        """
        node = self.node
        ballot = node.ballot
        base, data = self.payload(voter, before, value)
        deadline_ms = node.call_ms + len(data) / BYTES_PER_MS

        def got(answer, failure):
            if answer is not None and answer.wants_whole and base and node.ballot == ballot:
                self.held.pop(voter, None)
                self.send(voter, address, None, value, answered)
                return
            if answer is not None and answer.granted:
                self.held[answer.voter] = value.mark
            answered(voter, answer, failure)

        node.ask(address, ACCEPT, Accept(ballot, voter, base, data), Accepted, got, deadline_ms)

    def accept(self, before, value, done, newcomer=None):
        """Has a value accepted by a majority of the group before and after it; `done(chosen)`.

        A `newcomer` to the group has to answer too, unless it stays silent to the end of the round:
        the value is to lie on no fewer disks than before the change.
        """
        node = self.node
        ballot = node.ballot
        everyone = tuple(dict.fromkeys(before.group + value.group))
        running = Round(ballot, everyone)

        def answered(voter, answer, failure):
            if running.over:
                return
            if answer is None:
                running.count(voter, False, NO_BALLOT)
            else:
                if answer.voter != voter:
                    node.reconfiguration.disk_lost(voter)
                running.count(voter, answer.granted, answer.promised)
                if answer.promised > ballot and answer.voter == voter:
                    running.over = True
                    self.superseded(ballot, voter, answer.promised)
                    done(False)
                    return
            complete = len(running.yes) + len(running.no) == len(everyone)
            if running.won(before.group, value.group):
                if newcomer in running.yes or newcomer is None or complete:
                    running.over = True
                    done(self.chosen(ballot, value))
            elif complete:
                running.over = True
                if node.ballot == ballot:
                    node.step_down("no majority accepted")
                done(False)

        for voter in everyone:
            self.send(voter, address_of(voter), before, value, answered)

    def chosen(self, ballot, value):
        """Majorities have accepted a value; returns whether this daemon still leads under it."""
        node = self.node
        if node.ballot != ballot:
            return False
        node.busy = False
        node.chosen = value
        node.learn_group(value.serial, value.group)
        node.publish(value)
        return True

    def superseded(self, ballot, voter, promised):
        node = self.node
        node.election.highest_round = max(node.election.highest_round, promised[0])
        if node.ballot == ballot:
            node.step_down(f"{voter} has promised a higher ballot")

    # confirming

    def confirm(self, done):
        """Asks the group whether this ballot still stands; `done(stands)`."""
        node = self.node
        ballot = node.ballot
        group = node.chosen.group if node.chosen is not None else node.group()
        running = Round(ballot, group)

        def answered(voter, answer, failure):
            if answer is not None:
                self.heard_from(voter, answer, ballot)
            if running.over:
                return
            if answer is None:
                running.count(voter, False, NO_BALLOT)
            else:
                running.count(voter, answer.granted, answer.promised)
            if running.won():
                running.over = True
                done(node.ballot == ballot)
            elif running.lost() or len(running.yes) + len(running.no) == len(group):
                running.over = True
                if running.highest > ballot:
                    self.superseded(ballot, "a voter", running.highest)
                done(False)

        for voter in group:
            node.ask_voter(voter, CONFIRM, Confirm(ballot, voter), Confirmation, answered)

    def heard_from(self, voter, answer, ballot):
        """Notes what a voter holds; one that lost its disk is replaced, one that is behind gets the
        value again.
        """
        node = self.node
        if node.ballot != ballot or node.chosen is None:
            return
        if answer.voter != voter:
            node.reconfiguration.disk_lost(voter)
            return
        self.held[voter] = answer.mark
        if answer.mark != node.chosen.mark and not node.busy and answer.promised <= ballot:
            self.send(voter, address_of(voter), None, node.chosen, lambda *answered: None)

    def beacon(self):
        """Confirms the leadership with a majority and says so to the core; then tends the group."""
        node = self.node
        ballot = node.ballot

        def confirmed(stands):
            if node.ballot != ballot:
                return
            if not stands:
                self.unconfirmed += 1
                if self.unconfirmed >= UNCONFIRMED_ROUNDS:
                    node.step_down("no majority confirms it")
                return
            self.unconfirmed = 0
            node.election.heard(ballot)
            if node.chosen is not None:
                self.announce()
                node.tend()

        self.confirm(confirmed)

    def announce(self):
        """Tells the daemons of the core who leads, and marks of the value and the group."""
        node = self.node
        chosen = node.chosen
        message = Beacon(node.ballot, chosen.serial, group_mark(chosen.group))
        for address in node.audience():
            node.notify(address, BEACON, message)


def group_mark(group):
    """A short number that is equal for equal groups."""
    return zlib.crc32(" ".join(sorted(group)).encode())

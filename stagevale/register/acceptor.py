"""A voter: what it has promised and accepted, on disk before it answers."""

from stagevale import wire
from stagevale.ballots import NO_BALLOT
from stagevale.register.messages import Accepted, Confirmation, PollAnswer, Promise
from stagevale.register.storage import DamagedDisk, Vote
from stagevale.register.voters import new_voter

SAVE_RETRY_SHARE = 0.5


class Acceptor:
    """Promises and accepts for one disk. What is in memory may run ahead of the disk; answers that
    others build on are given from what the disk holds.
    """

    __slots__ = ("node", "storage", "vote", "durable", "loaded", "writing", "dirty", "waiting")

    def __init__(self, node, storage):
        self.node = node
        self.storage = storage
        self.vote = Vote(node.address)
        self.durable = None
        self.loaded = False
        self.writing = False
        self.dirty = False
        self.waiting = []

    # state

    @property
    def accepted(self):
        return self.vote.accepted

    def accepted_mark(self):
        return self.vote.accepted.mark if self.vote.accepted is not None else b""

    def accepted_serial(self):
        return self.vote.accepted.serial if self.vote.accepted is not None else -1

    def changed(self, **fields):
        """Puts a vote with these fields changed in the place of the one held."""
        vote = self.vote
        held = {name: getattr(vote, name) for name in Vote.__slots__}
        self.vote = Vote(**{**held, **fields})

    # disk

    def load(self):
        """Reads the vote from disk; a disk that was lost begins as a voter of its own."""
        self.node.context.disk(self.storage.load, self.on_loaded)

    def on_loaded(self, vote, failure):
        node = self.node
        if failure is not None and not isinstance(failure, DamagedDisk):
            node.context.log.error(
                "%s: the disk can't be read: %s; trying again.", node.prefix, failure
            )
            node.context.after(node.beat_ms, self.load)
            return
        if vote is not None:
            self.vote = vote
            if not vote.voter:
                self.changed(voter=node.address)
            node.context.log.info(
                "%s: loaded version %d as voter %s.",
                node.prefix,
                self.accepted_serial(),
                vote.voter,
            )
        elif failure is None and node.context.settings.first_start:
            self.vote = Vote(node.address, founders=node.seed_addresses())
        else:
            self.vote = Vote(new_voter(node.address, node.context.random))
            node.context.log.warning(
                "%s: %s; taking part as the new voter %s once it is invited.",
                node.prefix,
                f"damaged disk: {failure}" if failure else "the disk is empty, no first start",
                self.vote.voter,
            )
        self.loaded = True
        self.save(lambda saved: node.begin())

    def save(self, done):
        """Brings what is in memory to disk; `done(saved)` once a save that covers it has ended."""
        self.waiting.append(done)
        self.dirty = True
        self.write_next()

    def write_next(self):
        if self.writing or not self.dirty:
            return
        waiting, self.waiting = self.waiting, []
        self.dirty, self.writing = False, True
        vote = self.vote

        def written(_, failure):
            self.writing = False
            if failure is None:
                self.durable = vote
            else:
                self.node.context.log.error("%s: saving failed: %s.", self.node.prefix, failure)
                self.dirty = True
                self.node.context.after(self.node.call_ms * SAVE_RETRY_SHARE, self.write_next)
            for done in waiting:
                done(failure is None)
            if failure is None:
                self.write_next()

        self.node.context.disk(lambda: self.storage.save(vote), written)

    # answers

    def mine(self, voter):
        """True for a message to this very disk, which can answer."""
        return self.loaded and voter == self.vote.voter

    def outside(self, candidate):
        """True for a candidate that the newest group known here leaves out."""
        return self.accepted is not None and candidate not in self.accepted.group

    def poll(self, message):
        """The answer to a candidate that asks whether an election would be welcome."""
        election = self.node.election
        newer = self.vote.position() > (message.accepted_ballot, message.serial)
        out = newer and self.outside(message.candidate)
        heard = election.heard_ballot(message.candidate)
        granted = self.mine(message.voter) and not out and heard == NO_BALLOT
        vote = self.vote
        packed = vote.accepted.packed if out else b""
        return PollAnswer(granted, heard, vote.promised, vote.accepted_ballot, packed)

    def prepare(self, message, answer):
        """Promises a ballot, unless a higher one was promised or the candidate is out of the group;
        `answer(Promise)` once that is on disk.
        """
        newer = self.vote.position() > (message.accepted_ballot, message.serial)
        if (
            not self.mine(message.voter)
            or message.ballot < self.vote.promised
            or (newer and self.outside(message.candidate))
        ):
            answer(Promise(False, self.vote.promised, NO_BALLOT, False, b""))
            return
        ballot = message.ballot
        self.changed(promised=ballot)
        self.node.overruled(ballot, "a higher ballot was promised")
        self.node.election.note_leader(ballot)

        def saved(done):
            vote = self.vote
            if not done or vote.promised != ballot:
                answer(Promise(False, vote.promised, NO_BALLOT, False, b""))
                return
            same = vote.accepted is not None and vote.accepted.mark == message.mark
            packed = b"" if same or vote.accepted is None else vote.accepted.packed
            answer(Promise(True, ballot, vote.accepted_ballot, same, packed))

        self.save(saved)

    def accept(self, message, answer):
        """Accepts a leader's value; `answer(Accepted)` once it is on disk."""
        if not self.loaded or message.voter not in ("", self.vote.voter):
            answer(self.refusal())
            return
        if message.ballot < self.vote.promised:
            answer(self.refusal())
            return
        value = self.value_of(message)
        if value is None:
            answer(Accepted(False, self.vote.promised, self.vote.voter, True))
            return
        if (message.ballot, value.serial) < self.vote.position():
            answer(self.refusal())
            return
        self.changed(promised=message.ballot, accepted_ballot=message.ballot, accepted=value)
        self.node.overruled(message.ballot, "another leader's value was accepted")
        voter = self.vote.voter
        self.save(lambda done: answer(Accepted(done, message.ballot, voter, False)))

    def refusal(self):
        return Accepted(False, self.vote.promised, self.vote.voter, False)

    def value_of(self, message):
        """The value that a message brings, or None for a change of a value that isn't held here."""
        if not message.base:
            return self.node.read_value(message.data)
        if message.base != self.accepted_mark():
            return None
        try:
            return self.accepted.applied(message.data)
        except (ValueError, wire.WireFailure) as failure:
            self.node.context.log.warning(
                "%s: a change can't be used: %s.", self.node.prefix, failure
            )
            return None

    def confirm(self, message):
        """Whether a leader's ballot stands here: by the disk, not by what is still being saved."""
        durable = self.durable
        granted = (
            self.mine(message.voter)
            and durable is not None
            and durable.promised == self.vote.promised == message.ballot
        )
        return Confirmation(
            granted,
            self.vote.promised,
            self.vote.voter,
            durable.accepted_ballot if durable is not None else NO_BALLOT,
            durable.accepted.mark if durable is not None and durable.accepted is not None else b"",
        )

    def adopt(self, value, ballot):
        """Takes a newer value that another voter has shown; it was proposed under `ballot`."""
        if (ballot, value.serial) > self.vote.position():
            self.changed(accepted=value, accepted_ballot=ballot)
            self.save(lambda done: None)

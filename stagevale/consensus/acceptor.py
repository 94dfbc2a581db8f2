"""A voter: what it has promised and accepted, on disk before it replies."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from stagevale.consensus.messages import (
    AcceptReply,
    AcceptRequest,
    ConfirmReply,
    ConfirmRequest,
    PrepareReply,
    PrepareRequest,
    PreVoteReply,
    PreVoteRequest,
)
from stagevale.consensus.value import ReplicatedValue
from stagevale.consensus.vote_storage import DamagedDiskError, Vote, VotePosition, VoteStore
from stagevale.consensus.voter_id import new_voter_id
from stagevale.quorum.ballot import NO_BALLOT, Ballot
from stagevale.rpc.errors import DecodeError

if TYPE_CHECKING:
    from stagevale.consensus.node import ConsensusNode

ValueT = TypeVar("ValueT", bound=ReplicatedValue)
OnSaved = Callable[[bool], object]

# How soon a save that failed is tried again, as a share of the request time-out.
SAVE_RETRY_SHARE = 0.5


def _ignore(saved: bool) -> None:
    pass


class Acceptor(Generic[ValueT]):
    """Promises and accepts for one disk.

    Attributes:
        vote: the vote in memory, which may run ahead of the disk.
        durable: the vote on disk, from which replies that others build on are given; None until the
            first save.
        loaded: whether the disk has been read.
    """

    __slots__ = (
        "node",
        "storage",
        "vote",
        "durable",
        "loaded",
        "_saving",
        "_unsaved_changes",
        "_waiting",
    )

    def __init__(self, node: "ConsensusNode[ValueT]", storage: VoteStore[ValueT]) -> None:
        self.node = node
        self.storage = storage
        self.vote: Vote[ValueT] = Vote(node.address)
        self.durable: Vote[ValueT] | None = None
        self.loaded = False
        self._saving = False
        self._unsaved_changes = False
        self._waiting: list[OnSaved] = []

    # disk

    def load(self) -> None:
        """Reads the vote from disk; a disk that was lost begins as a voter of its own."""
        self.node.context.run_on_disk(self.storage.load, self._on_loaded)

    def _on_loaded(self, vote: Vote[ValueT] | None, error: Exception | None) -> None:
        node = self.node
        if error is not None and not isinstance(error, DamagedDiskError):
            node.context.log.error(
                "%s: the disk can't be read: %s; trying again.", node.log_prefix, error
            )
            node.context.call_later(node.heartbeat_ms, self.load)
            return
        if vote is not None:
            self.vote = vote if vote.voter else vote.changed(voter=node.address)
            node.context.log.info(
                "%s: loaded version %d as voter %s.",
                node.log_prefix,
                self.vote.serial,
                vote.voter,
            )
        elif error is None and node.context.settings.first_start:
            self.vote = Vote(node.address, founders=node.group_view.seed_addresses())
        else:
            self.vote = Vote(new_voter_id(node.address, node.context.random))
            node.context.log.warning(
                "%s: %s; taking part as the new voter %s once it is invited.",
                node.log_prefix,
                f"damaged disk: {error}" if error else "the disk is empty, no first start",
                self.vote.voter,
            )
        self.loaded = True
        self.save(lambda _saved: node.start_voting())

    def save(self, on_saved: OnSaved = _ignore) -> None:
        """Brings the vote to disk; `on_saved(success)` once a save that covers it has ended."""
        self._waiting.append(on_saved)
        self._unsaved_changes = True
        self._save_next()

    def _save_next(self) -> None:
        if self._saving or not self._unsaved_changes:
            return
        waiting, self._waiting = self._waiting, []
        self._unsaved_changes, self._saving = False, True
        vote = self.vote

        def saved(_: Any, error: Exception | None) -> None:
            self._saving = False
            if error is None:
                self.durable = vote
            else:
                self._on_save_failed(error)
            for on_saved in waiting:
                on_saved(error is None)
            if error is None:
                self._save_next()

        self.node.context.run_on_disk(lambda: self.storage.save(vote), saved)

    def _on_save_failed(self, error: Exception) -> None:
        node = self.node
        node.context.log.error("%s: saving failed: %s.", node.log_prefix, error)
        self._unsaved_changes = True
        node.context.call_later(node.request_timeout_ms * SAVE_RETRY_SHARE, self._save_next)

    def remember_peers(self, addresses: set[str]) -> None:
        """Keeps addresses of core daemons on disk, where they aren't yet."""
        known = set(self.vote.peers)
        if addresses - known:
            self.vote = self.vote.changed(peers=tuple(sorted(addresses | known)))
            self.save()

    def adopt(self, value: ValueT, ballot: Ballot) -> None:
        """Takes a newer value that another voter has shown; it was proposed under `ballot`."""
        if VotePosition(ballot, value.serial) > self.vote.position():
            self.vote = self.vote.changed(accepted=value, accepted_ballot=ballot)
            self.save()

    # replies

    def _is_addressed(self, voter: str) -> bool:
        """True for a message to this very disk, which can answer."""
        return self.loaded and voter == self.vote.voter

    def _identity(self, addressed: str) -> str:
        """The identity to answer under; until the disk is read nothing speaks against the one that
        was addressed.
        """
        return self.vote.voter if self.loaded else addressed

    def _is_voted_out(self, request: PreVoteRequest | PrepareRequest) -> bool:
        """True for a candidate that a newer group, which is known here, leaves out."""
        accepted = self.vote.accepted
        if accepted is None or request.candidate in accepted.group:
            return False
        return self.vote.position() > VotePosition(request.accepted_ballot, request.serial)

    def pre_vote(self, request: PreVoteRequest) -> PreVoteReply:
        """The reply to a candidate that asks whether it would be promised its ballot."""
        vote = self.vote
        voted_out = self._is_voted_out(request)
        leader_ballot = self.node.election.live_leader_ballot(request.candidate)
        granted = self._is_addressed(request.voter) and not voted_out and leader_ballot == NO_BALLOT
        encoded = vote.accepted.encoded if voted_out and vote.accepted is not None else b""
        return PreVoteReply(granted, leader_ballot, vote.promised, vote.accepted_ballot, encoded)

    def prepare(self, request: PrepareRequest, reply: Callable[[PrepareReply], object]) -> None:
        """Promises a ballot, unless a higher one was promised or the candidate is out of the group.

        `reply` is called once the promise is on disk.
        """
        if (
            not self._is_addressed(request.voter)
            or request.ballot < self.vote.promised
            or self._is_voted_out(request)
        ):
            reply(self._prepare_rejection())
            return
        ballot = request.ballot
        self.vote = self.vote.changed(promised=ballot)
        self.node.on_other_ballot(ballot, "a higher ballot was promised")
        self.node.election.record_candidate(ballot)

        def saved(success: bool) -> None:
            vote = self.vote
            if not success or vote.promised != ballot:
                reply(self._prepare_rejection())
                return
            same = vote.accepted is not None and vote.digest == request.digest
            encoded = b"" if same or vote.accepted is None else vote.accepted.encoded
            reply(PrepareReply(True, ballot, vote.accepted_ballot, same, encoded))

        self.save(saved)

    def _prepare_rejection(self) -> PrepareReply:
        return PrepareReply(False, self.vote.promised, NO_BALLOT, False, b"")

    def accept(self, request: AcceptRequest, reply: Callable[[AcceptReply], object]) -> None:
        """Accepts a leader's value; `reply` is called once it is on disk."""
        addressed = self.loaded and request.voter in ("", self.vote.voter)
        if not addressed or request.ballot < self.vote.promised:
            reply(self._accept_rejection(request))
            return
        value = self._proposed_value(request)
        if value is None:
            reply(self._accept_rejection(request)._replace(needs_complete_value=True))
            return
        if VotePosition(request.ballot, value.serial) < self.vote.position():
            reply(self._accept_rejection(request))
            return
        self.vote = self.vote.changed(
            promised=request.ballot, accepted_ballot=request.ballot, accepted=value
        )
        self.node.on_other_ballot(request.ballot, "another leader's value was accepted")
        voter = self.vote.voter
        self.save(lambda success: reply(AcceptReply(success, request.ballot, voter, False)))

    def _accept_rejection(self, request: AcceptRequest) -> AcceptReply:
        return AcceptReply(False, self.vote.promised, self._identity(request.voter), False)

    def _proposed_value(self, request: AcceptRequest) -> ValueT | None:
        """The value of a proposal; None for a delta of a value that isn't held here."""
        if not request.base:
            return self.node.read_value(request.data)
        accepted = self.vote.accepted
        if accepted is None or request.base != accepted.digest:
            return None
        try:
            return accepted.with_delta(request.data)
        except (ValueError, DecodeError) as error:
            self.node.context.log.warning(
                "%s: a delta can't be applied: %s.", self.node.log_prefix, error
            )
            return None

    def confirm(self, request: ConfirmRequest) -> ConfirmReply:
        """Whether a leader's ballot stands here: by the disk, not by what is still being saved."""
        durable = self.durable
        if durable is None:
            voter = self._identity(request.voter)
            return ConfirmReply(False, self.vote.promised, voter, NO_BALLOT, b"")
        granted = (
            self._is_addressed(request.voter)
            and durable.promised == self.vote.promised == request.ballot
        )
        return ConfirmReply(
            granted, self.vote.promised, self.vote.voter, durable.accepted_ballot, durable.digest
        )

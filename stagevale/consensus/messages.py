"""What the members of a consensus group say to each other.

Fields are read in the order in which they stand here; order and types are part of the protocol.
"""

from typing import NamedTuple

from stagevale.quorum.ballot import Ballot


class PreVoteRequest(NamedTuple):
    """A candidate asks whether a voter would promise; it changes nothing."""

    voter: str
    candidate: str
    accepted_ballot: Ballot
    serial: int


class PreVoteReply(NamedTuple):
    """Whether a voter would promise.

    Attributes:
        granted: whether it would.
        leader_ballot: the ballot of a leader whose heartbeats it receives; else `NO_BALLOT`.
        promised: the highest ballot it has promised.
        accepted_ballot: the ballot of the value it has accepted.
        encoded: for a candidate that is out of the group, the newest value accepted; else empty.
    """

    granted: bool
    leader_ballot: Ballot
    promised: Ballot
    accepted_ballot: Ballot
    encoded: bytes


class PrepareRequest(NamedTuple):
    """A candidate asks for a promise; `digest` is that of the value it has accepted itself."""

    ballot: Ballot
    voter: str
    candidate: str
    accepted_ballot: Ballot
    serial: int
    digest: bytes


class PrepareReply(NamedTuple):
    """A promise with the value accepted by the voter, or a rejection with what was promised.

    Attributes:
        granted: whether the ballot is promised.
        promised: the highest ballot promised.
        accepted_ballot: the ballot of the value accepted.
        same_value: whether that value is the candidate's own.
        encoded: the value; empty where nothing was accepted or `same_value` holds.
    """

    granted: bool
    promised: Ballot
    accepted_ballot: Ballot
    same_value: bool
    encoded: bytes


class AcceptRequest(NamedTuple):
    """A leader's proposal.

    Attributes:
        ballot: the leader's ballot.
        voter: the voter that is meant; empty for whatever disk stands behind the address, where a
            daemon is invited to the group.
        base: digest of the value that `data` is a delta of; empty where `data` is complete.
        data: the value or the delta.
    """

    ballot: Ballot
    voter: str
    base: bytes
    data: bytes


class AcceptReply(NamedTuple):
    """Whether the value is on the voter's disk, and why not where it isn't.

    Attributes:
        granted: whether it is.
        promised: the highest ballot promised.
        voter: the identity of the disk that answers.
        needs_complete_value: the delta's base isn't held here.
    """

    granted: bool
    promised: Ballot
    voter: str
    needs_complete_value: bool


class ConfirmRequest(NamedTuple):
    """A leader asks whether its ballot is still the highest at a voter."""

    ballot: Ballot
    voter: str


class ConfirmReply(NamedTuple):
    """Whether the ballot is the highest on the voter's disk, and which value that disk holds."""

    granted: bool
    promised: Ballot
    voter: str
    accepted_ballot: Ballot
    digest: bytes


class LeaderHeartbeat(NamedTuple):
    """A leader that a majority has just confirmed says so to every core daemon."""

    ballot: Ballot
    serial: int
    group_checksum: int


class LeaderQuery(NamedTuple):
    """Asks a daemon which leader it knows."""


class LeaderInfo(NamedTuple):
    """The leader that a daemon knows, if any, and the newest group it has seen."""

    known: bool
    leader_ballot: Ballot
    serial: int
    group: tuple[str, ...]


class LeaveRequest(NamedTuple):
    """A voter that is about to shut down asks the leader to remove it from the group."""

    voter: str


class LeaveReply(NamedTuple):
    """Whether the voter is out of the group."""

    removed: bool


class LeaderResigned(NamedTuple):
    """A leader has given up its ballot; nobody need wait for a time-out."""

    ballot: Ballot

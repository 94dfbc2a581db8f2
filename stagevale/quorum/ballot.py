"""Ballots: proposal numbers that no two candidates share."""

from typing import NamedTuple

INCARNATION_SEPARATOR = "#"


class Ballot(NamedTuple):
    """A proposal number; ballots are compared by term, then by candidate.

    Attributes:
        term: rises with each candidacy.
        candidate: the candidate's address and incarnation, `ip:port#incarnation`, so that a
            restarted daemon never uses a ballot of its former incarnation.
    """

    term: int
    candidate: str

    @property
    def address(self) -> str:
        """The address of the daemon that this ballot belongs to; empty for `NO_BALLOT`."""
        return self.candidate.partition(INCARNATION_SEPARATOR)[0]


NO_BALLOT = Ballot(0, "")


def candidate_id(address: str, incarnation: str) -> str:
    """The name of a candidate in its ballots."""
    return f"{address}{INCARNATION_SEPARATOR}{incarnation}"

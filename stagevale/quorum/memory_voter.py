"""A voter for roles over soft state: its promises are kept in memory and end with the process."""

from typing import NamedTuple

from stagevale.quorum.ballot import NO_BALLOT, Ballot


class MemoryPromise(NamedTuple):
    """A voter's reply to a candidate.

    Attributes:
        granted: whether the ballot was promised.
        promised: the highest ballot promised for the role.
    """

    granted: bool
    promised: Ballot


class MemoryVoter:
    """Keeps the highest ballot promised for each of several roles."""

    __slots__ = ("promised",)

    def __init__(self) -> None:
        self.promised: dict[str, Ballot] = {}

    def highest(self, role: str) -> Ballot:
        """The highest ballot promised for a role."""
        return self.promised.get(role, NO_BALLOT)

    def promise(self, role: str, ballot: Ballot) -> MemoryPromise:
        """Promises `ballot` unless a higher one was promised for the role."""
        if ballot >= self.highest(role):
            self.promised[role] = ballot
            return MemoryPromise(True, ballot)
        return MemoryPromise(False, self.promised[role])

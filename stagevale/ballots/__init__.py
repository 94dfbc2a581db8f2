"""Ballots: a duty is won by promises of a majority of a group, each time that it falls vacant."""

NO_BALLOT = (0, "")


def as_ballot(fields):
    """A ballot out of a message: (round, address)."""
    number, address = fields
    if not isinstance(number, int) or not isinstance(address, str):
        raise ValueError("not a ballot")
    return number, address


def majority(size):
    """How many of a group of this size are more than half of it."""
    return size // 2 + 1


class Voter:
    """Keeps the highest ballot promised for each of several duties; in memory, for duties over soft
    state.
    """

    __slots__ = ("promised",)

    def __init__(self):
        self.promised = {}

    def promise(self, duty, ballot):
        """Promises `ballot` if it is the highest seen; returns whether, and the highest."""
        if ballot >= self.promised.get(duty, NO_BALLOT):
            self.promised[duty] = ballot
            return True, ballot
        return False, self.promised[duty]


class Round:
    """One round of ballots by a candidate: counts who promised and who refused."""

    __slots__ = ("ballot", "group", "yes", "no", "highest", "over")

    def __init__(self, ballot, group):
        self.ballot = ballot
        self.group = tuple(group)
        self.yes = {}
        self.no = set()
        self.highest = ballot
        self.over = False

    def count(self, peer, promised, highest, detail=None):
        """Counts an answer."""
        if promised:
            self.yes[peer] = detail
        else:
            self.no.add(peer)
            if highest > self.highest:
                self.highest = highest

    def won(self, *groups):
        """True once a majority of each of the groups has promised."""
        return all(
            sum(1 for member in group if member in self.yes) >= majority(len(group))
            for group in (groups or (self.group,))
        )

    def lost(self):
        """True once a majority can't come about any more."""
        return len(self.group) - len(self.no & set(self.group)) < majority(len(self.group))

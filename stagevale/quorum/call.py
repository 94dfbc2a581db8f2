"""Counting the replies of a group until a majority has granted a request, or no longer can."""

from collections.abc import Callable, Iterable, Sequence
from typing import Generic, TypeVar

from stagevale.quorum.rules import majority

ReplyT = TypeVar("ReplyT")


def _do_nothing() -> None:
    pass


class QuorumCall(Generic[ReplyT]):
    """One request to a group of members, decided once.

    Args:
        members: everyone who is asked.
        is_granted: called with each reply in time, before it is counted; says whether the member
            grants the request. It may `cancel` the call.
        on_majority: called once a majority has granted.
        on_rejected: called once a majority can't come about any more.
        groups: majorities of each of these are needed, where that isn't just `members`. With
            several groups a rejection waits until every member has replied or failed.
        required: a member that has to grant too, unless all others have replied by then.
        copies: so many members have to grant, whatever the size of the groups.
    """

    __slots__ = (
        "members",
        "groups",
        "is_granted",
        "on_majority",
        "on_rejected",
        "required",
        "copies",
        "granted",
        "rejected",
        "decided",
    )

    def __init__(
        self,
        members: Iterable[str],
        is_granted: Callable[[str, ReplyT], bool],
        on_majority: Callable[[], object],
        on_rejected: Callable[[], object] = _do_nothing,
        groups: Sequence[Sequence[str]] = (),
        required: str | None = None,
        copies: int = 1,
    ) -> None:
        self.members = tuple(members)
        self.groups = tuple(tuple(group) for group in groups) or (self.members,)
        self.is_granted = is_granted
        self.on_majority = on_majority
        self.on_rejected = on_rejected
        self.required = required
        self.copies = copies
        self.granted: set[str] = set()
        self.rejected: set[str] = set()
        self.decided = False

    def replied(self, member: str, reply: ReplyT | None) -> None:
        """Counts a member's reply; None stands for a member that didn't reply."""
        if self.decided:
            return
        granted = reply is not None and self.is_granted(member, reply)
        if self.decided:
            return
        (self.granted if granted else self.rejected).add(member)
        if self._has_majority():
            if self.required is None or self.required in self.granted or self._complete():
                self.decided = True
                self.on_majority()
        elif self._is_rejected():
            self.decided = True
            self.on_rejected()

    def cancel(self) -> None:
        """Ends the call without a decision: later replies are not looked at."""
        self.decided = True

    def _has_majority(self) -> bool:
        return len(self.granted) >= self.copies and all(
            sum(member in self.granted for member in group) >= majority(len(group))
            for group in self.groups
        )

    def _is_rejected(self) -> bool:
        if len(self.groups) > 1:
            return self._complete()
        left = len(self.members) - len(self.rejected.intersection(self.members))
        return left < max(self.copies, majority(len(self.members)))

    def _complete(self) -> bool:
        return len(self.granted) + len(self.rejected) == len(self.members)

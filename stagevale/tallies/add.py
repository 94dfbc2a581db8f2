"""Adds to tallies, and where each was first accepted."""

from typing import Any, NamedTuple

from stagevale.rpc.errors import DecodeError


class Add(NamedTuple):
    """One add.

    Attributes:
        tally: the tally's name.
        id: tells this add from others of its tally; one that recurs is counted once.
        amount: what it adds.
    """

    tally: str
    id: str
    amount: int


class Position(NamedTuple):
    """Where an add stands in the log of the disk that accepted it.

    Attributes:
        origin: the disk, by a name that was drawn for it.
        number: counts up from 1 in the order in which the origin has synced its adds.
    """

    origin: str
    number: int


class LoggedAdd(NamedTuple):
    """An add with its position."""

    position: Position
    add: Add


Run = list[Any]


def to_runs(logged: list[LoggedAdd]) -> list[Run]:
    """Adds as rows `[origin, first number, [tally, id, amount], ...]`, one for each unbroken run."""
    runs: list[Run] = []
    expected: Position | None = None
    for position, add in logged:
        if position != expected:
            runs.append([position.origin, position.number])
        runs[-1].append(list(add))
        expected = Position(position.origin, position.number + 1)
    return runs


def from_runs(runs: list[Run]) -> list[LoggedAdd]:
    """The adds of rows that `to_runs` made.

    Raises:
        DecodeError: the rows have another shape.
    """
    logged = []
    try:
        for origin, first, *adds in runs:
            for number, (tally, id, amount) in enumerate(adds, first):
                logged.append(LoggedAdd(Position(origin, number), Add(tally, id, amount)))
    except (TypeError, ValueError) as cause:
        raise DecodeError("adds", "a peer", repr(cause)) from cause
    return logged

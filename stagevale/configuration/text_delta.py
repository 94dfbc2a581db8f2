"""Deltas of a long text: runs of pieces it had before, and new pieces between them."""

from typing import Any

SEPARATOR = "},"

# A step of a delta: a new piece, or [first, count] for a run of pieces of the former text.
Step = str | list[int]


def text_delta(before: str, after: str) -> list[Step]:
    """The steps that make `after` out of `before`.

    Pieces lie between one `},` and the next, so that each route of a configuration is one or a few.
    A piece that differs is taken for one that was changed in its place; where the next differs as
    well, pieces were added, removed or moved, and all former positions are looked up.
    """
    former = before.split(SEPARATOR)
    positions: dict[str, int] | None = None
    steps: list[Step] = []
    expected, previous_differed = 0, False
    for piece in after.split(SEPARATOR):
        position = None
        if expected < len(former) and former[expected] == piece:
            position = expected
        elif previous_differed:
            if positions is None:
                positions = {piece: number for number, piece in enumerate(former)}
            position = positions.get(piece)
        previous_differed = position is None
        if position is None:
            steps.append(piece)
            expected += 1
        else:
            _extend_run(steps, position)
            expected = position + 1
    return steps


def _extend_run(steps: list[Step], position: int) -> None:
    """Adds a former piece to the last run, or begins a run with it."""
    last = steps[-1] if steps else None
    if isinstance(last, list) and last[0] + last[1] == position:
        last[1] += 1
    else:
        steps.append([position, 1])


def apply_text_delta(before: str, steps: list[Any]) -> str:
    """The text that the steps make out of `before`.

    Raises:
        ValueError: the steps don't belong to this text.
    """
    former = before.split(SEPARATOR)
    pieces: list[str] = []
    for step in steps:
        if isinstance(step, str):
            pieces.append(step)
            continue
        first, count = step
        if not 0 <= first <= first + count <= len(former):
            raise ValueError(f"a run from {first} over {count} of {len(former)} pieces")
        pieces += former[first : first + count]
    return SEPARATOR.join(pieces)

"""Changes of a long text as runs of its former pieces and new pieces between them."""

import re

PIECE = re.compile(r"(?<=\},)")


def pieces_of(text):
    """A text cut behind each `},`, so that each route of a configuration is a piece or a few."""
    return PIECE.split(text)


def text_delta(before, after):
    """Steps that make `after` out of `before`: a new piece as text, a run as [first, count]."""
    places = {}
    for number, piece in enumerate(pieces_of(before)):
        places.setdefault(piece, number)
    steps = []
    for piece in pieces_of(after):
        place = places.get(piece)
        if place is None:
            steps.append(piece)
        elif steps and isinstance(steps[-1], list) and sum(steps[-1]) == place:
            steps[-1][1] += 1
        else:
            steps.append([place, 1])
    return steps


def apply_text_delta(before, steps):
    """The text that the steps make out of `before`. Raises ValueError for steps that don't fit."""
    pieces = pieces_of(before)
    parts = []
    for step in steps:
        if isinstance(step, str):
            parts.append(step)
            continue
        first, count = step
        if not 0 <= first <= first + count <= len(pieces):
            raise ValueError(f"a run from {first} over {count} of {len(pieces)} pieces")
        parts += pieces[first : first + count]
    return "".join(parts)

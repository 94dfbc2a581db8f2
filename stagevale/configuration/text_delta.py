"""Changes of a long text as runs of its former pieces and new pieces between them."""

SEPARATOR = "},"


def text_delta(before, after):
    """Steps that make `after` out of `before`: a new piece as text, a run as [first, count].

    Pieces lie between one `},` and the next, so that each route of a configuration is one or a few.
    A piece that differs is taken for one that was changed in its place; where the next differs as
    well, pieces were added, removed or moved, and all former places are looked up.
    """
    old = before.split(SEPARATOR)
    places = None
    steps, at, differed = [], 0, False
    for piece in after.split(SEPARATOR):
        place = at if at < len(old) and old[at] == piece else None
        if place is None and differed:
            if places is None:
                places = dict(zip(old, range(len(old)), strict=True))
            place = places.get(piece)
        differed = place is None
        if differed:
            steps.append(piece)
            at += 1
        else:
            extend_run(steps, place)
            at = place + 1
    return steps


def extend_run(steps, place):
    """Adds a former piece to the last run, or begins a run with it."""
    if steps and isinstance(steps[-1], list) and steps[-1][0] + steps[-1][1] == place:
        steps[-1][1] += 1
    else:
        steps.append([place, 1])


def apply_text_delta(before, steps):
    """The text that the steps make out of `before`. Raises ValueError for steps that don't fit."""
    old = before.split(SEPARATOR)
    pieces = []
    for step in steps:
        if isinstance(step, str):
            pieces.append(step)
            continue
        first, count = step
        if not 0 <= first <= first + count <= len(old):
            raise ValueError(f"a run from {first} over {count} of {len(old)} pieces")
        pieces += old[first : first + count]
    return SEPARATOR.join(pieces)

"""The command `python3 -m soak`."""

import asyncio
import collections
import pathlib
import sys
from typing import Annotated

import cyclopts

from soak.disks import draw_plan, play_disks
from soak.errors import SoakError
from soak.keyed import Load, measure_keyed
from soak.plan import Disruption, Plan, Size, draw_disruptions, read_replay, save_replay
from soak.report import as_text, write_page
from soak.runner import play
from soak.uploads import measure_uploads

app = cyclopts.App(
    name="soak", help="Plays a deployment of real daemons on loopback and judges it."
)

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_PLAYED = 0, 1, 2


@app.command
def uploads(count: int = 3, *, mb: int = 60, prefix: str = "/upload/", path: str = "x") -> int:
    """Measures a proxy's memory under uploads at once.

    Args:
        count: how many.
        mb: how large each is, in MiB.
        prefix: `/upload/` (pure), `/upload-once/` (effectful) or `/keyed/`.
        path: behind it: `early/x` for endpoints that answer before they have read the body,
            `slow-read/x` for such as read it slowly.

    Returns:
        0 where the proxy lives, 1 where it doesn't, 2 where the run couldn't be played.
    """
    try:
        figures = asyncio.run(measure_uploads(count, mb, prefix, path))
    except SoakError as error:
        sys.stderr.write(f"soak: not played: {error}\n")
        return EXIT_NOT_PLAYED
    counted = collections.Counter(str(status) for status in figures.statuses)
    answers = ", ".join(f"{status} {number} times" for status, number in sorted(counted.items()))
    print(f"{count} x {mb} MiB on {prefix}{path}: peak {figures.peak_mb} MB; {answers}")
    return EXIT_HELD if figures.lives else EXIT_BROKEN


@app.command
def keyed(
    *,
    seconds: Annotated[float, cyclopts.Parameter(name=["--for", "--seconds"])] = 60.0,
    per_s: float = 60.0,
    sessions: int = 400,
    answer_bytes: int = 2400,
    window_s: float = 10.0,
) -> int:
    """Measures requests with keys at a steady rate.

    Args:
        seconds: for how long.
        per_s: how many requests a second.
        sessions: over how many sessions.
        answer_bytes: of each answer.
        window_s: the length of the stretches that are counted.

    Returns:
        0, or 2 where the run couldn't be played.
    """
    load = Load(per_s, sessions, answer_bytes, seconds, window_s)
    try:
        windows = asyncio.run(measure_keyed(load))
    except SoakError as error:
        sys.stderr.write(f"soak: not played: {error}\n")
        return EXIT_NOT_PLAYED
    for window in windows:
        print(
            f"{window.end_s:6.0f} s: {window.served} of {window.sent} served; {window.files} files, "
            f"{window.files_mb:.1f} MB; {window.peaks_mb}; {window.refusals or 'none refused'}"
        )
    return EXIT_HELD


@app.command
def disks(first: int = 1, last: int = 1, *, detailed: bool = False) -> int:
    """Plays series of ends, kills, absences, lost power and lost disks.

    Args:
        first: the first seed.
        last: the last one.
        detailed: show what happened in each series, not just in those that broke something.

    Returns:
        0 where everything acknowledged was there, 1 where it wasn't, 2 where a series couldn't be
        played.
    """
    broken = 0
    for seed in range(first, last + 1):
        plan = draw_plan(seed)
        try:
            outcome = asyncio.run(play_disks(plan))
        except SoakError as error:
            sys.stderr.write(f"soak: seed {seed} not played: {error}\n")
            return EXIT_NOT_PLAYED
        word = "held" if outcome.held else "BROKEN"
        print(
            f"seed {seed}, {plan.core} core machines, {plan.tolerated} disks: {word}; "
            f"r{outcome.acknowledged} acknowledged, r{outcome.read} read; "
            f"{[each.what for each in outcome.breaks]}",
            flush=True,
        )
        if detailed or not outcome.held:
            print("\n".join(outcome.log), flush=True)
        broken += not outcome.held
    return EXIT_BROKEN if broken else EXIT_HELD


@app.command
def run(
    seed: int = 1,
    *,
    seconds: Annotated[float, cyclopts.Parameter(name=["--for", "--seconds"])] = 60.0,
    proxies: int = 3,
    core: int = 3,
    endpoints: int = 9,
    upload_mb: int = 0,
    replay: pathlib.Path | None = None,
    save: pathlib.Path | None = None,
    page: pathlib.Path | None = None,
    keep: bool = False,
    brief: bool = False,
) -> int:
    """Plays one run.

    Args:
        seed: from which clients, endpoints, operators and disruptions are drawn.
        seconds: of traffic.
        proxies: how many edge machines.
        core: how many core machines.
        endpoints: how many endpoints.
        upload_mb: the largest upload; small ones only where it is 0.
        replay: a file that `--save` wrote: its disruptions and size, in place of drawn ones.
        save: where to write what was played.
        page: where to write a page with a time line.
        keep: keep the daemons' files.
        brief: one line, and one for each break.

    Returns:
        0 where all rules held, 1 where one was broken, 2 where the run couldn't be played.
    """
    plan = Plan(seed, seconds, Size(proxies, core, endpoints))
    disruptions: list[Disruption] = draw_disruptions(plan)
    if replay is not None:
        plan, disruptions = read_replay(replay)
    if save is not None:
        save_replay(save, plan, disruptions)
    try:
        outcome = asyncio.run(play(plan, disruptions, keep, upload_mb))
    except SoakError as error:
        sys.stderr.write(f"soak: not played: {error}\n")
        return EXIT_NOT_PLAYED
    print(as_text(outcome, detailed=not brief), flush=True)
    if page is not None:
        write_page(outcome, page)
    return EXIT_BROKEN if outcome.breaks else EXIT_HELD

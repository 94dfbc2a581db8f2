"""What a run comes to, for people: a text, and a page with a time line."""

import html
import io
import pathlib

from soak.clock import MS_PER_S
from soak.runner import Outcome

MOST_SHOWN = 20
AROUND_MS = (1500.0, 500.0)
PIXELS_A_SECOND = 0.12
LEAST_INCHES = 8.0


def as_text(outcome: Outcome, detailed: bool) -> str:
    """What was held and what broke.

    Args:
        outcome: of the run.
        detailed: whether to show the events around each break and the last log lines.
    """
    history, plan = outcome.history, outcome.plan
    held = "held" if not outcome.breaks else f"{len(outcome.breaks)} breaks"
    size = plan.size
    lines = [
        f"seed {plan.seed}: {held}; {size.core} core machines, {size.proxies} proxies, "
        f"{size.endpoints} endpoints; {len(outcome.disruptions)} disruptions, "
        f"{len(history.sent)} requests, {len(history.runs)} runs, served {outcome.served:.3f}, "
        f"at the end {outcome.served_last:.3f}, in touch {outcome.in_touch:.2f}; {len(history.changes)} changes, "
        f"{len(history.evacuations)} orders about zones, {len(history.tally_adds)} adds; "
        + ", ".join(f"{name} {peak} MB" for name, peak in sorted(outcome.peaks_mb.items()))
    ]
    for each in outcome.breaks[:MOST_SHOWN]:
        at_s = (each.at_ms - history.began_ms) / MS_PER_S
        lines.append(f"  {each.rule} at {at_s:.3f} s by {each.machine or '-'}: {each.what}")
        if detailed:
            before_ms, after_ms = AROUND_MS
            around = history.between(each.at_ms - before_ms, each.at_ms + after_ms)
            lines += [f"    {event}" for event in around]
    if len(outcome.breaks) > MOST_SHOWN:
        lines.append(f"  and {len(outcome.breaks) - MOST_SHOWN} more")
    if detailed:
        for machine, rows in outcome.logs.items():
            lines += [
                f"  last log lines of {machine or 'nobody'}:",
                *(f"    {row}" for row in rows),
            ]
    return "\n".join(lines)


def write_page(outcome: Outcome, path: pathlib.Path) -> None:
    """Writes one HTML page: the text, and a time line of troubles, orders and breaks."""
    text = html.escape(as_text(outcome, detailed=True))
    page = (
        "<!doctype html><meta charset=utf-8><title>soak</title>"
        f"<h1>Soak, seed {outcome.plan.seed}</h1>{_time_line(outcome)}<pre>{text}</pre>"
    )
    path.write_text(page, encoding="utf-8")


def _time_line(outcome: Outcome) -> str:
    """The time line as SVG."""
    # Only a report with a page needs the library, which takes a second to load.
    import matplotlib as mpl

    mpl.use("svg")
    from matplotlib import pyplot

    history = outcome.history

    def at_s(ms: float) -> float:
        return (ms - history.began_ms) / MS_PER_S

    machines = sorted(
        {span.machine for span in history.spans} | {e.machine for e in outcome.breaks}
    )
    rows = {name: row for row, name in enumerate(machines)}
    width = max(LEAST_INCHES, outcome.plan.seconds * PIXELS_A_SECOND)
    figure, axes = pyplot.subplots(figsize=(width, 2 + 0.3 * len(rows)))
    colors = {"killed": "tab:red", "frozen": "tab:blue", "stopped in order": "tab:green"}
    for span in history.spans:
        left_s = at_s(span.begin_ms)
        color = colors.get(span.what, "lightgray")
        axes.barh(rows[span.machine], at_s(span.end_ms) - left_s, left=left_s, color=color)
    for change in history.changes:
        if change.acknowledged_ms is not None:
            axes.axvline(at_s(change.acknowledged_ms), color="tab:purple", linewidth=0.5)
    for each in outcome.breaks:
        axes.plot(at_s(each.at_ms), rows[each.machine], "kx")
    axes.set_yticks(list(rows.values()), [name or "all" for name in machines])
    axes.set_xlabel("seconds; green: ended in order, red: killed, blue: frozen, x: a break")
    drawn = io.StringIO()
    figure.savefig(drawn, format="svg")
    pyplot.close(figure)
    return drawn.getvalue()

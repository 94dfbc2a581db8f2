"""The command `delays`."""

import json
from typing import Any

from stagevale.commands.control_client import OK, read_status_page
from stagevale.commands.exit_codes import ExitCode, fail, misuse
from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import SettingsError


def delays(*, control: list[str], edge: str = "", region: str = "", json_: bool = False) -> int:
    """Show for each edge and region the delay it expects beside what callers got; exit 0 shown, 1
    nothing known, 2 misuse.

    Parameters ---------- control ip:port of a registry's control; give every one, since each knows
    the edges that it feeds. edge only the edge with this address or front. region only answers from
    this region. json_ print the rows as JSON.
    """
    rows: list[dict[str, Any]] = []
    faults: list[str] = []
    for address in control:
        try:
            page = read_status_page(address)
        except SettingsError as error:
            return misuse(f"delays: {error}")
        if page.status != OK or not isinstance(page.body, dict):
            faults.append(f"{address}: no stand: {page.summary}")
            continue
        for proxy in page.body["proxies"]:
            if edge in ("", proxy["address"], proxy["front"]):
                rows += _rows_of(proxy, region)
    if json_:
        print(json.dumps({"delays": rows, "faults": faults}, indent=1))
    else:
        for row in rows:
            _print_row(row)
    for fault in faults:
        fail(f"delays: {fault}")
    if not rows and not json_:
        print("no edge has told delays: is steering on, and has traffic run?")
    return ExitCode.OK if rows and not faults else ExitCode.FINDINGS


def _rows_of(proxy: dict[str, Any], region: str) -> list[dict[str, Any]]:
    """A proxy's rows, of one region or of all."""
    return [
        {"edge": proxy["address"], "zone": proxy["zone"], **row}
        for row in proxy["delays"]
        if region in ("", row["region"])
    ]


def _print_row(row: dict[str, Any]) -> None:
    print(
        f"{row['edge']} in {row['zone']}, {row['service']} at {row['region']}: "
        f"share {row['share']:.0%}, expected {row['expectedMs']:.0f} ms, got {row['gotMs']:.0f} ms "
        f"(median {row['medianMs']:.0f}, 95th {row['p95Ms']:.0f}) in {row['count']} answers, "
        f"last {row['ageMs'] / MS_PER_S:.1f} s ago"
    )

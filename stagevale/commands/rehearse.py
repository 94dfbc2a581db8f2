"""The command `rehearse`."""

import json
from typing import Any

from stagevale.commands.control_client import OK, read_status_page
from stagevale.commands.exit_codes import ExitCode, misuse
from stagevale.diagnostics import api_client
from stagevale.failover_simulation.errors import SimulationError
from stagevale.failover_simulation.plan import Plan
from stagevale.failover_simulation.report import make_report
from stagevale.settings.settings import Bounds, SettingsError

MOST_SECONDS = 600
# A route with fewer requests in time would be hurt by the loss.
LEAST_IN_TIME = 0.9


class RegistryError(Exception):
    """A registry that doesn't answer as it should; the message says why."""


def rehearse(
    region: str, *, control: list[str], seconds: int = 20, seed: int = 1, json_: bool = False
) -> int:
    """Rehearse the loss of a region beside the real traffic; exit 0 done, 1 it would hurt, 2
    misuse.

    Parameters ---------- region the region to lose. control ip:port of a registry's control; give
    it several times to hear what more proxies report. seconds how much traffic to model, 1 to 600.
    seed the model's luck; the same seed gives the same table. json_ print the table as JSON.
    """
    if not 1 <= seconds <= MOST_SECONDS:
        return misuse(f"rehearse: --seconds: want 1 to {MOST_SECONDS}, got {seconds}")
    try:
        plan = _read_plan(control)
        table = make_report(plan, region, seconds, seed)
    except (SettingsError, SimulationError, RegistryError) as error:
        return misuse(f"rehearse: {error}")
    if json_:
        print(json.dumps(table, indent=1))
    else:
        _print_table(table)
    return ExitCode.FINDINGS if any(map(_is_hurt, table["routes"])) else ExitCode.OK


def _read_plan(control: list[str]) -> Plan:
    """The running system, as the registries tell it.

    Raises:
        SettingsError: an address isn't ip:port.
        RegistryError: a registry doesn't answer.
        SimulationError: they know too little.
    """
    pages: list[dict[str, Any]] = []
    config: dict[str, Any] | None = None
    for address in control:
        page = read_status_page(address)
        if page.status != OK or not isinstance(page.body, dict):
            raise RegistryError(f"{address}: no stand: {page.summary}")
        pages.append(page.body)
        if config is None:
            answer = api_client.call_api(address, "/v1/config/read")
            if answer.status != OK or not isinstance(answer.body, dict):
                raise RegistryError(f"{address}: no configuration: {answer.status}")
            config = answer.body
    return Plan(pages, config or {}, Bounds({}))


def _is_hurt(row: dict[str, Any]) -> bool:
    return row["lost"]["inAim"] < LEAST_IN_TIME or not row["homeLeft"]


def _print_table(table: dict[str, Any]) -> None:
    print(
        f"Without {table['region']}, modelled for {table['seconds']} s beside the real traffic; "
        "no request was sent anywhere."
    )
    kind = None
    for row in table["routes"]:
        if row["kind"] != kind:
            kind = row["kind"]
            print(f"\n{kind}:")
        _print_route(row)
    fronts = "  ".join(f"{front} {per_s}" for front, per_s in table["fronts"].items())
    print(f"\nfronts, requests a second: {fronts}")


def _print_route(row: dict[str, Any]) -> None:
    calm, lost = row["calm"], row["lost"]
    print(
        f"  {row['route']}: in aim {lost['inAim']:.1%} (calm {calm['inAim']:.1%}), "
        f"refused {lost['refused']:.1%}, most runs of a request {lost['mostRunsOfAJob']}"
    )
    regions = {"seen": row["seen"], "calm": calm["regions"], "lost": lost["regions"]}
    for name, shares in regions.items():
        text = "  ".join(f"{region} {share:.0%}" for region, share in shares.items())
        print(f"    {name:5} {text}")
    if not row["homeLeft"]:
        print(f"    no home is left: its homes are {', '.join(row['homes'])}")

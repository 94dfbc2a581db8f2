"""The commands `partners …`."""

import json
from typing import Any
from urllib.parse import quote, urlencode

from cyclopts import App

from stagevale.commands.control_client import (
    BAD_REQUEST,
    OK,
    TIMEOUT_S,
    WITHDRAWAL_TIMEOUT_S,
    call_any,
    check_addresses,
    report_failure,
    send_order,
)
from stagevale.commands.exit_codes import ExitCode, fail, misuse
from stagevale.diagnostics import api_client
from stagevale.settings.settings import SettingsError

partners = App(name="partners", help="Partners' offers and the one table that is merged from them.")


@partners.command
def offer(name: str, file: str, *, control: list[str]) -> int:
    """Put a partner's offer in force; returns once no proxy may use what it narrowed; exit 0 done,
    1 refused, 2 misuse.

    Parameters ---------- name the partner. file the offer, JSON with version, parentVersion, routes
    and restrictions. control ip:port of a registry's control; more than one are tried in turn.
    """
    try:
        with open(file, "rb") as handle:
            body = handle.read()
    except OSError as error:
        return misuse(f"partners offer: {file} can't be read: {error.strerror}")
    done = f"{name}: the offer is in force"
    return send_order(
        "partners offer", control, _offer_path(name), done, "PUT", body, WITHDRAWAL_TIMEOUT_S
    )


@partners.command
def withdraw(name: str, *, control: list[str]) -> int:
    """Withdraw a partner's offer; exit 0 done, 1 refused, 2 misuse.

    Parameters
    ----------
    name
        the partner.
    control
        ip:port of a registry's control; more than one are tried in turn.
    """
    return send_order(
        "partners withdraw",
        control,
        _offer_path(name),
        f"{name}: withdrawn",
        "DELETE",
        timeout_s=WITHDRAWAL_TIMEOUT_S,
    )


def _offer_path(name: str) -> str:
    return f"/v1/partners/{quote(name, safe='')}/offer"


@partners.command
def show(*, control: list[str], json_: bool = False) -> int:
    """Show the merged table and who holds it; exit 0 all alike, 1 some differ, lag or can't say, 2
    misuse.

    Parameters ---------- control ip:port of a registry's control; each one is asked and compared,
    with the proxies that it feeds. json_ print what was heard as JSON.
    """
    tables: dict[str, dict[str, Any]] = {}
    faults: list[str] = []
    for address in control:
        try:
            check_addresses([address])
        except SettingsError as error:
            return misuse(f"partners show: {error}")
        status, body = api_client.call_api(address, "/v1/partners", TIMEOUT_S)
        if status == OK and isinstance(body, dict):
            tables[address] = body
        else:
            faults.append(f"{address}: {body.get('error') if isinstance(body, dict) else body}")
    if not tables:
        for fault in faults:
            fail(f"partners show: {fault}")
        return ExitCode.FINDINGS
    newest = max(tables.values(), key=lambda table: table["serial"])
    for address, table in tables.items():
        faults += _differences(address, table, newest)
    if json_:
        print(json.dumps({"table": newest, "faults": faults}, indent=1))
    else:
        _print_table(newest, faults)
    return ExitCode.FINDINGS if faults else ExitCode.OK


def _differences(address: str, table: dict[str, Any], newest: dict[str, Any]) -> list[str]:
    """How a registry and the proxies that it feeds differ from the newest table."""
    faults = []
    if table["mark"] != newest["mark"]:
        faults.append(f"{address}: holds {table['mark']} of version {table['serial']}")
    if not newest["rows"]:
        return faults
    for row in table["proxies"]:
        if row["mark"] == newest["mark"]:
            continue
        holds = "has not said what it holds"
        if row["mark"]:
            holds = f"holds {row['mark']} of version {row['serial']}"
        faults.append(f"proxy {row['address']}: {holds}")
    return faults


def _print_table(table: dict[str, Any], faults: list[str]) -> None:
    print(f"table {table['mark']}, version {table['serial']}, {len(table['rows'])} rows")
    for row in table["rows"]:
        print(
            f"  {'kept   ' if row['kept'] else 'dropped'} {row['host']}{row['pathPrefix']} "
            f"of {row['partner']} {row['offer']}: {row['reason']}"
        )
        for words in row["withheld"]:
            print(f"            withheld by {words}")
    for fault in faults:
        print(f"differs: {fault}")


@partners.command
def explain(
    host: str,
    path: str,
    *,
    control: list[str],
    zone: str = "",
    tenant: str = "",
    json_: bool = False,
) -> int:
    """Show which rows are weighed for a host and path, and which wins; exit 0 one wins, 1 none
    does, 2 misuse.

    Parameters ---------- host the host of the request. path the path of the request. control
    ip:port of a registry's control; more than one are tried in turn. zone where the request comes
    in. tenant whose request it is. json_ print the answer as JSON.
    """
    query = urlencode({"host": host, "path": path, "zone": zone, "tenant": tenant})
    try:
        call = call_any("partners explain", control, f"/v1/partners/explain?{query}")
    except SettingsError as error:
        return misuse(f"partners explain: {error}")
    status, body = call.answer
    if status == BAD_REQUEST and isinstance(body, dict):
        return misuse(f"partners explain: {body.get('error')}")
    if not call.is_ok:
        return report_failure(call)
    if json_:
        print(json.dumps(body, indent=1))
    else:
        _print_explanation(body)
    return ExitCode.OK if body["won"] else ExitCode.FINDINGS


def _print_explanation(body: dict[str, Any]) -> None:
    for name in body["own"]:
        print(f"  own route {name}")
    for row in body["weighed"]:
        verdict = row["against"] or "may take it"
        print(f"  {row['partner']} {row['offer']} {row['pathPrefix']}: {verdict}")
    print(f"won: {body['won']}" if body["won"] else "no route takes it")

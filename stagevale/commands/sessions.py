"""The commands `sessions …`."""

import json
from typing import Any
from urllib.parse import quote

from cyclopts import App

from stagevale.commands.control_client import call_any, report_failure
from stagevale.commands.exit_codes import ExitCode, misuse
from stagevale.settings.settings import SettingsError

MOST_NAME_BYTES = 256

sessions = App(name="sessions", help="Session records.")


@sessions.command(name="show")
def show_session(id: str, *, control: list[str], json_: bool = False) -> int:
    """Show the record of a session; exit 0 shown, 1 there is none or no majority, 2 misuse.

    Parameters
    ----------
    id
        the session's name, as its header has it.
    control
        ip:port of a registry's control; more than one are tried in turn.
    json_
        print the record as JSON.
    """
    if not id or len(id) > MOST_NAME_BYTES:
        return misuse(f"sessions show: the session's name must have 1 to {MOST_NAME_BYTES} bytes")
    try:
        call = call_any("sessions show", control, f"/v1/sessions/{quote(id, safe='')}")
    except SettingsError as error:
        return misuse(f"sessions show: {error}")
    if not call.is_ok:
        return report_failure(call)
    if json_:
        print(json.dumps(call.answer.body, indent=1))
        return ExitCode.OK
    for record in call.answer.body["records"]:
        _print_record(record)
    return ExitCode.OK


def _scope(record: dict[str, Any]) -> str:
    if not record["host"]:
        return "a record of an earlier release, which doesn't say whose it is"
    tenant = f"tenant {record['tenant']}" if record["tenant"] else "no tenant"
    return f"{tenant}, host {record['host']}"


def _print_record(record: dict[str, Any]) -> None:
    print(_scope(record))
    print(
        f"version {record['version']}, held by {record['holder'] or 'nobody'}, "
        f"kept by group {record['group']}"
    )
    for service, endpoint in sorted(record["endpoints"].items()):
        print(f"  {service} at {endpoint}")
    for request in record["requests"]:
        print(
            f"  key {request['key']}: {request['state']}, noted by {request['by']}, "
            f"kept for {request['keptForS']} s"
        )

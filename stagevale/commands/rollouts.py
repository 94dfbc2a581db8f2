"""The commands `rollouts …`."""

import json
from typing import Any
from urllib.parse import quote

from cyclopts import App

from stagevale.commands.control_client import (
    WITHDRAWAL_TIMEOUT_S,
    call_any,
    report_failure,
    send_order,
)
from stagevale.commands.exit_codes import ExitCode, misuse
from stagevale.settings.settings import SettingsError

ROLLED_BACK = "fallen"
NO_ENDPOINTS = {"endpoints": 0, "slots": 0}

rollouts = App(
    name="rollouts", help="The stepwise shift of a service to a new version of its endpoints."
)


def _path(service: str) -> str:
    return f"/v1/rollouts/{quote(service, safe='')}"


@rollouts.command(name="start")
def start_rollout(service: str, file: str, *, control: list[str]) -> int:
    """Start a rollout; exit 0 started, 1 refused, 2 misuse.

    Parameters ---------- service the service whose requests shift. file the rollout, JSON with
    version, parentVersion, from, to, steps, failureShare, leastRequests, watchS. control ip:port of
    a registry's control; more than one are tried in turn.
    """
    try:
        with open(file, "rb") as handle:
            body = handle.read()
    except OSError as error:
        return misuse(f"rollouts start: {file} can't be read: {error.strerror}")
    done = f"{service}: the rollout has started"
    return send_order("rollouts start", control, _path(service), done, "PUT", body)


@rollouts.command(name="show")
def show_rollouts(service: str = "", *, control: list[str], json_: bool = False) -> int:
    """Show the rollouts; exit 0 nothing to worry about, 1 fallen back, warned of or no answer, 2
    misuse.

    Parameters ---------- service only this service's rollout. control ip:port of a registry's
    control; more than one are tried in turn. json_ print the answer as JSON.
    """
    path = _path(service) if service else "/v1/rollouts"
    try:
        call = call_any("rollouts show", control, path)
    except SettingsError as error:
        return misuse(f"rollouts show: {error}")
    if not call.is_ok:
        return report_failure(call)
    body = call.answer.body
    rows = [body] if service else body["rollouts"]
    if json_:
        print(json.dumps(body, indent=1))
    else:
        _print_rollouts(rows)
    is_worrying = any(row["state"] == ROLLED_BACK or row["warnings"] for row in rows)
    return ExitCode.FINDINGS if is_worrying else ExitCode.OK


def _print_rollouts(rows: list[dict[str, Any]]) -> None:
    if not rows:
        print("no rollouts")
    for row in rows:
        _print_rollout(row)


def _print_rollout(row: dict[str, Any]) -> None:
    reason = f": {row['reason']}" if row["reason"] else ""
    print(
        f"{row['service']} r{row['version']}: {row['from']} to {row['to']}, {row['shown']}, "
        f"step {row['step'] + 1} of {len(row['steps'])}, share {row['share']:.0%}{reason}"
    )
    if row["leasesLeftMs"]:
        print(f"  leases on {row['to']} may stand for {row['leasesLeftMs']} ms yet")
    for side in ("from", "to"):
        outcomes = row["outcomes"][side]
        endpoints = row["endpoints"].get(row[side], NO_ENDPOINTS)
        print(
            f"  {row[side]}: {outcomes['requests']} requests, {outcomes['failed']} failed, "
            f"{outcomes['late']} late; {endpoints['endpoints']} endpoints, "
            f"{endpoints['slots']} slots"
        )
    for warning in row["warnings"]:
        print(f"  warning: {warning}")


def _move(order: str, service: str, control: list[str], done: str) -> int:
    return send_order(
        f"rollouts {order}",
        control,
        f"{_path(service)}/{order}",
        f"{service}: {done}",
        "POST",
        timeout_s=WITHDRAWAL_TIMEOUT_S,
    )


@rollouts.command
def pause(service: str, *, control: list[str]) -> int:
    """Keep a rollout at its step; exit 0 done, 1 refused, 2 misuse."""
    return _move("pause", service, control, "paused; its share stays")


@rollouts.command
def resume(service: str, *, control: list[str]) -> int:
    """Let a paused rollout go on; exit 0 done, 1 refused, 2 misuse."""
    return _move("resume", service, control, "shifting")


@rollouts.command
def promote(service: str, *, control: list[str]) -> int:
    """Give the new version everything at once; exit 0 done, 1 refused, 2 misuse."""
    return _move("promote", service, control, "everything goes to the new version")


@rollouts.command
def rollback(service: str, *, control: list[str]) -> int:
    """Fall back; returns once no proxy may use the new version; exit 0 done, 1 refused, 2
    misuse.
    """
    return _move("rollback", service, control, "fallen back on every node")


@rollouts.command(name="end")
def end_rollout(service: str, *, control: list[str]) -> int:
    """End a rollout: back to the ordinary choice among all versions; exit 0 done, 1 refused, 2
    misuse.
    """
    return send_order("rollouts end", control, _path(service), f"{service}: ended", "DELETE")

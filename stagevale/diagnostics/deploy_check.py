"""Faults of a deploy file."""

import os
import tomllib
from typing import Any

from stagevale.diagnostics.finding import Finding

REQUIRED_SERVICES = ("edge", "control", "directory")


def check_deploy(path: str) -> list[Finding]:
    """Checks a deploy file."""
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return [Finding(path, f"can't be read: {error}", "mend the file")]
    roles = table.get("roles", {})
    if not isinstance(roles, dict):
        return [Finding(path, "roles is no table", "write [roles.NAME] tables")]
    findings = []
    served: dict[tuple[str, Any], str] = {}
    for name, role in roles.items():
        findings += _check_role(path, name, role)
        findings += _check_served(path, name, role, served)
    for service in REQUIRED_SERVICES:
        if service not in {name for name, _ in served}:
            findings.append(Finding(path, f"no role serves {service}", "give it to a role"))
    return findings


def _check_role(path: str, name: str, role: dict[str, Any]) -> list[Finding]:
    where = f"{path}: roles.{name}"
    findings = []
    if not str(role.get("run", "")).split():
        findings.append(Finding(where, "no run", "name the program"))
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or not 0 < share <= 1:
        remedy = "want a number over 0, up to 1"
        findings.append(Finding(where, f"share is {share!r}", remedy))
    template = role.get("template")
    folder = os.path.dirname(os.path.dirname(os.path.abspath(path)))
    if template and not os.path.exists(os.path.join(folder, template)):
        findings.append(
            Finding(where, f"template {template} is missing", "add it, or drop the line")
        )
    return findings


def _check_served(
    path: str, name: str, role: dict[str, Any], served: dict[tuple[str, Any], str]
) -> list[Finding]:
    """Finds what another role on the same class of machines serves too; adds to `served`."""
    findings = []
    for service in role.get("serves", ()):
        key = (service, role.get("on"))
        if key in served:
            fault = f"serves {service} as {served[key]} does"
            remedy = "no two roles on one class may serve the same"
            findings.append(Finding(f"{path}: roles.{name}", fault, remedy))
        served[key] = name
    return findings

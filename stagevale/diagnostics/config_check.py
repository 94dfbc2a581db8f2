"""Faults of a configuration file, by the store's own check."""

from typing import Any

from stagevale.configuration.validation import check_configuration
from stagevale.diagnostics.finding import Finding


def check_config(path: str) -> list[Finding]:
    """Checks an operator's configuration file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return [Finding(path, f"can't be read: {error}", "name a readable file")]
    checked = check_configuration(text)
    if checked.is_error():
        remedy = "the store would answer 400; mend the place that is named"
        return [Finding(path, checked.error.reason, remedy)]
    return [finding for route in checked.ok["routes"] for finding in _check_route(path, route)]


def _check_route(path: str, route: dict[str, Any]) -> list[Finding]:
    where = f"{path}: {route.get('name') or route['pathPrefix']}"
    findings = []
    if not route["pathPrefix"].endswith("/"):
        fault = "pathPrefix does not end with a slash"
        findings.append(Finding(where, fault, "paths that only begin alike would match too"))
    if route.get("targetMs", 0) > route["timeoutMs"]:
        fault = "targetMs is above timeoutMs"
        findings.append(Finding(where, fault, "no answer could earn its worth"))
    return findings

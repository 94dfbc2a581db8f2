"""Faults of a running system, seen through its outside interfaces."""

from collections.abc import Mapping
from typing import Any

from stagevale.diagnostics.api_client import call_api
from stagevale.diagnostics.finding import Finding

OK = 200
NOT_FOUND = 404
# A proxy's expectation and what callers got may differ by this factor, after so many answers.
MOST_LATENCY_FACTOR = 3.0
ENOUGH_ANSWERS = 50
LEAST_LATENCY_MS = 1.0
# Fewer healthy endpoints of a service than this share are a finding.
LEAST_HEALTHY_SHARE = 0.5
VOTING_STATES = ("joining", "up")

Row = Mapping[str, Any]


def check_system(control: str, directory: str = "", ready: str = "") -> list[Finding]:
    """Checks a running system.

    Args:
        control: ip:port of a registry's control.
        directory: ip:port of a directory; empty for none.
        ready: ip:port of a proxy's readiness; empty for none.
    """
    findings = _check_status_page(control) + _check_configuration(control)
    if directory:
        findings += _check_directory(directory)
    if ready:
        findings += _check_readiness(ready)
    return findings


def _check_status_page(control: str) -> list[Finding]:
    answer = call_api(control, "/v1/stand")
    if answer.status == OK and isinstance(answer.body, dict):
        return status_findings(control, answer.body)
    fault = f"no stand from the registry: {answer.summary}"
    return [Finding(control, fault, "is the registry running, and is this its control address?")]


def _check_configuration(control: str) -> list[Finding]:
    answer = call_api(control, "/v1/config/read")
    if answer.status == OK:
        return []
    if answer.status == NOT_FOUND:
        fault = "no configuration has been taken"
        return [Finding(control, fault, "send one to /v1/config/replace")]
    fault = f"the configuration can't be read: {answer.summary}"
    return [Finding(control, fault, "a majority of the stores must run; see their logs")]


def _check_directory(directory: str) -> list[Finding]:
    answer = call_api(directory, "/v1/resolve?name=doctor")
    names_fronts = isinstance(answer.body, dict) and bool(answer.body.get("addresses"))
    if answer.status == OK and names_fronts:
        return []
    fault = "the directory names no front"
    return [Finding(directory, fault, "is any proxy ready? see readiness")]


def _check_readiness(ready: str) -> list[Finding]:
    answer = call_api(ready, "/v1/readiness")
    if answer.status == OK:
        return []
    remedy = "it waits for a configuration and endpoints; see the proxy's feeder in its log"
    return [Finding(ready, f"not ready: {answer.summary}", remedy)]


def status_findings(control: str, status: Row) -> list[Finding]:
    """Faults that one registry's status page shows.

    Args:
        control: the registry's address.
        status: the page, parsed.
    """
    return [
        *_check_contact(control, status),
        *_check_members(status),
        *_check_voters(control, status),
        *_check_roles(status),
        *_check_latencies(status),
        *_check_evacuations(control, status),
        *_check_endpoints(status),
    ]


def _check_contact(control: str, status: Row) -> list[Finding]:
    if status.get("inContact"):
        return []
    fault = "this registry does not hear a majority of the core"
    return [Finding(control, fault, "look at the links between core machines")]


def _check_members(status: Row) -> list[Finding]:
    findings = []
    for member in status.get("members", ()):
        if member["reachable"] and member["state"] != "down":
            continue
        suffix = "" if member["reachable"] else " and unreachable"
        fault = f"{member['program']} is {member['state']}{suffix}"
        findings.append(Finding(member["address"], fault, "start it, or mend its links"))
    return findings


def _check_voters(control: str, status: Row) -> list[Finding]:
    voters = status.get("votes", [])
    running = {
        member["address"]
        for member in status.get("members", ())
        if member["program"] == "store" and member["state"] in VOTING_STATES and member["reachable"]
    }
    if not voters or len(set(voters) & running) > len(voters) // 2:
        return []
    fault = "no majority of the configuration's voters is up"
    return [Finding(control, fault, "start their stores")]


def _check_roles(status: Row) -> list[Finding]:
    findings = []
    for role, row in sorted((status.get("duties") or {}).items()):
        where = f"duty {role}"
        if row["overdue"]:
            windows = ", ".join(str(window) for window in row["overdue"])
            fault = f"windows overdue at the platform: {windows}"
            remedy = (
                "is the platform reachable from the core? see the log lines that begin with duties:"
            )
            findings.append(Finding(where, fault, remedy))
        if not row["holder"] or row["heardMs"] > row["borneMs"]:
            remedy = "a majority of its voters must run: " + ", ".join(row["votes"])
            findings.append(Finding(where, "it has no holder", remedy))
    return findings


def _check_latencies(status: Row) -> list[Finding]:
    return [
        _latency_finding(proxy["address"], row)
        for proxy in status.get("proxies", ())
        for row in proxy.get("delays", ())
        if _is_latency_off(row)
    ]


def _is_latency_off(row: Row) -> bool:
    expected_ms = max(LEAST_LATENCY_MS, row["expectedMs"])
    got_ms = max(LEAST_LATENCY_MS, row["gotMs"])
    factor = max(expected_ms, got_ms) / min(expected_ms, got_ms)
    return bool(row["count"] >= ENOUGH_ANSWERS and factor > MOST_LATENCY_FACTOR)


def _latency_finding(address: str, row: Row) -> Finding:
    expected_ms = max(LEAST_LATENCY_MS, row["expectedMs"])
    got_ms = max(LEAST_LATENCY_MS, row["gotMs"])
    fault = (
        f"expects {row['service']} from {row['region']} in {expected_ms:.0f} ms, "
        f"callers got {got_ms:.0f} ms"
    )
    remedy = (
        "see `delays`: has the region changed much, or its way? without a change, restart this edge"
    )
    return Finding(address, fault, remedy)


def _check_evacuations(control: str, status: Row) -> list[Finding]:
    zones = status.get("evacuated")
    if not zones:
        return []
    return [Finding(control, f"evacuated: {', '.join(zones)}", "take back what is meant to serve")]


def _check_endpoints(status: Row) -> list[Finding]:
    healthy: dict[str, list[bool]] = {}
    for endpoint in status.get("endpoints", ()):
        if endpoint["state"] == "ready":
            healthy.setdefault(endpoint["service"], []).append(endpoint["healthy"])
    findings = []
    for service, flags in sorted(healthy.items()):
        if not any(flags):
            remedy = "their beats don't arrive; are they running?"
            findings.append(Finding(service, "no endpoint is healthy", remedy))
        elif sum(flags) < len(flags) * LEAST_HEALTHY_SHARE:
            fault = f"only {sum(flags)} of {len(flags)} endpoints are healthy"
            findings.append(Finding(service, fault, "look at those that are not"))
    return findings

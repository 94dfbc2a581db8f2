"""The doctor: looks for common faults in settings, deploy file, configurations and a running
system.
"""

import http.client
import json
import os
import tomllib

from stagevale.configuration.validation import check_configuration
from stagevale.settings.settings import SettingsError, load_settings, split_address

DELAYS_APART = 3.0


class Finding:
    """A fault, where it is, and what to do about it."""

    __slots__ = ("where", "fault", "remedy")

    def __init__(self, where, fault, remedy):
        self.where = where
        self.fault = fault
        self.remedy = remedy

    def row(self):
        return {"where": self.where, "fault": self.fault, "remedy": self.remedy}


def ask(address, path, timeout_s=3.0, method="GET", body=None):
    """One call at ip:port, a GET unless said otherwise; returns (status, parsed JSON or None), or
    (None, reason) where no answer comes.
    """
    ip, port = split_address(address, "address")
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        data = answer.read(64 * 1024 * 1024)
    except (OSError, http.client.HTTPException) as failure:
        return None, str(failure) or type(failure).__name__
    finally:
        connection.close()
    try:
        return answer.status, json.loads(data)
    except ValueError:
        return answer.status, None


def check_settings(path):
    """Faults of a settings file."""
    try:
        settings = load_settings(path)
    except SettingsError as failure:
        return [
            Finding(
                path,
                str(failure),
                "mend the field that is named; the daemons refuse to start on it",
            )
        ]
    found = []
    if not settings.seeds:
        found.append(
            Finding(
                path,
                "connections.seeds is empty",
                "name up to three core machines' control addresses",
            )
        )
    if settings.bounds.drain_cutoff_ms < settings.bounds.contact_ms / 4:
        found.append(
            Finding(
                path,
                "bounds.drainCutoffMs is below a round of the registries (contactMs / 4)",
                "raise drainCutoffMs or lower contactMs",
            )
        )
    if settings.bounds.grace_period_s * 1000 < settings.bounds.contact_ms / 2:
        found.append(
            Finding(
                path,
                "bounds.gracePeriodS leaves a proxy no time to answer what it has",
                "give at least half of contactMs",
            )
        )
    if (
        settings.listen.get("control")
        and not settings.data_path
        and settings.machine_class == "core"
    ):
        found.append(
            Finding(path, "a core machine without daemon.dataPath", "give it a folder on its disk")
        )
    if settings.policy_path:
        from stagevale.balancing.policies import PolicyError, load_policy

        try:
            load_policy(settings.policy_path, None)
        except PolicyError as failure:
            found.append(
                Finding(path, f"policy.path: {failure}", "mend the policy, or drop the line")
            )
    if settings.data_path and not os.access(settings.data_path, os.W_OK):
        found.append(
            Finding(
                path,
                f"daemon.dataPath {settings.data_path} can't be written",
                "create it, or its rights",
            )
        )
    return found


def check_deploy(path):
    """Faults of a deploy file."""
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as failure:
        return [Finding(path, f"can't be read: {failure}", "mend the file")]
    found = []
    roles = table.get("roles", {})
    if not isinstance(roles, dict):
        return [Finding(path, "roles is no table", "write [roles.NAME] tables")]
    served = {}
    for name, role in roles.items():
        words = str(role.get("run", "")).split()
        if not words:
            found.append(Finding(f"{path}: roles.{name}", "no run", "name the program"))
        share = role.get("share", 1.0)
        if not isinstance(share, (int, float)) or not 0 < share <= 1:
            found.append(
                Finding(
                    f"{path}: roles.{name}", f"share is {share!r}", "want a number over 0, up to 1"
                )
            )
        template = role.get("template")
        folder = os.path.dirname(os.path.dirname(os.path.abspath(path)))
        if template and not os.path.exists(os.path.join(folder, template)):
            found.append(
                Finding(
                    f"{path}: roles.{name}",
                    f"template {template} is missing",
                    "add it, or drop the line",
                )
            )
        for what in role.get("serves", ()):
            if (what, role.get("on")) in served:
                found.append(
                    Finding(
                        f"{path}: roles.{name}",
                        f"serves {what} as {served[what, role.get('on')]} does",
                        "no two roles on one class may serve the same",
                    )
                )
            served[what, role.get("on")] = name
    for what in ("edge", "control", "directory"):
        if what not in {served for served, _ in served}:
            found.append(Finding(path, f"no role serves {what}", "give it to a role"))
    return found


def check_config(path):
    """Faults of a configuration file, by the store's own check."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as failure:
        return [Finding(path, f"can't be read: {failure}", "name a readable file")]
    checked = check_configuration(text)
    if checked.is_error():
        return [
            Finding(
                path,
                checked.error.reason,
                "the store would answer 400; mend the place that is named",
            )
        ]
    found = []
    for route in checked.ok["routes"]:
        name = route.get("name") or route["pathPrefix"]
        if not route["pathPrefix"].endswith("/"):
            found.append(
                Finding(
                    f"{path}: {name}",
                    "pathPrefix does not end with a slash",
                    "paths that only begin alike would match too",
                )
            )
        if route.get("targetMs", 0) > route["timeoutMs"]:
            found.append(
                Finding(
                    f"{path}: {name}",
                    "targetMs is above timeoutMs",
                    "no answer could earn its worth",
                )
            )
    return found


def check_system(control, directory="", ready=""):
    """Faults of a running system, seen through its outside interfaces."""
    found = []
    status, stand = ask(control, "/v1/stand")
    if status != 200 or not isinstance(stand, dict):
        found.append(
            Finding(
                control,
                f"no stand from the registry: {stand if status is None else status}",
                "is the registry running, and is this its control address?",
            )
        )
    else:
        found += stand_faults(control, stand)
    status, config = ask(control, "/v1/config/read")
    if status == 404:
        found.append(
            Finding(control, "no configuration has been taken", "send one to /v1/config/replace")
        )
    elif status != 200:
        found.append(
            Finding(
                control,
                f"the configuration can't be read: {config if status is None else status}",
                "a majority of the stores must run; see their logs",
            )
        )
    if directory:
        status, answer = ask(directory, "/v1/resolve?name=doctor")
        if status != 200 or not isinstance(answer, dict) or not answer.get("addresses"):
            found.append(
                Finding(
                    directory, "the directory names no front", "is any proxy ready? see readiness"
                )
            )
    if ready:
        status, answer = ask(ready, "/v1/readiness")
        if status != 200:
            found.append(
                Finding(
                    ready,
                    f"not ready: {answer if status is None else status}",
                    "it waits for a configuration and endpoints; see the proxy's feeder in its log",
                )
            )
    return found


def stand_faults(control, stand):
    """Faults that one registry's stand shows."""
    found = []
    if not stand.get("inContact"):
        found.append(
            Finding(
                control,
                "this registry does not hear a majority of the core",
                "look at the links between core machines",
            )
        )
    for member in stand.get("members", ()):
        if not member["reachable"] or member["state"] == "down":
            found.append(
                Finding(
                    member["address"],
                    f"{member['program']} is {member['state']}"
                    + ("" if member["reachable"] else " and unreachable"),
                    "start it, or mend its links",
                )
            )
    votes = stand.get("votes", [])
    stores = {
        member["address"]
        for member in stand.get("members", ())
        if member["program"] == "store"
        and member["state"] in ("joining", "up")
        and member["reachable"]
    }
    if votes and len(set(votes) & stores) <= len(votes) // 2:
        found.append(
            Finding(
                control, "no majority of the configuration's voters is up", "start their stores"
            )
        )
    for duty, row in sorted((stand.get("duties") or {}).items()):
        if row["overdue"]:
            found.append(
                Finding(
                    f"duty {duty}",
                    f"windows overdue at the platform: "
                    f"{', '.join(str(window) for window in row['overdue'])}",
                    "is the platform reachable from the core? see the log lines that begin with duties:",
                )
            )
        if not row["holder"] or row["heardMs"] > row["borneMs"]:
            found.append(
                Finding(
                    f"duty {duty}",
                    "it has no holder",
                    "a majority of its voters must run: " + ", ".join(row["votes"]),
                )
            )
    for proxy in stand.get("proxies", ()):
        for row in proxy.get("delays", ()):
            expected_ms, got_ms = max(1.0, row["expectedMs"]), max(1.0, row["gotMs"])
            if row["count"] >= 50 and max(expected_ms, got_ms) > DELAYS_APART * min(
                expected_ms, got_ms
            ):
                found.append(
                    Finding(
                        proxy["address"],
                        f"expects {row['service']} from {row['region']} in {expected_ms:.0f} ms, "
                        f"callers got {got_ms:.0f} ms",
                        "see `delays`: has the region changed much, or its "
                        "way? without a change, restart this edge",
                    )
                )
    if stand.get("evacuated"):
        found.append(
            Finding(
                control,
                f"evacuated: {', '.join(stand['evacuated'])}",
                "take back what is meant to serve",
            )
        )
    healthy = {}
    for endpoint in stand.get("endpoints", ()):
        if endpoint["state"] == "ready":
            healthy.setdefault(endpoint["service"], []).append(endpoint["healthy"])
    for service, marks in sorted(healthy.items()):
        if not any(marks):
            found.append(
                Finding(
                    service, "no endpoint is healthy", "their beats don't arrive; are they running?"
                )
            )
        elif sum(marks) * 2 < len(marks):
            found.append(
                Finding(
                    service,
                    f"only {sum(marks)} of {len(marks)} endpoints are healthy",
                    "look at those that are not",
                )
            )
    return found

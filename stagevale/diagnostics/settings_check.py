"""Faults of a settings file."""

import os

from stagevale.diagnostics.finding import Finding
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Log
from stagevale.settings.settings import Settings, SettingsError, load_settings

# A drain must be known within a round of the registries, and a proxy must be able to end in order.
LEAST_DRAIN_PER_CONTACT = 1 / 4
LEAST_GRACE_PER_CONTACT = 1 / 2


def check_settings(path: str, log: Log) -> list[Finding]:
    """Checks a settings file, and what it names on this machine.

    Args:
        path: of the file.
        log: for a policy that is tried.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        remedy = "mend the field that is named; the daemons refuse to start on it"
        return [Finding(path, str(error), remedy)]
    return [
        *_check_bounds(path, settings),
        *_check_machine(path, settings),
        *_check_policy(path, settings, log),
        *_check_data_path(path, settings),
    ]


def _check_bounds(path: str, settings: Settings) -> list[Finding]:
    bounds = settings.bounds
    findings = []
    if not settings.seeds:
        remedy = "name up to three core machines' control addresses"
        findings.append(Finding(path, "connections.seeds is empty", remedy))
    if bounds.drain_cutoff_ms < bounds.contact_ms * LEAST_DRAIN_PER_CONTACT:
        fault = "bounds.drainCutoffMs is below a round of the registries (contactMs / 4)"
        findings.append(Finding(path, fault, "raise drainCutoffMs or lower contactMs"))
    if bounds.grace_period_s * MS_PER_S < bounds.contact_ms * LEAST_GRACE_PER_CONTACT:
        fault = "bounds.gracePeriodS leaves a proxy no time to answer what it has"
        findings.append(Finding(path, fault, "give at least half of contactMs"))
    return findings


def _check_machine(path: str, settings: Settings) -> list[Finding]:
    serves_control = bool(settings.listen.get("control"))
    if serves_control and not settings.data_path and settings.machine_class == "core":
        fault = "a core machine without daemon.dataPath"
        return [Finding(path, fault, "give it a folder on its disk")]
    return []


def _check_policy(path: str, settings: Settings, log: Log) -> list[Finding]:
    if not settings.policy_path:
        return []
    # Lua is loaded only where a policy is named.
    from stagevale.balancing.policies import PolicyError, load_policy

    try:
        load_policy(settings.policy_path, log)
    except PolicyError as error:
        return [Finding(path, f"policy.path: {error}", "mend the policy, or drop the line")]
    return []


def _check_data_path(path: str, settings: Settings) -> list[Finding]:
    if not settings.data_path or os.access(settings.data_path, os.W_OK):
        return []
    fault = f"daemon.dataPath {settings.data_path} can't be written"
    return [Finding(path, fault, "create it, or its rights")]

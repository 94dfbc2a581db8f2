"""The command `doctor`."""

import json

from absl import logging

from stagevale.commands.exit_codes import ExitCode, misuse
from stagevale.diagnostics.config_check import check_config
from stagevale.diagnostics.deploy_check import check_deploy
from stagevale.diagnostics.finding import Finding
from stagevale.diagnostics.settings_check import check_settings
from stagevale.diagnostics.system_check import check_system
from stagevale.settings.settings import SettingsError, split_address


def doctor(
    *,
    settings: str = "",
    deploy: str = "",
    config: str = "",
    control: str = "",
    directory: str = "",
    ready: str = "",
    json_: bool = False,
) -> int:
    """Look for common faults; exit 0 clean, 1 findings, 2 misuse.

    Parameters
    ----------
    settings
        a settings file to check.
    deploy
        a deploy file to check.
    config
        an operator's configuration file to check.
    control
        ip:port of a registry's control, to look at the running system.
    directory
        ip:port of a directory, looked at beside control.
    ready
        ip:port of a proxy's readiness, looked at beside control.
    json_
        print findings as JSON.
    """
    if not (settings or deploy or config or control):
        return misuse("doctor: name at least one of --settings, --deploy, --config, --control")
    if (directory or ready) and not control:
        return misuse("doctor: --directory and --ready go with --control")
    addresses = {"--control": control, "--directory": directory, "--ready": ready}
    files = {"--settings": settings, "--deploy": deploy, "--config": config}
    mistake = _address_mistake(addresses) or _file_mistake(files)
    if mistake:
        return misuse(f"doctor: {mistake}")
    findings: list[Finding] = []
    if settings:
        findings += check_settings(settings, logging)
    if deploy:
        findings += check_deploy(deploy)
    if config:
        findings += check_config(config)
    if control:
        findings += check_system(control, directory, ready)
    _print_findings(findings, json_)
    return ExitCode.FINDINGS if findings else ExitCode.OK


def _address_mistake(addresses: dict[str, str]) -> str:
    """What is wrong with the addresses, by option; empty for nothing."""
    try:
        for option, address in addresses.items():
            if address:
                split_address(address, option)
    except SettingsError as error:
        return str(error)
    return ""


def _file_mistake(files: dict[str, str]) -> str:
    """Which file can't be read, by option; empty for none."""
    for option, path in files.items():
        if not path:
            continue
        try:
            with open(path, encoding="utf-8") as file:
                file.read(1)
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or error
            return f"{option}: {path} can't be read: {reason}"
    return ""


def _print_findings(findings: list[Finding], as_json: bool) -> None:
    if as_json:
        print(json.dumps({"findings": [finding.to_row() for finding in findings]}, indent=1))
        return
    for finding in findings:
        print(f"{finding.where}: {finding.fault}\n    {finding.remedy}")
    print(f"{len(findings)} findings" if findings else "clean")

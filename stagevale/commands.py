"""The commands of `python3 -m stagevale`, for people."""
import json
import sys

from cyclopts import App, CycloptsError

from stagevale import __version__

cli = App(name="stagevale", version=__version__, help="A global load balancer: three daemons and their tools.")
FINDINGS, MISUSE = 1, 2


def misuse(text):
    sys.stderr.write(f"stagevale: {text}\n")
    return MISUSE


@cli.command
def proxy():
    """Run the proxy: serves front and readiness on an edge machine."""
    from stagevale.__main__ import daemon
    return daemon("proxy")


@cli.command
def registry():
    """Run the registry: serves control and directory on a core machine."""
    from stagevale.__main__ import daemon
    return daemon("registry")


@cli.command
def store():
    """Run the store: keeps the configuration on a core machine's disk."""
    from stagevale.__main__ import daemon
    return daemon("store")


@cli.command
def doctor(*, settings: str = "", deploy: str = "", config: str = "", control: str = "", directory: str = "",
           ready: str = "", json_: bool = False):
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
    from stagevale import doctoring
    from stagevale.settings import SettingsProblem, splitAddress
    if not (settings or deploy or config or control):
        return misuse("doctor: name at least one of --settings, --deploy, --config, --control")
    if (directory or ready) and not control:
        return misuse("doctor: --directory and --ready go with --control")
    try:
        for name, address in (("--control", control), ("--directory", directory), ("--ready", ready)):
            if address:
                splitAddress(address, name)
    except SettingsProblem as problem:
        return misuse(f"doctor: {problem}")
    for name, path in (("--settings", settings), ("--deploy", deploy), ("--config", config)):
        if path:
            try:
                with open(path, encoding="utf-8") as file:
                    file.read(1)
            except (OSError, UnicodeDecodeError) as problem:
                return misuse(f"doctor: {name}: {path} can't be read: {getattr(problem, 'strerror', None) or problem}")
    found = []
    if settings:
        found += doctoring.checkSettings(settings)
    if deploy:
        found += doctoring.checkDeploy(deploy)
    if config:
        found += doctoring.checkConfig(config)
    if control:
        found += doctoring.checkSystem(control, directory, ready=ready)
    if json_:
        print(json.dumps({"findings": [finding.row() for finding in found]}, indent=1))
    else:
        for finding in found:
            print(f"{finding.where}: {finding.fault}\n    {finding.remedy}")
        print(f"{len(found)} findings" if found else "clean")
    return FINDINGS if found else 0


@cli.command
def rehearse(region: str, *, control: list[str], seconds: int = 20, seed: int = 1, json_: bool = False):
    """Rehearse the loss of a region beside the real traffic; exit 0 done, 1 it would hurt, 2 misuse.

    Parameters
    ----------
    region
        the region to lose.
    control
        ip:port of a registry's control; give it several times to hear what more proxies report.
    seconds
        how much traffic to model, 1 to 600.
    seed
        the model's luck; the same seed gives the same table.
    json_
        print the table as JSON.
    """
    from stagevale import rehearsing
    from stagevale.doctoring import ask
    from stagevale.settings import Bounds, SettingsProblem, splitAddress
    if not 1 <= seconds <= 600:
        return misuse(f"rehearse: --seconds: want 1 to 600, got {seconds}")
    stands, config = [], None
    for address in control:
        try:
            splitAddress(address, "--control")
        except SettingsProblem as problem:
            return misuse(f"rehearse: {problem}")
        status, stand = ask(address, "/v1/stand")
        if status != 200 or not isinstance(stand, dict):
            return misuse(f"rehearse: {address}: no stand: {stand if status is None else status}")
        stands.append(stand)
        if config is None:
            status, config = ask(address, "/v1/config/read")
            if status != 200 or not isinstance(config, dict):
                return misuse(f"rehearse: {address}: no configuration: {status}")
    try:
        plan = rehearsing.Plan(stands, config, Bounds({}))
        table = rehearsing.report(plan, region, seconds, seed)
    except rehearsing.RehearsalProblem as problem:
        return misuse(f"rehearse: {problem}")
    hurt = [row for row in table["routes"] if row["lost"]["inAim"] < 0.9 or not row["homeLeft"]]
    if json_:
        print(json.dumps(table, indent=1))
        return FINDINGS if hurt else 0
    print(f"Without {region}, modelled for {seconds} s beside the real traffic; no job was sent anywhere.")
    kind = None
    for row in table["routes"]:
        if row["kind"] != kind:
            kind = row["kind"]
            print(f"\n{kind}:")
        calm, lost = row["calm"], row["lost"]
        print(f"  {row['route']}: in aim {lost['inAim']:.1%} (calm {calm['inAim']:.1%}), shed {lost['shed']:.1%}, "
              f"most runs of a job {lost['mostRunsOfAJob']}")
        for name, shares in (("seen", row["seen"]), ("calm", calm["regions"]), ("lost", lost["regions"])):
            print(f"    {name:5} " + "  ".join(f"{place} {share:.0%}" for place, share in shares.items()))
        if not row["homeLeft"]:
            print(f"    no home is left: its homes are {', '.join(row['homes'])}")
    print("\nfronts, jobs a second: " + "  ".join(f"{front} {perS}" for front, perS in table["fronts"].items()))
    return FINDINGS if hurt else 0


def app(words):
    """Runs one command; 2 for misuse."""
    try:
        code = cli(words, exit_on_error=False, print_error=False, result_action="return_value")
    except CycloptsError as problem:
        return misuse(str(problem))
    return code if isinstance(code, int) else 0

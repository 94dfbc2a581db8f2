"""The commands of `python3 -m stagevale`, for people."""

import json
import sys

from cyclopts import App, CycloptsError

from stagevale import __version__

cli = App(
    name="stagevale",
    version=__version__,
    help="A global load balancer: three daemons and their tools.",
)
FINDINGS, MISUSE = 1, 2


def misuse(text):
    sys.stderr.write(f"stagevale: {text}\n")
    return MISUSE


@cli.command
def proxy():
    """Run the proxy: serves front and readiness on an edge machine."""
    from stagevale.daemons.launch import launch

    return launch("proxy")


@cli.command
def registry():
    """Run the registry: serves control and directory on a core machine."""
    from stagevale.daemons.launch import launch

    return launch("registry")


@cli.command
def store():
    """Run the store: keeps the configuration on a core machine's disk."""
    from stagevale.daemons.launch import launch

    return launch("store")


@cli.command
def doctor(
    *,
    settings: str = "",
    deploy: str = "",
    config: str = "",
    control: str = "",
    directory: str = "",
    ready: str = "",
    json_: bool = False,
):
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
    from stagevale.settings.settings import SettingsError, split_address

    if not (settings or deploy or config or control):
        return misuse("doctor: name at least one of --settings, --deploy, --config, --control")
    if (directory or ready) and not control:
        return misuse("doctor: --directory and --ready go with --control")
    try:
        for name, address in (
            ("--control", control),
            ("--directory", directory),
            ("--ready", ready),
        ):
            if address:
                split_address(address, name)
    except SettingsError as failure:
        return misuse(f"doctor: {failure}")
    for name, path in (("--settings", settings), ("--deploy", deploy), ("--config", config)):
        if path:
            try:
                with open(path, encoding="utf-8") as file:
                    file.read(1)
            except (OSError, UnicodeDecodeError) as failure:
                return misuse(
                    f"doctor: {name}: {path} can't be read: {getattr(failure, 'strerror', None) or failure}"
                )
    found = []
    if settings:
        found += doctoring.check_settings(settings)
    if deploy:
        found += doctoring.check_deploy(deploy)
    if config:
        found += doctoring.check_config(config)
    if control:
        found += doctoring.check_system(control, directory, ready=ready)
    if json_:
        print(json.dumps({"findings": [finding.row() for finding in found]}, indent=1))
    else:
        for finding in found:
            print(f"{finding.where}: {finding.fault}\n    {finding.remedy}")
        print(f"{len(found)} findings" if found else "clean")
    return FINDINGS if found else 0


@cli.command
def rehearse(
    region: str, *, control: list[str], seconds: int = 20, seed: int = 1, json_: bool = False
):
    """Rehearse the loss of a region beside the real traffic; exit 0 done, 1 it would hurt, 2
    misuse.

    Parameters ---------- region the region to lose. control ip:port of a registry's control; give
    it several times to hear what more proxies report. seconds how much traffic to model, 1 to 600.
    seed the model's luck; the same seed gives the same table. json_ print the table as JSON.
    """
    from stagevale import rehearsing
    from stagevale.doctoring import ask
    from stagevale.settings.settings import Bounds, SettingsError, split_address

    if not 1 <= seconds <= 600:
        return misuse(f"rehearse: --seconds: want 1 to 600, got {seconds}")
    stands, config = [], None
    for address in control:
        try:
            split_address(address, "--control")
        except SettingsError as failure:
            return misuse(f"rehearse: {failure}")
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
    except rehearsing.RehearsalFailure as failure:
        return misuse(f"rehearse: {failure}")
    hurt = [row for row in table["routes"] if row["lost"]["inAim"] < 0.9 or not row["homeLeft"]]
    if json_:
        print(json.dumps(table, indent=1))
        return FINDINGS if hurt else 0
    print(
        f"Without {region}, modelled for {seconds} s beside the real traffic; no request was sent anywhere."
    )
    kind = None
    for row in table["routes"]:
        if row["kind"] != kind:
            kind = row["kind"]
            print(f"\n{kind}:")
        calm, lost = row["calm"], row["lost"]
        print(
            f"  {row['route']}: in aim {lost['inAim']:.1%} (calm {calm['inAim']:.1%}), refused {lost['refused']:.1%}, "
            f"most runs of a request {lost['mostRunsOfAJob']}"
        )
        for name, shares in (
            ("seen", row["seen"]),
            ("calm", calm["regions"]),
            ("lost", lost["regions"]),
        ):
            print(
                f"    {name:5} "
                + "  ".join(f"{place} {share:.0%}" for place, share in shares.items())
            )
        if not row["homeLeft"]:
            print(f"    no home is left: its homes are {', '.join(row['homes'])}")
    print(
        "\nfronts, requests a second: "
        + "  ".join(f"{front} {per_s}" for front, per_s in table["fronts"].items())
    )
    return FINDINGS if hurt else 0


partners = App(name="partners", help="Partners' offers and the one table that is merged from them.")
cli.command(partners)


def ask_controls(step, control, path, method="GET", body=None, timeout_s=10.0):
    """Asks one control address after the other until one gives a clear answer: (address, status,
    answer).
    """
    from stagevale.doctoring import ask
    from stagevale.settings.settings import SettingsError, split_address

    for address in control:
        try:
            split_address(address, "--control")
        except SettingsError as failure:
            return address, None, f"{step}: {failure}"
    for address in control:
        status, answer = ask(address, path, timeout_s, method, body)
        if status is not None and status not in (408, 429) and status < 500:
            break
    return address, status, answer


def order_outcome(step, outcome, done):
    """What to print and the exit code for an order: 0 done, 1 the system said no or can't be
    reached.
    """
    address, status, answer = outcome
    if status == 200:
        print(done)
        return 0
    if status is None and isinstance(answer, str) and answer.startswith(step):
        return misuse(answer)
    reason = answer.get("error", answer) if isinstance(answer, dict) else answer
    sys.stderr.write(f"stagevale: {step}: {address}: {status or 'no answer'}: {reason}\n")
    return FINDINGS


@partners.command
def offer(name: str, file: str, *, control: list[str]):
    """Put a partner's offer in force; returns once no proxy may use what it narrowed; exit 0 done,
    1 refused, 2 misuse.

    Parameters ---------- name the partner. file the offer, JSON with version, parentVersion, routes
    and restrictions. control ip:port of a registry's control; more than one are tried in turn.
    """
    from urllib.parse import quote

    try:
        with open(file, "rb") as handle:
            body = handle.read()
    except OSError as failure:
        return misuse(f"partners offer: {file} can't be read: {failure.strerror}")
    outcome = ask_controls(
        "partners offer", control, f"/v1/partners/{quote(name, safe='')}/offer", "PUT", body, 15.0
    )
    return order_outcome("partners offer", outcome, f"{name}: the offer is in force")


@partners.command
def withdraw(name: str, *, control: list[str]):
    """Withdraw a partner's offer; exit 0 done, 1 refused, 2 misuse.

    Parameters
    ----------
    name
        the partner.
    control
        ip:port of a registry's control; more than one are tried in turn.
    """
    from urllib.parse import quote

    outcome = ask_controls(
        "partners withdraw",
        control,
        f"/v1/partners/{quote(name, safe='')}/offer",
        "DELETE",
        None,
        15.0,
    )
    return order_outcome("partners withdraw", outcome, f"{name}: withdrawn")


@partners.command
def show(*, control: list[str], json_: bool = False):
    """Show the merged table and who holds it; exit 0 all alike, 1 some differ, lag or can't say, 2
    misuse.

    Parameters ---------- control ip:port of a registry's control; each one is asked and compared,
    with the proxies that it feeds. json_ print what was heard as JSON.
    """
    from stagevale.doctoring import ask
    from stagevale.settings.settings import SettingsError, split_address

    heard, faults = {}, []
    for address in control:
        try:
            split_address(address, "--control")
        except SettingsError as failure:
            return misuse(f"partners show: {failure}")
        status, table = ask(address, "/v1/partners", 10.0)
        if status == 200 and isinstance(table, dict):
            heard[address] = table
        else:
            faults.append(f"{address}: {table.get('error') if isinstance(table, dict) else table}")
    if not heard:
        for fault in faults:
            sys.stderr.write(f"stagevale: partners show: {fault}\n")
        return FINDINGS
    newest = max(heard.values(), key=lambda table: table["serial"])
    for address, table in heard.items():
        if table["mark"] != newest["mark"]:
            faults.append(f"{address}: holds {table['mark']} of version {table['serial']}")
        for row in table["proxies"] if newest["rows"] else ():
            if row["mark"] != newest["mark"]:
                faults.append(
                    f"proxy {row['address']}: "
                    + (
                        f"holds {row['mark']} of version {row['serial']}"
                        if row["mark"]
                        else "has not said what it holds"
                    )
                )
    if json_:
        print(json.dumps({"table": newest, "faults": faults}, indent=1))
        return FINDINGS if faults else 0
    print(f"table {newest['mark']}, version {newest['serial']}, {len(newest['rows'])} rows")
    for row in newest["rows"]:
        print(
            f"  {'kept   ' if row['kept'] else 'dropped'} {row['host']}{row['pathPrefix']} of {row['partner']} "
            f"{row['offer']}: {row['reason']}"
        )
        for words in row["withheld"]:
            print(f"            withheld by {words}")
    for fault in faults:
        print(f"differs: {fault}")
    return FINDINGS if faults else 0


@partners.command
def explain(
    host: str,
    path: str,
    *,
    control: list[str],
    zone: str = "",
    tenant: str = "",
    json_: bool = False,
):
    """Show which rows are weighed for a host and path, and which wins; exit 0 one wins, 1 none
    does, 2 misuse.

    Parameters ---------- host the host of the request. path the path of the request. control
    ip:port of a registry's control; more than one are tried in turn. zone where the request comes
    in. tenant whose request it is. json_ print the answer as JSON.
    """
    from urllib.parse import urlencode

    query = urlencode({"host": host, "path": path, "zone": zone, "tenant": tenant})
    address, status, answer = ask_controls(
        "partners explain", control, f"/v1/partners/explain?{query}"
    )
    if status == 400 and isinstance(answer, dict):
        return misuse(f"partners explain: {answer.get('error')}")
    if status != 200:
        return order_outcome("partners explain", (address, status, answer), "")
    if json_:
        print(json.dumps(answer, indent=1))
        return 0 if answer["won"] else FINDINGS
    for name in answer["own"]:
        print(f"  own route {name}")
    for row in answer["weighed"]:
        print(
            f"  {row['partner']} {row['offer']} {row['pathPrefix']}: {row['against'] or 'may take it'}"
        )
    print(f"won: {answer['won']}" if answer["won"] else "no route takes it")
    return 0 if answer["won"] else FINDINGS


rollouts = App(
    name="rollouts", help="The stepwise shift of a service to a new version of its endpoints."
)
cli.command(rollouts)


@rollouts.command(name="start")
def start_rollout(service: str, file: str, *, control: list[str]):
    """Start a rollout; exit 0 started, 1 refused, 2 misuse.

    Parameters ---------- service the service whose requests shift. file the rollout, JSON with
    version, parentVersion, from, to, steps, failureShare, leastRequests, watchS. control ip:port of
    a registry's control; more than one are tried in turn.
    """
    from urllib.parse import quote

    try:
        with open(file, "rb") as handle:
            body = handle.read()
    except OSError as failure:
        return misuse(f"rollouts start: {file} can't be read: {failure.strerror}")
    outcome = ask_controls(
        "rollouts start", control, f"/v1/rollouts/{quote(service, safe='')}", "PUT", body
    )
    return order_outcome("rollouts start", outcome, f"{service}: the rollout has started")


@rollouts.command(name="show")
def show_rollouts(service: str = "", *, control: list[str], json_: bool = False):
    """Show the rollouts; exit 0 nothing to worry about, 1 fallen back, warned of or no answer, 2
    misuse.

    Parameters ---------- service only this service's rollout. control ip:port of a registry's
    control; more than one are tried in turn. json_ print the answer as JSON.
    """
    from urllib.parse import quote

    path = f"/v1/rollouts/{quote(service, safe='')}" if service else "/v1/rollouts"
    address, status, answer = ask_controls("rollouts show", control, path)
    if status != 200:
        return order_outcome("rollouts show", (address, status, answer), "")
    rows = [answer] if service else answer["rollouts"]
    worry = any(row["state"] == "fallen" or row["warnings"] for row in rows)
    if json_:
        print(json.dumps(answer, indent=1))
        return FINDINGS if worry else 0
    if not rows:
        print("no rollouts")
    for row in rows:
        print(
            f"{row['service']} r{row['version']}: {row['from']} to {row['to']}, {row['shown']}, step {row['step'] + 1} of "
            f"{len(row['steps'])}, share {row['share']:.0%}"
            + (f": {row['reason']}" if row["reason"] else "")
        )
        if row["leasesLeftMs"]:
            print(f"  leases on {row['to']} may stand for {row['leasesLeftMs']} ms yet")
        for side in ("from", "to"):
            sums, held = (
                row["outcomes"][side],
                row["endpoints"].get(row[side], {"endpoints": 0, "slots": 0}),
            )
            print(
                f"  {row[side]}: {sums['requests']} requests, {sums['failed']} failed, {sums['late']} late; "
                f"{held['endpoints']} endpoints, {held['slots']} slots"
            )
        for warning in row["warnings"]:
            print(f"  warning: {warning}")
    return FINDINGS if worry else 0


def move_rollout(order, service, control, done):
    from urllib.parse import quote

    outcome = ask_controls(
        f"rollouts {order}",
        control,
        f"/v1/rollouts/{quote(service, safe='')}/{order}",
        "POST",
        None,
        15.0,
    )
    return order_outcome(f"rollouts {order}", outcome, f"{service}: {done}")


@rollouts.command
def pause(service: str, *, control: list[str]):
    """Keep a rollout at its step; exit 0 done, 1 refused, 2 misuse."""
    return move_rollout("pause", service, control, "paused; its share stays")


@rollouts.command
def resume(service: str, *, control: list[str]):
    """Let a paused rollout go on; exit 0 done, 1 refused, 2 misuse."""
    return move_rollout("resume", service, control, "shifting")


@rollouts.command
def promote(service: str, *, control: list[str]):
    """Give the new version everything at once; exit 0 done, 1 refused, 2 misuse."""
    return move_rollout("promote", service, control, "everything goes to the new version")


@rollouts.command
def rollback(service: str, *, control: list[str]):
    """Fall back; returns once no proxy may use the new version; exit 0 done, 1 refused, 2
    misuse.
    """
    return move_rollout("rollback", service, control, "fallen back on every node")


@rollouts.command(name="end")
def end_rollout(service: str, *, control: list[str]):
    """End a rollout: back to the ordinary choice among all versions; exit 0 done, 1 refused, 2
    misuse.
    """
    from urllib.parse import quote

    outcome = ask_controls(
        "rollouts end", control, f"/v1/rollouts/{quote(service, safe='')}", "DELETE"
    )
    return order_outcome("rollouts end", outcome, f"{service}: ended")


@cli.command
def delays(*, control: list[str], edge: str = "", region: str = "", json_: bool = False):
    """Show for each edge and region the delay it expects beside what callers got; exit 0 shown, 1
    nothing known, 2 misuse.

    Parameters ---------- control ip:port of a registry's control; give every one, since each knows
    the edges that it feeds. edge only the edge with this address or front. region only answers from
    this region. json_ print the rows as JSON.
    """
    from stagevale.doctoring import ask
    from stagevale.settings.settings import SettingsError, split_address

    rows, faults = [], []
    for address in control:
        try:
            split_address(address, "--control")
        except SettingsError as failure:
            return misuse(f"delays: {failure}")
        status, stand = ask(address, "/v1/stand")
        if status != 200 or not isinstance(stand, dict):
            faults.append(f"{address}: no stand: {stand if status is None else status}")
            continue
        for proxy in stand["proxies"]:
            if edge in ("", proxy["address"], proxy["front"]):
                rows += [
                    {"edge": proxy["address"], "zone": proxy["zone"], **row}
                    for row in proxy["delays"]
                    if region in ("", row["region"])
                ]
    if json_:
        print(json.dumps({"delays": rows, "faults": faults}, indent=1))
    else:
        for row in rows:
            print(
                f"{row['edge']} in {row['zone']}, {row['service']} at {row['region']}: share {row['share']:.0%}, expected "
                f"{row['expectedMs']:.0f} ms, got {row['gotMs']:.0f} ms (median {row['medianMs']:.0f}, 95th "
                f"{row['p95Ms']:.0f}) in {row['count']} answers, last {row['ageMs'] / 1000:.1f} s ago"
            )
    for fault in faults:
        sys.stderr.write(f"stagevale: delays: {fault}\n")
    if not rows and not json_:
        print("no edge has told delays: is steering on, and has traffic run?")
    return 0 if rows and not faults else FINDINGS


sessions = App(name="sessions", help="Session records.")
cli.command(sessions)


@sessions.command(name="show")
def show_session(id: str, *, control: list[str], json_: bool = False):
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
    from urllib.parse import quote

    if not id or len(id) > 256:
        return misuse("sessions show: the session's name must have 1 to 256 bytes")
    address, status, answer = ask_controls(
        "sessions show", control, f"/v1/sessions/{quote(id, safe='')}"
    )
    if status != 200:
        return order_outcome("sessions show", (address, status, answer), "")
    if json_:
        print(json.dumps(answer, indent=1))
        return 0
    for record in answer["records"]:
        print(
            f"version {record['version']}, held by {record['holder'] or 'nobody'}, kept by group {record['group']}"
        )
        for service, endpoint in sorted(record["endpoints"].items()):
            print(f"  {service} at {endpoint}")
        for request in record["requests"]:
            print(
                f"  key {request['key']}: {request['state']}, noted by {request['by']}, kept for {request['keptForS']} s"
            )
    return 0


def app(words):
    """Runs one command; 2 for misuse."""
    try:
        code = cli(words, exit_on_error=False, print_error=False, result_action="return_value")
    except CycloptsError as failure:
        return misuse(str(failure))
    return code if isinstance(code, int) else 0

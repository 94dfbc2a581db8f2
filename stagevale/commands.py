"""The commands of `python3 -m stagevale`, for people."""
import sys

from cyclopts import App, CycloptsError

from stagevale import __version__

cli = App(name="stagevale", version=__version__, help="A global load balancer: three daemons and their tools.")


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


def app(words):
    """Runs one command; 2 for misuse."""
    try:
        code = cli(words, exit_on_error=False, print_error=False, result_action="return_value")
    except CycloptsError as problem:
        sys.stderr.write(f"stagevale: {problem}\n")
        return 2
    return code if isinstance(code, int) else 0

"""The command line as a whole."""

from cyclopts import App, CycloptsError

from stagevale import __version__
from stagevale.commands import daemons
from stagevale.commands.delays import delays
from stagevale.commands.doctor import doctor
from stagevale.commands.exit_codes import misuse
from stagevale.commands.partners import partners
from stagevale.commands.rehearse import rehearse
from stagevale.commands.rollouts import rollouts
from stagevale.commands.sessions import sessions

cli = App(
    name="stagevale",
    version=__version__,
    help="A global load balancer: three daemons and their tools.",
)
cli.command(daemons.proxy)
cli.command(daemons.registry)
cli.command(daemons.store)
cli.command(doctor)
cli.command(rehearse)
cli.command(partners)
cli.command(rollouts)
cli.command(delays)
cli.command(sessions)


def app(words: list[str]) -> int:
    """Runs one command; returns its exit code."""
    try:
        code = cli(words, exit_on_error=False, print_error=False, result_action="return_value")
    except CycloptsError as error:
        return misuse(str(error))
    return code if isinstance(code, int) else 0

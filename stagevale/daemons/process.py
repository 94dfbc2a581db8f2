"""One daemon as a process: logs, signals, the loop."""

import asyncio
import gc
import signal
import socket
import sys
from typing import Any

from absl import logging

from stagevale.daemons.daemon import Daemon, DaemonFactory
from stagevale.runtime.asyncio_context import AsyncioContext
from stagevale.runtime.bound_sockets import AddressTakenError, Binding, bind_all
from stagevale.runtime.clock import MS_PER_S
from stagevale.settings.settings import SettingsError, load_settings, settings_path

EXIT_OK, EXIT_MISUSE, EXIT_ADDRESS_TAKEN = 0, 2, 3
# For how long an address that is taken is tried again, in grace periods: the process before has
# ended by then.
BIND_GRACE_PERIODS = 1.2


class DaemonStart:
    """Binds a daemon's addresses, then starts it: it neither votes nor sends anything before.

    Attributes:
        done: the daemon was started.
        exit_code: of the process, so far.
    """

    __slots__ = ("context", "daemon", "program", "done", "exit_code")

    def __init__(self, context: AsyncioContext, daemon: Daemon, program: str) -> None:
        self.context = context
        self.daemon = daemon
        self.program = program
        self.done = False
        self.exit_code = EXIT_OK

    async def run(self) -> None:
        """Starts the daemon, or ends the process where an address can't be had."""
        context = self.context
        limit_ms = context.settings.bounds.grace_period_s * MS_PER_S * BIND_GRACE_PERIODS
        try:
            bound = await bind_all(self.daemon.bindings(), limit_ms, context.log)
        except (AddressTakenError, OSError) as error:
            # An operator's matter: the trace says nothing.
            logging.error("%s: can't listen: %s; ends.", self.program, error)  # noqa: TRY400 - see above
            self.exit_code = EXIT_ADDRESS_TAKEN
            context.stop()
            return
        context.bound_sockets = bound
        self.done = True
        self.daemon.start()
        await self._show_metrics()

    async def _show_metrics(self) -> None:
        """Listens for fetches of metrics; a daemon whose port for that is taken goes without."""
        address = self.daemon.metrics_address
        if address is None:
            return
        binding = Binding(address, socket.SOCK_STREAM)
        try:
            self.context.bound_sockets |= await bind_all([binding], 0.0, self.context.log)
        except (AddressTakenError, OSError) as error:
            logging.warning("%s: no metrics: %s.", self.program, error)
            return
        self.daemon.listen_for_metrics()


def run(make_daemon: DaemonFactory, program: str) -> int:
    """Runs a daemon until it ends; returns the exit code.

    Args:
        make_daemon: makes the daemon of a context and the path of its settings.
        program: the daemon's name.
    """
    logging.set_stderrthreshold("info")
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"stagevale {program}: {path}: {error}\n")
        return EXIT_MISUSE
    loop = asyncio.new_event_loop()
    context = AsyncioContext(settings, loop, logging)
    daemon = make_daemon(context, path)

    start = DaemonStart(context, daemon, program)

    def stop() -> None:
        if not daemon.stopping:
            daemon.stopping = True
            context.stopping = True
            logging.info("%s: graceful shutdown begins.", program)
            if start.done:
                daemon.stop()
            else:
                context.stop()

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    loop.set_exception_handler(_log_unhandled)
    binding = loop.create_task(start.run())
    # What was made so far lives as long as the process: collecting it again costs time for nothing.
    gc.collect()
    gc.freeze()
    logging.info("%s: %s starts in %s.", program, settings.name, settings.zone)
    try:
        loop.run_forever()
    finally:
        binding.cancel()
        loop.close()
    logging.info("%s: ended.", program)
    return start.exit_code


def _log_unhandled(_loop: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
    """An exception that no callback has caught: the process's edge."""
    error = details.get("exception")
    logging.error("%s: %r.", details.get("message"), error, exc_info=error)

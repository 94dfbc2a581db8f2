"""One daemon as a process: logs, signals, the loop."""

import asyncio
import gc
import signal
import sys
from typing import Any

from absl import logging

from stagevale.daemons.daemon import DaemonFactory
from stagevale.runtime.asyncio_context import AsyncioContext
from stagevale.settings.settings import SettingsError, load_settings, settings_path

EXIT_OK, EXIT_MISUSE = 0, 2


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

    def stop() -> None:
        if not daemon.stopping:
            daemon.stopping = True
            context.stopping = True
            logging.info("%s: graceful shutdown begins.", program)
            daemon.stop()

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    loop.set_exception_handler(_log_unhandled)
    loop.call_soon(daemon.start)
    # What was made so far lives as long as the process: collecting it again costs time for nothing.
    gc.collect()
    gc.freeze()
    logging.info("%s: %s starts in %s.", program, settings.name, settings.zone)
    try:
        loop.run_forever()
    finally:
        loop.close()
    logging.info("%s: ended.", program)
    return EXIT_OK


def _log_unhandled(_loop: asyncio.AbstractEventLoop, details: dict[str, Any]) -> None:
    """An exception that no callback has caught: the process's edge."""
    error = details.get("exception")
    logging.error("%s: %r.", details.get("message"), error, exc_info=error)

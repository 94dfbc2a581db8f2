"""What the three daemons have in common: logs, settings, signals, the loop."""

import asyncio
import gc
import os
import signal
import sys

from absl import logging

from stagevale.context import Context, StallWatch
from stagevale.membership import Membership
from stagevale.settings import SettingsFailure, load_settings, settings_path
from stagevale.wire.switchboard import Switchboard

EXIT_MISUSE = 2
STALL_SHARE = 0.25


class Daemon:
    """One running program; `begin` starts its parts, `end` asks for an end in order."""

    __slots__ = ("context", "switchboard", "membership", "program", "path", "stamp", "ending")

    def __init__(self, context, program, port_offset, path):
        settings = context.settings
        self.context = context
        self.program = program
        self.path = path
        self.stamp = stamp_of(path)
        self.ending = False
        address = f"{settings.ip}:{settings.inner_ports[0] + port_offset}"
        front = settings.listen.get("front")
        self.switchboard = Switchboard(context, address)
        self.membership = Membership(
            context, address, program, f"{front[0]}:{front[1]}" if front else ""
        )

    def begin(self):
        self.switchboard.start()
        self.membership.start()
        self.context.after(1000, self.watch_settings)

    def watch_stalls(self):
        """Has the context notice when this process stood still for as long as callers wait."""
        limit_ms = self.context.settings.bounds.ack_deadline_ms * STALL_SHARE
        self.context.stall_watch = StallWatch(self.context, limit_ms)
        self.context.stall_watch.start()

    def watch_settings(self):
        """Settings may change without a signal."""
        self.context.after(1000, self.watch_settings)
        stamp = stamp_of(self.path)
        if stamp != self.stamp:
            self.reload()

    def reload(self):
        """Reads the settings again; invalid ones are logged and the old ones stay."""
        self.stamp = stamp_of(self.path)
        try:
            settings = load_settings(self.path)
        except SettingsFailure as failure:
            self.context.log.error(
                "%s: new settings are invalid, the old ones stay: %s.", self.program, failure
            )
            return
        if (
            settings.ip != self.context.settings.ip
            or settings.inner_ports != self.context.settings.inner_ports
        ):
            self.context.log.error(
                "%s: new settings move this daemon; that takes a restart.", self.program
            )
            return
        self.context.settings = settings
        self.membership.contacts.extend(
            f"{ip}:{settings.inner_ports[0]}"
            for ip in settings.seeds
            if f"{ip}:{settings.inner_ports[0]}" not in self.membership.contacts
        )
        self.context.log.info("%s: settings read again.", self.program)

    def end(self):
        """An end in order; the programs add what is theirs and call `finish`."""
        self.finish()

    def finish(self):
        self.context.loop.stop()


def stamp_of(path):
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return stat.st_mtime_ns, stat.st_size


def run(make_daemon, program):
    """Runs a daemon until it ends; returns the exit code."""
    logging.set_stderrthreshold("info")
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    path = settings_path()
    try:
        settings = load_settings(path)
    except SettingsFailure as failure:
        sys.stderr.write(f"stagevale {program}: {path}: {failure}\n")
        return EXIT_MISUSE
    loop = asyncio.new_event_loop()
    context = Context(settings, loop, logging)
    daemon = make_daemon(context, path)

    def end():
        if not daemon.ending:
            daemon.ending = True
            context.stopping = True
            logging.info("%s: ending in order.", program)
            daemon.end()

    loop.add_signal_handler(signal.SIGTERM, end)
    loop.add_signal_handler(signal.SIGINT, end)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    loop.set_exception_handler(
        lambda loop, details: logging.error(
            "%s: %s: %r.", program, details.get("message"), details.get("exception")
        )
    )
    loop.call_soon(daemon.begin)
    gc.collect()
    gc.freeze()
    logging.info("%s: %s starts in %s.", program, settings.name, settings.zone)
    try:
        loop.run_forever()
    finally:
        loop.close()
    logging.info("%s: ended.", program)
    return 0

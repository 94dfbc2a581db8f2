"""Starts one of the three daemons; loads nothing of the others."""

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stagevale.daemons.daemon import DaemonFactory

DAEMONS = ("proxy", "registry", "store")


def launch(name: str) -> int:
    """Runs a daemon until it ends; returns the exit code.

    A SIGHUP that comes while the daemon starts is passed over: it would end the process, and the
    settings are still to be read, or are looked at again once the daemon runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from stagevale.daemons.process import run

    return run(_factory(name), name)


def _factory(name: str) -> "DaemonFactory":
    if name == "proxy":
        from stagevale.daemons.proxy import Proxy

        return Proxy
    if name == "registry":
        from stagevale.daemons.registry import Registry

        return Registry
    from stagevale.daemons.store import Store

    return Store

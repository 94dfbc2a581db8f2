"""Starts one of the three daemons; loads nothing of the others."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stagevale.daemons.daemon import DaemonFactory

DAEMONS = ("proxy", "registry", "store")


def launch(name: str) -> int:
    """Runs a daemon until it ends; returns the exit code."""
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

"""Starts one of the three daemons; loads nothing of the others."""

DAEMONS = ("proxy", "registry", "store")


def launch(name):
    """Runs a daemon until it ends; returns the exit code."""
    from stagevale.programs import run

    if name == "proxy":
        from stagevale.programs.proxy import Proxy as Program
    elif name == "registry":
        from stagevale.programs.registry import Registry as Program
    else:
        from stagevale.programs.store import Store as Program
    return run(Program, name)

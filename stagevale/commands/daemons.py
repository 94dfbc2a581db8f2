"""The daemons as commands."""

from stagevale.daemons.launch import launch


def proxy() -> int:
    """Run the proxy: serves front and readiness on an edge machine."""
    return launch("proxy")


def registry() -> int:
    """Run the registry: serves control and directory on a core machine."""
    return launch("registry")


def store() -> int:
    """Run the store: keeps the configuration on a core machine's disk."""
    return launch("store")

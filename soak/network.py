"""Finds a loopback network and ports on it that nothing uses."""

import random
import socket
from typing import NamedTuple

from soak.errors import FormationError

TRIES = 50
# Below the ports that a kernel gives to clients' connections.
PORTS = (20_000, 31_000)
INNER_OFFSET = 10
INNER_PORTS = 15
HOSTS_PROBED = 4


class Ports(NamedTuple):
    """The ports of a run; alike on all machines."""

    control: int
    directory: int
    front: int
    ready: int
    endpoint: int
    inner: int


class Network(NamedTuple):
    """The first two numbers of a run's addresses, and its ports."""

    prefix: str
    ports: Ports

    def core_ip(self, number: int) -> str:
        """The address of a core machine."""
        return f"{self.prefix}.1.{1 + number}"

    def edge_ip(self, number: int) -> str:
        """The address of an edge machine."""
        return f"{self.prefix}.2.{1 + number}"

    def endpoint_ip(self, number: int) -> str:
        """The address of an endpoint, by the number of its life."""
        high, low = divmod(number, 250)
        return f"{self.prefix}.{3 + high}.{1 + low}"


def find_network() -> Network:
    """A network whose ports are free; drawn anew for each run, so that runs don't meet.

    Raises:
        FormationError: none was found.
    """
    draw = random.SystemRandom()
    for _ in range(TRIES):
        base = draw.randint(*PORTS)
        prefix = f"127.{draw.randint(10, 250)}"
        network = Network(
            prefix, Ports(base, base + 1, base + 2, base + 3, base + 4, base + INNER_OFFSET)
        )
        if _is_free(network, base):
            return network
    raise FormationError("no free ports")


def _is_free(network: Network, base: int) -> bool:
    for number in range(HOSTS_PROBED):
        for ip in (network.core_ip(number), network.edge_ip(number)):
            for port in range(base, base + INNER_OFFSET + INNER_PORTS + 1):
                with socket.socket() as probe:
                    try:
                        probe.bind((ip, port))
                    except OSError:
                        return False
    return True

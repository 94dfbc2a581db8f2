"""Binds all addresses of a daemon before it does anything that others see."""

import asyncio
import errno
import socket
from collections.abc import Iterable
from typing import NamedTuple

from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Log, SocketAddress

RETRY_MS = 100.0


class Binding(NamedTuple):
    """An address that a daemon serves; `type` is `socket.SOCK_STREAM` or `socket.SOCK_DGRAM`."""

    address: SocketAddress
    type: socket.SocketKind


class AddressTakenError(Exception):
    """An address that another process holds.

    Attributes:
        address: `ip:port`.
    """

    def __init__(self, binding: Binding) -> None:
        ip, port = binding.address
        self.address = f"{ip}:{port}"
        super().__init__(f"{self.address} is taken by another process")


BoundSockets = dict[Binding, socket.socket]


async def bind_all(bindings: Iterable[Binding], limit_ms: float, log: Log) -> BoundSockets:
    """Binds addresses; one that is taken is tried again for a while.

    After a restart the process before may hold an address until its own graceful shutdown is over.

    Args:
        bindings: the addresses.
        limit_ms: for how long to try, for all together.
        log: where to say which address is waited for.

    Raises:
        AddressTakenError: an address is still taken; none is bound.
        OSError: an address can't be bound for another reason; likewise.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + limit_ms / MS_PER_S
    bound: BoundSockets = {}
    try:
        for binding in bindings:
            bound[binding] = await _bind(binding, until_s, log)
    except (AddressTakenError, OSError):
        for sock in bound.values():
            sock.close()
        raise
    return bound


async def _bind(binding: Binding, until_s: float, log: Log) -> socket.socket:
    loop = asyncio.get_running_loop()
    waits = False
    while True:
        try:
            return _bound_socket(binding)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            taken = AddressTakenError(binding)
        left_s = until_s - loop.time()
        if left_s <= 0:
            raise taken
        if not waits:
            log.warning("%s; trying again for %.1f s.", taken, left_s)
            waits = True
        await asyncio.sleep(min(left_s, RETRY_MS / MS_PER_S))


def _bound_socket(binding: Binding) -> socket.socket:
    sock = socket.socket(socket.AF_INET, binding.type)
    try:
        if binding.type == socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(binding.address)
    except OSError:
        sock.close()
        raise
    return sock

"""The context of a daemon that runs on asyncio."""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from typing import Any

from stagevale.metrics.metrics import Metrics
from stagevale.runtime.bound_sockets import Binding, BoundSockets
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import DiskCallback, Log, SocketAddress
from stagevale.runtime.disk_thread import DiskThread
from stagevale.runtime.sockets import set_silence_limit
from stagevale.runtime.stall_monitor import StallMonitor
from stagevale.settings.settings import Settings

LISTEN_BACKLOG = 512


class AsyncioContext:
    """Clock, timers, sockets and the disk thread of one process; see `Context`.

    Attributes:
        bound_sockets: of the addresses that are to be listened on, bound beforehand.
    """

    __slots__ = (
        "settings",
        "loop",
        "random",
        "log",
        "disk",
        "tasks",
        "stopping",
        "stall_monitor",
        "metrics",
        "bound_sockets",
    )

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop, log: Log) -> None:
        self.settings = settings
        self.loop = loop
        self.random = random.Random()
        self.log = log
        self.disk = DiskThread(loop)
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.stall_monitor: StallMonitor | None = None
        self.metrics = Metrics(self.now_ms)
        self.metrics.add_queue("disk", self.disk.queue_length)
        self.bound_sockets: BoundSockets = {}

    def stalled(self) -> bool:
        """See `Context.stalled`."""
        return self.stall_monitor is not None and self.stall_monitor.stalled()

    def now_ms(self) -> float:
        """See `Context.now_ms`."""
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> float:
        """See `Context.wall_ms`."""
        return time.time() * MS_PER_S

    def call_later(
        self, delay_ms: float, call: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """See `Context.call_later`."""
        return self.loop.call_later(delay_ms / MS_PER_S, call, *args)

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """See `Context.call_soon`."""
        self.loop.call_soon(call, *args)

    def connect(
        self,
        address: SocketAddress,
        protocol: asyncio.BaseProtocol,
        on_failure: Callable[[BaseException], object],
        timeout_ms: float,
        silence_ms: float,
    ) -> asyncio.Task[None]:
        """See `Context.connect`."""
        task = self.loop.create_task(self._open(address, protocol, timeout_ms, silence_ms))
        self.tasks.add(task)

        def finished(done: asyncio.Task[None]) -> None:
            self.tasks.discard(done)
            if done.cancelled():
                on_failure(OSError("cancelled"))
                return
            error = done.exception()
            if error is not None:
                on_failure(error)

        task.add_done_callback(finished)
        return task

    async def _open(
        self,
        address: SocketAddress,
        protocol: asyncio.BaseProtocol,
        timeout_ms: float,
        silence_ms: float,
    ) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_silence_limit(sock, silence_ms)
            await asyncio.wait_for(self.loop.sock_connect(sock, address), timeout_ms / MS_PER_S)
            await self.loop.create_connection(lambda: protocol, sock=sock)
        except BaseException:
            sock.close()
            raise

    def listen(
        self,
        address: SocketAddress,
        factory: Callable[[], asyncio.BaseProtocol],
        on_listening: Callable[[asyncio.Server], object] | None = None,
    ) -> asyncio.Task[None]:
        """See `Context.listen`; the answer is a task."""
        sock = self.bound_sockets.pop(Binding(address, socket.SOCK_STREAM))

        async def start() -> None:
            server = await self.loop.create_server(factory, sock=sock, backlog=LISTEN_BACKLOG)
            if on_listening is not None:
                on_listening(server)

        return self.loop.create_task(start())

    def listen_datagrams(
        self, address: SocketAddress, protocol: asyncio.DatagramProtocol
    ) -> asyncio.Task[Any]:
        """See `Context.listen_datagrams`."""
        sock = self.bound_sockets.pop(Binding(address, socket.SOCK_DGRAM))
        return self.loop.create_task(
            self.loop.create_datagram_endpoint(lambda: protocol, sock=sock)
        )

    def stop(self) -> None:
        """See `Context.stop`."""
        self.loop.stop()

    def run_on_disk(self, work: Callable[[], Any], on_done: DiskCallback) -> None:
        """See `Context.run_on_disk`."""
        self.disk.run(work, on_done)

"""The context object that every part of a daemon is given in place of globals.

`Context` is a protocol: daemons run with `asyncio_context.AsyncioContext`, tests with a simulated
clock, network and disk.
"""

import asyncio
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from stagevale.settings.settings import Settings

if TYPE_CHECKING:
    from stagevale.metrics.metrics import Metrics
    from stagevale.runtime.stall_monitor import StallMonitor

SocketAddress = tuple[str, int]
DiskCallback = Callable[[Any, Exception | None], None]


class Timer(Protocol):
    """A call that is planned."""

    def cancel(self) -> None:
        """Drops the call; a call that was made stays made."""


class Log(Protocol):
    """Where a daemon logs: the module `absl.logging`, or a test's list."""

    def debug(self, message: str, *values: object) -> None:
        """Logs what helps in development only."""

    def info(self, message: str, *values: object) -> None:
        """Logs a change of state."""

    def warning(self, message: str, *values: object) -> None:
        """Logs what was refused or dropped."""

    def error(self, message: str, *values: object) -> None:
        """Logs what somebody has to look at."""

    def exception(self, message: str, *values: object) -> None:
        """Logs an error that nobody expected, with its trace."""


class Context(Protocol):
    """What a daemon's parts ask of the process.

    Attributes:
        settings: the settings in force; replaced on a reload.
        random: the process's source of randomness.
        log: where to log.
        stopping: True once a graceful shutdown has begun.
        stall_monitor: what `stalled` asks; None where nobody watches.
        metrics: what the daemon counts of itself.
    """

    settings: Settings
    random: random.Random
    log: Log
    stopping: bool
    stall_monitor: "StallMonitor | None"
    metrics: "Metrics"

    def stalled(self) -> bool:
        """True where this process has just stood still: what it reads now may be old."""

    def now_ms(self) -> float:
        """The monotonic clock in milliseconds."""

    def wall_ms(self) -> float:
        """The time of day in milliseconds by this machine, which may be wrong and may jump."""

    def call_later(self, delay_ms: float, call: Callable[..., object], *args: Any) -> Timer:
        """Plans a call."""

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """Plans a call for the loop's next turn."""

    def connect(
        self,
        address: SocketAddress,
        protocol: asyncio.BaseProtocol,
        on_failure: Callable[[BaseException], object],
        timeout_ms: float,
        silence_ms: float,
    ) -> object:
        """Opens a TCP connection for `protocol`.

        Args:
            address: where to connect to.
            protocol: gets `connection_made` once the connection is up.
            on_failure: called with the error where it doesn't come about.
            timeout_ms: how long to try.
            silence_ms: a peer that acknowledges nothing for so long is taken for gone.
        """

    def listen(
        self,
        address: SocketAddress,
        factory: Callable[[], asyncio.BaseProtocol],
        on_listening: Callable[[Any], object] | None = None,
    ) -> object:
        """Listens for TCP connections; each gets a protocol of its own from `factory`."""

    def listen_datagrams(
        self, address: SocketAddress, protocol: asyncio.DatagramProtocol
    ) -> object:
        """Binds `protocol` to a UDP socket."""

    def stop(self) -> None:
        """Ends the loop, and with it the process."""

    def run_on_disk(self, work: Callable[[], Any], on_done: DiskCallback) -> None:
        """Runs `work()` on the one disk thread, then `on_done(result, error)` on the loop."""

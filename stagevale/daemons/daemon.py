"""What the three daemons have in common: peers, membership, settings that change."""

import socket
from collections.abc import Callable
from typing import ClassVar

from stagevale.api.http_connection import HttpConnection
from stagevale.membership.membership import Membership
from stagevale.metrics.endpoint import TEXT_FORMAT, MetricsEndpoint
from stagevale.placement.rule import next_placement
from stagevale.rpc.codec import socket_address
from stagevale.rpc.transport import RpcTransport
from stagevale.runtime.bound_sockets import Binding
from stagevale.runtime.context import Context, SocketAddress
from stagevale.runtime.stall_monitor import StallMonitor
from stagevale.settings.file_stamp import stamp_of
from stagevale.settings.settings import SettingsError, load_settings

SETTINGS_CHECK_MS = 1000.0
# A stall counts once it has lasted this share of `ackDeadlineMs`: as long as callers wait.
STALL_SHARE = 0.25


DaemonFactory = Callable[[Context, str], "Daemon"]


class Daemon:
    """One running program.

    Attributes:
        program: its name.
        settings_path: where its settings are read from.
        stopping: a graceful shutdown has begun.
        served: the interfaces that it serves, by their names in the settings.
    """

    served: ClassVar[tuple[str, ...]] = ()

    __slots__ = (
        "context",
        "rpc",
        "membership",
        "program",
        "settings_path",
        "stopping",
        "_settings_stamp",
    )

    def __init__(
        self, context: Context, program: str, port_offset: int, settings_path: str
    ) -> None:
        settings = context.settings
        self.context = context
        self.program = program
        self.settings_path = settings_path
        self.stopping = False
        self._settings_stamp = settings.stamp
        address = f"{settings.ip}:{settings.inner_ports[0] + port_offset}"
        front = settings.listen.get("front")
        self.rpc = RpcTransport(context, address)
        self.membership = Membership(
            context, address, program, f"{front[0]}:{front[1]}" if front else ""
        )
        self.membership.set_placement_rule(
            lambda members, table, handoffs: next_placement(
                members, table, handoffs, context.settings.zones
            )
        )

    def bindings(self) -> list[Binding]:
        """The addresses that this daemon listens on: for its peers, and for what it serves.

        The settings are the machine's: they name what its other daemons serve, too.
        """
        peers = socket_address(self.rpc.address)
        listen = self.context.settings.listen
        served = [listen[name] for name in self.served if name in listen]
        return [
            Binding(peers, socket.SOCK_STREAM),
            Binding(peers, socket.SOCK_DGRAM),
            *[Binding(address, socket.SOCK_STREAM) for address in served],
        ]

    @property
    def metrics_address(self) -> SocketAddress | None:
        """Where this daemon shows its metrics; None where its settings name no port for that."""
        settings = self.context.settings
        port = settings.metrics_ports.get(self.program)
        return (settings.ip, port) if port is not None else None

    def listen_for_metrics(self) -> None:
        """Shows the metrics at `metrics_address`."""
        address = self.metrics_address
        if address is None:
            return
        router = MetricsEndpoint(self.context).router
        self.context.listen(
            address,
            lambda: HttpConnection(self.context, router.dispatch, content_type=TEXT_FORMAT),
        )

    def start(self) -> None:
        """Starts the daemon's parts."""
        self.rpc.start()
        self.membership.start()
        self.context.call_later(SETTINGS_CHECK_MS, self._check_settings)

    def watch_stalls(self) -> None:
        """Has the context notice when this process stood still for as long as callers wait."""
        limit_ms = self.context.settings.bounds.ack_deadline_ms * STALL_SHARE
        self.context.stall_monitor = StallMonitor(self.context, limit_ms)
        self.context.stall_monitor.start()

    # settings

    def _check_settings(self) -> None:
        """Settings may change without a signal."""
        self.context.call_later(SETTINGS_CHECK_MS, self._check_settings)
        if stamp_of(self.settings_path) != self._settings_stamp:
            self.reload()

    def reload(self) -> None:
        """Reads the settings again; invalid ones are logged and the old ones stay."""
        log = self.context.log
        self._settings_stamp = stamp_of(self.settings_path)
        try:
            settings = load_settings(self.settings_path)
        except SettingsError as error:
            # An operator's mistake: the trace says nothing.
            text = "%s: new settings are invalid, the old ones stay: %s."
            log.error(text, self.program, error)  # noqa: TRY400 - see above
            return
        before = self.context.settings
        if settings.ip != before.ip or settings.inner_ports != before.inner_ports:
            log.error("%s: new settings move this daemon; that takes a restart.", self.program)
            return
        self.context.settings = settings
        contacts = self.membership.contacts
        seeds = [f"{ip}:{settings.inner_ports[0]}" for ip in settings.seeds]
        contacts.extend(seed for seed in seeds if seed not in contacts)
        log.info("%s: settings read again.", self.program)

    # shutdown

    def stop(self) -> None:
        """Begins a graceful shutdown; daemons add what is theirs and `finish` in the end."""
        self.finish()

    def finish(self) -> None:
        """Ends the process."""
        self.context.stop()

"""The store: keeps the configuration on disk by consensus; serves nothing outside."""

import os

from stagevale.configuration.node import ConfigurationNode
from stagevale.configuration.value import ConfigurationValue, read_configuration_value
from stagevale.consensus.vote_storage import VoteStorage, VoteStore
from stagevale.daemons.command_handlers import find_handler
from stagevale.daemons.daemon import Daemon
from stagevale.membership.member import STORE_PORT_OFFSET, STORE_PROGRAM
from stagevale.rollouts.manager import RolloutManager
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context
from stagevale.sessions.group_manager import SessionGroupManager
from stagevale.storage.folder import Folder
from stagevale.storage.tables import NumberedTables

FOLDER = "store"
# Shares of the grace period: a shutdown takes at least the one, so that peers hear of it, and at
# most the other.
SHORTEST_SHUTDOWN_SHARE = 0.2
LONGEST_SHUTDOWN_SHARE = 0.6


class Store(Daemon):
    """The daemon that votes on the configuration.

    Attributes:
        node: its part in the consensus group.
    """

    __slots__ = ("node",)

    def __init__(self, context: Context, settings_path: str) -> None:
        super().__init__(context, STORE_PROGRAM, STORE_PORT_OFFSET, settings_path)
        self.node = ConfigurationNode(
            context, self.rpc, self.membership, self.open_storage(), find_handler
        )
        self.node.sessions = SessionGroupManager(self.node)
        self.node.rollouts = RolloutManager(self.node)

    def open_storage(self) -> VoteStore[ConfigurationValue]:
        """Where the vote is kept on this machine's disk."""
        folder = os.path.join(self.context.settings.data_path or ".", FOLDER)
        os.makedirs(folder, exist_ok=True)
        return VoteStorage(NumberedTables(Folder(folder)), read_configuration_value)

    def start(self) -> None:
        """See `Daemon.start`."""
        super().start()
        self.watch_stalls()
        self.node.start()

    def stop(self) -> None:
        """Gives up leadership and vote by agreement, leaves, and ends; at the latest after a share
        of the grace period.
        """
        context = self.context
        grace_ms = context.settings.bounds.grace_period_s * MS_PER_S
        earliest_ms = context.now_ms() + grace_ms * SHORTEST_SHUTDOWN_SHARE
        context.call_later(grace_ms * LONGEST_SHUTDOWN_SHARE, self.finish)

        def left() -> None:
            self.membership.exit()
            context.call_later(max(1.0, earliest_ms - context.now_ms()), self.finish)

        self.membership.leave()
        self.node.leave_group(left)

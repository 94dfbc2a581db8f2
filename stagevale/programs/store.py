"""The store: keeps the configuration and the evacuations on disk; serves nothing outside."""

import os

from stagevale.configuration.disk import Folder, NumberedTables
from stagevale.configuration.node import ConfigurationNode
from stagevale.configuration.value import read_value
from stagevale.placement import place
from stagevale.programs import Daemon
from stagevale.register.storage import VoteStorage

SHORTEST_END_SHARE = 0.2
LONGEST_END_SHARE = 0.6


class Store(Daemon):
    """The daemon that votes on the configuration register."""

    __slots__ = ("node",)

    def __init__(self, context, path):
        super().__init__(context, "store", 1, path)
        self.node = ConfigurationNode(context, self.switchboard, self.membership, self.storage())
        self.membership.placer = lambda members, table, moves: place(
            members, table, moves, context.settings.zones
        )

    def storage(self):
        """Where the vote is kept on this machine's disk."""
        folder = os.path.join(self.context.settings.data_path or ".", "store")
        os.makedirs(folder, exist_ok=True)
        return VoteStorage(NumberedTables(Folder(folder)), read_value)

    def begin(self):
        super().begin()
        self.watch_stalls()
        self.node.start()

    def end(self):
        """Gives up leadership and seat by agreement, leaves, and ends; at the latest after a share
        of the grace period.
        """
        grace_ms = self.context.settings.bounds.grace_period_s * 1000.0
        shortest_ms = self.context.now_ms() + grace_ms * SHORTEST_END_SHARE
        self.context.after(grace_ms * LONGEST_END_SHARE, self.finish)

        def unseated():
            self.membership.exit()
            self.context.after(max(1.0, shortest_ms - self.context.now_ms()), self.finish)

        self.membership.leave()
        self.node.hand_over(unseated)

"""The store: keeps the configuration and the evacuations on disk; serves nothing outside."""

import os

from stagevale.configuration.disk import DiskRegister, Folder
from stagevale.configuration.keeping import Keeper
from stagevale.placement import place
from stagevale.programs import Daemon


class Store(Daemon):
    """The daemon that votes on the configuration register."""

    __slots__ = ("keeper",)

    def __init__(self, context, path):
        super().__init__(context, "store", 1, path)
        folder = os.path.join(context.settings.data_path or ".", "store")
        os.makedirs(folder, exist_ok=True)
        self.keeper = Keeper(context, self.board, self.membership, DiskRegister(Folder(folder)))
        self.membership.placer = lambda members, table, moves: place(
            members, table, moves, context.settings.zones
        )

    def begin(self):
        super().begin()
        self.keeper.start()

    def end(self):
        """Gives its duty up and leaves."""
        self.keeper.hand_over()
        self.membership.leave()
        self.membership.exit()
        self.context.after(self.context.settings.bounds.grace_period_s * 200.0, self.finish)

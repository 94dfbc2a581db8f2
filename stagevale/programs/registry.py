"""The registry: serves control and directory, knows the endpoints, feeds the proxies, forwards
orders.
"""

import os

from stagevale.configuration.disk import DiskRegister, Folder, NumberedTables
from stagevale.duties.counts import Ledger
from stagevale.duties.node import USAGE_DUTY, DutyNode, read_duty_value
from stagevale.duties.true_time import TrueTime
from stagevale.placement import place
from stagevale.programs import Daemon
from stagevale.register.storage import VoteStorage
from stagevale.registrations.calls import CallConnection, dispatcher
from stagevale.registrations.service import RegistryService

TTL_SHARE = 0.8
SHORTEST_END_SHARE = 0.4
LONGEST_END_SHARE = 0.7
RELEASE_CHECK_MS = 50.0


class Registry(Daemon):
    """The daemon beside the store on a core machine that all calls from outside come to."""

    __slots__ = ("service", "dispatch", "duties", "unseated")

    def __init__(self, context, path):
        super().__init__(context, "registry", 0, path)
        bounds = context.settings.bounds
        self.service = RegistryService(context, self.switchboard, self.membership)
        self.duties = None
        self.unseated = True
        self.dispatch = dispatcher(context, self.service, bounds.ttl_max_s * TTL_SHARE)
        self.membership.placer = lambda members, table, moves: place(
            members, table, moves, context.settings.zones
        )

    def begin(self):
        super().begin()
        self.watch_stalls()
        folder = self.context.settings.data_path
        if folder:
            folder = os.path.join(folder, "registry")
            os.makedirs(folder, exist_ok=True)
            self.service.load_hints(self.open_disk(folder))
            if USAGE_DUTY in self.context.settings.duties:
                self.take_part(
                    VoteStorage(NumberedTables(Folder(self.duties_folder())), read_duty_value)
                )
        self.service.start()
        for name in ("control", "directory"):
            address = self.context.settings.listen.get(name)
            if address:
                self.context.listen(address, lambda: CallConnection(self.context, self.dispatch))

    def duties_folder(self):
        folder = os.path.join(self.context.settings.data_path, "duties")
        os.makedirs(folder, exist_ok=True)
        return folder

    def take_part(self, disk):
        """Takes part in the duties at the platform; without any in the settings this costs
        nothing.
        """
        service = self.service
        service.true_time = TrueTime(self.context, service.core_size)
        service.ledger = Ledger(
            self.context.settings.bounds, lambda: list(service.feeding.subscribers)
        )
        self.duties = service.duties = DutyNode(
            self.context, self.switchboard, self.membership, disk, service.ledger, service.true_time
        )
        self.duties.start()

    def open_disk(self, folder):
        return DiskRegister(Folder(folder))

    def end(self):
        """Leaves in order: hands its parts, its seat in the duties' register and its session
        records over, then ends.
        """
        self.service.stopping = True
        if self.duties is not None:
            self.unseated = False
            self.duties.hand_over(self.now_unseated)
        self.membership.leave()
        for part in list(self.service.part_owners.owners):
            if self.service.part_owners.owners[part][0] == self.switchboard.address:
                del self.service.part_owners.owners[part]
        grace_ms = self.context.settings.bounds.grace_period_s * 1000.0
        self.context.after(grace_ms * LONGEST_END_SHARE, self.finish)
        self.context.after(grace_ms * SHORTEST_END_SHARE, self.finish_when_released)

    def now_unseated(self):
        self.unseated = True

    def keeps_sessions(self):
        """True while this registry is in a session group, or others still learn from it."""
        value = self.service.register.value
        return value is not None and any(
            self.switchboard.address in (*members, *before)
            for _, members, before in value.sessions.values()
        )

    def finish_when_released(self):
        """Ends once nothing is kept here alone any more."""
        if self.unseated and not self.keeps_sessions():
            self.finish()
        else:
            self.context.after(RELEASE_CHECK_MS, self.finish_when_released)

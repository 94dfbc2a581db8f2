"""The registry: serves control and directory, knows the instances, feeds the proxies, forwards
commands.
"""

import os

from stagevale.api.http_connection import HttpConnection
from stagevale.api.registry_api import RegistryApi
from stagevale.consensus.vote_storage import VoteStorage, VoteStore
from stagevale.daemons.daemon import Daemon
from stagevale.discovery.registry_service import RegistryService, SessionReplicas
from stagevale.membership.member import REGISTRY_PROGRAM
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context
from stagevale.singleton.agreed_clock import AgreedClock
from stagevale.singleton.node import USAGE_ROLE, SingletonNode
from stagevale.singleton.usage_table import UsageTable
from stagevale.singleton.value import SingletonValue, read_singleton_value
from stagevale.storage.folder import Folder
from stagevale.storage.generations import GenerationFile
from stagevale.storage.merging_log import Lifetime, MergingLog
from stagevale.storage.row_log import RowLog
from stagevale.storage.tables import NumberedTables

HINTS_FOLDER = "registry"
DEPARTURES_FOLDER = "departures"
TALLIES_FOLDER = "tallies"
SINGLETON_FOLDER = "duties"
SESSIONS_FOLDER = "sessions"
KEYS_FOLDER = "session-keys"
# How long clients may keep the directory's answers, as a share of the longest that counts.
TTL_SHARE = 0.8
# Shares of the grace period: a shutdown takes at least the one, so that shards are handed over, and
# at most the other.
SHORTEST_SHUTDOWN_SHARE = 0.4
LONGEST_SHUTDOWN_SHARE = 0.7
SHUTDOWN_CHECK_MS = 50.0


class Registry(Daemon):
    """The daemon beside the store on a core machine that all calls from outside come to.

    Attributes:
        service: what it does.
        singleton: its part in the platform's singleton roles, or None.
    """

    served = ("control", "directory")

    __slots__ = ("service", "api", "singleton", "_singleton_left")

    def __init__(self, context: Context, settings_path: str) -> None:
        super().__init__(context, REGISTRY_PROGRAM, 0, settings_path)
        bounds = context.settings.bounds
        self.service = RegistryService(context, self.rpc, self.membership)
        self.service.make_session_replicas = self.make_session_replicas
        self.api = RegistryApi(self.service, bounds.ttl_max_s * TTL_SHARE)
        self.singleton: SingletonNode | None = None
        self._singleton_left = True

    def start(self) -> None:
        """See `Daemon.start`."""
        super().start()
        self.watch_stalls()
        settings = self.context.settings
        if settings.data_path:
            self.service.load_hints(GenerationFile(self._folder(HINTS_FOLDER)))
            self.service.keep_departures(RowLog(self._folder(DEPARTURES_FOLDER)))
            self.service.keep_tallies(MergingLog(self._folder(TALLIES_FOLDER)))
            if USAGE_ROLE in settings.duties:
                tables = NumberedTables(self._folder(SINGLETON_FOLDER))
                self.join_singleton(VoteStorage(tables, read_singleton_value))
        self.service.start()
        for name in self.served:
            address = settings.listen.get(name)
            if address:
                self.context.listen(address, self._accept_caller)

    def _accept_caller(self) -> HttpConnection:
        configuration = self.service.configuration
        return HttpConnection(
            self.context, self.api.router.dispatch, lambda: configuration.basis_serial
        )

    def _folder(self, name: str) -> Folder:
        """A folder of this daemon's data; made where it isn't there."""
        path = os.path.join(self.context.settings.data_path, name)
        os.makedirs(path, exist_ok=True)
        return Folder(path)

    def join_singleton(self, storage: VoteStore[SingletonValue]) -> None:
        """Takes part in the singleton roles; without any in the settings they cost nothing."""
        service = self.service
        clock = AgreedClock(self.context, service.contact.core_size)
        usage = UsageTable(self.context.settings.bounds, lambda: list(service.feeds.subscribers))
        service.agreed_clock, service.usage = clock, usage
        self.singleton = SingletonNode(
            self.context, self.rpc, self.membership, storage, usage, clock
        )
        service.singleton = self.singleton
        self.singleton.start()

    def make_session_replicas(self) -> SessionReplicas:
        """This registry's part in the sessions; made with the first session group."""
        from stagevale.sessions.replica import SessionReplica
        from stagevale.sessions.stored_rows import KEY_ROWS, longest_left_ms

        key_log = MergingLog(
            self._folder(KEYS_FOLDER), KEY_ROWS, Lifetime(self.context.now_ms, longest_left_ms)
        )
        log = RowLog(self._folder(SESSIONS_FOLDER))
        return SessionReplica(self.context, self.rpc, log, key_log)

    # shutdown

    def stop(self) -> None:
        """Hands over shards, the vote on singleton roles and session records, then ends."""
        self.service.stopping = True
        if self.singleton is not None:
            self._singleton_left = False
            self.singleton.leave_group(self._on_singleton_left)
        self.membership.leave()
        self.service.shard_ownership.resign_all()
        grace_ms = self.context.settings.bounds.grace_period_s * MS_PER_S
        self.context.call_later(grace_ms * LONGEST_SHUTDOWN_SHARE, self.finish)
        self.context.call_later(grace_ms * SHORTEST_SHUTDOWN_SHARE, self._finish_when_released)

    def _on_singleton_left(self) -> None:
        self._singleton_left = True

    def _keeps_sessions(self) -> bool:
        """True while this registry is in a session group, or others still learn from it."""
        value = self.service.configuration.value
        groups = value.sessions.values() if value is not None else ()
        return any(self.rpc.address in (*group.members, *group.former_members) for group in groups)

    def _finish_when_released(self) -> None:
        """Ends once nothing is kept here alone any more."""
        if self._singleton_left and not self._keeps_sessions():
            self.finish()
        else:
            self.context.call_later(SHUTDOWN_CHECK_MS, self._finish_when_released)

"""A registry's service: wires its parts and keeps what they share: placement, rounds."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from stagevale.configuration.value import SessionGroup
from stagevale.discovery.anti_entropy import AntiEntropy
from stagevale.discovery.configuration_client import ConfigurationClient
from stagevale.discovery.departures import Departures
from stagevale.discovery.feeds import Feeds
from stagevale.discovery.heartbeats import HeartbeatReceiver
from stagevale.discovery.instance_hints import InstanceHints
from stagevale.discovery.instance_table import InstanceTable
from stagevale.discovery.lease_relay import LeaseRelay
from stagevale.discovery.messages import RECEIVED, FeedHeartbeat, ShardHandoff
from stagevale.discovery.proxy_directory import ProxyDirectory
from stagevale.discovery.shard_ownership import ShardOwnership
from stagevale.membership.gossip_state import Handoff, HandoffStatus
from stagevale.membership.membership import Membership
from stagevale.placement.shards import SHARDS
from stagevale.reachability.registry_contact import TICK_SHARE, RegistryContact
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply, RpcTransport
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context
from stagevale.storage.generations import GenerationFile
from stagevale.storage.row_log_writer import Log
from stagevale.tallies.replica import TallyReplica

# In rounds: how soon after the start the first comes, and how far apart the ticks are.
FIRST_TICK_SHARE = 0.05
FIRST_VALUE_SHARE = 0.1
TICK_JITTER = (0.95, 1.05)
# Instances are forgotten so many times `contactMs` after they left, or were last heard.
GONE_KEPT, SILENT_KEPT = 10, 60


class SessionReplicas(Protocol):
    """The session records kept here; see `sessions.replica`."""

    def configure(self, groups: Mapping[str, SessionGroup]) -> None:
        """Takes in the newest session groups."""

    def status(self) -> dict[str, Any]:
        """Counts for the tools."""


class SingletonRole(Protocol):
    """This registry's part in the platform's singleton roles; see `singleton.node`."""

    def status(self) -> dict[str, Any]:
        """What this registry knows of the role, for the tools."""


class UsageTable(Protocol):
    """Counts of requests by tenant; see `singleton.usage_table`."""

    def record(self, peer: str, body: Any) -> None:
        """Takes in a proxy's counts."""


class AgreedClock(Protocol):
    """The core's agreed time; see `singleton.agreed_clock`."""

    def record(self, peer: str, wall_ms: float) -> None:
        """Takes in another machine's time of day."""

    def now_ms(self) -> float | None:
        """The agreed time of day; None while it isn't known."""


class RegistryService:
    """Wires what a registry does.

    Attributes:
        interval_ms: the length of a round.
        contact: which registries are in reach.
        stopping: a graceful shutdown has begun.
        hints: what is remembered over a restart; None without a disk.
        departures: drains and leaves on disk; None without a disk.
        tallies: this registry's part in the tallies; None without a disk.
        agreed_clock, usage, singleton: set where the platform has singleton roles.
        sessions: the session records kept here; None until there are session groups.
        make_session_replicas: makes `sessions`; set by the daemon.
    """

    __slots__ = (
        "context",
        "rpc",
        "membership",
        "interval_ms",
        "contact",
        "stopping",
        "instances",
        "heartbeats",
        "shard_ownership",
        "feeds",
        "proxies",
        "anti_entropy",
        "configuration",
        "lease_relay",
        "hints",
        "departures",
        "tallies",
        "agreed_clock",
        "usage",
        "singleton",
        "sessions",
        "make_session_replicas",
        "_ticks",
        "_handoffs_under_way",
    )

    def __init__(self, context: Context, rpc: RpcTransport, membership: Membership) -> None:
        self.context = context
        self.rpc = rpc
        self.membership = membership
        self.contact = RegistryContact(context, membership)
        self.interval_ms = self.contact.interval_ms
        self.stopping = False
        self.hints: InstanceHints | None = None
        self.departures: Departures | None = None
        self.tallies: TallyReplica | None = None
        self.agreed_clock: AgreedClock | None = None
        self.usage: UsageTable | None = None
        self.singleton: SingletonRole | None = None
        self.sessions: SessionReplicas | None = None
        self.make_session_replicas: Callable[[], SessionReplicas] | None = None
        self._ticks = 0
        self._handoffs_under_way: set[tuple[str, str, str]] = set()
        self.instances = InstanceTable()
        self.heartbeats = HeartbeatReceiver(self)
        self.shard_ownership = ShardOwnership(self)
        self.feeds = Feeds(self)
        self.proxies = ProxyDirectory(self)
        self.anti_entropy = AntiEntropy(self)
        self.configuration = ConfigurationClient(self)
        self.lease_relay = LeaseRelay(self)
        self._add_metrics()
        rpc.handle(MessageKind.SHARD_HANDOFF, ShardHandoff, self._on_handoff)
        rpc.handle(MessageKind.USAGE_REPORT, list, self._on_usage_report)
        rpc.refusal_hooks.append(self.contact.record_refusal)
        membership.add_listener(self._on_membership_changed)

    def _add_metrics(self) -> None:
        configuration, now_ms = self.configuration, self.context.now_ms
        ages_s = {
            "since it came": lambda: (now_ms() - configuration.taken_ms) / MS_PER_S,
            "since it was confirmed": lambda: (now_ms() - configuration.confirmed_ms) / MS_PER_S,
        }
        self.context.metrics.add_configuration(lambda: configuration.serial, ages_s)

    def start(self) -> None:
        """Begins the rounds and looks for the configuration value."""
        self.context.call_later(self.interval_ms * FIRST_TICK_SHARE, self._tick)
        self.context.call_later(
            self.interval_ms * FIRST_VALUE_SHARE, self.configuration.pull_first_value
        )

    def load_hints(self, file: GenerationFile) -> None:
        """Begins from the instances that this registry knew when it last ran."""
        self.hints = InstanceHints(self, file)
        self.hints.load()

    def keep_departures(self, log: Log) -> None:
        """Acknowledges drains and leaves only once they are in a log on disk, and begins from it."""
        self.departures = Departures(self, log)

    def keep_tallies(self, log: Log) -> None:
        """Keeps tallies in a log on disk, and begins from it."""
        self.tallies = TallyReplica(self.context, self.rpc, self.contact, log)
        self.tallies.start()

    # placement

    def replicas_of(self, shard: str) -> tuple[str, ...]:
        """The registries that keep a shard: by the placement table, or the shared seeds before
        there is one.
        """
        replicas = self.membership.state.table.get(shard)
        if replicas:
            return replicas
        settings = self.context.settings
        return tuple(f"{ip}:{settings.inner_ports[0]}" for ip in settings.seeds)

    # rounds

    def _tick(self) -> None:
        jitter = self.context.random.uniform(*TICK_JITTER)
        self.context.call_later(self.interval_ms * TICK_SHARE * jitter, self._tick)
        self.contact.look()
        self._ticks += 1
        whole_round = self._ticks % 2 == 1
        now_ms = self.context.now_ms()
        contact_ms = self.context.settings.bounds.contact_ms
        self.instances.forget(now_ms - contact_ms * GONE_KEPT, now_ms - contact_ms * SILENT_KEPT)
        self.proxies.send_announcements()
        self.anti_entropy.ping(self._ping_targets(whole_round))
        if whole_round:
            self.heartbeats.report_heartbeats()
            if self.contact.is_starting():
                self.heartbeats.announce_departures()
            self.shard_ownership.campaign()
            self._start_handoffs()
            if self.hints is not None:
                self.hints.save()
        self.shard_ownership.declare_silent_unhealthy()
        self.feeds.send_heartbeats(self._feed_heartbeat())

    def _ping_targets(self, whole_round: bool) -> list[str]:
        """The registries to ping: those of other regions once a round only."""
        return [
            member.address
            for member in self.contact.others()
            if whole_round or member.region == self.membership.me.region
        ]

    def _feed_heartbeat(self) -> FeedHeartbeat:
        in_contact = self.contact.reaches_majority() or self.contact.is_starting()
        agreed_ms = self.agreed_clock.now_ms() if self.agreed_clock is not None else None
        return FeedHeartbeat(
            self.configuration.newest_heard,
            1 if in_contact else 0,
            int(agreed_ms) if agreed_ms is not None else None,
        )

    def configure_sessions(self, groups: Mapping[str, SessionGroup]) -> None:
        """Takes in the newest session groups."""
        if self.sessions is None:
            if self.make_session_replicas is None:
                return
            self.sessions = self.make_session_replicas()
        self.sessions.configure(groups)

    def _on_usage_report(self, peer: str, body: list[Any], reply: Reply) -> None:
        if self.usage is not None:
            self.usage.record(peer, body)

    # handoffs

    def _on_membership_changed(self) -> None:
        self.context.call_soon(self._start_handoffs)

    def _start_handoffs(self) -> None:
        """Hands over the shards that pending handoffs take from this registry, and leaves once
        nothing is placed on it any more.
        """
        for handoff in self.membership.state.handoffs:
            if (
                handoff.source == self.rpc.address
                and handoff.status == HandoffStatus.PENDING
                and handoff.key() not in self._handoffs_under_way
            ):
                self._hand_off(handoff)
        if self.stopping and not self._keeps_shards():
            self.membership.exit()

    def _keeps_shards(self) -> bool:
        table = self.membership.state.table
        return any(self.rpc.address in table.get(shard, ()) for shard in SHARDS)

    def _hand_off(self, handoff: Handoff) -> None:
        self._handoffs_under_way.add(handoff.key())

        def replied(reply: int | None, _error: RequestError | None) -> None:
            self._handoffs_under_way.discard(handoff.key())
            if reply:
                self.membership.complete_handoff(handoff)

        rows = codec.encode_rows(self.instances.rows(handoff.shard, self.context.now_ms()))
        message = ShardHandoff(handoff.shard, rows)
        self.rpc.request(
            handoff.target, MessageKind.SHARD_HANDOFF, message, int, replied, self.interval_ms
        )

    def _on_handoff(self, peer: str, message: ShardHandoff, reply: Reply) -> None:
        rows = codec.decode_rows(message.rows)
        self.heartbeats.take_rows(rows, True, lambda: reply(RECEIVED))

"""The proxy: carries the traffic; serves front and readiness; diskless."""

import asyncio
from typing import Any

from stagevale.api.http_connection import HttpConnection
from stagevale.api.readiness import readiness_router
from stagevale.balancing.snapshot import ProxyMember
from stagevale.configuration.value import read_configuration_value
from stagevale.daemons.daemon import Daemon
from stagevale.discovery.instance import Instance
from stagevale.discovery.messages import FeedMessage
from stagevale.edge.feed_client import FeedClient
from stagevale.edge.lease_client import LeaseClient
from stagevale.edge.target_table import TargetTable
from stagevale.forwarding.client_connection import ClientConnection
from stagevale.forwarding.forwarder import Forwarder
from stagevale.membership.member import PROXY_PROGRAM
from stagevale.metrics.recovery import RecoveryStep, record_recovery
from stagevale.placement.fronts import front_open_ms
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind
from stagevale.runtime.clock import MS_PER_S
from stagevale.runtime.context import Context
from stagevale.singleton.messages import UsageReport
from stagevale.singleton.usage_counter import UsageCounter

USAGE_ROLE = "usage_report"
INCARNATION_BITS = 32
# A share of the grace period: when the process ends at the latest.
LONGEST_SHUTDOWN_SHARE = 0.85
SHUTDOWN_CHECK_MS = 50.0
LAST_REPORT_MS = 20.0
# The fields of a report before the optional ones, which stand in fixed places.
REPORT_FIELDS = 5


class Proxy(Daemon):
    """The daemon on an edge machine.

    Attributes:
        forwarder: carries requests.
        targets: the endpoints.
        feed: the subscription to a registry.
        leases: lease requests.
        usage: counts of requests by tenant; None where nobody needs them.
        incarnation: of this process, for reports that count up since its start.
        instances_received: a feeder has said which endpoints there are.
    """

    served = ("front", "ready")

    __slots__ = (
        "forwarder",
        "targets",
        "feed",
        "leases",
        "usage",
        "incarnation",
        "instances_received",
        "_front_server",
    )

    def __init__(self, context: Context, settings_path: str) -> None:
        super().__init__(context, PROXY_PROGRAM, 0, settings_path)
        settings = context.settings
        self.forwarder = Forwarder(context, self.rpc.address)
        self.targets = TargetTable(context)
        self.instances_received = False
        self._front_server: asyncio.Server | None = None
        if settings.steering:
            from stagevale.latency_routing.router import LatencyRouter

            self.forwarder.chooser.latency_router = LatencyRouter(
                settings.bounds,
                settings.region,
                context.random,
                self.forwarder.chooser.estimates.rtt_ms,
            )
        self.incarnation = f"{context.random.getrandbits(INCARNATION_BITS):08x}"
        self.usage: UsageCounter | None = None
        if USAGE_ROLE in settings.duties:
            self.usage = self.forwarder.usage = UsageCounter(settings.bounds)
        self.feed = FeedClient(self, self._on_feed)
        self.leases = LeaseClient(self)
        metrics = context.metrics
        metrics.add_queue("requests without an endpoint", self.forwarder.queue.length)
        metrics.add_queue("requests under way", lambda: self.forwarder.running)
        self._add_configuration_metrics()
        self.membership.add_listener(self._on_membership_changed)

    def _add_configuration_metrics(self) -> None:
        lag, context = self.feed.lag, self.context
        ages_s = {
            "behind what it heard of": lambda: lag.behind_ms(context.now_ms()) / MS_PER_S,
            "longest behind": lambda: lag.longest_ms / MS_PER_S,
            "unfed": lambda: self.feed.unfed_ms() / MS_PER_S,
        }
        context.metrics.add_configuration(lambda: self.forwarder.snapshot.serial, ages_s)

    def start(self) -> None:
        """See `Daemon.start`."""
        super().start()
        self._load_policy()
        listen = self.context.settings.listen
        if "ready" in listen:
            router = readiness_router(self.is_ready)
            self.context.listen(
                listen["ready"], lambda: HttpConnection(self.context, router.dispatch)
            )
        self.context.listen(
            listen["front"], lambda: ClientConnection(self.forwarder), self._on_front_listening
        )
        self.feed.start()

    def reload(self) -> None:
        """See `Daemon.reload`."""
        super().reload()
        self._load_policy()

    def _load_policy(self) -> None:
        """Takes the policy that the settings name; one that can't be used leaves the built-in
        choice.
        """
        path = self.context.settings.policy_path
        chooser = self.forwarder.chooser
        chooser.policy = None
        if not path:
            return
        from stagevale.balancing.policies import PolicyError, load_policy

        try:
            chooser.policy = load_policy(path, self.context.log)
        except PolicyError as error:
            # An operator's mistake: the trace says nothing.
            text = "policy: %s; the built-in choice is used."
            self.context.log.error(text, error)  # noqa: TRY400 - see above
        else:
            self.context.log.info("policy: %s is in use.", path)

    def _on_front_listening(self, server: asyncio.Server) -> None:
        self._front_server = server

    def is_ready(self) -> bool:
        """True once this proxy can serve: it has a configuration and knows endpoints, and doesn't
        shut down.
        """
        has_routes = bool(self.forwarder.snapshot.hosts)
        return has_routes and self.instances_received and not self.stopping

    # the feed

    def _on_feed(self, message: FeedMessage) -> None:
        """News from a feeder: the configuration value, instances, or both."""
        rows = codec.decode_rows(message.rows)
        was_ready = self.is_ready()
        if message.has_value:
            self._take_value(message.encoded)
        self.take_instances(rows)
        if rows or not message.has_value:
            self.instances_received = True
            record_recovery(self.context, self.program, RecoveryStep.FED)
        self._ensure_sessions()
        self.leases.ensure_running()
        if self.is_ready() != was_ready:
            self.context.log.info(
                "proxy: %s.", "ready to serve" if self.is_ready() else "no longer ready to serve"
            )
            if not was_ready:
                record_recovery(self.context, self.program, RecoveryStep.READY)
            self.feed.renew()
        self.forwarder.offer_queued()

    def _take_value(self, encoded: bytes) -> None:
        before = self.forwarder.snapshot
        value = read_configuration_value(encoded)
        if value.serial <= before.serial:
            return
        snapshot = before.with_value(value)
        for zone in before.evacuated - snapshot.evacuated:
            self.targets.end_evacuation(zone, snapshot)
        self.forwarder.snapshot = snapshot
        self.feed.lag.held(value.serial, self.context.now_ms())
        self.membership.value_serial = value.serial
        self.context.log.info(
            "proxy: version %d is in force, configuration r%d.", value.serial, value.version
        )

    def take_instances(self, rows: list[Any]) -> None:
        """Takes in instances, as rows of a feed."""
        if not rows:
            return
        now_ms = self.context.now_ms()
        for row in rows:
            self.targets.update(Instance.from_row(row, now_ms))
        self.forwarder.snapshot = self.forwarder.snapshot.with_targets(self.targets.by_service())

    def _ensure_sessions(self) -> None:
        """Begins to keep sessions with the first session group."""
        if not self.forwarder.snapshot.sessions or self.forwarder.sessions is not None:
            return
        from stagevale.sessions.proxy_sessions import ProxySessions

        self.forwarder.sessions = ProxySessions(
            self.context, self.rpc, self.forwarder, self.membership
        )

    def _on_membership_changed(self) -> None:
        proxies = tuple(
            ProxyMember(member.address, member.zone, member.region)
            for member in self.membership.members(PROXY_PROGRAM)
        )
        if proxies != self.forwarder.snapshot.proxies:
            self.forwarder.snapshot = self.forwarder.snapshot.with_proxies(proxies)

    # reports

    def endpoint_report(self, age_ms: int) -> list[Any]:
        """What this proxy has seen since its last report; read by `doctor`, `rehearse` and
        `delays`.

        Args:
            age_ms: how long ago the last report was.
        """
        chooser = self.forwarder.chooser
        latencies = [
            [region, round(rtt_ms, 1)] for region, rtt_ms in chooser.estimates.rtt_ms.items()
        ]
        report: list[Any] = [
            age_ms,
            self.forwarder.flows.take(self.forwarder.snapshot),
            self.targets.slow_rows(),
            latencies,
        ]
        if self.forwarder.sessions is not None:
            report.append(self.forwarder.sessions.counts)
        if chooser.latency_router is not None:
            report += [{}] * (REPORT_FIELDS - len(report))
            report.append(chooser.latency_router.rows(self.context.now_ms()))
        return report

    def report_usage(self, everything: bool) -> None:
        """Tells the feeder how many requests of each tenant began, window by window."""
        feeder = self.feed.feeder
        if self.usage is None or self.usage.offset_ms is None or feeder is None:
            return
        upto_ms = self.usage.agreed_ms(self.context.now_ms())
        report = UsageReport(self.incarnation, upto_ms, self.usage.rows(everything))
        self.rpc.send(feeder, MessageKind.USAGE_REPORT, report)

    # shutdown

    def stop(self) -> None:
        """Is unready and left out first, then answers the requests that it has, then ends."""
        self.forwarder.leaving = True
        if self.forwarder.sessions is not None:
            self.forwarder.sessions.hand_over()
        self.feed.renew()
        self.membership.leave()
        self.membership.exit()
        bounds = self.context.settings.bounds
        close_front_ms = front_open_ms(bounds)
        longest_ms = bounds.grace_period_s * MS_PER_S * LONGEST_SHUTDOWN_SHARE
        end_ms = self.context.now_ms() + longest_ms
        self.context.call_later(close_front_ms, self._close_front, end_ms)
        self.context.call_later(longest_ms, self.finish)

    def _close_front(self, end_ms: float) -> None:
        """Takes no new connections, and no further request on those that there are."""
        if self._front_server is not None:
            self._front_server.close()
        self.forwarder.end_ms = end_ms
        self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        for connection in list(self.forwarder.connections):
            connection.drain()
        if not self.forwarder.connections and not self.forwarder.running:
            self.finish()
        else:
            self.context.call_later(SHUTDOWN_CHECK_MS, self._finish_when_idle)

    def finish(self) -> None:
        """Answers what is still under way and reports the last usage to the feeder, then ends."""
        connections = list(self.forwarder.connections)
        given_up = sum(connection.end_requests() for connection in connections)
        if given_up:
            self.context.log.warning(
                "proxy: %d requests on %d connections were given up at the end of the grace period.",
                given_up,
                len(connections),
            )
        self.report_usage(False)
        self.context.call_later(LAST_REPORT_MS, super().finish)

"""A registry's part in the singleton roles: it votes on holder, fencing token and reports; where it
leads, it holds the role and reports usage.
"""

import http
from collections.abc import Callable
from typing import Any

from stagevale.consensus.commands import Command, CommandReply
from stagevale.consensus.messages import ConfirmRequest
from stagevale.consensus.node import ConsensusNode
from stagevale.consensus.vote_storage import VoteStore
from stagevale.consensus.voter_id import addresses_of
from stagevale.membership.member import REGISTRY_PROGRAM
from stagevale.membership.membership import Membership
from stagevale.quorum.ballot import NO_BALLOT, Ballot
from stagevale.rpc.kinds import SINGLETON_KIND_OFFSET, MessageKind
from stagevale.rpc.transport import Reply, RpcTransport
from stagevale.runtime.clock import LONG_AGO_MS, MS_PER_S
from stagevale.runtime.context import Context
from stagevale.singleton.agreed_clock import AgreedClock
from stagevale.singleton.messages import UsageCountsRequest
from stagevale.singleton.usage_collector import UsageCollector
from stagevale.singleton.usage_sender import UsageSender
from stagevale.singleton.usage_table import UsageTable
from stagevale.singleton.value import SingletonValue, read_singleton_value

# The role's name in the settings and on the status page.
USAGE_ROLE = "usage_report"
NOT_FOUND = http.HTTPStatus.NOT_FOUND.value
HEARTBEATS_PER_CONTACT = 2.0
CYCLES_PER_CONTACT = 8.0
# In heartbeat intervals: how long the first voter bears the holder's silence, and how much longer
# each further one does.
FIRST_TIMEOUT_HEARTBEATS = 1.7
TIMEOUT_STEP_HEARTBEATS = 0.35
# A confirmation that took longer than this share of `leaseMs` says too little of this moment.
FRESH_SHARE = 0.25
# How long a daemon that the platform has fenced off doesn't run for the role, in `leaseMs`.
FENCED_OFF_LEASES = 1.25
# For the status page: the longest time-out of any voter, and how many sent windows are shown.
SHOWN_RANK = 8
SHOWN_WINDOWS = 10
# Windows that a report may be late at the holder, and at a registry that only follows.
LATE_WINDOWS_HOLDER, LATE_WINDOWS_FOLLOWER = 1, 3


class SingletonNode(ConsensusNode[SingletonValue]):
    """A registry's part in the singleton roles.

    Its election writes a fencing token above every earlier one, and a window's report is committed
    before the first call that bears it.

    Attributes:
        usage: counts of the proxies that this registry feeds.
        clock: the core's agreed time.
    """

    program = REGISTRY_PROGRAM
    port_offset = 0
    kind_offset = SINGLETON_KIND_OFFSET
    log_prefix = "duties"
    subject = "duties"

    __slots__ = ("usage", "clock", "collector", "sender", "_fenced_off_until_ms")

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        membership: Membership,
        storage: VoteStore[SingletonValue],
        usage: UsageTable,
        clock: AgreedClock,
    ) -> None:
        super().__init__(context, rpc, membership, storage)
        self.heartbeat_ms = context.settings.bounds.contact_ms / HEARTBEATS_PER_CONTACT
        self.usage = usage
        self.clock = clock
        self.collector = UsageCollector(self)
        self.sender = UsageSender(self)
        self._fenced_off_until_ms = LONG_AGO_MS
        rpc.handle(
            MessageKind.USAGE_COUNTS_REQUEST, UsageCountsRequest, self._on_usage_counts_request
        )

    # consensus

    def read_value(self, encoded: bytes) -> SingletonValue:
        """See `ConsensusNode.read_value`."""
        return read_singleton_value(encoded)

    def first_value(self) -> SingletonValue:
        """Nobody holds the role, and no window was committed."""
        return SingletonValue(0, 0, "", self.group(), (), 0)

    def first_proposal(self, value: SingletonValue) -> SingletonValue:
        """The new holder, under a fencing token that was never given before."""
        return value.changed(
            fencing_token=value.fencing_token + 1, holder=self.context.settings.name
        )

    def election_timeout_ms(self, rank: int) -> float:
        """See `ConsensusNode.election_timeout_ms`."""
        return self.heartbeat_ms * (FIRST_TIMEOUT_HEARTBEATS + TIMEOUT_STEP_HEARTBEATS * rank)

    def heartbeat_recipients(self) -> list[str]:
        """Registries; stores have no part in this."""
        return [
            member.address for member in self.membership.others() if member.program == self.program
        ]

    def may_campaign(self) -> bool:
        """Not for a while after the platform has fenced this daemon off."""
        return super().may_campaign() and self.context.now_ms() >= self._fenced_off_until_ms

    def on_confirm(self, peer: str, request: ConfirmRequest, reply: Reply) -> None:
        """The holder's request to its voters is a heartbeat too."""
        ballot: Ballot = request.ballot
        promised = self.acceptor.vote.promised
        newest = ballot >= promised and ballot >= self.election.leader_ballot
        if newest and ballot > NO_BALLOT and self.ballot is None:
            self.election.record_heartbeat(ballot)
        super().on_confirm(peer, request, reply)

    def start_voting(self) -> None:
        """See `ConsensusNode.start_voting`."""
        super().start_voting()
        self._run_role()

    def execute(self, command: Command) -> None:
        """Nobody sends this register commands."""
        command.reply(CommandReply(NOT_FOUND, "the duties take no orders"))
        self.context.call_soon(self.commands.process)

    # the role

    def holds_role(self) -> bool:
        """True while this daemon believes that it holds the role; `confirm_role` makes sure."""
        return (
            self.ballot is not None
            and self.committed is not None
            and not self.stopping
            and self.committed.holder == self.context.settings.name
        )

    def role_value(self) -> SingletonValue:
        """The committed value, for the holder.

        Raises:
            RuntimeError: this daemon doesn't hold the role; the caller should have checked.
        """
        if self.committed is None:
            raise RuntimeError("duties: not the holder")
        return self.committed

    def confirm_role(
        self, on_confirmed: Callable[[], None], on_rejected: Callable[[str], None]
    ) -> None:
        """Has a majority confirm the role.

        Args:
            on_confirmed: called at once when it has.
            on_rejected: called with a reason where that fails or took too long.
        """
        if not self.holds_role():
            on_rejected("the duty is held no more")
            return
        if not self.outlives_tolerance():
            on_rejected("the fence is not yet on enough disks")
            return
        asked_ms = self.context.now_ms()
        fencing_token = self.role_value().fencing_token
        fresh_ms = self.context.settings.bounds.lease_ms * FRESH_SHARE

        def confirmed(success: bool) -> None:
            if (
                success
                and self.holds_role()
                and self.role_value().fencing_token == fencing_token
                and self.context.now_ms() - asked_ms < fresh_ms
            ):
                on_confirmed()
            else:
                on_rejected("the duty isn't confirmed")

        self.confirm_leadership(confirmed)

    def _run_role(self) -> None:
        """The holder sends what is committed and collects the next window; others watch it."""
        contact_ms = self.context.settings.bounds.contact_ms
        self.context.call_later(contact_ms / CYCLES_PER_CONTACT, self._run_role)
        if self.holds_role():
            self.sender.send_next()
            self.collector.collect_next()
        else:
            self._watch_holder()

    def _watch_holder(self) -> None:
        """Campaigns once the holder has timed out, without waiting for the next heartbeat."""
        if not self.is_voter() or not self.may_campaign():
            return
        rank = self.group().index(self.acceptor.vote.voter)
        if self.election.since_heartbeat_ms() > self.election_timeout_ms(rank):
            self.election.campaign()

    def on_fenced_off(self) -> None:
        """The platform has seen a higher fencing token: another daemon holds the role."""
        lease_ms = self.context.settings.bounds.lease_ms
        self._fenced_off_until_ms = self.context.now_ms() + lease_ms * FENCED_OFF_LEASES
        self.step_down("the platform has seen a higher fence")

    # usage

    def _on_usage_counts_request(
        self, peer: str, request: UsageCountsRequest, reply: Reply
    ) -> None:
        if request.window == 0:
            reply(self.usage.oldest_window())
        else:
            reply(self.usage.counts(request.window, bool(request.by_proxy)))

    def status(self) -> dict[str, Any]:
        """What this registry knows of the role, for the tools."""
        value = self.committed or self.acceptor.vote.accepted
        holding = self.holds_role()
        pending = self.sender.unsent_windows(value)
        group = value.group if value is not None else self.group_view.seed_addresses()
        return {
            USAGE_ROLE: {
                "holder": value.holder if value else "",
                "fence": value.fencing_token if value else 0,
                "holding": holding,
                "heardMs": int(self.election.since_heartbeat_ms()),
                "borneMs": int(self.election_timeout_ms(SHOWN_RANK)),
                "chosenThrough": value.last_window if value else 0,
                "pending": pending,
                "sent": self.sender.sent_windows()[-SHOWN_WINDOWS:],
                "overdue": self._overdue(pending, holding),
                "votes": list(addresses_of(group)),
            }
        }

    def _overdue(self, windows: list[int], holding: bool) -> list[int]:
        """Those of some unsent windows that should have been sent."""
        agreed_ms = self.clock.now_ms()
        if agreed_ms is None:
            return []
        bounds = self.context.settings.bounds
        late_windows = LATE_WINDOWS_HOLDER if holding else LATE_WINDOWS_FOLLOWER
        due_ms = bounds.usage_delay_s * MS_PER_S
        window_ms = bounds.report_window_s * MS_PER_S
        return [
            window for window in windows if agreed_ms > (window + late_windows) * window_ms + due_ms
        ]

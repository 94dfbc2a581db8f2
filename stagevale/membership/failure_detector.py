"""Which members are unreachable, by the heartbeats that gossip carries."""

from typing import TYPE_CHECKING

from stagevale.membership.gossip_targets import FAR_SENDERS
from stagevale.membership.member import Member
from stagevale.membership.phi_accrual import HeartbeatHistory
from stagevale.runtime.listening_clock import ListeningClock

if TYPE_CHECKING:
    from stagevale.membership.membership import Membership

# The interval that is expected before any heartbeat, in gossip intervals, and how it rises with the
# size of the cluster: heartbeats of distant proxies take more rounds to arrive.
EXPECTED_INTERVALS = 1.5
CORE_SPREAD_EXPONENT = 0.25
EDGE_SPREAD_EXPONENT = 0.5


class FailureDetector:
    """Keeps a heartbeat history for each member.

    Attributes:
        histories: by address; gossip records heartbeats in them.
        unreachable: addresses of the members that are suspected.
        silent: those of them that are suspected for what this process could have heard, too: after
            a stall of its own nobody is, at first.
    """

    __slots__ = ("membership", "histories", "unreachable", "silent", "_clock")

    def __init__(self, membership: "Membership") -> None:
        self.membership = membership
        self.histories: dict[str, HeartbeatHistory] = {}
        self.unreachable: frozenset[str] = frozenset()
        self.silent: frozenset[str] = frozenset()
        self._clock = ListeningClock(membership.context, membership.interval_ms)

    def watch(self, member: Member, now_ms: float) -> None:
        """Begins a history for a member whose first heartbeat has arrived."""
        self.histories[member.address] = HeartbeatHistory(now_ms, self._expected_ms(member))

    def forget(self, address: str) -> None:
        """Drops a member's history: another incarnation has its address now."""
        self.histories.pop(address, None)

    def update(self, now_ms: float) -> None:
        """Finds the members that are unreachable now, and tells the membership of a change."""
        membership = self.membership
        self._clock.look()
        suspected = set()
        silent = set()
        for member in membership.state.counted_members():
            if member.address == membership.me.address:
                continue
            history = self.histories.get(member.address)
            if history is None:
                self.watch(member, now_ms)
            elif history.is_suspected(now_ms):
                suspected.add(member.address)
                deaf_ms = self._clock.deaf_since_ms(history.last_heartbeat_ms)
                if history.is_suspected(now_ms - deaf_ms):
                    silent.add(member.address)
        self.silent = frozenset(silent)
        unreachable = frozenset(suspected)
        if unreachable == self.unreachable:
            return
        log = membership.context.log
        for address in unreachable - self.unreachable:
            log.info("membership: %s is unreachable.", address)
        for address in self.unreachable - unreachable:
            log.info("membership: %s is reachable again.", address)
        self.unreachable = unreachable
        membership.notify_listeners()

    def _expected_ms(self, member: Member) -> float:
        """How far apart a member's heartbeats are expected to arrive before any has."""
        membership = self.membership
        exponent: float = CORE_SPREAD_EXPONENT if member.is_core else EDGE_SPREAD_EXPONENT
        spread: float = max(1.0, len(membership.state.members) / FAR_SENDERS) ** exponent
        return membership.interval_ms * EXPECTED_INTERVALS * spread

"""This daemon's view of the cluster, and its own place in it."""

from collections.abc import Callable, Collection

from stagevale.membership.downing import Downing
from stagevale.membership.failure_detector import FailureDetector
from stagevale.membership.gossip import Gossip
from stagevale.membership.gossip_state import GossipState, Handoff
from stagevale.membership.leader_actions import LeaderActions, PlacementRule
from stagevale.membership.member import (
    COUNTED_STATES,
    LEADER_STATES,
    Dot,
    Member,
    MemberState,
)
from stagevale.rpc.codec import socket_address
from stagevale.runtime.context import Context

UID_BITS = 31
# A restarted daemon's own changes begin at a random counter, so that they are not taken for those
# of its former incarnation.
FIRST_COUNTER_BITS = 20
INTERVALS_PER_CONTACT = 4.0
# The specification gossips three times as often while there is no convergence; this is cheaper.
UNCONVERGED_INTERVAL_SHARE = 0.45
INTERVAL_JITTER = (0.9, 1.1)
FIRST_ROUND_SHARE = (0.02, 0.1)
# For how many intervals the first contact is waited for before another daemon begins the cluster.
FIRST_CONTACT_INTERVALS = 2
LEAVING_ROUNDS = 3


class Membership:
    """Holds the gossip state and changes it on this daemon's behalf.

    Attributes:
        me: this daemon's member.
        state: the gossip state.
        contacts: addresses to join by: the seeds and, later, all that is known of the core.
        interval_ms: how far apart gossip rounds are in a converged cluster.
        value_serial: the serial of the newest configuration value held here; gossiped.
        on_newer_value: called with a peer and its serial where that is higher; or None.
    """

    __slots__ = (
        "context",
        "me",
        "state",
        "members_by_key",
        "contacts",
        "interval_ms",
        "value_serial",
        "on_newer_value",
        "failure_detector",
        "gossip",
        "downing",
        "leader_actions",
        "_listeners",
        "_started_ms",
        "_own_counter",
    )

    def __init__(self, context: Context, address: str, program: str, front: str = "") -> None:
        settings = context.settings
        self.context = context
        self.me = Member(
            address,
            context.random.getrandbits(UID_BITS),
            0,
            MemberState.JOINING,
            program,
            settings.zone,
            settings.region,
            front,
        )
        self._own_counter = 1 + context.random.getrandbits(FIRST_COUNTER_BITS)
        self.me.dot = Dot(address, self._own_counter)
        self.state = GossipState({address: self._own_counter}, {address: self.me}, 0, {}, ())
        self.members_by_key = {self.me.key: self.me}
        self.contacts = [f"{ip}:{settings.inner_ports[0]}" for ip in settings.seeds] or [address]
        self.interval_ms = settings.bounds.contact_ms / INTERVALS_PER_CONTACT
        self.value_serial = 0
        self.on_newer_value: Callable[[str, int], None] | None = None
        self.failure_detector = FailureDetector(self)
        self.gossip = Gossip(self)
        self.gossip.remember_clock(self.state)
        self.downing = Downing(self)
        self.leader_actions = LeaderActions(self)
        self._listeners: list[Callable[[], None]] = []
        self._started_ms = context.now_ms()

    def start(self) -> None:
        """Binds the gossip port and begins to gossip."""
        self.context.listen_datagrams(socket_address(self.me.address), self.gossip)
        delay_ms = self.context.random.uniform(*FIRST_ROUND_SHARE) * self.interval_ms
        self.context.call_later(delay_ms, self._run_round)

    def _run_round(self) -> None:
        """One gossip round: heartbeat, failure detection, the leader's actions, overviews."""
        now_ms = self.context.now_ms()
        self.gossip.heartbeat += 1
        self.failure_detector.update(now_ms)
        self.ensure_own_member()
        converged = self.is_converged()
        self.leader_actions.run(converged, now_ms)
        self.gossip.run_round(converged)
        share = 1.0 if converged else UNCONVERGED_INTERVAL_SHARE
        jitter = self.context.random.uniform(*INTERVAL_JITTER)
        self.context.call_later(self.interval_ms * share * jitter, self._run_round)

    # questions

    def others(self, states: Collection[MemberState] = COUNTED_STATES) -> list[Member]:
        """The other members in these states."""
        return [
            member
            for member in self.state.members.values()
            if member.state in states and member.address != self.me.address
        ]

    def members(
        self, program: str, states: Collection[MemberState] = COUNTED_STATES
    ) -> list[Member]:
        """Members that run a program, this one included, in the order of their addresses."""
        return [
            member
            for member in self.state.sorted_members()
            if member.program == program and member.state in states
        ]

    def is_reachable(self, address: str) -> bool:
        """False for members that the failure detector suspects."""
        return address not in self.failure_detector.unreachable

    def is_alone(self) -> bool:
        """True where this daemon has not joined yet, or reaches no other member."""
        if self.state.members[self.me.address].state == MemberState.JOINING:
            return True
        return not any(self.is_reachable(member.address) for member in self.others())

    def is_converged(self) -> bool:
        """True when every member that counts is reachable and has seen this very state (Akka
        Cluster Specification, Gossip Convergence).
        """
        checksum, peers = self.state.checksum, self.gossip.peers
        unreachable = self.failure_detector.unreachable
        for member in self.state.counted_members():
            if member.address == self.me.address:
                continue
            if member.address in unreachable:
                return False
            view = peers.get(member.address)
            if view is None or view.uid != member.uid or view.checksum != checksum:
                return False
        return True

    def leader(self) -> str | None:
        """The first reachable member in sorted order that may lead, or None.

        Where nobody is up yet, the first joining core member leads: without this singleton rule no
        cluster would begin.
        """
        unreachable = self.failure_detector.unreachable
        reachable = [
            member for member in self.state.sorted_members() if member.address not in unreachable
        ]
        for member in reachable:
            if member.state in LEADER_STATES:
                return member.address
        if any(member.state in LEADER_STATES for member in self.state.members.values()):
            return None
        return self._first_leader(reachable)

    def _first_leader(self, reachable: list[Member]) -> str | None:
        """The leader of a cluster in which nobody is up yet."""
        first = next(
            (
                member
                for member in reachable
                if member.state == MemberState.JOINING and member.is_core
            ),
            None,
        )
        if first is None:
            return None
        waited_ms = self.context.now_ms() - self._started_ms
        waited = waited_ms > self.interval_ms * FIRST_CONTACT_INTERVALS
        return first.address if first.address == self.contacts[0] or waited else None

    # changes

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Has a function called after each change of members, placement or reachability."""
        self._listeners.append(listener)

    def notify_listeners(self) -> None:
        """Tells the listeners that something has changed."""
        for listener in self._listeners:
            listener()

    def set_placement_rule(self, rule: PlacementRule) -> None:
        """Sets what decides on placement where this daemon is the leader."""
        self.leader_actions.placement_rule = rule

    def apply_own_change(self, state: GossipState) -> None:
        """Takes a state that this daemon has changed itself."""
        self._own_counter = state.clock[self.me.address]
        self.replace_state(state)

    def replace_state(self, state: GossipState) -> None:
        """Takes a newer state."""
        before = self.state
        self.state = state
        self.gossip.remember_clock(state)
        self.members_by_key = {member.key: member for member in state.members.values()}
        for address, member in state.members.items():
            known = before.members.get(address)
            if known is None or known.uid != member.uid:
                self.failure_detector.forget(address)
            self._log_transition(known, member)
        mine = state.members.get(self.me.address)
        if mine is not None and mine.uid == self.me.uid and mine.state != self.me.state:
            self.me = mine
            self.context.log.info("membership: this daemon is %s.", mine.state.label)
        self.notify_listeners()

    def _log_transition(self, known: Member | None, member: Member) -> None:
        """Logs a member's new state; proxies don't log each other's, which are many."""
        if member.state == MemberState.JOINING or member.address == self.me.address:
            return
        if not (self.me.is_core or member.is_core):
            return
        if known is None or known.state != member.state:
            self.context.log.info("membership: %s is %s.", member.address, member.state.label)

    def ensure_own_member(self) -> None:
        """Rejoins as a new incarnation where the state holds another, downed or removed one.

        A counter under this address that this incarnation never wrote comes from an earlier one:
        the others may hold that one under the same clock, so this one takes a higher generation
        and says so with a change of its own.
        """
        known = self.state.members.get(self.me.address)
        foreign = self.state.clock.get(self.me.address, 0) > self._own_counter
        if (
            known is not None
            and known.uid == self.me.uid
            and known.state in COUNTED_STATES
            and not foreign
        ):
            if known.state != self.me.state:
                self.me = known
            return
        generation = known.generation + 1 if known is not None else 0
        uid = self.me.uid
        if known is not None and known.uid == uid:
            uid = self.context.random.getrandbits(UID_BITS)
        self.me = Member(
            self.me.address,
            uid,
            generation,
            MemberState.JOINING,
            self.me.program,
            self.me.zone,
            self.me.region,
            self.me.front,
        )
        self.apply_own_change(self.state.with_member(self.me.address, self.me))

    def _own_member_in(self, states: Collection[MemberState]) -> Member | None:
        """This incarnation's member, where it is in one of these states."""
        known = self.state.members.get(self.me.address)
        if known is None or known.uid != self.me.uid or known.state not in states:
            return None
        return known

    def complete_handoff(self, handoff: Handoff) -> None:
        """Marks a pending handoff of this daemon as complete."""
        handoffs = tuple(
            known.completed() if known.key() == handoff.key() else known
            for known in self.state.handoffs
        )
        self.apply_own_change(self.state.changed(self.me.address, handoffs=handoffs))

    def leave(self) -> None:
        """Announces a graceful shutdown."""
        member = self._own_member_in((MemberState.JOINING, MemberState.UP))
        if member is None:
            return
        leaving = member.with_state(MemberState.LEAVING)
        self.apply_own_change(self.state.with_member(self.me.address, leaving))
        for _ in range(LEAVING_ROUNDS):
            self.gossip.run_round()

    def exit(self) -> None:
        """Announces that all that this daemon held is handed over."""
        member = self._own_member_in((MemberState.LEAVING,))
        if member is not None:
            exiting = member.with_state(MemberState.EXITING)
            self.apply_own_change(self.state.with_member(self.me.address, exiting))

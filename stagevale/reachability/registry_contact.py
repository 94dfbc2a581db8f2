"""What this registry knows of the others: who was heard, who is silent, and who can't be told yet."""

import enum
from collections.abc import Iterable

from stagevale.membership.member import REGISTRY_PROGRAM, Member, MemberState, machine_of
from stagevale.membership.membership import Membership
from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.runtime.context import Context
from stagevale.runtime.listening_clock import ListeningClock

LIVE_STATES = (MemberState.JOINING, MemberState.UP, MemberState.LEAVING)
LEFT_STATES = (MemberState.EXITING, MemberState.REMOVED)
ROUNDS_PER_CONTACT = 4.0
# In rounds: how far apart `look` is called.
TICK_SHARE = 0.5
STARTING_ROUNDS = 2
# In rounds: how old a registry's last ping may be for it to count towards a majority, and for it
# to count as live; those of other regions ping half as often, since bytes between regions are dear.
CONTACT_ROUNDS, CONTACT_ROUNDS_FAR = 1.8, 2.6
LIVE_ROUNDS, LIVE_ROUNDS_FAR = 1.5, 2.3


class Contact(enum.Enum):
    """What is known of another registry."""

    # Its last ping is not old.
    HEARD = enum.auto()
    # It may be there: this registry hasn't listened for long enough to tell.
    UNKNOWN = enum.auto()
    # Its process has ended, in order or not: that is no cut, and it is expected back.
    ENDED = enum.auto()
    # Nothing came from it for longer than its pings are apart: it is cut off, or lost.
    SILENT = enum.auto()


# Those from whom a reply may be had.
MAYBE_LIVE = (Contact.HEARD, Contact.UNKNOWN)


class Peer:
    """What was heard of one registry.

    Attributes:
        member: its newest incarnation; None before one is known.
        met_ms: since when that incarnation is known, by the listening clock.
        pinged_ms: when the last ping came, by the monotonic clock.
        listened_ms: likewise, by the listening clock; None before the first.
        refused_ms: when its machine last said that nothing listens there, by the monotonic clock.
        ended_ms: since when it is known to have ended, by the listening clock; None while it isn't.
    """

    __slots__ = ("member", "met_ms", "pinged_ms", "listened_ms", "refused_ms", "ended_ms")

    def __init__(self, met_ms: float) -> None:
        self.member: Member | None = None
        self.met_ms = met_ms
        self.pinged_ms = LONG_AGO_MS
        self.listened_ms: float | None = None
        self.refused_ms = LONG_AGO_MS
        self.ended_ms: float | None = None


class RegistryContact:
    """Counts which registries are in reach.

    Attributes:
        interval_ms: the length of a round.
        started_ms: when this daemon started.
    """

    __slots__ = (
        "context",
        "membership",
        "interval_ms",
        "started_ms",
        "_clock",
        "_peers",
        "_voter_machines",
    )

    def __init__(self, context: Context, membership: Membership) -> None:
        self.context = context
        self.membership = membership
        self.interval_ms = context.settings.bounds.contact_ms / ROUNDS_PER_CONTACT
        self.started_ms = context.now_ms()
        self._clock = ListeningClock(context, self.interval_ms * TICK_SHARE)
        self._peers: dict[str, Peer] = {}
        self._voter_machines: set[str] | None = None

    def look(self) -> None:
        """Notes which registries are members now; called twice a round."""
        self._clock.look()
        for member in self.others():
            self._meet(member)
        self._note_orderly_ends()

    def record_ping(self, address: str) -> None:
        """A registry's ping has arrived."""
        peer = self._peers.setdefault(address, Peer(self._clock.now_ms()))
        peer.pinged_ms = self.context.now_ms()
        peer.listened_ms = self._clock.now_ms()
        if peer.member is not None and peer.member.state != MemberState.LEAVING:
            peer.ended_ms = None

    def record_refusal(self, address: str) -> None:
        """A machine has said that nothing listens at an address."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.refused_ms = self.context.now_ms()
            self._note_end(peer)

    def _note_end(self, peer: Peer) -> None:
        if peer.ended_ms is None:
            peer.ended_ms = self._clock.now_ms()

    def _note_orderly_ends(self) -> None:
        """Notes which registries that were leaving have left."""
        members = self.membership.state.members
        for peer in self._peers.values():
            if peer.member is None or peer.member.state != MemberState.LEAVING:
                continue
            known = members.get(peer.member.address)
            if known is None or known.state in LEFT_STATES:
                self._note_end(peer)

    def _meet(self, member: Member) -> Peer:
        """What was heard of a member; an incarnation that is met for the first time may take a
        while until it pings.
        """
        now_ms = self._clock.now_ms()
        peer = self._peers.setdefault(member.address, Peer(now_ms))
        if peer.member is None or peer.member.uid != member.uid:
            peer.met_ms = now_ms
            peer.ended_ms = None
        peer.member = member
        return peer

    # who is there

    @property
    def me(self) -> Member:
        """This registry."""
        return self.membership.me

    def registries(self) -> list[Member]:
        """The registries that live, or leave, this one included."""
        return self.membership.members(REGISTRY_PROGRAM, LIVE_STATES)

    def others(self) -> list[Member]:
        """The other registries that live, or leave, heard or not."""
        own_address = self.me.address
        return [member for member in self.registries() if member.address != own_address]

    def region_of(self, address: str) -> str:
        """The region of a member; empty where it isn't known."""
        member = self.membership.state.members.get(address)
        return member.region if member is not None else ""

    def learn_core(self, voters: Iterable[str]) -> None:
        """Takes in who votes on the configuration, by a value that a majority has confirmed.

        Args:
            voters: their addresses.
        """
        if self._voter_machines is None:
            self._voter_machines = {machine_of(address) for address in voters}

    def _core_machines(self) -> set[str] | None:
        """The core machines that are thought to live, this one included; None while this registry
        can't know: who starts alone is not all there is.
        """
        if self._voter_machines is None:
            return None
        machines = {member.machine for member in self.registries()}
        machines.add(self.me.machine)
        # Gossip may not have told yet of all others.
        return machines if self.has_listened() else machines | self._voter_machines

    def core_size(self) -> int | None:
        """How many core machines are thought to live, this one included; None while that isn't
        known.
        """
        machines = self._core_machines()
        return None if machines is None else len(machines)

    # who was heard

    def contact(self, member: Member) -> Contact:
        """What is known of another registry."""
        peer = self._meet(member)
        if self._is_refused(peer):
            return Contact.ENDED if self._is_expected_back(peer) else Contact.SILENT
        if self.is_live(member.address):
            return Contact.HEARD
        since_ms, limit_ms = peer.met_ms, self._settling_ms
        if peer.listened_ms is not None and peer.listened_ms >= peer.met_ms:
            since_ms = peer.listened_ms
            limit_ms = self._limit_ms(member.address, LIVE_ROUNDS, LIVE_ROUNDS_FAR)
        is_silent = self._clock.now_ms() - since_ms >= limit_ms
        return Contact.SILENT if is_silent else Contact.UNKNOWN

    def expected_back(self) -> list[Member]:
        """The registries whose processes have ended, and whose disks are expected back."""
        self._note_orderly_ends()
        live = {member.address for member in self.others()}
        return [
            peer.member
            for peer in self._peers.values()
            if peer.member is not None
            and self._is_expected_back(peer)
            and (peer.member.address not in live or self._is_refused(peer))
        ]

    def _is_refused(self, peer: Peer) -> bool:
        """True where a machine refused a connection lately, and no ping has come since."""
        limit_ms = self.interval_ms * LIVE_ROUNDS_FAR
        age_ms = self.context.now_ms() - peer.refused_ms
        return peer.refused_ms > peer.pinged_ms and age_ms < limit_ms

    def _is_expected_back(self, peer: Peer) -> bool:
        if peer.ended_ms is None:
            return False
        limit_ms = self.context.settings.bounds.gone_for_good_ms
        return self._clock.now_ms() - peer.ended_ms < limit_ms

    @property
    def _settling_ms(self) -> float:
        """Within this time machines that have just started, or met, are in touch."""
        return self.context.settings.bounds.contact_ms

    def has_listened(self) -> bool:
        """True once this registry has listened for long enough to know of all others that it can
        reach.
        """
        return self._clock.now_ms() >= self._settling_ms

    def deaf_since_ms(self, since_ms: float) -> float:
        """For how long this registry could hear nothing since a moment; see `ListeningClock`."""
        return self._clock.deaf_since_ms(since_ms)

    def is_starting(self) -> bool:
        """True for a while after the start, when silence of the others says nothing yet."""
        return self.context.now_ms() - self.started_ms < self.interval_ms * STARTING_ROUNDS

    def is_live(self, address: str) -> bool:
        """True for a registry whose last ping is not old."""
        return self._pinged_within(address, LIVE_ROUNDS, LIVE_ROUNDS_FAR)

    def may_be_live(self, address: str) -> bool:
        """True for a registry that was heard, or of which nothing can be told yet."""
        member = self.membership.state.members.get(address)
        if member is None or member.state not in LIVE_STATES:
            return self.is_live(address)
        return self.contact(member) in MAYBE_LIVE

    def reaches_majority(self) -> bool:
        """True while this registry hears a majority of the core machines, itself included; False
        until it has been in touch with the core once.
        """
        machines = self._core_machines()
        if machines is None:
            return False
        heard = {
            machine_of(address)
            for address in self._peers
            if self._pinged_within(address, CONTACT_ROUNDS, CONTACT_ROUNDS_FAR)
        }
        heard.add(self.me.machine)
        return len(heard & machines) * 2 > len(machines)

    def _pinged_within(self, address: str, rounds: float, rounds_far: float) -> bool:
        peer = self._peers.get(address)
        if peer is None:
            return False
        age_ms = self.context.now_ms() - peer.pinged_ms
        return age_ms < self._limit_ms(address, rounds, rounds_far)

    def _limit_ms(self, address: str, rounds: float, rounds_far: float) -> float:
        near = self.region_of(address) == self.me.region
        return self.interval_ms * (rounds if near else rounds_far)

"""Which members a gossip round is sent to (Akka Cluster Specification, Gossip)."""

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING

from stagevale.membership.member import LEADER_STATES, Member, MemberState

if TYPE_CHECKING:
    from stagevale.membership.membership import Membership

# In a fleet with more proxies than this, a proxy mostly gossips inside its own zone: all proxies
# together send as many overviews beyond their zones as so many would.
FAR_SENDERS = 24.0
OWN_REGION_CHANCE = 0.5
DOWN_MEMBER_CHANCE = 0.15
DEPUTY_WEIGHT = 0.2
UNREACHABLE_WEIGHT = 0.1
DEPUTIES = slice(1, 3)


def choose_targets(membership: "Membership", converged: bool) -> set[str]:
    """The addresses for this round's overview: a live member near and one far, one whose state
    differs, sometimes a deputy, an unreachable and a down member.

    Args:
        membership: this daemon's view of the cluster.
        converged: whether everybody is known to have seen this state.
    """
    me, random = membership.me, membership.context.random
    others = membership.others()
    suspected = membership.failure_detector.unreachable
    live = [member for member in others if member.address not in suspected]
    unreachable = [member for member in others if member.address in suspected]
    if not live:
        targets = set()
    elif not me.is_core and random.random() > _far_share(live):
        targets = _targets_in_zone(membership, live, converged)
    else:
        targets = _targets_anywhere(membership, live, unreachable)
    if unreachable:
        chance = len(unreachable) / (len(live) + 1.0) + UNREACHABLE_WEIGHT
        if random.random() < chance:
            targets.add(random.choice(unreachable).address)
    down = [member for member in membership.others((MemberState.DOWN,)) if member.is_core]
    if down and random.random() < DOWN_MEMBER_CHANCE:
        targets.add(random.choice(down).address)
    targets.discard(me.address)
    return targets


def _targets_in_zone(membership: "Membership", live: Sequence[Member], converged: bool) -> set[str]:
    """A round of a proxy that stays inside its own zone."""
    random = membership.context.random
    in_zone = [member for member in live if member.zone == membership.me.zone] or live
    targets = {random.choice(in_zone).address}
    differing = [] if converged else _with_other_state(membership, in_zone)
    if differing:
        targets.add(random.choice(differing).address)
    return targets


def _targets_anywhere(
    membership: "Membership", live: Sequence[Member], unreachable: Sequence[Member]
) -> set[str]:
    """A round that goes beyond the zone: the core's, and now and then a proxy's."""
    me, random = membership.me, membership.context.random
    in_zone = [member for member in live if member.zone == me.zone]
    elsewhere = [member for member in live if member.zone != me.zone]
    in_region = [member for member in elsewhere if member.region == me.region]
    targets = {random.choice(in_zone).address} if in_zone else set()
    prefer_region = in_region and random.random() < OWN_REGION_CHANCE
    chosen = random.choice(in_region if prefer_region else elsewhere or in_zone)
    targets.add(chosen.address)
    differing = _with_other_state(membership, live)
    if differing:
        candidates = _nearest(me, differing) if len(live) > FAR_SENDERS else differing
        targets.add(random.choice(candidates).address)
    deputies = [
        member for member in membership.state.sorted_members() if member.state in LEADER_STATES
    ][DEPUTIES]
    chance = (len(unreachable) + DEPUTY_WEIGHT) / (len(live) + 1)
    if (
        deputies
        and chosen.address not in {member.address for member in deputies}
        and random.random() < chance
    ):
        targets.add(random.choice(deputies).address)
    return targets


def _with_other_state(membership: "Membership", members: Iterable[Member]) -> list[Member]:
    """Those of some members whose last known state isn't this daemon's."""
    checksum, peers = membership.state.checksum, membership.gossip.peers
    return [
        member
        for member in members
        if member.address not in peers or peers[member.address].checksum != checksum
    ]


def _nearest(me: Member, members: Sequence[Member]) -> Sequence[Member]:
    """Those of the own zone among some members, else those of the own region, else all: in a large
    fleet a new state goes there first, since each region has many who bring it on.
    """
    in_region = [member for member in members if member.region == me.region]
    in_zone = [member for member in in_region if member.zone == me.zone]
    return in_zone or in_region or members


def _far_share(live: Sequence[Member]) -> float:
    """How often a proxy's round goes beyond its own zone; see `FAR_SENDERS`."""
    proxies = sum(1 for member in live if not member.is_core) + 1.0
    return FAR_SENDERS / max(FAR_SENDERS, proxies)

"""Whom a gossip round goes to."""

from stagevale.membership.state import DOWN, LEADING

FAR_TELLERS = 24.0
NEAR_CHANCE = 0.5
DOWNED_CHANCE = 0.15
DEPUTY_WEIGHT = 0.2
LOST_WEIGHT = 0.1


def choose_targets(membership, settled):
    """The addresses for this round's overview: a live member near and one far, one whose state
    differs, sometimes a deputy, an unreachable and a downed one.
    """
    me, random = membership.me, membership.context.random
    others = membership.others()
    live = [member for member in others if member.address not in membership.unreachable]
    lost = [member for member in others if member.address in membership.unreachable]
    if not live:
        targets = set()
    elif not me.core and random.random() > far_share(live):
        targets = zone_targets(membership, live, settled)
    else:
        targets = far_targets(membership, live, lost)
    if lost and random.random() < len(lost) / (len(live) + 1.0) + LOST_WEIGHT:
        targets.add(random.choice(lost).address)
    downed = [member for member in membership.others((DOWN,)) if member.core]
    if downed and random.random() < DOWNED_CHANCE:
        targets.add(random.choice(downed).address)
    targets.discard(me.address)
    return targets


def zone_targets(membership, live, settled):
    """A round of a proxy that stays inside its own zone."""
    random = membership.context.random
    beside = [member for member in live if member.zone == membership.me.zone] or live
    targets = {random.choice(beside).address}
    differing = [] if settled else differing_from(membership, beside)
    if differing:
        targets.add(random.choice(differing).address)
    return targets


def far_targets(membership, live, lost):
    """A round that goes beyond the zone: the core's, and now and then a proxy's."""
    me, random = membership.me, membership.context.random
    beside = [member for member in live if member.zone == me.zone]
    away = [member for member in live if member.zone != me.zone]
    near = [member for member in away if member.region == me.region]
    targets = {random.choice(beside).address} if beside else set()
    chosen = random.choice(near if near and random.random() < NEAR_CHANCE else away or beside)
    targets.add(chosen.address)
    differing = differing_from(membership, live)
    if differing:
        told = nearest(me, differing) if len(live) > FAR_TELLERS else differing
        targets.add(random.choice(told).address)
    deputies = [member for member in membership.state.sorted() if member.state in LEADING][1:3]
    if (
        deputies
        and chosen.address not in {member.address for member in deputies}
        and random.random() < (len(lost) + DEPUTY_WEIGHT) / (len(live) + 1)
    ):
        targets.add(random.choice(deputies).address)
    return targets


def differing_from(membership, members):
    """Those of some members whose last known state isn't this daemon's."""
    mark, rows = membership.state.mark, membership.rows
    return [member for member in members if rows.get(member.address, (0, 0, 0))[2] != mark]


def nearest(me, members):
    """Those of the own zone among some members, else those of the own region, else all: in a large
    fleet what differs is told there first, since each region has many who bring it on.
    """
    inside = [member for member in members if member.region == me.region]
    beside = [member for member in inside if member.zone == me.zone]
    return beside or inside or members


def far_share(live):
    """How often a proxy's round goes beyond its own zone: in a large fleet the far talk of all
    proxies together stays what a dozen of them have, and the core carries their heartbeats on.
    """
    return FAR_TELLERS / max(FAR_TELLERS, sum(1 for member in live if not member.core) + 1.0)

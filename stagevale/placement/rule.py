"""The placement rule that the leader applies at convergence."""

import zlib
from collections.abc import Iterable, Mapping, Sequence

from stagevale.membership.gossip_state import Handoff, HandoffStatus, PlacementTable
from stagevale.membership.leader_actions import Placement
from stagevale.membership.member import REGISTRY_PROGRAM, Member, MemberState, address_order
from stagevale.placement.shards import SHARDS

REPLICAS = 3
FEEDERS_PER_ZONE = 3
FEED_PREFIX = "feeds-"


def _weight(key: str, address: str) -> int:
    """The weight of a member for a key, for rendezvous hashing."""
    return zlib.crc32(f"{key} {address}".encode())


def feed_key(zone: str) -> str:
    """The placement table's key for the registries that feed a zone's proxies."""
    return FEED_PREFIX + zone


def replicas_for(shard: str, registries: Iterable[Member]) -> tuple[str, ...]:
    """The registries that are to keep a shard: by rendezvous hash, one of each region before a
    second of any.
    """
    ordered = sorted(
        registries,
        key=lambda member: (-_weight(shard, member.address), address_order(member.address)),
    )
    replicas: list[str] = []
    regions = set()
    for member in ordered:
        if member.region not in regions and len(replicas) < REPLICAS:
            replicas.append(member.address)
            regions.add(member.region)
    for member in ordered:
        if member.address not in replicas and len(replicas) < REPLICAS:
            replicas.append(member.address)
    return tuple(replicas)


def feeders_for(zone: str, region: str, registries: Iterable[Member]) -> tuple[str, ...]:
    """The registries that feed a zone's proxies, nearest first."""
    ordered = sorted(
        registries,
        key=lambda member: (
            member.zone != zone,
            member.region != region,
            _weight(zone, member.address),
            address_order(member.address),
        ),
    )
    return tuple(member.address for member in ordered[:FEEDERS_PER_ZONE])


def next_placement(
    members: Mapping[str, Member],
    table: PlacementTable,
    handoffs: Sequence[Handoff],
    zones: Mapping[str, str],
) -> Placement | None:
    """The placement that follows, or None where nothing is to change.

    A shard leaves a live member by a pending handoff; from one that is gone it is taken at once,
    and the other replicas hand over what they keep.

    Args:
        members: all members by address.
        table: the placement table in force.
        handoffs: the handoffs of the gossip state.
        zones: the region of each zone.
    """
    registries = [member for member in members.values() if member.program == REGISTRY_PROGRAM]
    up = [member for member in registries if member.state == MemberState.UP]
    if not up:
        return None
    live = {
        member.address
        for member in registries
        if member.state in (MemberState.UP, MemberState.LEAVING)
    }
    new_table = _with_completed(table, handoffs)
    pending = [handoff for handoff in handoffs if _is_pending(handoff, new_table, live)]
    moving = {handoff.shard for handoff in pending}
    for shard in SHARDS:
        if shard not in moving:
            group, started = _next_group(shard, new_table.get(shard, ()), up, live)
            new_table[shard] = group
            pending += started
    for zone, region in zones.items():
        new_table[feed_key(zone)] = feeders_for(zone, region, up)
    if new_table == table and pending == list(handoffs):
        return None
    return Placement(new_table, tuple(pending))


def _with_completed(table: PlacementTable, handoffs: Iterable[Handoff]) -> PlacementTable:
    """The table with the targets of completed handoffs in the place of their sources."""
    table = dict(table)
    for handoff in handoffs:
        if handoff.status == HandoffStatus.COMPLETE:
            table[handoff.shard] = tuple(
                handoff.target if address == handoff.source else address
                for address in table.get(handoff.shard, ())
            )
    return table


def _is_pending(handoff: Handoff, table: PlacementTable, live: set[str]) -> bool:
    """True for a handoff between two live members that is not complete."""
    return (
        handoff.status != HandoffStatus.COMPLETE
        and handoff.source in live
        and handoff.target in live
        and handoff.source in table.get(handoff.shard, ())
    )


def _next_group(
    shard: str, current: tuple[str, ...], up: Sequence[Member], live: set[str]
) -> tuple[tuple[str, ...], list[Handoff]]:
    """A shard's next group, and the handoffs that are to lead further."""
    wanted = replicas_for(shard, up)
    if set(wanted) == set(current):
        return current or wanted, []
    newcomers = [address for address in wanted if address not in current]
    group = list(current)
    started = []
    for address in current:
        if address in wanted:
            continue
        if address not in live:
            group.remove(address)
            if newcomers:
                group.append(newcomers.pop(0))
        elif newcomers:
            started.append(Handoff(shard, address, newcomers.pop(0), HandoffStatus.PENDING))
        else:
            group.remove(address)
    group.extend(newcomers)
    return tuple(group), started

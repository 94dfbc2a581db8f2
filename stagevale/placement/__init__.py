"""Placement: which members keep which part of the state, and which registries feed the proxies of a
zone.
"""

import zlib

from stagevale.membership.state import AWAITING, COMPLETE, LEAVING, UP, Move, sort_key

PARTS = tuple(f"part-{number}" for number in range(8))
GROUP_SIZE = 3
FEEDERS = 3


def part_of(service):
    """The part that a service's registrations fall into, by hash of its name."""
    return PARTS[zlib.crc32(service.encode()) % len(PARTS)]


def weight(part, address):
    return zlib.crc32(f"{part} {address}".encode())


def group_for(part, registries):
    """A small group for a part: by rendezvous hash, one registry a region before a second of
    any.
    """
    ordered = sorted(
        registries, key=lambda member: (-weight(part, member.address), sort_key(member.address))
    )
    group, regions = [], set()
    for member in ordered:
        if member.region not in regions and len(group) < GROUP_SIZE:
            group.append(member.address)
            regions.add(member.region)
    for member in ordered:
        if member.address not in group and len(group) < GROUP_SIZE:
            group.append(member.address)
    return tuple(group)


def feeders_for(zone, region, registries):
    """The registries that feed a zone's proxies, nearest first."""
    ordered = sorted(
        registries,
        key=lambda member: (
            member.zone != zone,
            member.region != region,
            weight(zone, member.address),
            sort_key(member.address),
        ),
    )
    return tuple(member.address for member in ordered[:FEEDERS])


def fronts_for(zone, region, ready):
    """The fronts for a client of a zone, out of rows (front, zone, region): its own, else near
    ones, else all.
    """
    here = sorted(front for front, its_zone, _ in ready if its_zone == zone)
    near = sorted(front for front, _, its_region in ready if its_region == region)
    return here or near or sorted(front for front, _, _ in ready)[:64]


def place(members, table, moves, zones):
    """The leader's rule: returns (table, moves) where anything is to change, else None.

    A part leaves a member that still lives by a pending move; from one that doesn't it is taken at
    once, and the others of the group hand over what they keep.
    """
    registries = [
        member for member in members.values() if member.program == "registry" and member.state == UP
    ]
    if not registries:
        return None
    living = {
        member.address
        for member in members.values()
        if member.program == "registry" and member.state in (UP, LEAVING)
    }
    new_table, new_moves = dict(table), []
    for move in moves:
        if move.status == COMPLETE:
            new_table[move.part] = tuple(
                move.taker if address == move.giver else address
                for address in new_table.get(move.part, ())
            )
        elif (
            move.giver in living
            and move.taker in living
            and move.giver in new_table.get(move.part, ())
        ):
            new_moves.append(move)
    for part in PARTS:
        wanted, held = group_for(part, registries), new_table.get(part, ())
        if any(move.part == part for move in new_moves):
            continue
        if set(wanted) == set(held):
            new_table[part] = held if held else wanted
            continue
        comers = [address for address in wanted if address not in held]
        group = list(held)
        for address in held:
            if address in wanted:
                continue
            if address not in living:
                group.remove(address)
                if comers:
                    group.append(comers.pop(0))
            elif comers:
                new_moves.append(Move(part, address, comers.pop(0), AWAITING))
            else:
                group.remove(address)
        group.extend(comers)
        new_table[part] = tuple(group)
    for zone, region in zones.items():
        new_table["feeds-" + zone] = feeders_for(zone, region, registries)
    new_moves = tuple(new_moves)
    if new_table == table and [m.fields() for m in new_moves] == [m.fields() for m in moves]:
        return None
    return new_table, new_moves

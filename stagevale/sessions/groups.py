"""Session groups: which registries keep which sessions' records."""

import zlib
from collections.abc import Collection, Iterable, Mapping, Sequence

from stagevale.configuration.value import SessionGroup
from stagevale.membership.member import Member

SESSION_SHARDS = 8
GROUP_SIZE = 3
FIRST_VERSION = 1
# In the place of a new group's former members: there is nothing to learn from anybody.
NEW_GROUP = ("fresh",)
HOMES_SEPARATOR = ","
SHARD_SEPARATOR = "|"


def _group_name(homes: Iterable[str], shard: int) -> str:
    return f"{HOMES_SEPARATOR.join(sorted(homes))}{SHARD_SEPARATOR}{shard}"


def group_name(homes: Iterable[str], session: bytes) -> str:
    """The group that keeps a session's record: by its route's homes and the hash of its name."""
    return _group_name(homes, zlib.crc32(session) % SESSION_SHARDS)


def group_names(homes: Iterable[str]) -> list[str]:
    """All groups of a set of homes."""
    homes = tuple(homes)
    return [_group_name(homes, shard) for shard in range(SESSION_SHARDS)]


def homes_of(name: str) -> tuple[str, ...]:
    """The homes that a group's name stands for; none where its sessions may be kept anywhere."""
    homes = name.partition(SHARD_SEPARATOR)[0]
    return tuple(homes.split(HOMES_SEPARATOR)) if homes else ()


def next_groups(
    groups: Mapping[str, SessionGroup],
    wanted: Iterable[str],
    registries: Sequence[Member],
    gone: Collection[str],
    size: int = GROUP_SIZE,
) -> dict[str, SessionGroup] | None:
    """The session groups that follow, or None where nothing is to change: makes those that are
    wanted, replaces members that are gone for good, adds members to groups that are too small.

    A group in the middle of a change is left alone until its members have learned the records.

    Args:
        groups: the groups in force, by name.
        wanted: names of the groups that routes ask for.
        registries: those that live.
        gone: addresses of registries that leave, or were away for long.
        size: how many members a group is to have.
    """
    after = dict(groups)
    for name in wanted:
        if name not in after:
            members = choose_members(name, registries, (), size)
            if members:
                after[name] = SessionGroup(FIRST_VERSION, members, NEW_GROUP)
    for name, group in groups.items():
        lost = [address for address in group.members if address in gone]
        if group.former_members or not (lost or len(group.members) < size):
            continue
        kept = tuple(address for address in group.members if address not in lost[:1])
        others = [each for each in registries if each.address not in group.members]
        members = choose_members(name, others, kept, size)
        if len(members) > len(kept):
            after[name] = SessionGroup(group.version + 1, members, group.members)
    return after if after != groups else None


def choose_members(
    name: str, registries: Sequence[Member], kept: tuple[str, ...], size: int = GROUP_SIZE
) -> tuple[str, ...]:
    """So many members for a group: those kept, then by hash, a region without one first."""
    homes = homes_of(name)
    able = sorted(
        (registry for registry in registries if not homes or registry.region in homes),
        key=lambda registry: -zlib.crc32(f"{name} {registry.address}".encode()),
    )
    region_of = {registry.address: registry.region for registry in registries}
    members = list(kept)
    for new_region_only in (True, False):
        for registry in able:
            regions = {region_of.get(address) for address in members}
            if (
                len(members) < size
                and registry.address not in members
                and (not new_region_only or registry.region not in regions)
            ):
                members.append(registry.address)
    return tuple(members)

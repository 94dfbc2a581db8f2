"""All instances known to one registry, by id and by shard."""

import struct
import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

from stagevale.discovery.instance import Instance, InstanceState, instance_key
from stagevale.placement.shards import SHARDS, shard_of

SUMMARY_ROW = struct.Struct("!II")
CHECKSUM_MASK = 0xFFFFFFFF


class Difference(NamedTuple):
    """How a shard differs from a peer's: rows that it lacks, and keys of what is wanted of it."""

    rows: list[Any]
    wanted_keys: list[int]


class InstanceTable:
    """Instances merged by incarnation and call sequence.

    Attributes:
        by_id: all instances.
        by_key: all instances by the keys that stand for their ids in messages.
    """

    __slots__ = ("by_id", "by_key", "_shards", "_gone_ms", "_checksums")

    def __init__(self) -> None:
        self.by_id: dict[str, Instance] = {}
        self.by_key: dict[int, Instance] = {}
        self._shards: dict[str, dict[str, Instance]] = {}
        self._gone_ms: dict[str, float] = {}
        self._checksums: dict[str, int] = {}

    def in_shard(self, shard: str) -> list[Instance]:
        """The instances of a shard."""
        return list(self._shards.get(shard, {}).values())

    def merge(self, incoming: Instance, now_ms: float) -> Instance | None:
        """Takes in what is said of an instance.

        Returns:
            The instance as it is now known, if proxies need to be told; else None.
        """
        known = self.by_id.get(incoming.id)
        if known is None:
            self._put(incoming)
            if incoming.state == InstanceState.GONE:
                self._gone_ms[incoming.id] = now_ms
            return incoming
        merged = known.merged(incoming, now_ms)
        unchanged = merged.same_for_proxies(known)
        if unchanged:
            merged.copy_checksum(known)
        self._put(merged)
        if merged.state == InstanceState.GONE and known.state != InstanceState.GONE:
            self._gone_ms[merged.id] = now_ms
        return None if unchanged else merged

    def _put(self, instance: Instance) -> None:
        """Keeps an instance; its shard's checksum follows entry by entry, so that a heartbeat costs
        the same in any fleet.
        """
        before = self.by_id.get(instance.id)
        shard = shard_of(instance.service)
        if before is None or before.checksum() != instance.checksum():
            added = instance.checksum() if instance.is_counted else 0
            removed = before.checksum() if before is not None and before.is_counted else 0
            self._checksums[shard] = (self.checksum(shard) + added - removed) & CHECKSUM_MASK
        self.by_id[instance.id] = instance
        self.by_key[instance.key] = instance
        self._shards.setdefault(shard, {})[instance.id] = instance

    def forget(self, gone_before_ms: float, silent_before_ms: float) -> None:
        """Drops instances that left, and unhealthy ones that were last heard, before these moments."""
        old = [id for id, since_ms in self._gone_ms.items() if since_ms < gone_before_ms]
        old += [
            instance.id
            for instance in self.by_id.values()
            if not instance.is_healthy and instance.last_heartbeat_ms < silent_before_ms
        ]
        for id in old:
            self._remove(id)

    def _remove(self, id: str) -> None:
        self._gone_ms.pop(id, None)
        instance = self.by_id.pop(id, None)
        if instance is None:
            return
        self.by_key.pop(instance_key(id), None)
        shard = shard_of(instance.service)
        self._shards[shard].pop(id, None)
        if instance.is_counted:
            checksum = self.checksum(shard) - instance.checksum()
            self._checksums[shard] = checksum & CHECKSUM_MASK

    def checksum(self, shard: str) -> int:
        """A short number that is equal where a shard's healthy instances are known alike."""
        return self._checksums.get(shard, 0)

    def checksum_of_all(self) -> int:
        """A short number that is equal where all shards are known alike."""
        pairs = sorted((shard, self.checksum(shard)) for shard in SHARDS)
        return zlib.crc32(repr(pairs).encode())

    def rows(self, shard: str, now_ms: float) -> list[Any]:
        """The instances of a shard as rows of a message."""
        return rows_of(self.in_shard(shard), now_ms)

    def summary(self, shard: str) -> bytes:
        """The instances of a shard as eight bytes each: key and checksum."""
        return b"".join(
            SUMMARY_ROW.pack(instance.key, instance.checksum()) for instance in self.in_shard(shard)
        )

    def difference(self, shard: str, summary: bytes, now_ms: float) -> Difference:
        """How a shard differs from that of a peer with this summary.

        Raises:
            struct.error: the summary has another shape.
        """
        theirs = dict(SUMMARY_ROW.iter_unpack(summary))
        rows = []
        for instance in self.in_shard(shard):
            checksum = instance.checksum()
            if theirs.get(instance.key) == checksum:
                del theirs[instance.key]
            else:
                rows.append(instance.to_row(now_ms))
        return Difference(rows, list(theirs))


def rows_of(instances: Iterable[Instance], now_ms: float) -> list[Any]:
    """Instances as rows of a message."""
    return [instance.to_row(now_ms) for instance in instances]

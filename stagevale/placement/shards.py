"""Shards of the endpoint registry: instances are divided by the name of their service."""

import zlib

SHARD_COUNT = 8
# The names stand in the gossip state and on the status page, and never change.
SHARDS = tuple(f"part-{number}" for number in range(SHARD_COUNT))


def shard_of(service: str) -> str:
    """The shard that a service's instances fall into."""
    return SHARDS[zlib.crc32(service.encode()) % SHARD_COUNT]

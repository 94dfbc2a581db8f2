"""Placement: which registries keep each shard, which feed each zone's proxies, and which fronts a
client is told of.
"""

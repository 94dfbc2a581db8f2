"""Tallies: sums of adds that are counted once by id, on both sides of a partition.

The state is a grow-only set of adds (a state-based CRDT), replicated as deltas by origin.
"""

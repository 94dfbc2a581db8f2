"""Rows of the logs in which a registry keeps sessions: what they hold, and how they are written.

Sessions stand in a log that is written anew from time to time, keys in another one whose tables are
removed once all of their keys have expired.
"""

from typing import Any

from stagevale.rpc import codec
from stagevale.sessions.records import KeyRecord, SessionRecord
from stagevale.storage.merging_log import RowCodec
from stagevale.storage.row_log import BATCH_KIND, Rows

# The first field of a row.
GROUP_ROW = "group"
LEASE_ROW = "lease"
KEY_ROW = "key"
# A session with all of its keys, as releases up to 1c6f8dc wrote it.
RECORD_ROW = "record"

Row = list[Any]


def group_row(name: str, learned_version: int, sealed_version: int) -> Row:
    """The row that says how far a group is."""
    return [GROUP_ROW, name, learned_version, sealed_version]


def lease_row(name: str, session: str, record: SessionRecord, now_ms: float) -> Row:
    """The row that holds a session without its keys."""
    return [LEASE_ROW, name, session, record.to_fields(now_ms, ())]


def key_row(name: str, session: str, key: str, record: KeyRecord, now_ms: float) -> Row:
    """The row that holds what is known of a key."""
    return [KEY_ROW, name, session, key, record.to_fields(now_ms)]


def longest_left_ms(rows: Rows) -> float:
    """For how long the keys of some rows are wanted."""
    # What is left of its time is the last field of a key's record.
    return max((row[-1][-1] for row in rows), default=0.0)


def _encode(rows: Rows) -> bytes:
    return codec.compress(codec.encode([BATCH_KIND, rows]))


def _decode(batch: bytes) -> Rows:
    rows: Rows = codec.decode(codec.decompress(batch), "load", "disk")[1]
    return rows


# Answers are bytes, which JSON has no place for.
KEY_ROWS = RowCodec(_encode, _decode)

"""The gossip overview: heartbeats, versions seen, reports of unreachable members.

Rows are either keyed, so that they can tell of any members and of several states, or bare
heartbeats of all members in sorted order: whoever has the same state knows which is whose.
"""

import json
import struct
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from stagevale.membership.member import Member
from stagevale.membership.messages import OverviewMessage
from stagevale.membership.vector_clock import encode_clock

if TYPE_CHECKING:
    from stagevale.membership.gossip import Gossip

HEARTBEAT_BYTES = 2
HEARTBEAT_MASK = 0xFFFF
# Heartbeats are compared by their lower two bytes: a difference below this is an advance.
HEARTBEAT_HALF_RANGE = 0x8000
KEY_BYTES = 4
CHECKSUM_BYTES = 4
KEYED_ROW_BYTES = HEARTBEAT_BYTES + KEY_BYTES + 1
# A row says which state its member has seen by the place of that checksum in the message; there is
# room for so many, and a number for any other.
MOST_CHECKSUMS = 255
OTHER_CHECKSUM = 255


class PeerView(NamedTuple):
    """What is known of a member by the overviews: its incarnation, its heartbeat, and the checksum
    of the state that it has seen.
    """

    uid: int
    heartbeat: int
    checksum: int


class Report(NamedTuple):
    """Whom an observer can't reach, as it said at one of its heartbeats."""

    heartbeat: int
    unreachable: frozenset[str]


def build_overview(gossip: "Gossip", with_clock: bool = False) -> OverviewMessage:
    """The overview of all members.

    Args:
        gossip: what this daemon knows of its peers.
        with_clock: whether this daemon's clock is to go along.
    """
    membership = gossip.membership
    own_address, peers = membership.me.address, gossip.peers
    own_checksum = membership.state.checksum
    counted = membership.state.counted_members()
    keys: list[int] = []
    heartbeats: list[int] = []
    seen: list[int] = []
    for member in counted:
        view = peers.get(member.address)
        if member.address == own_address:
            view = PeerView(membership.me.uid, gossip.heartbeat, own_checksum)
        if view is not None and view.uid == member.uid:
            keys.append(member.key)
            heartbeats.append(view.heartbeat & HEARTBEAT_MASK)
            seen.append(view.checksum)
    incomplete = len(keys) < len(counted) or seen.count(own_checksum) < len(seen)
    keyed = with_clock or incomplete
    checksums = [own_checksum]
    rows = struct.pack(f"!{len(heartbeats)}H", *heartbeats)
    if keyed:
        others = [checksum for checksum in dict.fromkeys(seen) if checksum != own_checksum]
        checksums += others[: MOST_CHECKSUMS - 1]
        index = {checksum: number for number, checksum in enumerate(checksums)}
        rows += struct.pack(f"!{len(keys)}I", *keys)
        rows += bytes(index.get(checksum, OTHER_CHECKSUM) for checksum in seen)
    reports = _reports_to_pass_on(gossip)
    return OverviewMessage(
        membership.me.address,
        encode_clock(membership.state.counted_clock()) if with_clock else b"",
        struct.pack(f"!{len(checksums)}I", *checksums),
        rows,
        json.dumps(reports) if reports else "",
        membership.value_serial,
        int(keyed),
    )


def _reports_to_pass_on(gossip: "Gossip") -> list[list[object]]:
    """This daemon's report and the recent ones of core members: observer, heartbeat, addresses."""
    membership = gossip.membership
    unreachable = membership.failure_detector.unreachable
    silent = membership.failure_detector.silent
    reports: list[list[object]] = []
    if silent:
        reports.append([membership.me.address, gossip.heartbeat, sorted(silent)])
    for observer, report in gossip.reports.items():
        member = membership.state.members.get(observer)
        if (
            report.unreachable
            and member is not None
            and member.is_core
            and observer not in unreachable
            and gossip.is_recent(observer, report.heartbeat)
        ):
            reports.append([observer, report.heartbeat, sorted(report.unreachable)])
    return reports


def read_checksums(data: bytes) -> tuple[int, ...]:
    """The checksums of an overview; the sender's own is the first."""
    return struct.unpack(f"!{len(data) // CHECKSUM_BYTES}I", data)


def read_rows(
    gossip: "Gossip", message: OverviewMessage, checksums: tuple[int, ...]
) -> Iterable[tuple[Member, int, int]]:
    """The rows of an overview that can be read here: member, heartbeat, checksum it has seen."""
    if not message.keyed:
        return _bare_rows(gossip, message.rows, checksums[0])
    data = message.rows
    count = len(data) // KEYED_ROW_BYTES
    heartbeats = struct.unpack_from(f"!{count}H", data)
    keys = struct.unpack_from(f"!{count}I", data, HEARTBEAT_BYTES * count)
    seen = data[(HEARTBEAT_BYTES + KEY_BYTES) * count :]
    members = gossip.membership.members_by_key
    return [
        (members[key], heartbeat, checksums[number])
        for key, heartbeat, number in zip(keys, heartbeats, seen, strict=False)
        if key in members and number < len(checksums)
    ]


def _bare_rows(gossip: "Gossip", data: bytes, checksum: int) -> Iterable[tuple[Member, int, int]]:
    """Heartbeats of all members in sorted order; they say nothing to the holder of another state."""
    state = gossip.membership.state
    counted = state.counted_members()
    if checksum != state.checksum or len(data) != HEARTBEAT_BYTES * len(counted):
        return ()
    heartbeats = struct.unpack(f"!{len(counted)}H", data)
    return zip(counted, heartbeats, [checksum] * len(counted), strict=True)

"""The overview that a gossip round sends: heartbeats, versions, suspicions."""

import json
import struct

from stagevale import wire


def pack_overview(membership, with_clock=False):
    """Heartbeats and versions of all members; the own clock goes along only where it was asked
    for.

    Where every member's row is known and all have seen this state, the rows are bare heartbeats
    in sorted order: whoever has this state knows which is whose.
    """
    rows, mine, me = membership.rows, membership.state.mark, membership.me.address
    keys, beats, seen_marks = [], [], []
    counting = membership.state.counting()
    for member in counting:
        known = rows.get(member.address)
        if member.address == me:
            known = (membership.me.uid, membership.heartbeat, mine)
        if known is not None and known[0] == member.uid:
            keys.append(member.key)
            beats.append(known[1] & 0xFFFF)
            seen_marks.append(known[2])
    keyed = with_clock or len(keys) < len(counting) or seen_marks.count(mine) < len(seen_marks)
    marks = [mine]
    told = struct.pack(f"!{len(beats)}H", *beats)
    if keyed:
        marks += [mark for mark in dict.fromkeys(seen_marks) if mark != mine][:254]
        place = {mark: at for at, mark in enumerate(marks)}
        told += struct.pack(f"!{len(keys)}I", *keys) + bytes(
            place.get(mark, 255) for mark in seen_marks
        )
    seen = (
        [[membership.me.address, membership.heartbeat, sorted(membership.unreachable)]]
        if membership.unreachable
        else []
    )
    for observer, (heartbeat, addresses) in membership.observed.items():
        member = membership.state.members.get(observer)
        if (
            addresses
            and member is not None
            and member.core
            and observer not in membership.unreachable
            and membership.recent(observer, heartbeat)
        ):
            seen.append([observer, heartbeat, sorted(addresses)])
    return wire.pack(
        [
            wire.OVERVIEW,
            membership.me.address,
            membership.clock_bytes() if with_clock else b"",
            struct.pack(f"!{len(marks)}I", *marks),
            told,
            json.dumps(seen) if seen else "",
            membership.serial,
            int(keyed),
        ]
    )


def overview_rows(membership, row_bytes, marks, keyed):
    """The rows of an overview: (member, heartbeat, its mark)."""
    if not keyed:
        counting = membership.state.counting()
        if marks[0] != membership.state.mark or len(row_bytes) != 2 * len(counting):
            return ()
        return zip(
            counting,
            struct.unpack(f"!{len(counting)}H", row_bytes),
            [marks[0]] * len(counting),
            strict=False,
        )
    count = len(row_bytes) // 7
    beats = struct.unpack_from(f"!{count}H", row_bytes)
    keys = struct.unpack_from(f"!{count}I", row_bytes, 2 * count)
    known = membership.keys
    return [
        (known[key], beat, marks[at])
        for key, beat, at in zip(keys, beats, row_bytes[6 * count :], strict=False)
        if key in known and at < len(marks)
    ]

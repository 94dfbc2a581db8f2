"""Messages between the system's own daemons: flexbuffers (the schema-less part of flatbuffers),
framed.
"""

import json
import struct
import zlib

from flatbuffers import flexbuffers

MAX_FRAME_BYTES = 32 * 1024 * 1024
SQUEEZE_FROM_BYTES = 2000

ANSWER = 0
HELLO = 1
OVERVIEW = 10
STATE = 11
STATE_WANTED = 12
PREPARE = 20
ACCEPT = 21
CONFIRM = 22
LEARN = 23
CHOSEN = 24
BEACON = 25
ORDER = 26
READ_VALUE = 27
WHO_LEADS = 28
POLL = 29
CAMPAIGN = 30
LIVES = 31
HEARD = 32
PING = 33
PART_WANTED = 34
HANDOFF = 35
RESIGNED = 36
LEAVE_GROUP = 37
SUBSCRIBE = 40
FEED = 41
FEED_PING = 42
PULL = 43
UNSUBSCRIBE = 44
ATTACHED = 45
ATTACHED_WANTED = 46
USAGE = 47
COUNTS_WANTED = 48
LEASE_WANTED = 50
LEASE = 51
SESSION_TAKE = 52
SESSION_NOTE = 53
SESSION_MARK = 54
SESSION_LOOK = 55
SESSION_LEARN = 56
SESSION_READY = 57
SESSION_HEIR = 58
DUTIES = 60


class WireFailure(Exception):
    """A message that can't be read; carries the step and the peer."""

    def __init__(self, step, peer, why):
        super().__init__(f"{step} from {peer}: {why}")
        self.step = step
        self.peer = peer


def pack(message):
    """A message as bytes."""
    return bytes(flexbuffers.Dumps(message))


def unpack(data, step, peer):
    """Bytes as a message: a list that begins with its kind. Raises WireFailure for anything
    else.
    """
    try:
        message = plain(flexbuffers.Loads(data))
    except Exception as failure:
        raise WireFailure(step, peer, repr(failure)) from None
    if not isinstance(message, list) or not message or not isinstance(message[0], int):
        raise WireFailure(step, peer, "not a message")
    return message


def plain(value):
    if isinstance(value, list):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    if isinstance(value, (bytearray, memoryview)):
        return bytes(value)
    return value


def pack_rows(rows):
    """Many rows as one field of a message: JSON, which reads a hundred times faster than rows of a
    flexbuffer; many together are squeezed, since a proxy's link is narrow and each start of one
    brings it every endpoint.
    """
    if not rows:
        return b""
    data = json.dumps(rows, separators=(",", ":")).encode()
    return squeeze(data) if len(data) > SQUEEZE_FROM_BYTES else data


def unpack_rows(data):
    """The rows that `pack_rows` was given."""
    try:
        return json.loads(unsqueeze(data) if data[:1] == b"x" else data) if data else []
    except ValueError as failure:
        raise WireFailure("rows", "a peer", repr(failure)) from None


def squeeze(data):
    """Bytes made smaller for the way across a region's border."""
    return zlib.compress(data, 6)


def unsqueeze(data):
    """The bytes that `squeeze` was given."""
    try:
        return zlib.decompress(data)
    except (zlib.error, TypeError) as failure:
        raise WireFailure("unsqueeze", "a peer", repr(failure)) from None


def pack_address(address):
    """`ip:port` as six bytes."""
    ip, _, port = address.rpartition(":")
    a, b, c, d = ip.split(".")
    return struct.pack("!BBBBH", int(a), int(b), int(c), int(d), int(port))


def unpack_address(data):
    """Six bytes as `ip:port`."""
    a, b, c, d, port = struct.unpack("!BBBBH", data)
    return f"{a}.{b}.{c}.{d}:{port}"


def pair(address):
    """`ip:port` as a pair for a socket."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)

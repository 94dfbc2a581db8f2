"""The body of an endpoint's heartbeat."""

import json
from typing import Any

from stagevale.api.router import BadCallError
from stagevale.discovery.instance import Instance, InstanceState

MOST_VERSION_CHARACTERS = 200
MOST_PORT = 65535
MOST_OCTET = 255
OCTETS = 4
# Larger whole numbers don't survive a reader that takes numbers for floats.
MOST_NUMBER = 2**53

Table = dict[str, Any]


def read_heartbeat(id: str, body: bytes, now_ms: float) -> Instance:
    """The instance that a heartbeat describes.

    Args:
        id: the instance's id, from the path.
        body: of the call.
        now_ms: the monotonic time.

    Raises:
        BadCallError: the body can't be taken; the message names the field.
    """
    try:
        table = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadCallError("the body is not JSON") from error
    if not isinstance(table, dict):
        raise BadCallError("the body is not a table")
    details, status = table.get("details"), table.get("status")
    if not isinstance(details, dict) or not isinstance(status, dict):
        raise BadCallError("details and status must be tables")
    address = _read_address(table.get("address"))
    service = _read_text(details, "service")
    zone = _read_text(details, "zone")
    state = _read_text(status, "state")
    software = details.get("version", "")
    if not isinstance(software, str) or len(software) > MOST_VERSION_CHARACTERS:
        raise BadCallError(
            f"version: want a text of at most {MOST_VERSION_CHARACTERS} characters, "
            f"got {software!r}"
        )
    slots = _read_number(details, "slots", 1)
    call_seq = _read_number(status, "callSeq", 0)
    warmup_ms = _read_number(status, "coldLeftMs", 0, default=0)
    if state not in ("ready", "draining"):
        raise BadCallError(f"state: want ready or draining, got {state!r}")
    return Instance(
        id,
        service,
        address,
        zone,
        slots,
        InstanceState.DRAINING if state == "draining" else InstanceState.READY,
        call_seq,
        0,
        call_seq if warmup_ms > 0 else 0,
        warmup_ms,
        now_ms,
        software,
    )


def _read_address(value: object) -> str:
    if isinstance(value, str):
        ip, colon, port = value.rpartition(":")
        octets = ip.split(".")
        if (
            colon
            and port.isdigit()
            and 0 < int(port) <= MOST_PORT
            and len(octets) == OCTETS
            and all(octet.isdigit() and int(octet) <= MOST_OCTET for octet in octets)
        ):
            return value
    raise BadCallError(f"address: want ip:port, got {value!r}")


def _read_text(table: Table, field: str) -> str:
    value = table.get(field)
    if not isinstance(value, str) or not value:
        raise BadCallError(f"{field}: want a text")
    return value


def _read_number(table: Table, field: str, least: int, default: int | None = None) -> int:
    value = table.get(field, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, (int, float))
        or not least <= value < MOST_NUMBER
    ):
        raise BadCallError(f"{field}: want a number from {least}, got {value!r}")
    return int(value)

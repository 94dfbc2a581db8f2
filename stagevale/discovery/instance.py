"""An endpoint instance: one incarnation of an endpoint, as registries and proxies know it."""

import enum
import zlib
from typing import Any

ROW_FIELDS_WITHOUT_SOFTWARE = 10


class InstanceState(enum.IntEnum):
    """Where an instance is in its life cycle; it only ever rises."""

    READY = 0
    DRAINING = 1
    GONE = 2

    @property
    def label(self) -> str:
        """The state's name on the status page."""
        return self.name.lower()


INSTANCE_STATES = tuple(InstanceState)


class Instance:
    """One incarnation of an endpoint; immutable by convention.

    Attributes:
        id: unique to the incarnation.
        service: whose requests it takes.
        address: `ip:port`.
        zone: where it is.
        slots: how many requests it works on at once.
        state: where it is in its life cycle.
        call_seq: of its latest call that is known.
        unhealthy_seq: its call sequence when it was last declared unhealthy.
        warmup_seq: its call sequence when it last said that it is warming up.
        warmup_ms: for how long it was warming up still, counted from `last_heartbeat_ms`.
        last_heartbeat_ms: when it was last heard of, by this daemon's monotonic clock.
        software: the version of its software; may be empty.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "call_seq",
        "unhealthy_seq",
        "warmup_seq",
        "warmup_ms",
        "last_heartbeat_ms",
        "software",
        "_checksum",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        state: InstanceState,
        call_seq: int,
        unhealthy_seq: int,
        warmup_seq: int,
        warmup_ms: float,
        last_heartbeat_ms: float = 0.0,
        software: str = "",
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = state
        self.call_seq = call_seq
        self.unhealthy_seq = unhealthy_seq
        self.warmup_seq = warmup_seq
        self.warmup_ms = warmup_ms
        self.last_heartbeat_ms = last_heartbeat_ms
        self.software = software
        self._checksum: int | None = None

    @property
    def is_healthy(self) -> bool:
        """False once it was declared unhealthy and has not been heard since."""
        return self.call_seq > self.unhealthy_seq

    @property
    def is_counted(self) -> bool:
        """True while registries must agree on the instance."""
        return self.state != InstanceState.GONE and self.is_healthy

    def warmup_left_ms(self, now_ms: float) -> float:
        """For how long it is still warming up; negative once it is warm."""
        return self.warmup_ms - (now_ms - self.last_heartbeat_ms)

    def same_for_proxies(self, other: "Instance") -> bool:
        """True where proxies need not be told of the difference."""
        return self.proxy_fields() == other.proxy_fields()

    def proxy_fields(self) -> tuple[str, int, bool, int]:
        """What proxies need to know of the instance."""
        return self.id, int(self.state), self.is_healthy, self.warmup_seq

    def checksum(self) -> int:
        """A short number that is equal for instances that are the same for proxies."""
        if self._checksum is None:
            self._checksum = zlib.crc32(repr(self.proxy_fields()).encode())
        return self._checksum

    def copy_checksum(self, same: "Instance") -> None:
        """Takes over the checksum of an instance that is the same for proxies."""
        self._checksum = same.checksum()

    @property
    def key(self) -> int:
        """A checksum of the id, which stands for it in messages among registries."""
        return instance_key(self.id)

    def to_row(self, now_ms: float) -> list[Any]:
        """The instance for a message; what is left of the warm-up travels, not the moment of its
        end.
        """
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.call_seq,
            self.unhealthy_seq,
            self.warmup_seq,
            max(0, int(self.warmup_left_ms(now_ms))),
            self.software,
        ]

    @classmethod
    def from_row(cls, row: list[Any], now_ms: float) -> "Instance":
        """An instance out of a message.

        Raises:
            ValueError, TypeError, IndexError: the row has another shape.
        """
        software = row[10] if len(row) > ROW_FIELDS_WITHOUT_SOFTWARE else ""
        id, service, address, zone, slots, state, *numbers = row[:ROW_FIELDS_WITHOUT_SOFTWARE]
        call_seq, unhealthy_seq, warmup_seq, warmup_ms = numbers
        if not isinstance(id, str) or not isinstance(address, str):
            raise TypeError("id and address: want texts")
        if not InstanceState.READY <= state <= InstanceState.GONE:
            raise ValueError(f"no instance state: {state}")
        int(call_seq), int(unhealthy_seq), int(warmup_ms), int(slots)
        return cls(
            id,
            service,
            address,
            zone,
            slots,
            INSTANCE_STATES[state],
            call_seq,
            unhealthy_seq,
            warmup_seq,
            warmup_ms,
            now_ms,
            software,
        )

    def _changed(self, state: InstanceState, call_seq: int, now_ms: float) -> "Instance":
        return Instance(
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            state,
            call_seq,
            0,
            0,
            0,
            now_ms,
        )

    def heartbeat(self, call_seq: int, now_ms: float) -> "Instance":
        """What a heartbeat with nothing new says of this instance."""
        return self._changed(InstanceState.READY, call_seq, now_ms)

    def left(self, now_ms: float) -> "Instance":
        """What a leave call says of this instance."""
        return self._changed(InstanceState.GONE, self.call_seq, now_ms)

    def unhealthy(self) -> "Instance":
        """This instance declared unhealthy as of its latest call."""
        return Instance(
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            self.call_seq,
            self.call_seq,
            self.warmup_seq,
            self.warmup_ms,
            self.last_heartbeat_ms,
            self.software,
        )

    def merged(self, other: "Instance", now_ms: float) -> "Instance":
        """What is known by both: drained and left are sticky, later calls go over earlier ones."""
        newer = other if other.call_seq > self.call_seq else self
        warmer = other if other.warmup_seq > self.warmup_seq else self
        return Instance(
            self.id,
            self.service,
            newer.address,
            newer.zone,
            newer.slots,
            max(self.state, other.state),
            newer.call_seq,
            max(self.unhealthy_seq, other.unhealthy_seq),
            warmer.warmup_seq,
            max(0, warmer.warmup_left_ms(now_ms)),
            now_ms,
            self.software or other.software,
        )


def instance_key(id: str) -> int:
    """The key of an id in messages among registries."""
    return zlib.crc32(id.encode())

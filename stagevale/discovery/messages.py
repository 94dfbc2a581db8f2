"""What registries say to each other and to the proxies that they feed.

Fields are read in the order in which they stand here; order and types are part of the protocol.
Rows are encoded by `rpc.codec.encode_rows`.
"""

from typing import Any, NamedTuple

from stagevale.quorum.ballot import Ballot

# The serial that a proxy without a configuration, or one that changes its feeder, subscribes with.
NO_SERIAL = -1
RECEIVED = 1


class InstancesMessage(NamedTuple):
    """Instances, as encoded rows.

    Attributes:
        rows: encoded rows of `Instance.to_row`.
        passed_on: 1 where the receiver isn't to pass them on to its region.
    """

    rows: bytes
    passed_on: int


class RegistryPing(NamedTuple):
    """What a registry tells the others each round.

    Attributes:
        serial: of its configuration value; negative where it has none.
        checksums: of all instances as one, or of each shard where a peer differs.
        proxies_checksum: of the proxies that it feeds.
        wall_ms: its time of day, where the agreed clock is in use.
    """

    serial: int
    checksums: list[Any]
    proxies_checksum: int
    wall_ms: int | None = None


class ShardSyncRequest(NamedTuple):
    """Asks for what differs in some shards.

    Attributes:
        shards: indices of the shards.
        summaries: what is known here of each; see `InstanceTable.summary`.
    """

    shards: tuple[int, ...]
    summaries: tuple[bytes, ...]


class ShardSyncReply(NamedTuple):
    """Encoded rows that the asker lacks, and the keys of instances that are wanted of it."""

    rows: bytes
    wanted_keys: tuple[int, ...]


class ShardHandoff(NamedTuple):
    """A shard's instances as encoded rows, for a registry that is to keep it."""

    shard: str
    rows: bytes


class ShardCampaign(NamedTuple):
    """A registry runs for the ownership of a shard."""

    shard: str
    ballot: Ballot


class SubscribeMessage(NamedTuple):
    """A proxy subscribes, or renews its subscription.

    Attributes:
        front: where it serves clients.
        zone, region: where it is.
        ready: whether it is ready to serve.
        serial: of the configuration value that it has; `NO_SERIAL` asks for everything anew.
        report: what it has seen of endpoints since its last report; empty between reports.
        partner_serial, partner_mark: of its table of partner routes, where it has one.
    """

    front: str
    zone: str
    region: str
    ready: bool
    serial: int
    report: list[Any]
    partner_serial: int | None = None
    partner_mark: str | None = None


class FeedMessage(NamedTuple):
    """News for a proxy.

    Attributes:
        has_value: 1 where `encoded` is the newest configuration value.
        encoded: the value; empty where there is none.
        rows: encoded rows of instances.
    """

    has_value: int
    encoded: bytes
    rows: bytes


class FeedHeartbeat(NamedTuple):
    """What a feeding registry tells its proxies each round.

    Attributes:
        serial: the highest one of a configuration value that it has heard of; it may not have it.
        in_contact: 1 while it reaches a majority of the core.
        agreed_ms: the core's agreed time, where it is in use.
    """

    serial: int
    in_contact: int
    agreed_ms: int | None = None


class ReadNewerValue(NamedTuple):
    """A daemon asks a registry for its configuration value; the reply is empty where that isn't newer
    than what the daemon has.

    Attributes:
        serial: of the value that the daemon has; negative for none.
    """

    serial: int = -1


class PullValue(NamedTuple):
    """A proxy asks for a newer configuration value than this serial."""

    serial: int


class LeaseRequest(NamedTuple):
    """A proxy asks whether its configuration value is the newest.

    Attributes:
        number: of the request.
        incarnation: of the proxy, where outcomes of rollouts go along.
        outcomes: rows of outcomes.
    """

    number: int
    incarnation: str | None = None
    outcomes: list[Any] | None = None


class LeaseGrant(NamedTuple):
    """The newest serial at some moment after the request with this number."""

    number: int
    newest_serial: int


class ProxyRow(NamedTuple):
    """A proxy that a registry feeds."""

    address: str
    front: str
    zone: str
    region: str
    is_ready: bool

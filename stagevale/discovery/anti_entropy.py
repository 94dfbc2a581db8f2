"""Anti-entropy: registries compare checksums of what they know and exchange what differs."""

from typing import TYPE_CHECKING, Any

from stagevale.discovery.instance_table import rows_of
from stagevale.discovery.messages import (
    InstancesMessage,
    RegistryPing,
    ShardSyncReply,
    ShardSyncRequest,
)
from stagevale.placement.shards import SHARDS
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.message import message_body
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

# A registry of another region is told of a difference in so many of its pings only: bytes between
# regions are dear.
OTHER_REGION_CHANCE = 0.3


class AntiEntropy:
    """Pings between registries and the repair of what they know differently."""

    __slots__ = ("service", "context", "rpc", "membership")

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.membership = service.membership
        self.rpc.handle(MessageKind.REGISTRY_PING, RegistryPing, self._on_ping)
        self.rpc.handle(MessageKind.SHARD_SYNC, ShardSyncRequest, self._on_sync)

    def ping(self, addresses: list[str]) -> None:
        """Tells registries what is known here, as checksums."""
        service = self.service
        wall_ms = int(self.context.wall_ms()) if service.agreed_clock is not None else None
        message = RegistryPing(
            service.configuration.serial,
            [service.instances.checksum_of_all()],
            service.proxies.own_checksum(),
            wall_ms,
        )
        for address in addresses:
            self.rpc.send(address, MessageKind.REGISTRY_PING, message_body(message))

    def _on_ping(self, peer: str, ping: RegistryPing, reply: Reply) -> None:
        service = self.service
        if ping.wall_ms is not None and service.agreed_clock is not None:
            service.agreed_clock.record(peer, ping.wall_ms)
        service.contact.record_ping(peer)
        service.configuration.compare(peer, ping.serial)
        service.proxies.compare(peer, ping.proxies_checksum)
        if len(ping.checksums) == 1:
            self._compare_all(peer, ping)
        else:
            self._compare_shards(peer, ping.checksums)

    def _compare_all(self, peer: str, ping: RegistryPing) -> None:
        """Where something differs, the peer is told the checksum of each shard."""
        service = self.service
        if ping.checksums[0] == service.instances.checksum_of_all():
            return
        member = self.membership.state.members.get(peer)
        near = member is not None and member.region == self.membership.me.region
        if not near and self.context.random.random() >= OTHER_REGION_CHANCE:
            return
        value = service.configuration.value
        message = RegistryPing(
            ping.serial if value is None else value.serial,
            [service.instances.checksum(shard) for shard in SHARDS],
            service.proxies.own_checksum(),
        )
        self.rpc.send(peer, MessageKind.REGISTRY_PING, message_body(message))

    def _compare_shards(self, peer: str, checksums: list[Any]) -> None:
        """Asks the peer for what differs in the shards whose checksums differ."""
        instances = self.service.instances
        differing = [
            number
            for number, (shard, checksum) in enumerate(zip(SHARDS, checksums, strict=False))
            if checksum != instances.checksum(shard)
        ]
        if not differing:
            return
        request = ShardSyncRequest(
            tuple(differing), tuple(instances.summary(SHARDS[number]) for number in differing)
        )

        def replied(answer: ShardSyncReply | None, _error: RequestError | None) -> None:
            if answer is not None:
                self._on_sync_reply(peer, answer)

        self.rpc.request(
            peer,
            MessageKind.SHARD_SYNC,
            request,
            ShardSyncReply,
            replied,
            self.service.interval_ms,
        )

    def _on_sync(self, peer: str, request: ShardSyncRequest, reply: Reply) -> None:
        """Replies with what differs here from a peer's shards, and with what is wanted of it."""
        now_ms = self.context.now_ms()
        rows: list[Any] = []
        wanted: list[int] = []
        for number, summary in zip(request.shards, request.summaries, strict=False):
            difference = self.service.instances.difference(SHARDS[number], summary, now_ms)
            rows += difference.rows
            wanted += difference.wanted_keys
        reply(ShardSyncReply(codec.encode_rows(rows), tuple(wanted)))

    def _on_sync_reply(self, peer: str, answer: ShardSyncReply) -> None:
        by_key = self.service.instances.by_key
        wanted = [by_key[key] for key in answer.wanted_keys if key in by_key]
        rows = rows_of(wanted, self.context.now_ms())
        self.service.heartbeats.take_rows(codec.decode_rows(answer.rows), True)
        if rows:
            message = InstancesMessage(codec.encode_rows(rows), 1)
            self.rpc.send(peer, MessageKind.INSTANCES, message)

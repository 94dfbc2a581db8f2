"""Heartbeats and leave calls of endpoints, and how they spread among the registries."""

import struct
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from stagevale.discovery.departures import has_departed
from stagevale.discovery.instance import Instance, InstanceState, instance_key
from stagevale.discovery.instance_table import rows_of
from stagevale.discovery.messages import RECEIVED, InstancesMessage
from stagevale.placement.shards import shard_of
from stagevale.quorum.call import QuorumCall
from stagevale.quorum.rules import disk_rule
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply
from stagevale.settings.settings import replicas_to_outlive

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

HEARTBEAT_ROW = struct.Struct("!II")
SEQUENCE_MASK = 0xFFFFFFFF
# How long the replicas of a shard may take, as a share of a round, so that the endpoint's call is
# answered within its second.
REPLICATION_TIMEOUT_SHARE = 0.7

Answer = Callable[[int, dict[str, Any]], object]


class HeartbeatReceiver:
    """Takes what endpoints say of themselves and brings it to the registries that keep their shard."""

    __slots__ = ("service", "context", "rpc", "membership", "_heard")

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.membership = service.membership
        self._heard: dict[str, dict[str, int]] = {}
        self.rpc.handle(MessageKind.INSTANCES, InstancesMessage, self._on_instances)
        self.rpc.handle(MessageKind.HEARTBEATS_RECEIVED, bytes, self._on_heartbeats)

    def heartbeat(self, incoming: Instance, answer: Answer) -> None:
        """An endpoint's heartbeat.

        Args:
            incoming: the instance as it describes itself.
            answer: called once with an HTTP status and body.
        """
        now_ms = self.context.now_ms()
        known = self.service.instances.by_id.get(incoming.id)
        if known is not None and incoming.warmup_seq and known.warmup_seq:
            left_ms = known.warmup_left_ms(now_ms)
            if left_ms > 0 and incoming.warmup_ms <= left_ms + self.service.interval_ms:
                # The same warm-up as before, not another one.
                incoming.warmup_seq = known.warmup_seq
        self._take(incoming, answer)

    def leave(self, id: str, answer: Answer) -> None:
        """An endpoint's leave call; one that a registry in contact doesn't know has left before."""
        service = self.service
        known = service.instances.by_id.get(id)
        if known is not None:
            self._take(known.left(self.context.now_ms()), answer)
        elif service.contact.reaches_majority() and not service.contact.is_starting():
            answer(200, {})
        else:
            # Other registries may know it as ready, and would never hear of the leave.
            answer(503, {"error": "this endpoint is not known here yet"})

    def _take(self, incoming: Instance, answer: Answer) -> None:
        service = self.service
        if not service.contact.reaches_majority() and not service.contact.is_starting():
            answer(503, {"error": "out of touch with the core"})
            return
        changed = service.instances.merge(incoming, self.context.now_ms())
        if changed is None:
            shard = shard_of(incoming.service)
            self._heard.setdefault(shard, {})[incoming.id] = incoming.call_seq
            known = service.instances.by_id[incoming.id]
            ready = InstanceState.READY
            if known.state == ready or incoming.state == ready:
                answer(200, self._heartbeat_answer(incoming))
                return
            # A drain or a leave is acknowledged once majorities have it.
            changed = known
        if changed.state == InstanceState.READY:
            self.spread([changed])
            answer(200, self._heartbeat_answer(incoming))
        else:
            self.spread([changed], answer)

    def _heartbeat_answer(self, instance: Instance) -> dict[str, str]:
        """Names a registry of the endpoint's own zone for later heartbeats, where this one is of
        another.
        """
        control = self.context.settings.listen.get("control")
        if instance.zone == self.membership.me.zone or control is None:
            return {}
        for member in self.service.contact.registries():
            if member.zone == instance.zone and self.membership.is_reachable(member.address):
                return {"beatTarget": f"{member.machine}:{control[1]}"}
        return {}

    # spreading

    def spread(self, changed: Iterable[Instance], answer: Answer | None = None) -> None:
        """Brings changed instances to the replicas of their shards and to proxies.

        Args:
            changed: the instances.
            answer: called once with an HTTP status and body when majorities of the replicas and of
                the witnesses, and enough of them to outlive the tolerated loss of disks, have the
                instance on disk, or can't be reached; then there is just one.
        """
        changed = list(changed)
        self.service.feeds.publish(changed)
        for shard, instances in _by_shard(changed).items():
            self._replicate(shard, instances, answer)

    def _replicate(self, shard: str, instances: list[Instance], answer: Answer | None) -> None:
        own_address = self.rpc.address
        replicas = self.service.replicas_of(shard)
        message = InstancesMessage(codec.encode_rows(rows_of(instances, self.context.now_ms())), 0)
        if own_address in replicas:
            self._pass_on(shard, instances)
        if answer is None:
            self._save_departures(instances, _do_nothing)
            for address in replicas:
                if address != own_address:
                    self.rpc.send(address, MessageKind.INSTANCES, message)
            return
        witnesses = self._witnesses(replicas)
        call: QuorumCall[int] = QuorumCall(
            witnesses,
            lambda _replica, _reply: True,
            lambda: answer(200, {}),
            lambda: answer(503, {"error": "the part's group can't be reached"}),
            () if len(witnesses) == len(replicas) else (replicas, witnesses),
            copies=disk_rule(self.context.settings.tolerance).copies,
        )
        counts_here = own_address in witnesses
        self._save_departures(
            instances, lambda: call.replied(own_address, RECEIVED) if counts_here else None
        )
        for address in witnesses:
            if address != own_address:
                self._replicate_to(address, message, call)

    def announce_departures(self) -> None:
        """Tells all registries which instances drain or have left, by what is known here: one whose
        disk was lost knows nothing of them, and proxies that go over to it would keep them.
        """
        departed = list(filter(has_departed, self.service.instances.by_id.values()))
        if not departed:
            return
        rows = rows_of(departed, self.context.now_ms())
        message = InstancesMessage(codec.encode_rows(rows), 1)
        for member in self.service.contact.registries():
            if member.address != self.rpc.address:
                self.rpc.send(member.address, MessageKind.INSTANCES, message)

    def _witnesses(self, replicas: Sequence[str]) -> tuple[str, ...]:
        """The registries that write a departure before it is acknowledged: a shard's replicas and,
        where a majority of these may lose its disks at once, this registry and further ones.
        """
        size = replicas_to_outlive(self.context.settings.tolerance)
        others = [
            member.address
            for member in self.service.contact.registries()
            if self.membership.is_reachable(member.address)
        ]
        candidates = dict.fromkeys((*replicas, self.rpc.address, *others))
        return tuple(candidates)[: max(size, len(replicas))]

    def _save_departures(
        self, instances: Iterable[Instance], on_saved: Callable[[], object]
    ) -> None:
        """Brings the drains and leaves among some instances to this registry's disk."""
        if self.service.departures is None:
            on_saved()
        else:
            self.service.departures.save(instances, on_saved)

    def _replicate_to(self, address: str, message: InstancesMessage, call: QuorumCall[int]) -> None:
        def replied(reply: int | None, _error: RequestError | None) -> None:
            call.replied(address, reply)

        timeout_ms = self.service.interval_ms * REPLICATION_TIMEOUT_SHARE
        self.rpc.request(address, MessageKind.INSTANCES, message, int, replied, timeout_ms)

    def _pass_on(self, shard: str, instances: list[Instance]) -> None:
        """A replica passes instances on to the registries of its region, the shard's owner also to
        regions without a replica.
        """
        service = self.service
        replicas = service.replicas_of(shard)
        regions = {
            service.contact.region_of(address)
            for address in replicas
            if self.membership.is_reachable(address)
        }
        own_region = self.membership.me.region
        message = InstancesMessage(codec.encode_rows(rows_of(instances, self.context.now_ms())), 1)
        for member in service.contact.registries():
            if member.address in replicas or member.address == self.rpc.address:
                continue
            if member.region == own_region or (
                member.region not in regions and service.shard_ownership.owns(shard)
            ):
                self.rpc.send(member.address, MessageKind.INSTANCES, message)

    # from other registries

    def _on_instances(self, peer: str, message: InstancesMessage, reply: Reply) -> None:
        rows = codec.decode_rows(message.rows)
        self.take_rows(rows, bool(message.passed_on), lambda: reply(RECEIVED))

    def take_rows(
        self,
        rows: Iterable[list[Any]],
        passed_on: bool,
        on_saved: Callable[[], object] | None = None,
    ) -> None:
        """Takes in what another registry knows of some instances.

        Args:
            rows: rows of `Instance.to_row`.
            passed_on: whether they are not to be passed on from here.
            on_saved: called once every drain and leave among them is on disk here.

        Raises:
            ValueError, TypeError, IndexError: a row has another shape.
        """
        now_ms = self.context.now_ms()
        changed, ids = [], []
        for row in rows:
            incoming = Instance.from_row(row, now_ms)
            ids.append(incoming.id)
            instance = self.service.instances.merge(incoming, now_ms)
            if instance is not None:
                changed.append(instance)
        by_id = self.service.instances.by_id
        self._save_departures([by_id[id] for id in ids], on_saved or _do_nothing)
        if not changed:
            return
        self.service.feeds.publish(changed)
        if passed_on:
            return
        for shard, instances in _by_shard(changed).items():
            if self.rpc.address in self.service.replicas_of(shard):
                self._pass_on(shard, instances)

    def _on_heartbeats(self, peer: str, data: bytes, reply: Reply) -> None:
        """Which unchanged instances another registry has heard."""
        now_ms = self.context.now_ms()
        instances = self.service.instances
        back = []
        for key, call_seq in HEARTBEAT_ROW.iter_unpack(data):
            known = instances.by_key.get(key)
            if known is None:
                continue
            changed = instances.merge(known.heartbeat(call_seq, now_ms), now_ms)
            if changed is not None:
                back.append(changed)
        if back:
            self.spread(back)

    def report_heartbeats(self) -> None:
        """Tells the replicas which unchanged instances were heard here since the last time."""
        reports: dict[str, list[bytes]] = {}
        for shard, heard in self._heard.items():
            for address in self.service.replicas_of(shard):
                if address != self.rpc.address:
                    reports.setdefault(address, []).extend(
                        HEARTBEAT_ROW.pack(instance_key(id), call_seq & SEQUENCE_MASK)
                        for id, call_seq in heard.items()
                    )
        for address, rows in reports.items():
            self.rpc.send(address, MessageKind.HEARTBEATS_RECEIVED, b"".join(rows))
        self._heard = {}


def _do_nothing() -> None:
    pass


def _by_shard(instances: Iterable[Instance]) -> dict[str, list[Instance]]:
    """Instances by their shards."""
    shards: dict[str, list[Instance]] = {}
    for instance in instances:
        shards.setdefault(shard_of(instance.service), []).append(instance)
    return shards

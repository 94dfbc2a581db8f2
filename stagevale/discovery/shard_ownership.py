"""Who owns a shard of the instances; the owner declares those unhealthy that nobody hears."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from stagevale.discovery.instance import Instance
from stagevale.discovery.messages import ShardCampaign
from stagevale.placement.shards import SHARDS
from stagevale.quorum.ballot import Ballot, candidate_id
from stagevale.quorum.call import QuorumCall
from stagevale.quorum.memory_voter import MemoryPromise, MemoryVoter
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

INCARNATION_BITS = 32
CAMPAIGN_TIMEOUT_SHARE = 0.6
# An instance that nobody has heard for so many of its heartbeats is unhealthy; a registry that has
# just started waits for more, since it has heard nobody yet.
SILENT_HEARTBEATS = 2.6
START_HEARTBEATS = 4


class Ownership(NamedTuple):
    """The owner of a shard and the ballot that it won with.

    Where the ballot is another registry's, it was promised here: that candidate is taken for the
    owner, though it may have lost.
    """

    owner: str
    ballot: Ballot


class ShardOwnership:
    """Elections for the shards that this registry keeps; in memory, since a shard is soft state."""

    __slots__ = ("service", "context", "rpc", "membership", "_voter", "_owners", "_term", "_id")

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.membership = service.membership
        self._voter = MemoryVoter()
        self._owners: dict[str, Ownership] = {}
        self._term = 0
        incarnation = f"{self.context.random.getrandbits(INCARNATION_BITS):08x}"
        self._id = candidate_id(self.rpc.address, incarnation)
        self.rpc.handle(MessageKind.SHARD_CAMPAIGN, ShardCampaign, self._on_campaign)

    def owner_of(self, shard: str) -> str:
        """The address of a shard's owner as far as it is known here; empty for none."""
        ownership = self._owners.get(shard)
        return ownership.owner if ownership is not None else ""

    def owns(self, shard: str) -> bool:
        """True where this registry owns a shard, and the shard is still placed on it."""
        return self.owner_of(
            shard
        ) == self.rpc.address and self.rpc.address in self.service.replicas_of(shard)

    def resign_all(self) -> None:
        """Gives up the shards that this registry owns, before a graceful shutdown."""
        for shard in list(self._owners):
            if self.owner_of(shard) == self.rpc.address:
                del self._owners[shard]

    # elections

    def campaign(self) -> None:
        """Runs for the shards without a live owner of which this registry is the first live
        replica, and asks whether those that it owns are still its own.
        """
        if self.service.stopping:
            return
        owned = [shard for shard in SHARDS if self.owns(shard)]
        vacant = [shard for shard in SHARDS if self._may_run_for(shard)]
        for shard in owned:
            self._confirm(shard)
        for shard in vacant:
            self._run_for(shard)

    def _may_run_for(self, shard: str) -> bool:
        replicas = self.service.replicas_of(shard)
        own_address = self.rpc.address
        if own_address not in replicas:
            return False
        if self._has_run_in_vain(shard):
            return True
        owner = self.owner_of(shard)
        if owner in replicas and (owner == own_address or self._is_live(owner)):
            return False
        live = [address for address in replicas if address == own_address or self._is_live(address)]
        return live[0] == own_address

    def _has_run_in_vain(self, shard: str) -> bool:
        """True where no ballot above this registry's own is known, and it doesn't own the shard.

        Others may take it for the owner by the ballots that they promised it, so none of them runs.
        """
        return self._voter.highest(shard).candidate == self._id and shard not in self._owners

    def _is_live(self, address: str) -> bool:
        return self.membership.is_reachable(address) and self.service.contact.may_be_live(address)

    def _run_for(self, shard: str) -> None:
        replicas = self.service.replicas_of(shard)
        self._term = max(self._term, self._voter.highest(shard).term) + 1
        ballot = Ballot(self._term, self._id)

        def is_promise(_replica: str, promise: MemoryPromise) -> bool:
            self._on_promised(shard, promise.promised)
            return promise.granted

        def elected() -> None:
            if self._voter.highest(shard) != ballot:
                # A higher ballot was promised here meanwhile: its candidate may have been elected.
                return
            self._owners[shard] = Ownership(self.rpc.address, ballot)
            self.context.log.info("registry: owns shard %s.", shard)

        call: QuorumCall[MemoryPromise] = QuorumCall(replicas, is_promise, elected)
        for address in replicas:
            on_reply = functools.partial(call.replied, address)
            self._ask(address, ShardCampaign(shard, ballot), on_reply)

    def _confirm(self, shard: str) -> None:
        """Asks the other replicas for this owner's ballot anew: one that was cut off while another
        was elected hears of that.
        """
        message = ShardCampaign(shard, self._owners[shard].ballot)
        for address in self.service.replicas_of(shard):
            if address != self.rpc.address:
                self._ask(address, message, lambda promise: self._on_confirmed(shard, promise))

    def _on_confirmed(self, shard: str, promise: MemoryPromise | None) -> None:
        if promise is not None:
            self._on_promised(shard, promise.promised)

    def _on_promised(self, shard: str, ballot: Ballot) -> None:
        """Another replica has promised this ballot: one above all that are known here counts."""
        self._term = max(self._term, ballot.term)
        if ballot > self._voter.highest(shard):
            self._voter.promise(shard, ballot)
            self._owners[shard] = Ownership(ballot.address, ballot)

    def _ask(
        self,
        address: str,
        message: ShardCampaign,
        on_reply: Callable[[MemoryPromise | None], object],
    ) -> None:
        def replied(promise: MemoryPromise | None, _error: RequestError | None) -> None:
            on_reply(promise)

        timeout_ms = self.service.interval_ms * CAMPAIGN_TIMEOUT_SHARE
        self.rpc.request(
            address, MessageKind.SHARD_CAMPAIGN, message, MemoryPromise, replied, timeout_ms
        )

    def _on_campaign(self, peer: str, message: ShardCampaign, reply: Reply) -> None:
        ballot = message.ballot
        promise = self._voter.promise(message.shard, ballot)
        if promise.granted and ballot.candidate == self._id:
            # Its own promise doesn't make a candidate the owner: only a majority's does.
            self._owners.pop(message.shard, None)
        elif promise.granted:
            self._owners[message.shard] = Ownership(ballot.address, ballot)
        reply(promise)

    # silent instances

    def declare_silent_unhealthy(self) -> None:
        """Declares instances of owned shards unhealthy that no registry has heard for some
        heartbeats.
        """
        service = self.service
        now_ms = self.context.now_ms()
        heartbeat_ms = self.context.settings.beat_ms
        if not service.contact.reaches_majority():
            return
        if now_ms - service.contact.started_ms < heartbeat_ms * START_HEARTBEATS:
            return
        limit_ms = heartbeat_ms * SILENT_HEARTBEATS
        silent = [
            instance
            for shard in SHARDS
            if self.owns(shard)
            for instance in service.instances.in_shard(shard)
            if instance.is_counted and self._silent_ms(instance, now_ms) >= limit_ms
        ]
        changed = [
            unhealthy
            for instance in silent
            if (unhealthy := self._declare_unhealthy(instance, now_ms)) is not None
        ]
        if changed:
            service.heartbeats.spread(changed)

    def _silent_ms(self, instance: Instance, now_ms: float) -> float:
        """For how long an instance could have been heard, and wasn't."""
        since_ms = instance.last_heartbeat_ms
        return now_ms - since_ms - self.service.contact.deaf_since_ms(since_ms)

    def _declare_unhealthy(self, instance: Instance, now_ms: float) -> Instance | None:
        instances = self.service.instances
        last_heartbeat_ms = instances.by_id[instance.id].last_heartbeat_ms
        changed = instances.merge(instance.unhealthy(), now_ms)
        # Merging takes it for heard just now.
        instances.by_id[instance.id].last_heartbeat_ms = last_heartbeat_ms
        if changed is not None:
            self.context.log.info(
                "registry: %s of %s is unhealthy, no heartbeat.", instance.id, instance.service
            )
        return changed

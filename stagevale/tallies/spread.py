"""Spreading adds to all registries: new ones in batches, the rest by comparing digests."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from stagevale.membership.member import Member
from stagevale.rpc import codec
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply
from stagevale.tallies.add import LoggedAdd, Position, from_runs, to_runs
from stagevale.tallies.messages import NewAdds, PullAdds, TallyDigest

if TYPE_CHECKING:
    from stagevale.tallies.replica import TallyReplica

# Shares of `mergeMs`: how long new adds wait for others to go with, and how far apart digests are.
BATCH_SHARE = 0.05
DIGEST_SHARE = 0.2
# So many adds go in one message, so that a long partition's adds don't hold up a link.
MOST_ADDS = 1000
# So many adds are in the reply to a registry that has just started; digests bring it the rest.
MOST_PULLED_ADDS = 20_000


class NewAdd:
    """An add that others are still to be told of.

    Attributes:
        holders: addresses of those that have it.
        regions: of those that have it; one that has it passes it on to its region.
        everywhere: whether other regions are to be told as well.
    """

    __slots__ = ("logged", "holders", "regions", "everywhere")

    def __init__(self, logged: LoggedAdd, everywhere: bool) -> None:
        self.logged = logged
        self.holders: set[str] = set()
        self.regions: set[str] = set()
        self.everywhere = everywhere


class TallySpread:
    """Brings adds to the other registries.

    A new add goes to each registry of its region and to one of each other region, which passes it
    on. What gets lost that way, or waits behind a partition, is found by digests: a registry that
    receives one sends what the other lacks. An add behind a gap that doesn't close, since its origin
    lost its disk, is in no digest: whoever has it accepts it anew under its own origin.
    """

    __slots__ = ("replica", "context", "rpc", "_new", "_settled", "_digest", "_detached")

    def __init__(self, replica: "TallyReplica") -> None:
        self.replica = replica
        self.context = replica.context
        self.rpc = replica.rpc
        self._new: dict[Position, NewAdd] = {}
        # What was known one and two digests ago; what is newer may be on its way.
        self._settled: dict[str, int] = {}
        self._digest: dict[str, int] = {}
        # The adds that were behind gaps one digest ago.
        self._detached: set[Position] = set()
        self.rpc.handle(MessageKind.TALLY_ADDS, NewAdds, self._on_adds)
        self.rpc.handle(MessageKind.TALLY_DIGEST, TallyDigest, self._on_digest)
        self.rpc.handle(MessageKind.TALLY_PULL, PullAdds, self._on_pull)

    def _merge_ms(self) -> float:
        return self.context.settings.bounds.merge_ms

    def start(self) -> None:
        """Begins to send digests."""
        self.context.call_later(self._merge_ms() * DIGEST_SHARE, self._send_digests)

    # new adds

    def publish(self, adds: Iterable[LoggedAdd], sender: str | None, everywhere: bool) -> None:
        """Tells others of new adds within a moment.

        Args:
            adds: what is new here.
            sender: the registry that they came from, or None.
            everywhere: whether other regions are to be told as well.
        """
        if not self._new:
            self.context.call_later(self._merge_ms() * BATCH_SHARE, self._send_new)
        for logged in adds:
            new = self._new.setdefault(logged.position, NewAdd(logged, everywhere))
            if sender is not None:
                new.holders.add(sender)

    def add_holders(self, logged: LoggedAdd, holders: Iterable[Member]) -> None:
        """Some registries have an add already: they needn't be told."""
        new = self._new.get(logged.position)
        if new is not None:
            for member in holders:
                new.holders.add(member.address)
                new.regions.add(member.region)

    def _send_new(self) -> None:
        new, self._new = self._new, {}
        own_region = self.replica.me.region
        for region, members in self.replica.peers_by_region().items():
            if region == own_region:
                for member in members:
                    adds = [each for each in new.values() if member.address not in each.holders]
                    self._send(member.address, [each.logged for each in adds], True)
            else:
                adds = [each for each in new.values() if self._is_wanted(each, region)]
                relay = self.replica.relay_of(members)
                self._send(relay.address, [each.logged for each in adds], False)

    def _is_wanted(self, new: NewAdd, region: str) -> bool:
        return new.everywhere and region not in new.regions

    def _send(self, peer: str, adds: list[LoggedAdd], passed_on: bool) -> None:
        for first in range(0, len(adds), MOST_ADDS):
            runs = to_runs(sorted(adds[first : first + MOST_ADDS]))
            message = NewAdds(codec.encode_rows(runs), 1 if passed_on else 0)
            self.rpc.send(peer, MessageKind.TALLY_ADDS, message)

    def _on_adds(self, peer: str, message: NewAdds, reply: Reply) -> None:
        adds = from_runs(codec.decode_rows(message.runs))
        self.replica.receive(adds, peer, not message.passed_on)

    # digests

    def _send_digests(self) -> None:
        """Tells the region's registries, and one of each other region, what is known here."""
        self.context.call_later(self._merge_ms() * DIGEST_SHARE, self._send_digests)
        self._readopt_detached()
        self._settled, self._digest = self._digest, self.replica.state.digest()
        if not self._digest:
            return
        message = TallyDigest(self._digest)
        own_region = self.replica.me.region
        for region, members in self.replica.peers_by_region().items():
            told = members if region == own_region else [self.context.random.choice(members)]
            for member in told:
                self.rpc.send(member.address, MessageKind.TALLY_DIGEST, message)

    def _readopt_detached(self) -> None:
        """Accepts adds anew that are behind a gap for longer than it takes to close one."""
        detached = self.replica.state.detached()
        self.replica.accept_anew([each.add for each in detached if each.position in self._detached])
        self._detached = {each.position for each in detached}

    def _on_digest(self, peer: str, digest: TallyDigest, reply: Reply) -> None:
        missing = self.replica.state.missing(digest.complete, self._settled)
        if missing:
            near = self.replica.contact.region_of(peer) == self.replica.me.region
            self._send(peer, missing, near)
        known = self.replica.state.digest()
        if not digest.complete.keys() <= known.keys():
            # A registry that has no adds sends no digests by itself.
            self.rpc.send(peer, MessageKind.TALLY_DIGEST, TallyDigest(known))

    def _on_pull(self, peer: str, message: PullAdds, reply: Reply) -> None:
        """A registry has just started: it gets what is known here."""
        state = self.replica.state
        missing = state.missing(message.complete, state.digest())
        reply(codec.encode_rows(to_runs(missing[:MOST_PULLED_ADDS])))

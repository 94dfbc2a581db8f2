"""A registry's part in the tallies: accepts adds, keeps them on disk, and tells totals."""

import enum
import zlib
from collections.abc import Callable, Iterable

from stagevale.membership.member import Member
from stagevale.reachability.registry_contact import RegistryContact
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import Reply, RpcTransport
from stagevale.runtime.context import Context
from stagevale.storage.row_log_writer import Log
from stagevale.tallies.add import Add, LoggedAdd, Position, from_runs
from stagevale.tallies.append_call import AppendCall
from stagevale.tallies.copies import CopyRule, rule_of
from stagevale.tallies.journal import LoadedAdds, TallyJournal
from stagevale.tallies.messages import SAVED, AppendAdds, PullAdds
from stagevale.tallies.spread import TallySpread
from stagevale.tallies.state import TallyState

# How long a registry that has just started waits for another one to tell what it missed.
PULL_TIMEOUT_MS = 300.0


class AddOutcome(enum.Enum):
    """What became of an add that a caller sent."""

    ACKNOWLEDGED = enum.auto()
    # Nothing was done.
    REFUSED = enum.auto()
    # It is on disk here, and may count, but too few other disks have it.
    UNKNOWN = enum.auto()


OnOutcome = Callable[[AddOutcome], object]


class TallyReplica:
    """Keeps the tallies of all registries.

    Attributes:
        state: all adds that are known here.
        spread: brings them to the other registries.
        journal: the disk.
    """

    __slots__ = (
        "context",
        "rpc",
        "contact",
        "state",
        "spread",
        "journal",
        "_origin",
        "_last_number",
        "_loaded",
        "_pulls",
        "_caught_up",
        "_under_way",
    )

    def __init__(
        self, context: Context, rpc: RpcTransport, contact: RegistryContact, log: Log
    ) -> None:
        """Makes a replica that has read nothing yet.

        Args:
            context: of the daemon.
            rpc: how the other registries are reached.
            contact: which of them are in reach.
            log: the adds on disk.
        """
        self.context = context
        self.rpc = rpc
        self.contact = contact
        self.state = TallyState()
        self.spread = TallySpread(self)
        self.journal = TallyJournal(self.context, log)
        self._origin = ""
        self._last_number = 0
        self._loaded = False
        self._pulls = 0
        self._caught_up = False
        self._under_way: dict[tuple[str, str], list[OnOutcome]] = {}
        self.rpc.handle(MessageKind.TALLY_APPEND, AppendAdds, self._on_append)

    def start(self) -> None:
        """Reads the disk, then asks the others for what it lacks."""
        self.journal.load(self._on_loaded)

    def _on_loaded(self, loaded: LoadedAdds) -> None:
        for logged in loaded.adds:
            self.state.merge(logged)
        self._origin = loaded.origin
        self._last_number = self.state.last_number(loaded.origin)
        self._loaded = True
        self.spread.start()
        self._catch_up()

    def _catch_up(self) -> None:
        """Asks one registry after the other until one has told all that it knows."""
        if self._caught_up or not self.contact.is_starting():
            return
        own_region = self.me.region
        peers = sorted(self.contact.others(), key=lambda member: member.region != own_region)
        if not peers:
            self.context.call_later(PULL_TIMEOUT_MS, self._catch_up)
            return

        def replied(runs: bytes | None, _error: RequestError | None) -> None:
            if runs is None:
                self.context.call_later(PULL_TIMEOUT_MS, self._catch_up)
                return
            self._caught_up = True
            self._merge(from_runs(codec.decode_rows(runs)))

        peer = peers[self._pulls % len(peers)]
        self._pulls += 1
        message = PullAdds(self.state.digest())
        self.rpc.request(
            peer.address, MessageKind.TALLY_PULL, message, bytes, replied, PULL_TIMEOUT_MS
        )

    def is_ready(self) -> bool:
        """True once the disk was read and another registry has told what came since, or there was
        time for that.
        """
        return self._loaded and (self._caught_up or not self.contact.is_starting())

    # the other registries

    @property
    def me(self) -> Member:
        """This registry."""
        return self.contact.me

    def candidates(self) -> list[Member]:
        """The other registries that may be in reach."""
        contact = self.contact
        return [each for each in contact.others() if contact.may_be_live(each.address)]

    def copy_rule(self, holders: Iterable[Member]) -> CopyRule:
        """How far an add is to be spread now: as the tolerance asks for, or as far as all can that
        are not known to be silent. Those whose processes have ended count: that is no cut.

        Args:
            holders: those that have it.
        """
        rule = rule_of(self.context.settings.tolerance)
        if not self.contact.has_listened():
            return rule
        expected = self.contact.expected_back()
        members = {member.address: member for member in (*self.candidates(), *expected, *holders)}
        return rule.within(members.values())

    def peers_by_region(self) -> dict[str, list[Member]]:
        """The other registries by region, heard or not."""
        regions: dict[str, list[Member]] = {}
        for member in self.contact.others():
            regions.setdefault(member.region, []).append(member)
        return regions

    def relay_of(self, members: list[Member]) -> Member:
        """Who of another region is told of new adds: one that is in reach, another one for each
        registry (rendezvous hashing).
        """
        own_address = self.me.address

        def rank(member: Member) -> tuple[bool, int]:
            weight = zlib.crc32(f"{own_address} {member.address}".encode())
            return self.contact.is_live(member.address), weight

        return max(members, key=rank)

    # callers

    def total(self, tally: str) -> int | None:
        """A tally's total, 0 for one that nobody added to; None while it can't be told."""
        return self.state.totals.get(tally, 0) if self.is_ready() else None

    def amend(self, add: Add, on_outcome: OnOutcome) -> None:
        """Counts an add, unless it has been counted; tells the outcome once enough disks have it."""
        key = (add.tally, add.id)
        waiting = self._under_way.get(key)
        if waiting is not None:
            waiting.append(on_outcome)
            return
        known = self.state.find(add)
        if not self.is_ready() or self.journal.is_stuck() or self.context.stalled():
            on_outcome(AddOutcome.REFUSED)
            return
        self._under_way[key] = [on_outcome]
        if known is not None:
            self.journal.ensure_saved([known], lambda: self._bring_to_others(known))
            return
        logged = self._next_in_log(add)
        self.journal.save_later([logged])
        self.journal.ensure_saved([logged], lambda: self._on_accepted(logged))

    def _next_in_log(self, add: Add) -> LoggedAdd:
        """The add under the next number of this disk."""
        if not self._origin:
            self._origin = self.journal.draw_origin()
        self._last_number += 1
        return LoggedAdd(Position(self._origin, self._last_number), add)

    def _on_accepted(self, logged: LoggedAdd) -> None:
        self.state.merge(logged)
        self.spread.publish([logged], None, True)
        self._bring_to_others(logged)

    def accept_anew(self, adds: Iterable[Add]) -> None:
        """Gives adds that other disks accepted a number of this one, too, and tells the others."""
        logged = [self._next_in_log(add) for add in adds]
        if not logged:
            return

        def saved() -> None:
            for each in logged:
                self.state.merge(each)
            self.spread.publish(logged, None, True)

        self.journal.save_later(logged)
        self.journal.ensure_saved(logged, saved)

    def _bring_to_others(self, logged: LoggedAdd) -> None:
        AppendCall(self, logged, lambda success: self._on_done(logged.add, success)).start()

    def _on_done(self, add: Add, success: bool) -> None:
        outcome = AddOutcome.ACKNOWLEDGED if success else AddOutcome.UNKNOWN
        for on_outcome in self._under_way.pop((add.tally, add.id), ()):
            on_outcome(outcome)

    # other registries

    def _merge(self, adds: list[LoggedAdd]) -> list[LoggedAdd]:
        """Takes in adds; returns those that are new here."""
        new = [logged for logged in adds if self.state.merge(logged)]
        self.journal.save_later(new)
        return new

    def receive(self, adds: list[LoggedAdd], sender: str, pass_on: bool) -> None:
        """Takes in adds that another registry has sent.

        Args:
            adds: what it sent.
            sender: its address.
            pass_on: whether this region's other registries are to be told.
        """
        new = self._merge(adds)
        if pass_on and new:
            self.spread.publish(new, sender, False)

    def _on_append(self, peer: str, message: AppendAdds, reply: Reply) -> None:
        """Another registry wants a copy on this one's disk."""
        if not self._loaded:
            # Nothing is written before the disk was read.
            return
        adds = from_runs(codec.decode_rows(message.runs))
        self.receive(adds, peer, self.contact.region_of(peer) != self.me.region)
        self.journal.ensure_saved(adds, lambda: reply(SAVED))

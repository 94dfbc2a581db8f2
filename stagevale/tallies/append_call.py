"""Bringing one add to as many disks as outlive the tolerance, of those that may be in reach."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from stagevale.membership.member import Member
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.tallies.add import LoggedAdd, to_runs
from stagevale.tallies.copies import next_holders, rule_of
from stagevale.tallies.messages import AppendAdds

if TYPE_CHECKING:
    from stagevale.tallies.replica import TallyReplica

# How long a registry may take before another one is asked beside it, and how often the call looks
# who may be in reach.
HEDGE_MS = 200.0
# Callers go on to another daemon after a second.
TIMEOUT_MS = 950.0


class AppendCall:
    """One add on its way to other disks; the own disk has it.

    Registries that may be in reach are waited for, even while they don't reply: only one that is
    known to be silent is done without. One that wasn't heard yet is asked like any other.
    """

    __slots__ = (
        "replica",
        "logged",
        "on_done",
        "_message",
        "_holders",
        "_asked",
        "_end_ms",
        "_is_done",
    )

    def __init__(
        self,
        replica: "TallyReplica",
        logged: LoggedAdd,
        on_done: Callable[[bool], object],
    ) -> None:
        """Makes a call.

        Args:
            replica: this registry's part in the tallies.
            logged: the add.
            on_done: called once with whether that came about.
        """
        self.replica = replica
        self.logged = logged
        self.on_done = on_done
        self._message = AppendAdds(codec.encode_rows(to_runs([logged])))
        self._holders: dict[str, Member] = {}
        self._asked: dict[str, float] = {}
        self._end_ms = replica.context.now_ms() + TIMEOUT_MS
        self._is_done = False

    def start(self) -> None:
        """Asks those who are to have a copy."""
        me = self.replica.me
        self._holders[me.address] = me
        self._check()
        if not self._is_done:
            self.replica.context.call_later(HEDGE_MS, self._tick)

    def _tick(self) -> None:
        if self._is_done:
            return
        if self.replica.context.now_ms() >= self._end_ms:
            self._finish(False)
            return
        self._check()
        self.replica.context.call_later(HEDGE_MS, self._tick)

    def _check(self) -> None:
        """Ends the call where there are enough copies, else asks whoever is still to be asked."""
        rule = self.replica.copy_rule(self._holders.values())
        if rule.is_met(self._holders.values()):
            self._finish(True)
            return
        candidates = {member.address: member for member in self.replica.candidates()}
        now_ms = self.replica.context.now_ms()
        expected = dict(self._holders)
        for address, asked_ms in self._asked.items():
            if address in candidates and now_ms - asked_ms < HEDGE_MS:
                expected[address] = candidates[address]
        others = [
            member
            for address, member in candidates.items()
            if address not in self._holders and address not in self._asked
        ]
        for member in next_holders(rule, expected.values(), others, self.replica.me):
            self._ask(member)

    def _ask(self, member: Member) -> None:
        address = member.address
        now_ms = self.replica.context.now_ms()
        self._asked[address] = now_ms

        def replied(reply: int | None, _error: RequestError | None) -> None:
            if self._is_done:
                return
            if reply is None:
                # Asked again at the next look, while it is in reach.
                self._asked.pop(address, None)
                return
            self._holders[address] = member
            self._check()

        self.replica.rpc.request(
            address, MessageKind.TALLY_APPEND, self._message, int, replied, self._end_ms - now_ms
        )

    def _finish(self, success: bool) -> None:
        self._is_done = True
        if success:
            self._count_copies()
        self.replica.spread.add_holders(self.logged, self._holders.values())
        self.on_done(success)

    def _count_copies(self) -> None:
        """Tells operators how far acknowledged adds are spread; fewer copies than are wanted are
        logged when they first come about.
        """
        context = self.replica.context
        wanted = rule_of(context.settings.tolerance)
        copies = f"{len(self._holders)} of {wanted.copies}"
        is_first = context.metrics.tally_adds.increment(copies)
        if is_first and not wanted.is_met(self._holders.values()):
            context.log.warning(
                "tallies: an add was acknowledged with %s copies; registries known: %d, silent: %d.",
                copies,
                len(self.replica.contact.others()),
                len(self.replica.contact.others()) - len(self.replica.candidates()),
            )

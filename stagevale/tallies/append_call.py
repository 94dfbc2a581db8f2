"""Bringing one add to as many disks as outlive the tolerance, of those in reach."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from stagevale.membership.member import Member
from stagevale.rpc import codec
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.tallies.add import LoggedAdd, to_runs
from stagevale.tallies.copies import CopyRule, next_holders
from stagevale.tallies.messages import AppendAdds

if TYPE_CHECKING:
    from stagevale.tallies.replica import TallyReplica

# How long a registry may take before another one is asked beside it, and how often the call looks
# who is in reach.
HEDGE_MS = 200.0
# Callers go on to another daemon after a second.
TIMEOUT_MS = 950.0


class AppendCall:
    """One add on its way to other disks; the own disk has it.

    Registries that are in reach are waited for, even while they don't reply: only whom nobody has
    heard for a while is done without.
    """

    __slots__ = (
        "replica",
        "logged",
        "rule",
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
        rule: CopyRule,
        on_done: Callable[[bool], object],
    ) -> None:
        """Makes a call.

        Args:
            replica: this registry's part in the tallies.
            logged: the add.
            rule: how far it is to be spread.
            on_done: called once with whether that came about.
        """
        self.replica = replica
        self.logged = logged
        self.rule = rule
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
        in_reach = {member.address: member for member in self.replica.in_reach()}
        rule = self.rule.within({**in_reach, **self._holders}.values())
        if rule.is_met(self._holders.values()):
            self._finish(True)
            return
        now_ms = self.replica.context.now_ms()
        expected = dict(self._holders)
        for address, asked_ms in self._asked.items():
            if address in in_reach and now_ms - asked_ms < HEDGE_MS:
                expected[address] = in_reach[address]
        others = [
            member
            for address, member in in_reach.items()
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
        copies = f"{len(self._holders)} of {self.rule.copies}"
        is_first = context.metrics.tally_adds.increment(copies)
        if is_first and not self.rule.is_met(self._holders.values()):
            context.log.warning(
                "tallies: an add was acknowledged with %s copies; registries known: %d, heard: %d.",
                copies,
                len(self.replica.peers()),
                len(self.replica.in_reach()),
            )

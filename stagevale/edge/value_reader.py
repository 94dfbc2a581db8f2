"""How a proxy gets a newer configuration value while its feeder doesn't bring it."""

from collections.abc import Callable

from stagevale.discovery.messages import ReadNewerValue
from stagevale.membership.member import REGISTRY_PROGRAM, Member
from stagevale.membership.membership import Membership
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.transport import RpcTransport
from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.runtime.context import Context

# So many registries are asked at once: one of them may be behind, too, or on its way out.
REGISTRIES_ASKED = 2
# A registry that was asked comes behind the others for so many reads.
READS_BEFORE_SAME = 3.5
# So many reads follow each other without a longer pause.
READS_WITHOUT_PAUSE = 3


class ValueReader:
    """Reads the configuration value from registries, two after the other: those first that have
    named the newest one.

    Attributes:
        timeout_ms: how long a registry may take, and how far apart the first reads are; both rise
            with further ones, since a large value may take its time.
    """

    __slots__ = (
        "context",
        "rpc",
        "membership",
        "timeout_ms",
        "_on_value",
        "_named",
        "_asked_ms",
        "_last_read_ms",
        "_reads",
    )

    def __init__(
        self,
        context: Context,
        rpc: RpcTransport,
        membership: Membership,
        timeout_ms: float,
        on_value: Callable[[bytes], object],
    ) -> None:
        """Makes a reader.

        Args:
            context: of the proxy.
            rpc: how registries are reached.
            membership: which there are.
            timeout_ms: see the class.
            on_value: called with each encoded value that was read, newer or not.
        """
        self.context = context
        self.rpc = rpc
        self.membership = membership
        self.timeout_ms = timeout_ms
        self._on_value = on_value
        self._named: dict[str, int] = {}
        # When each registry was asked last.
        self._asked_ms: dict[str, float] = {}
        self._last_read_ms = LONG_AGO_MS
        self._reads = 0

    def record_name(self, address: str, serial: int) -> None:
        """A daemon has named the serial of the value that it holds."""
        self._named[address] = serial

    def end(self) -> None:
        """The proxy has the newest value that it has heard of."""
        self._reads = 0

    def _pause_ms(self) -> float:
        return self.timeout_ms * max(1, self._reads - READS_WITHOUT_PAUSE)

    def read(self, feeder: str | None) -> None:
        """Asks two registries for their value, unless others were asked just now.

        Args:
            feeder: the registry that doesn't bring it, which isn't asked.
        """
        now_ms = self.context.now_ms()
        if now_ms - self._last_read_ms < self._pause_ms():
            return
        self._last_read_ms = now_ms
        self._reads += 1
        registries = self.membership.members(REGISTRY_PROGRAM)
        addresses = {member.address for member in registries}
        self._named = {each: self._named[each] for each in self._named.keys() & addresses}
        self._asked_ms = {each: self._asked_ms[each] for each in self._asked_ms.keys() & addresses}
        others = sorted((each for each in registries if each.address != feeder), key=self._rank)
        for member in others[:REGISTRIES_ASKED]:
            self._ask(member)

    def _rank(self, member: Member) -> tuple[bool, bool, int, float, bool]:
        """Sorts first who is reachable, wasn't asked lately, has named the newest value, and is
        near.
        """
        asked_ms = self._asked_ms.get(member.address, LONG_AGO_MS)
        return (
            not self.membership.is_reachable(member.address),
            self.context.now_ms() - asked_ms < self.timeout_ms * READS_BEFORE_SAME,
            -self._named.get(member.address, 0),
            asked_ms,
            member.region != self.context.settings.region,
        )

    def _ask(self, member: Member) -> None:
        self._asked_ms[member.address] = self.context.now_ms()

        def replied(encoded: bytes | None, error: RequestError | None) -> None:
            if encoded:
                self._on_value(encoded)
            elif error is None:
                # It has nothing newer, and said so in a few bytes: no reason to ask less often.
                self._reads = 0

        message = ReadNewerValue(self.membership.value_serial)
        self.rpc.request(
            member.address, MessageKind.READ_VALUE, message, bytes, replied, self._pause_ms()
        )

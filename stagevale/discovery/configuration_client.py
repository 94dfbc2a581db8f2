"""A registry as a client of the stores: it follows the configuration value and forwards commands."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stagevale.configuration.commands import OK, SUPERSEDED, UNAVAILABLE
from stagevale.configuration.messages import CommittedValue
from stagevale.configuration.value import ConfigurationValue, read_configuration_value
from stagevale.consensus.command_queue import COMMAND_BYTES_PER_MS
from stagevale.consensus.commands import CommandReply, CommandRequest, ReadValueRequest
from stagevale.consensus.messages import LeaderHeartbeat
from stagevale.consensus.voter_id import address_of
from stagevale.discovery.messages import ReadNewerValue
from stagevale.membership.member import STORE_PORT_OFFSET, STORE_PROGRAM
from stagevale.metrics.recovery import RecoveryStep, record_recovery
from stagevale.partners.table import NO_PARTNERS, table_of
from stagevale.rpc.errors import RequestError
from stagevale.rpc.kinds import MessageKind
from stagevale.rpc.request_terms import RequestTerms
from stagevale.rpc.transport import Reply
from stagevale.runtime.clock import LONG_AGO_MS
from stagevale.runtime.turns import call_after_turns

if TYPE_CHECKING:
    from stagevale.discovery.registry_service import RegistryService

NO_VALUE_SERIAL = -1
# Shares of `ackDeadlineMs`: how long one store may take for a command, and how long its caller
# waits for a daemon.
STORE_SHARE = 0.23
CALLER_SHARE = 0.25
# After so long a silence callers go on to another daemon, whatever the deadline of their order.
LONGEST_CALLER_WAIT_MS = 1000.0
# Shares of a round: how long a store may take to read the value, and how soon a registry that has
# none asks again.
READ_TIMEOUT_SHARE = 0.9
FIRST_VALUE_SHARE = 0.2
STORES_TRIED = 3
# What arrived before a value did has been read after so many turns of the event loop: the turn that
# read the value reads that too, and an accepted connection gets its protocol in the next.
TURNS_UNTIL_READ = 3

OnStoreReply = Callable[[CommandReply | None, RequestError | None], object]


class StoreCall:
    """A request to one store after the other, until one gives a clear reply."""

    __slots__ = ("client", "kind", "body", "on_done", "addresses", "timeout_ms", "terms")

    def __init__(
        self,
        client: "ConfigurationClient",
        kind: MessageKind,
        body: Any,
        on_done: OnStoreReply,
        addresses: list[str],
        timeout_ms: float,
        terms: RequestTerms | None = None,
    ) -> None:
        self.client = client
        self.kind = kind
        self.body = body
        self.on_done = on_done
        self.addresses = addresses
        self.timeout_ms = timeout_ms
        self.terms = terms

    def start(self) -> None:
        """Asks the first store that is left; `on_done(reply, error)` is called once in the end."""
        now_ms = self.client.context.now_ms()
        timeout_ms = self.timeout_ms
        terms = self.terms or RequestTerms(now_ms + timeout_ms)
        if terms.deadline_ms is not None:
            timeout_ms = min(timeout_ms, terms.deadline_ms - now_ms)
        self.client.rpc.request_raw(
            self.addresses[0], self.kind, self.body, self._replied, timeout_ms, terms
        )

    def _replied(self, body: Any, error: RequestError | None) -> None:
        reply = CommandReply.from_body(body) if error is None else None
        unclear = reply is None or reply.status == UNAVAILABLE
        if unclear and len(self.addresses) > 1 and self._is_in_time():
            self.addresses = self.addresses[1:]
            self.start()
        else:
            self.on_done(reply, error)

    def _is_in_time(self) -> bool:
        if self.terms is None or self.terms.deadline_ms is None:
            return True
        return self.terms.deadline_ms > self.client.context.now_ms()


class ConfigurationClient:
    """Holds the newest configuration value and forwards commands to the stores.

    Attributes:
        value: the newest value, or None.
        partners: the merged table of partner routes.
        newest_heard: the highest serial that anybody has named; proxies are told of it, so that
            they go elsewhere where this registry doesn't have the value.
        taken_ms: when the value came.
        confirmed_ms: when the value was last known to be the newest.
        basis_serial: the serial of a value that had arrived here before anything that is read from
            now on was sent; a call that is read now may rest on it. See `RequestTerms`.
    """

    __slots__ = (
        "service",
        "context",
        "rpc",
        "membership",
        "value",
        "partners",
        "newest_heard",
        "taken_ms",
        "confirmed_ms",
        "basis_serial",
        "_pulling",
    )

    def __init__(self, service: "RegistryService") -> None:
        self.service = service
        self.context = service.context
        self.rpc = service.rpc
        self.membership = service.membership
        self.value: ConfigurationValue | None = None
        self.partners = NO_PARTNERS
        self.newest_heard = NO_VALUE_SERIAL
        self.taken_ms = LONG_AGO_MS
        self.confirmed_ms = LONG_AGO_MS
        self.basis_serial = NO_VALUE_SERIAL
        self._pulling = False
        self.rpc.handle(MessageKind.COMMITTED_VALUE, CommittedValue, self._on_committed)
        self.rpc.handle(MessageKind.LEADER_HEARTBEAT, LeaderHeartbeat, self._on_heartbeat)
        self.rpc.handle(MessageKind.READ_VALUE, ReadNewerValue, self._on_read_value)
        self.membership.on_newer_value = self._on_newer_value

    @property
    def serial(self) -> int:
        """The value's serial; negative where there is none."""
        return self.value.serial if self.value is not None else NO_VALUE_SERIAL

    def pull_first_value(self) -> None:
        """Asks the stores until there is a value: proxies that start wait for it."""
        if self.value is None and not self.service.stopping:
            self.pull_value()
            self.context.call_later(
                self.service.interval_ms * FIRST_VALUE_SHARE, self.pull_first_value
            )

    # the value

    def _on_committed(self, peer: str, message: CommittedValue, reply: Reply) -> None:
        for address in message.pass_on_to:
            if address != self.rpc.address:
                self.rpc.send(
                    address, MessageKind.COMMITTED_VALUE, CommittedValue(message.encoded, ())
                )
        self._take(read_configuration_value(message.encoded))
        if not self.context.stalled():
            self._confirmed()

    def _take(self, value: ConfigurationValue) -> None:
        """Takes a value, where it is newer, and publishes it."""
        self._heard(value.serial)
        if value.serial <= self.serial:
            return
        self.value = value
        self.taken_ms = self.context.now_ms()
        call_after_turns(self.context, TURNS_UNTIL_READ, self._advance_basis, value.serial)
        self.partners = table_of(value) if value.offers else NO_PARTNERS
        self.membership.value_serial = value.serial
        if value.sessions:
            self.service.configure_sessions(value.sessions)
        self.service.feeds.publish_value()

    def _heard(self, serial: int) -> None:
        self.newest_heard = max(self.newest_heard, serial)

    def _advance_basis(self, serial: int) -> None:
        """Makes a value the basis of calls, once all that arrived before it has been read.

        A call may have waited in its socket's buffer longer than the value did, sent by a caller
        that has given it up since.
        """
        self.basis_serial = max(self.basis_serial, serial)

    def _on_heartbeat(self, peer: str, message: LeaderHeartbeat, reply: Reply) -> None:
        self._heard(message.serial)
        if self.context.stalled():
            return
        if self.value is not None and message.serial <= self.value.serial:
            self._confirmed()
        else:
            self.pull_value()

    def _confirmed(self) -> None:
        """The value held here is the newest that a majority knows."""
        if self.value is not None:
            self.service.contact.learn_core(map(address_of, self.value.group))
        self.confirmed_ms = self.context.now_ms()
        record_recovery(self.context, "registry", RecoveryStep.CONFIGURATION_CONFIRMED)
        self.service.feeds.start_waiting()

    def _on_newer_value(self, sender: str, serial: int) -> None:
        self._heard(serial)
        if self.value is None or serial > self.value.serial:
            self.pull_value()

    def compare(self, peer: str, serial: int) -> None:
        """A registry tells the serial of its value: it is asked for a newer one."""
        self._heard(serial)
        if serial > self.serial:
            self.rpc.request(
                peer,
                MessageKind.READ_VALUE,
                [],
                bytes,
                self._on_peer_value,
                self.service.interval_ms,
            )

    def _on_peer_value(self, encoded: bytes | None, error: RequestError | None) -> None:
        if encoded:
            self._take(read_configuration_value(encoded))

    def _on_read_value(self, peer: str, message: ReadNewerValue, reply: Reply) -> None:
        value = self.value
        reply(value.encoded if value is not None and value.serial > message.serial else b"")

    def pull_value(self, on_done: Callable[[bool], object] | None = None) -> None:
        """Reads the value from the stores, confirmed by a majority.

        Args:
            on_done: called once with whether it was read; without it a read that is under way
                will do.
        """
        if self._pulling and on_done is None:
            return
        self._pulling = True

        def replied(reply: CommandReply | None, _error: RequestError | None) -> None:
            self._pulling = False
            success = reply is not None and reply.status == OK
            if reply is not None and isinstance(reply.content, bytes) and success:
                self._take(read_configuration_value(reply.content))
                self._confirmed()
            if on_done is not None:
                on_done(success)

        self.call_stores(
            MessageKind.READ_VALUE,
            ReadValueRequest(False),
            replied,
            STORES_TRIED,
            self.service.interval_ms * READ_TIMEOUT_SHARE,
        )

    # commands

    def _store_addresses(self) -> list[str]:
        """Stores to call: the one beside this registry first, then those of members, near ones
        first, then the seeds' ones.
        """
        port = self.context.settings.inner_ports[0] + STORE_PORT_OFFSET
        me = self.membership.me
        members = [
            member
            for member in self.membership.members(STORE_PROGRAM)
            if self.membership.is_reachable(member.address)
        ]
        members.sort(key=lambda member: member.region != me.region)
        addresses = [f"{me.machine}:{port}"]
        addresses += [member.address for member in members]
        addresses += [f"{ip}:{port}" for ip in self.context.settings.seeds]
        return list(dict.fromkeys(addresses))

    def call_stores(
        self,
        kind: MessageKind,
        body: Any,
        on_done: OnStoreReply,
        stores: int,
        timeout_ms: float,
        terms: RequestTerms | None = None,
    ) -> None:
        """Calls one store after the other until one gives a clear reply.

        Args:
            kind: the kind of message.
            body: the message.
            on_done: called once with the last reply or error.
            stores: how many stores to try at most.
            timeout_ms: how long one store may take.
            terms: travel with the message, and no store is tried after their deadline; without
                them each store has its own time-out.
        """
        addresses = self._store_addresses()[:stores]
        StoreCall(self, kind, body, on_done, addresses, timeout_ms, terms).start()

    def send_command(
        self,
        kind: str,
        payload: str,
        answer: Callable[[int, str], object],
        basis_serial: int | None = None,
    ) -> None:
        """Forwards an operator's command to the stores; given up when its caller has gone on, so
        that it isn't carried out long after it was sent to another daemon.

        Args:
            kind: a CommandKind.
            payload: the command's argument.
            answer: called once with an HTTP status and a text.
            basis_serial: the value that the call rests on, see `RequestTerms`; that of a call which
                is read now if it is left out.
        """
        if self.context.stalled():
            answer(UNAVAILABLE, "this daemon stood still; ask again")
            return

        def replied(reply: CommandReply | None, error: RequestError | None) -> None:
            if reply is None:
                answer(UNAVAILABLE, f"no store answers: {error}")
            elif reply.status == SUPERSEDED:
                self.pull_value()
                answer(UNAVAILABLE, str(reply.content))
            elif reply.lease_left_ms:
                # Leases on what was withdrawn run out before the caller is told.
                self.context.call_later(reply.lease_left_ms, answer, reply.status, reply.content)
            else:
                answer(reply.status, str(reply.content))

        ack_deadline_ms = self.context.settings.bounds.ack_deadline_ms
        large_ms = len(payload) / COMMAND_BYTES_PER_MS
        patience_ms = min(ack_deadline_ms * CALLER_SHARE, LONGEST_CALLER_WAIT_MS) + large_ms
        terms = RequestTerms(
            self.context.now_ms() + patience_ms,
            self.basis_serial if basis_serial is None else basis_serial,
        )
        self.call_stores(
            MessageKind.COMMAND,
            CommandRequest(str(kind), payload, False),
            replied,
            STORES_TRIED,
            ack_deadline_ms * STORE_SHARE + large_ms,
            terms,
        )

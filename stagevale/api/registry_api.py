"""The calls that a registry serves."""

import functools
import http
from collections.abc import Callable
from urllib.parse import parse_qs

from stagevale.api.heartbeat_body import read_heartbeat
from stagevale.api.partner_view import PartnerView
from stagevale.api.rollout_view import RolloutView
from stagevale.api.router import (
    VERSION_PREFIX,
    WILDCARD,
    Answer,
    BadCallError,
    Call,
    CallError,
    Names,
    NoSuchCallError,
    Resource,
    Router,
    text_of,
)
from stagevale.api.session_view import SessionView
from stagevale.api.status_page import status_page
from stagevale.api.tally_view import TallyView
from stagevale.configuration.commands import OK, UNVERSIONED_COMMANDS, CommandKind
from stagevale.discovery.registry_service import RegistryService
from stagevale.placement.fronts import MOST_FRONTS, SHORT_TTL_S
from stagevale.runtime.turns import call_after_turns

MOST_ID_CHARACTERS = 200
MOST_SESSION_BYTES = 256
MOST_OFFER_BYTES = 1024 * 1024
MOST_ROLLOUT_BYTES = 64 * 1024
ROLLOUT_MOVES = ("pause", "resume", "promote", "rollback")
ROLLOUT_END = "end"
# What had arrived behind a call has been read after so many turns of the event loop: a turn reads a
# socket once.
TURNS_UNTIL_END = 2
# Arguments of a command are separated by line ends, so no name may hold one.
ARGUMENT_SEPARATOR = "\n"


def answer_command(answer: Answer) -> Callable[[int, str], object]:
    """Answers a call with the outcome of the command that it was forwarded as."""

    def done(status: int, text: str) -> None:
        answer(status, (text or {}) if status == OK else {"error": text})

    return done


class RegistryApi:
    """Handles the calls that reach a registry.

    Attributes:
        router: finds the handlers.
    """

    __slots__ = (
        "service",
        "context",
        "ttl_s",
        "sessions",
        "rollouts",
        "partners",
        "tallies",
        "router",
    )

    def __init__(self, service: RegistryService, ttl_s: float) -> None:
        """Makes the API of a registry.

        Args:
            service: the registry.
            ttl_s: how long clients may keep the directory's answers, in seconds.
        """
        self.service = service
        self.context = service.context
        self.ttl_s = ttl_s
        self.sessions = SessionView(service)
        self.rollouts = RolloutView(service)
        self.partners = PartnerView(service)
        self.tallies = TallyView(service)
        self.router = Router(VERSION_PREFIX, self._resources())

    def _resources(self) -> list[Resource]:
        name = WILDCARD
        return [
            Resource(("instances", name, "heartbeat"), {"POST": self._heartbeat}),
            Resource(("instances", name, "leave"), {"POST": self._leave}),
            Resource(("resolve",), {"GET": self._resolve}),
            Resource(("config", "replace"), {"POST": self._replace_config}),
            Resource(("config", "read"), {"GET": self._read_config}),
            Resource(("evacuation", name, "begin"), {"POST": self._evacuate}),
            Resource(("evacuation", name, "finish"), {"POST": self._end_evacuation}),
            Resource(("partners",), {"GET": self._show_partners}),
            Resource(("partners", "explain"), {"GET": self._explain}),
            Resource(
                ("partners", name, "offer"),
                {"PUT": self._put_offer, "GET": self._read_offer, "DELETE": self._withdraw_offer},
            ),
            Resource(("rollouts",), {"GET": self._show_rollouts}),
            Resource(
                ("rollouts", name),
                {
                    "PUT": self._start_rollout,
                    "GET": self._show_rollout,
                    "DELETE": self._end_rollout,
                },
            ),
            *[
                Resource(
                    ("rollouts", name, move),
                    {"POST": functools.partial(self._move_rollout, move)},
                )
                for move in ROLLOUT_MOVES
            ],
            Resource(("sessions", name), {"GET": self._show_session}),
            Resource(("tallies", name, "amend"), {"POST": self.tallies.amend}),
            Resource(("tallies", name, "read"), {"GET": self.tallies.read}),
            Resource(("stand",), {"GET": self._show_status}),
        ]

    def _command(self, kind: CommandKind, payload: str, call: Call, answer: Answer) -> None:
        if kind in UNVERSIONED_COMMANDS:
            arguments = (kind, payload, call, answer)
            call_after_turns(
                self.context, TURNS_UNTIL_END, self._forward_if_caller_waits, *arguments
            )
        else:
            self._forward(kind, payload, call, answer)

    def _forward(self, kind: CommandKind, payload: str, call: Call, answer: Answer) -> None:
        configuration = self.service.configuration
        configuration.send_command(kind, payload, answer_command(answer), call.basis_serial)

    def _forward_if_caller_waits(
        self, kind: CommandKind, payload: str, call: Call, answer: Answer
    ) -> None:
        """Forwards a command unless the end of its connection is found right behind it: its caller
        has given it up.
        """
        if call.caller_waits():
            self._forward(kind, payload, call, answer)
        else:
            self.context.log.info("calls: %s is not carried out: its caller has gone.", kind)

    # endpoints and clients

    def _heartbeat(self, call: Call, names: Names, answer: Answer) -> None:
        instance = read_heartbeat(_instance_id(names), call.body, self.context.now_ms())
        self.service.heartbeats.heartbeat(instance, answer)

    def _leave(self, call: Call, names: Names, answer: Answer) -> None:
        self.service.heartbeats.leave(_instance_id(names), answer)

    def _resolve(self, call: Call, names: Names, answer: Answer) -> None:
        query = parse_qs(call.query)
        zone, region, host = (query.get(field, [""])[0] for field in ("zone", "region", "name"))
        choice = self.service.proxies.resolve(zone, region, host)
        if not choice.fronts:
            raise CallError(http.HTTPStatus.SERVICE_UNAVAILABLE.value, "no front is ready")
        ttl_s = min(self.ttl_s, SHORT_TTL_S) if choice.is_brief else self.ttl_s
        answer(OK, {"addresses": choice.fronts[:MOST_FRONTS], "ttlS": ttl_s})

    # the configuration

    def _replace_config(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.REPLACE, text_of(call), call, answer)

    def _read_config(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.READ, "", call, answer)

    def _evacuate(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.EVACUATE, self._zone(names), call, answer)

    def _end_evacuation(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.END_EVACUATION, self._zone(names), call, answer)

    def _zone(self, names: Names) -> str:
        (zone,) = names
        if zone not in self.context.settings.zones:
            raise CallError(http.HTTPStatus.NOT_FOUND.value, f"no zone {zone}")
        return zone

    # partners

    def _show_partners(self, call: Call, names: Names, answer: Answer) -> None:
        self.partners.show(answer)

    def _explain(self, call: Call, names: Names, answer: Answer) -> None:
        self.partners.explain(parse_qs(call.query), answer)

    def _put_offer(self, call: Call, names: Names, answer: Answer) -> None:
        (partner,) = names
        _check_size(call, MOST_OFFER_BYTES, "an offer")
        text = text_of(call)
        if ARGUMENT_SEPARATOR in partner:
            raise BadCallError("partner: want a name of letters, digits, dots, dashes")
        payload = f"{partner}{ARGUMENT_SEPARATOR}{text}"
        self._command(CommandKind.OFFER, payload, call, answer)

    def _read_offer(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.READ_OFFER, names[0], call, answer)

    def _withdraw_offer(self, call: Call, names: Names, answer: Answer) -> None:
        self._command(CommandKind.WITHDRAW_OFFER, names[0], call, answer)

    # rollouts

    def _show_rollouts(self, call: Call, names: Names, answer: Answer) -> None:
        self.rollouts.show("", answer)

    def _show_rollout(self, call: Call, names: Names, answer: Answer) -> None:
        self.rollouts.show(_service_name(names), answer)

    def _start_rollout(self, call: Call, names: Names, answer: Answer) -> None:
        service = _service_name(names)
        _check_size(call, MOST_ROLLOUT_BYTES, "a rollout")
        self.rollouts.start(service, text_of(call), answer_command(answer))

    def _end_rollout(self, call: Call, names: Names, answer: Answer) -> None:
        self._move_rollout(ROLLOUT_END, call, names, answer)

    def _move_rollout(self, move: str, call: Call, names: Names, answer: Answer) -> None:
        payload = f"{_service_name(names)}{ARGUMENT_SEPARATOR}{move}"
        self._command(CommandKind.MOVE_ROLLOUT, payload, call, answer)

    # views

    def _show_session(self, call: Call, names: Names, answer: Answer) -> None:
        (session,) = names
        if not session or len(session) > MOST_SESSION_BYTES:
            raise BadCallError(f"session: want a text of at most {MOST_SESSION_BYTES} bytes")
        self.sessions.show(session, answer)

    def _show_status(self, call: Call, names: Names, answer: Answer) -> None:
        answer(OK, status_page(self.service))


def _instance_id(names: Names) -> str:
    (id,) = names
    if not id or len(id) > MOST_ID_CHARACTERS:
        raise BadCallError("id: want a text")
    return id


def _service_name(names: Names) -> str:
    (service,) = names
    if ARGUMENT_SEPARATOR in service:
        raise NoSuchCallError
    return service


def _check_size(call: Call, most_bytes: int, what: str) -> None:
    if len(call.body) > most_bytes:
        raise CallError(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value, f"{what} over {most_bytes} bytes"
        )

"""The calls of endpoints, operators and clients that ask where to go: one dispatch on method and
path segments.
"""

import asyncio
import json
from urllib.parse import parse_qs, unquote

import h11

from stagevale.partners import OFFER_BYTES

ROLLOUT_BYTES = 64 * 1024
BODY_BYTES = 32 * 1024 * 1024
HEAD_BYTES = 32 * 1024


class CallConnection(asyncio.Protocol):
    """One connection of a caller; calls are answered one after the other."""

    __slots__ = (
        "context",
        "dispatch",
        "transport",
        "parser",
        "request",
        "body",
        "size",
        "busy",
        "timer",
        "idle_ms",
    )

    def __init__(self, context, dispatch):
        self.context = context
        self.dispatch = dispatch
        self.transport = None
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES)
        self.request = None
        self.body = []
        self.size = 0
        self.busy = False
        self.timer = None
        self.idle_ms = context.settings.bounds.contact_ms * 4

    def connection_made(self, transport):
        self.transport = transport
        self.rest()

    def rest(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.context.after(self.idle_ms, self.transport.close)

    def data_received(self, data):
        self.parser.receive_data(data)
        if not self.busy:
            self.read()

    def eof_received(self):
        return False

    def connection_lost(self, failure):
        if self.timer is not None:
            self.timer.cancel()

    def read(self):
        try:
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Request):
                    self.request, self.body, self.size = event, [], 0
                    if self.parser.they_are_waiting_for_100_continue:
                        self.transport.write(
                            self.parser.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                elif isinstance(event, h11.Data):
                    self.size += len(event.data)
                    if self.size > BODY_BYTES:
                        self.answer(413, {"error": f"over {BODY_BYTES} bytes"}, close=True)
                        return
                    self.body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self.busy = True
                    self.call()
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self.transport.close()
                    return
        except h11.RemoteProtocolError as failure:
            self.answer(failure.error_status_hint, {"error": str(failure)}, close=True)

    def call(self):
        target = self.request.target.decode("latin-1")
        path, _, query = target.partition("?")
        segments = tuple(unquote(segment) for segment in path.split("/")[1:])
        answered = []

        def answer(status, body):
            if not answered:
                answered.append(status)
                self.answer(status, body)

        try:
            self.dispatch(
                self.request.method.decode("latin-1"), segments, query, b"".join(self.body), answer
            )
        except Exception as failure:
            self.context.log.error(
                "calls: %s %s failed: %r.", self.request.method.decode("latin-1"), path, failure
            )
            answer(500, {"error": "this call failed here"})

    def answer(self, status, body, close=False):
        if self.transport.is_closing():
            return
        data = (
            body.encode()
            if isinstance(body, str)
            else json.dumps(body, separators=(",", ":")).encode()
        )
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        if close or self.context.stopping:
            headers.append(("Connection", "close"))
        try:
            out = self.parser.send(h11.Response(status_code=status, headers=headers))
            out += self.parser.send(h11.Data(data=data)) + self.parser.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            self.transport.close()
            return
        self.transport.write(out)
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.their_state is not h11.DONE:
            self.transport.close()
            return
        self.parser.start_next_cycle()
        self.busy = False
        self.rest()
        self.read()


class Failure(Exception):
    """A body that can't be taken; the message names the field."""


def read_beat(body):
    """The body of a heartbeat as a table, or a Failure."""
    try:
        table = json.loads(body)
    except (ValueError, RecursionError):
        raise Failure("the body is not JSON") from None
    if not isinstance(table, dict):
        raise Failure("the body is not a table")
    details, status = table.get("details"), table.get("status")
    if not isinstance(details, dict) or not isinstance(status, dict):
        raise Failure("details and status must be tables")
    address = table.get("address")
    ip, colon, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    numbers = ip.split(".")
    if (
        not colon
        or not port.isdigit()
        or not 0 < int(port) < 65536
        or len(numbers) != 4
        or not all(number.isdigit() and int(number) < 256 for number in numbers)
    ):
        raise Failure(f"address: want ip:port, got {address!r}")
    for place, field in ((details, "service"), (details, "zone"), (status, "state")):
        if not isinstance(place.get(field), str) or not place[field]:
            raise Failure(f"{field}: want a text")
    version = details.setdefault("version", "")
    if not isinstance(version, str) or len(version) > 200:
        raise Failure(f"version: want a text of at most 200 characters, got {version!r}")
    status.setdefault("coldLeftMs", 0)
    for place, field, least in (
        (details, "slots", 1),
        (status, "callSeq", 0),
        (status, "coldLeftMs", 0),
    ):
        value = place.get(field)
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not least <= value < 2**53
        ):
            raise Failure(f"{field}: want a number from {least}, got {value!r}")
        place[field] = int(value)
    if status["state"] not in ("ready", "draining"):
        raise Failure(f"state: want ready or draining, got {status['state']!r}")
    return table


def dispatcher(context, service, ttl_s):
    """The dispatch for one registry: every call from outside comes through here."""
    zones = context.settings.zones

    def dispatch(method, segments, query, body, answer):
        if segments[:1] != ("v1",):
            return answer(404, {"error": "no such call"})
        shape = segments[1:]
        if len(shape) == 3 and shape[0] == "instances" and shape[2] in ("heartbeat", "leave"):
            if method != "POST":
                return answer(405, {"error": "want POST"})
            if not shape[1] or len(shape[1]) > 200:
                return answer(400, {"error": "id: want a text"})
            if shape[2] == "leave":
                return service.intake.leave(shape[1], answer)
            try:
                table = read_beat(body)
            except Failure as failure:
                return answer(400, {"error": str(failure)})
            return service.intake.beat(shape[1], table, answer)
        if shape == ("resolve",):
            if method != "GET":
                return answer(405, {"error": "want GET"})
            asked = parse_qs(query)
            fronts = service.feeding.resolve(
                asked.get("zone", [""])[0], asked.get("region", [""])[0]
            )
            if not fronts:
                return answer(503, {"error": "no front is ready"})
            return answer(200, {"addresses": fronts[:64], "ttlS": ttl_s})
        if shape == ("config", "replace"):
            if method != "POST":
                return answer(405, {"error": "want POST"})
            try:
                text = body.decode()
            except UnicodeDecodeError:
                return answer(400, {"error": "the body is not UTF-8"})
            return service.register.order("replace", text, ordered(answer))
        if shape == ("config", "read"):
            if method != "GET":
                return answer(405, {"error": "want GET"})
            return service.register.order("read", "", ordered(answer))
        if shape[:1] == ("partners",):
            return partner_call(method, shape[1:], query, body, answer)
        if shape[:1] == ("rollouts",):
            return rollout_call(method, shape[1:], body, answer)
        if len(shape) == 2 and shape[0] == "sessions":
            if method != "GET":
                return answer(405, {"error": "want GET"})
            if not shape[1] or len(shape[1]) > 256:
                return answer(400, {"error": "session: want a text of at most 256 bytes"})
            return service.views.show_session(shape[1], answer)
        if shape == ("stand",):
            if method != "GET":
                return answer(405, {"error": "want GET"})
            return answer(200, service.status())
        if len(shape) == 3 and shape[0] == "evacuation" and shape[2] in ("begin", "finish"):
            if method != "POST":
                return answer(405, {"error": "want POST"})
            if shape[1] not in zones:
                return answer(404, {"error": f"no zone {shape[1]}"})
            return service.register.order(
                "evacuate" if shape[2] == "begin" else "takeBack", shape[1], ordered(answer)
            )
        return answer(404, {"error": "no such call"})

    def partner_call(method, shape, query, body, answer):
        if shape in ((), ("explain",)):
            if method != "GET":
                return answer(405, {"error": "want GET"})
            return (
                service.views.explain(parse_qs(query), answer)
                if shape
                else service.views.partner_table(answer)
            )
        if len(shape) != 2 or shape[1] != "offer":
            return answer(404, {"error": "no such call"})
        if method == "GET":
            return service.register.order("readOffer", shape[0], ordered(answer))
        if method == "DELETE":
            return service.register.order("withdraw", shape[0], ordered(answer))
        if method != "PUT":
            return answer(405, {"error": "want PUT, GET or DELETE"})
        if len(body) > OFFER_BYTES:
            return answer(413, {"error": f"an offer over {OFFER_BYTES} bytes"})
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return answer(400, {"error": "the body is not UTF-8"})
        if "\n" in shape[0]:
            return answer(400, {"error": "partner: want a name of letters, digits, dots, dashes"})
        return service.register.order("offer", f"{shape[0]}\n{text}", ordered(answer))

    def rollout_call(method, shape, body, answer):
        if len(shape) > 2 or "\n" in "".join(shape):
            return answer(404, {"error": "no such call"})
        if len(shape) == 2:
            if shape[1] not in ("pause", "resume", "promote", "rollback"):
                return answer(404, {"error": "no such call"})
            if method != "POST":
                return answer(405, {"error": "want POST"})
            return service.register.order("moveRollout", f"{shape[0]}\n{shape[1]}", ordered(answer))
        if method == "GET":
            return service.views.show_rollouts(shape[0] if shape else "", answer)
        if not shape or method not in ("PUT", "DELETE"):
            return answer(405, {"error": "want PUT, GET or DELETE" if shape else "want GET"})
        if method == "DELETE":
            return service.register.order("moveRollout", f"{shape[0]}\nend", ordered(answer))
        if len(body) > ROLLOUT_BYTES:
            return answer(413, {"error": f"a rollout over {ROLLOUT_BYTES} bytes"})
        try:
            text = body.decode()
        except UnicodeDecodeError:
            return answer(400, {"error": "the body is not UTF-8"})
        return service.views.start_rollout(shape[0], text, ordered(answer))

    def ordered(answer):
        def give(status, text):
            if status == 200:
                answer(200, text or {})
            else:
                answer(status, {"error": text})

        return give

    return dispatch

"""Bodies of requests: what is kept of them, for how long, and what becomes of those beyond the bound."""

import asyncio

import h11
import pytest
from support.endpoints import Scene, good, request, route

from soak.uploads import PREFIXES, measure_uploads
from stagevale.forwarding.body_writer import MOST_JOINED_BYTES, BodyWriter
from stagevale.forwarding.request_body import BodyBudget, RequestBody

MB = 1024 * 1024
# Of 2 MB the bodies may take 1.2.
SETTINGS = "[limits]\nmemoryMb = 2\n"
LIMITS = {"headerMaxBytes": 2000, "bodyMaxBytes": 64 * MB, "headerReadMs": 1000, "idleMs": 5000}
LARGE = b"x" * (800 * 1024)
MOST_PEAK_MB = 250


def scene_of(rule=good):
    routes = [route("pure", "/p/"), route("effectful", "/e/")]
    scene = Scene(routes=routes, settings=SETTINGS, more={"limits": LIMITS})
    scene.endpoint(rule)
    return scene


def upload(id, body=LARGE, path="/e/x"):
    return request(path, id, "POST", body)


def kept(scene):
    return scene.proxy.forwarder.bodies.used_bytes


def test_a_body_beyond_the_bound_is_refused_before_it_is_read_and_later_ones_are_taken():
    """Guards against bodies that take all of the process's memory, and against a bound that stays
    used up.
    """
    scene = scene_of(lambda endpoint, fields, body: (good(endpoint, fields, body), 200))
    first = scene.client(upload("1"))
    second = scene.client(upload("2").partition(b"\r\n\r\n")[0] + b"\r\n\r\n")
    scene.world.run(100)
    assert second.statuses() == ["503"]
    assert b"Retry-After" in second.got
    assert b"Attempt-Id: 2" in second.got
    assert kept(scene) == len(LARGE)
    scene.world.run(400)
    assert first.statuses() == ["200"]
    assert kept(scene) == 0
    third = scene.client(upload("3"))
    scene.world.run(400)
    assert third.statuses() == ["200"]
    assert scene.endpoints[0].ran == ["1", "3"]


def test_a_body_without_a_length_is_refused_once_it_has_grown_beyond_the_bound():
    """Guards against chunked bodies that pass the bound by."""
    scene = scene_of()
    head = upload("1", b"").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
    client = scene.client(head)
    for _ in range(40):
        client.transport.write(b"%x\r\n" % 65536 + b"y" * 65536 + b"\r\n")
        scene.world.run(5)
    assert client.statuses() == ["503"]
    assert kept(scene) == 0
    assert scene.endpoints[0].ran == []


def silent(*_request):
    return None


def resets(*_request):
    return b"RESET"


def turns_away(_endpoint, fields, _body):
    id = fields[b"attempt-id"]
    return b"HTTP/1.1 503 no\r\nNot-Run: 1\r\nAttempt-Id: " + id + b"\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("path", ["/p/x", "/e/x"])
@pytest.mark.parametrize("rule", [good, silent, resets, turns_away])
@pytest.mark.parametrize("leaves_ms", [None, 1, 40])
def test_a_body_is_dropped_however_its_request_ends(rule, path, leaves_ms):
    """Guards against bodies that count for ever: answered, timed out, broken, retried, left."""
    scene = scene_of(rule)
    client = scene.client(upload("1", path=path))
    if leaves_ms is not None:
        scene.world.run(leaves_ms)
        client.transport.close()
    scene.world.run(5000)
    assert kept(scene) == 0


@pytest.mark.parametrize("sent", [1, 60_000, len(LARGE) - 1])
def test_a_body_that_was_never_whole_is_dropped(sent):
    """Guards against the bodies of clients that leave, or stop, in the middle."""
    for leaves in (True, False):
        scene = scene_of()
        client = scene.client(upload("1")[: sent + len(upload("1")) - len(LARGE)])
        scene.world.run(50)
        assert kept(scene) > 0
        if leaves:
            client.transport.abort()
        scene.world.run(8000)
        assert kept(scene) == 0


def test_a_body_of_any_size_reaches_the_endpoint_unchanged():
    """Guards against pieces that are lost or doubled where a body is written in parts."""
    for size in (0, 1, MOST_JOINED_BYTES, MOST_JOINED_BYTES + 1, 500_000):
        seen = []

        def rule(endpoint, fields, body, seen=seen):
            seen.append(body)
            return good(endpoint, fields, body)

        scene = scene_of(rule)
        body = bytes(number % 251 for number in range(size))
        client = scene.client(upload("1", body))
        scene.world.run(300)
        assert client.statuses() == ["200"]
        assert seen == [body]


class SlowTransport:
    """A connection to an endpoint that reads nothing until it is told to."""

    def __init__(self, writer):
        self.writer, self.written = writer, []

    def write(self, data):
        self.written.append(data)
        self.writer.hold()


def started_request():
    """A parser that has encoded a head, the head, and the body that is to follow."""
    pieces = [bytes([number]) * 65536 for number in range(12)]
    body = RequestBody(BodyBudget(scene_of().context))
    assert all(body.append(piece) for piece in pieces)
    parser = h11.Connection(h11.CLIENT)
    headers = [("Host", "h"), ("Content-Length", str(body.size))]
    head = parser.send(h11.Request(method="POST", target="/e/x", headers=headers))
    return parser, head, body


def test_a_large_body_is_written_as_fast_as_its_endpoint_reads():
    """Guards against a whole body in the buffer of a connection whose endpoint reads slowly."""
    parser, head, body = started_request()
    writer = BodyWriter()
    transport = writer.transport = SlowTransport(writer)
    writer.write(parser, head, body)
    assert transport.written == [head]
    for count in range(1, 13):
        assert parser.our_state is h11.SEND_BODY
        writer.go_on()
        assert len(transport.written) == 1 + count
    writer.go_on()
    assert transport.written[1:] == list(body)
    assert parser.our_state is h11.DONE


def test_a_body_that_is_given_up_is_written_no_further():
    """Guards against bytes on a connection that has ended, or under the next request."""
    parser, head, body = started_request()
    writer = BodyWriter()
    transport = writer.transport = SlowTransport(writer)
    writer.write(parser, head, body)
    writer.go_on()
    writer.give_up()
    writer.go_on()
    assert transport.written == [head, next(iter(body))]
    assert parser.our_state is h11.SEND_BODY


@pytest.mark.parametrize("count", [3, 30])
@pytest.mark.parametrize("prefix", PREFIXES)
def test_a_real_proxy_stays_within_its_memory_under_large_uploads(prefix, count):
    """Guards against copies of a body: each one is answered or refused, and the process lives."""
    figures = asyncio.run(measure_uploads(count, 60, prefix, "x"))
    assert figures.lives
    assert figures.peak_mb < MOST_PEAK_MB
    assert None not in figures.statuses


@pytest.mark.parametrize("path", ["early/x", "slow-read/x"])
def test_a_real_proxy_stays_within_its_memory_whatever_its_endpoints_read(path):
    """Guards against bodies that pile up behind endpoints that answer early or read slowly."""
    figures = asyncio.run(measure_uploads(6, 60, "/upload/", path))
    assert figures.lives
    assert figures.peak_mb < MOST_PEAK_MB

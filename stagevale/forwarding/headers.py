"""Headers of requests and answers: which are read here, and which are passed on."""

from stagevale.forwarding.request import Headers, Request

# Headers of one connection only (RFC 9110, 7.6.1), and those that the proxy sets itself.
HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)
REPLACED_HEADERS = HOP_HEADERS | {b"deadline-ms", b"expect-instance", b"expect"}
# A `Connection` header can't take these away.
KEPT_HEADERS = frozenset((b"host", b"attempt-id"))


def read_headers(request: Request) -> None:
    """Reads what the proxy needs of a request's headers, and drops those that aren't passed on."""
    host = b""
    named: set[bytes] = set()
    for name, value in request.headers:
        lower = name.lower()
        if lower == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
        elif lower == b"host":
            host = value
        elif lower == b"attempt-id":
            request.attempt_id = value
        elif lower == b"deadline-ms":
            request.client_wait_ms = float(value) if value.isdigit() else None
        elif lower == b"authorization":
            # Two keys are none: it isn't known which is meant.
            request.credentials = value if request.credentials is None else b""
    dropped = REPLACED_HEADERS | (named - KEPT_HEADERS - {b"close"})
    request.headers = [row for row in request.headers if row[0].lower() not in dropped]
    request.host = _host_name(host)
    request.path = request.target.decode("latin-1").partition("?")[0]


def _host_name(host: bytes) -> str:
    """The host without its port, in lower case."""
    text = host.decode("latin-1").lower()
    return text.rpartition(":")[0] if ":" in text else text


def without_hop_headers(headers: Headers) -> Headers:
    """The headers of an endpoint's answer that go to the client."""
    return [(name, value) for name, value in headers if name.lower() not in HOP_HEADERS]

"""Calls of a daemon's HTTP API, for the commands."""

import http.client
import json
from typing import Any, NamedTuple

from stagevale.settings.settings import split_address

DEFAULT_TIMEOUT_S = 3.0
MOST_ANSWER_BYTES = 64 * 1024 * 1024


class ApiAnswer(NamedTuple):
    """What a call came to.

    Attributes:
        status: HTTP's; None where no answer came.
        body: the parsed JSON, None where it is none; without a status, the reason.
    """

    status: int | None
    body: Any

    @property
    def summary(self) -> Any:
        """The status, or why there is none."""
        return self.body if self.status is None else self.status


def call_api(
    address: str,
    path: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    method: str = "GET",
    body: bytes | None = None,
) -> ApiAnswer:
    """Makes one call.

    Args:
        address: ip:port.
        path: with its query.
        timeout_s: for the connection and for each read.
        method: HTTP's.
        body: to send, or None.

    Raises:
        SettingsError: the address isn't one.
    """
    ip, port = split_address(address, "address")
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        data = answer.read(MOST_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as error:
        return ApiAnswer(None, str(error) or type(error).__name__)
    finally:
        connection.close()
    try:
        return ApiAnswer(answer.status, json.loads(data))
    except ValueError:
        return ApiAnswer(answer.status, None)

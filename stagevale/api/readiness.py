"""A proxy's readiness port."""

import http
from collections.abc import Callable
from typing import Any

from stagevale.api.router import VERSION_PREFIX, Answer, Call, Names, Resource, Router

OK = http.HTTPStatus.OK.value


def readiness_router(is_ready: Callable[[], bool]) -> Router:
    """The router of a proxy's readiness port: 200 once it is ready to serve, else 503."""

    def readiness(_call: Call, _names: Names, answer: Answer) -> None:
        ready = is_ready()
        status = OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE.value
        body: dict[str, Any] = {"ready": ready}
        answer(status, body)

    return Router(VERSION_PREFIX, [Resource(("readiness",), {"GET": readiness})])

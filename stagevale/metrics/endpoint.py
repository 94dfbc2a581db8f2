"""The port at which a daemon shows its metrics."""

import http
from types import ModuleType

from stagevale.api.router import Answer, Call, Names, Resource, Router
from stagevale.runtime.context import Context

METRICS_PATH = "metrics"
TEXT_FORMAT = "text/plain; version=0.0.4; charset=utf-8"
OK = http.HTTPStatus.OK.value
UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE.value


def _load_exposition() -> ModuleType:
    from stagevale.metrics import exposition

    return exposition


class MetricsEndpoint:
    """Answers fetches of a daemon's metrics.

    The library that writes the format is loaded on the disk's thread, with the first fetch: nothing
    that the daemon serves waits for it, and a daemon that nobody asks goes without.

    Attributes:
        router: finds the handler.
    """

    __slots__ = ("router", "_context", "_exposition")

    def __init__(self, context: Context) -> None:
        self.router = Router(METRICS_PATH, [Resource((), {"GET": self._show})])
        self._context = context
        self._exposition: ModuleType | None = None

    def _show(self, _call: Call, _names: Names, answer: Answer) -> None:
        if self._exposition is not None:
            answer(OK, self._exposition.render(self._context.metrics))
            return

        def loaded(exposition: ModuleType | None, error: Exception | None) -> None:
            if exposition is None:
                answer(UNAVAILABLE, f"metrics can't be shown: {error}\n")
                return
            self._exposition = exposition
            answer(OK, exposition.render(self._context.metrics))

        self._context.run_on_disk(_load_exposition, loaded)

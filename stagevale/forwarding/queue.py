"""Requests that wait for an endpoint of their service."""

from collections.abc import Iterator

from stagevale.forwarding.request import Request


class RequestQueue:
    """Queues by service: the highest priority first, then the oldest."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, list[Request]] = {}

    def add(self, request: Request) -> None:
        """Queues a request."""
        queue = self._requests.setdefault(request.service, [])
        queue.append(request)
        queue.sort(key=lambda queued: (queued.priority, queued.start_ms))

    def remove(self, request: Request) -> bool:
        """Takes a request out; False where it isn't queued."""
        queue = self._requests.get(request.service)
        if not queue or request not in queue:
            return False
        queue.remove(request)
        return True

    def pop(self, service: str) -> Request | None:
        """The next request of a service, or None."""
        queue = self._requests.get(service)
        return queue.pop(0) if queue else None

    def length(self) -> int:
        """How many requests wait, of all services."""
        return sum(len(queue) for queue in self._requests.values())

    def take_all(self) -> Iterator[Request]:
        """All requests, service by service; a service's queue is empty from its first on."""
        for service, queue in list(self._requests.items()):
            self._requests[service] = []
            yield from queue

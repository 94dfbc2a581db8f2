"""Finds the handler of a call by its path and method."""

import http
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple


class Call(NamedTuple):
    """A call as it was read.

    Attributes:
        method: as sent.
        segments: the path without its query, unquoted.
        query: as sent.
        body: as sent.
        basis_serial: the newest value that this daemon held before the call can have been sent; see
            `RequestTerms`. None where nobody keeps track of that.
        caller_waits: False once the caller has closed its connection.
    """

    method: str
    segments: tuple[str, ...]
    query: str
    body: bytes
    basis_serial: int | None = None
    caller_waits: Callable[[], bool] = lambda: True


# Called once with an HTTP status and a body: a table to be sent as JSON, or JSON itself.
Answer = Callable[[int, Any], object]
# What stood in a path in the places of wildcards.
Names = tuple[str, ...]
Dispatch = Callable[[Call, Answer], object]
# A handler gets the segments in the places of the pattern's wildcards.
Handler = Callable[[Call, Names, Answer], object]

VERSION_PREFIX = "v1"

WILDCARD = None


class CallError(Exception):
    """A call that isn't taken.

    Attributes:
        status: the HTTP status of the answer.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class BadCallError(CallError):
    """A call with a wrong path, query or body (400); the reason names the field."""

    def __init__(self, reason: str) -> None:
        super().__init__(http.HTTPStatus.BAD_REQUEST.value, reason)


class NoSuchCallError(CallError):
    """A path that isn't known (404)."""

    def __init__(self) -> None:
        super().__init__(http.HTTPStatus.NOT_FOUND.value, "no such call")


class Resource:
    """A path and the handlers of its methods.

    Attributes:
        pattern: the path's segments, `WILDCARD` in the place of names.
        handlers: by method, in the order in which an answer lists them.
    """

    __slots__ = ("pattern", "handlers")

    def __init__(self, pattern: Sequence[str | None], handlers: Mapping[str, Handler]) -> None:
        self.pattern = tuple(pattern)
        self.handlers = dict(handlers)

    def match(self, segments: tuple[str, ...]) -> Names | None:
        """The segments in the places of wildcards, or None for another path."""
        if len(segments) != len(self.pattern):
            return None
        names = []
        for wanted, segment in zip(self.pattern, segments, strict=True):
            if wanted is WILDCARD:
                names.append(segment)
            elif wanted != segment:
                return None
        return tuple(names)

    def wanted_methods(self) -> str:
        """The methods, for an answer to a wrong one: `PUT, GET or DELETE`."""
        *first, last = self.handlers
        return f"{', '.join(first)} or {last}" if first else last


class Router:
    """Calls the handler of a path and method; errors of calls become answers."""

    __slots__ = ("prefix", "resources")

    def __init__(self, prefix: str, resources: Sequence[Resource]) -> None:
        """Makes a router.

        Args:
            prefix: the first segment of all paths.
            resources: the paths; the first that matches is taken.
        """
        self.prefix = prefix
        self.resources = tuple(resources)

    def dispatch(self, call: Call, answer: Answer) -> None:
        """Handles a call."""
        try:
            self._dispatch(call, answer)
        except CallError as error:
            answer(error.status, {"error": str(error)})

    def _dispatch(self, call: Call, answer: Answer) -> None:
        if call.segments[:1] != (self.prefix,):
            raise NoSuchCallError
        for resource in self.resources:
            names = resource.match(call.segments[1:])
            if names is None:
                continue
            handler = resource.handlers.get(call.method)
            if handler is None:
                raise CallError(
                    http.HTTPStatus.METHOD_NOT_ALLOWED.value,
                    f"want {resource.wanted_methods()}",
                )
            handler(call, names, answer)
            return
        raise NoSuchCallError


def text_of(call: Call) -> str:
    """A call's body as text.

    Raises:
        BadCallError: it is not UTF-8.
    """
    try:
        return call.body.decode()
    except UnicodeDecodeError as error:
        raise BadCallError("the body is not UTF-8") from error

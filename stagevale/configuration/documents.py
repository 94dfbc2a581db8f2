"""Reading of the JSON documents that operators and partners send."""

import hashlib
import http
import json
from typing import Any

import trafaret as t
from expression import Error, Ok, Result

FINGERPRINT_CHARACTERS = 24

Document = dict[str, Any]


class InvalidDocumentError(Exception):
    """A document that can't be taken.

    Attributes:
        status: the HTTP status of the answer.
        reason: what is wrong, beginning with the place in the document.
    """

    def __init__(self, reason: str, status: int = http.HTTPStatus.BAD_REQUEST.value) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


CheckedDocument = Result[Document, InvalidDocumentError]


def invalid(reason: str) -> CheckedDocument:
    """The result for a document that can't be taken."""
    return Error(InvalidDocumentError(reason))


def check_document(text: str, shape: t.Trafaret) -> CheckedDocument:
    """The document of this shape, or every place that is wrong."""
    try:
        return Ok(shape.check(json.loads(text)))
    except t.DataError as error:
        return invalid("; ".join(_places_of(error)))
    except (ValueError, RecursionError) as error:
        return invalid(f"not JSON: {error}")


def _places_of(error: t.DataError | str, place: str = "") -> list[str]:
    """What a check found, as `place: reason` for each place."""
    reason = error.error if isinstance(error, t.DataError) else error
    if not isinstance(reason, dict):
        return [f"{place}: {reason}" if place else str(reason)]
    places: list[str] = []
    for key, inner in reason.items():
        places += _places_of(inner, f"{place}.{key}" if place else str(key))
    return places


def version_number(value: object) -> int:
    """`r12`, `12` or 12 as 12.

    Raises:
        ValueError: it is no version.
    """
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    if isinstance(value, str):
        digits = value[1:] if value[:1] == "r" else value
        if digits.isascii() and digits.isdigit():
            return int(digits)
    raise ValueError(f"not a version: {value!r}")


def check_version(value: object) -> int:
    """`version_number` for shapes."""
    try:
        return version_number(value)
    except ValueError as error:
        raise t.DataError(str(error)) from error


def fingerprint(text: str) -> str:
    """A hash that is equal for equal JSON documents, however they are spaced."""
    canonical = json.dumps(json.loads(text), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()[:FINGERPRINT_CHARACTERS]

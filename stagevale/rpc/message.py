"""Typed messages: named tuples whose fields are read by their annotations.

A message travels as the list of its fields in their order; a named tuple is encoded as just that,
so writing one needs no code, unless it has optional fields. Reading checks the number of fields and
the type of each.
"""

import functools
import types
from collections.abc import Callable
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from stagevale.rpc.errors import MessageError

MessageT = TypeVar("MessageT")
FieldReader = Callable[[str, Any], Any]

SHOWN_CHARACTERS = 40


def read_message(message_type: type[MessageT], body: Any) -> MessageT:
    """Reads a message, or a plain value, out of a decoded body.

    Args:
        message_type: a named tuple class, or one of int, bool, str, bytes, list and dict.
        body: the decoded body; a message of this type is returned as it is.

    Fields with a default may be missing at the end.

    Raises:
        MessageError: the body has another shape.
    """
    if isinstance(body, message_type):
        return body
    readers = _readers_of(message_type)  # type: ignore[arg-type]  # a class is hashable
    if readers is None:
        raise _wrong_type(message_type.__name__, message_type, body)
    required = len(readers) - len(message_type._field_defaults)  # type: ignore[attr-defined]
    if not isinstance(body, (list, tuple)) or not required <= len(body) <= len(readers):
        raise MessageError(f"{message_type.__name__}: want {len(readers)} fields")
    values = [reader(name, value) for (name, reader), value in zip(readers, body, strict=False)]
    return message_type(*values)


def message_body(message: tuple[Any, ...]) -> list[Any]:
    """A message as it travels: without the optional fields at its end that say nothing."""
    fields = list(message)
    while fields and fields[-1] is None:
        fields.pop()
    return fields


@functools.cache
def _readers_of(message_type: Any) -> list[tuple[str, FieldReader]] | None:
    """Readers for a named tuple's fields; None for a class of another kind."""
    if not hasattr(message_type, "_fields"):
        return None
    return [
        (f"{message_type.__name__}.{name}", _reader_for(annotation))
        for name, annotation in get_type_hints(message_type).items()
    ]


def _reader_for(annotation: Any) -> FieldReader:
    """The reader of one field's type."""
    origin = get_origin(annotation)
    if annotation is Any:
        return lambda _name, value: value
    if origin in (Union, types.UnionType):
        return _optional_reader(annotation)
    if origin is tuple:
        return _tuple_reader(get_args(annotation)[0])
    if origin is not None:
        return _plain_reader(origin)
    if annotation is float:
        return _number
    if hasattr(annotation, "_fields"):
        return functools.partial(_nested, annotation)
    return _plain_reader(annotation)


def _plain_reader(wanted: type) -> FieldReader:
    def read(name: str, value: Any) -> Any:
        if not isinstance(value, wanted):
            raise _wrong_type(name, wanted, value)
        return value

    return read


def _optional_reader(annotation: Any) -> FieldReader:
    (inner,) = (kind for kind in get_args(annotation) if kind is not type(None))
    reader = _reader_for(inner)
    return lambda name, value: None if value is None else reader(name, value)


def _tuple_reader(element: Any) -> FieldReader:
    reader = _reader_for(element)

    def read(name: str, value: Any) -> tuple[Any, ...]:
        if not isinstance(value, (list, tuple)):
            raise _wrong_type(name, list, value)
        return tuple(reader(name, item) for item in value)

    return read


def _nested(message_type: type, name: str, value: Any) -> Any:
    try:
        return read_message(message_type, value)
    except MessageError as cause:
        raise MessageError(f"{name}: {cause.reason}") from cause


def _number(name: str, value: Any) -> float:
    if not isinstance(value, (int, float)):
        raise _wrong_type(name, float, value)
    return value


def _wrong_type(name: str, wanted: type, value: Any) -> MessageError:
    shown = repr(value)[:SHOWN_CHARACTERS]
    return MessageError(f"{name}: want {wanted.__name__}, got {shown}")

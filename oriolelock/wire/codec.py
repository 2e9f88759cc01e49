"""
oriolelock.wire.codec
~~~~~~~~~~~~~~~~~~~~~

    Serialization of frozen data classes as CBOR.

    An instance of a registered class is encoded as an array of its wire name and its field values
    in order, which adds little overhead. Decoding validates each field against its type hint.

    Builds of different age run side by side during an upgrade: fields that a newer build has added
    at the end are ignored, and those that an older build does not send take their defaults.
"""

import collections.abc
import dataclasses
import enum
import functools
import types
import typing

import cbor2

from oriolelock.wire import errors

__all__ = ["decode", "encode", "from_plain", "register", "to_plain"]

_CLASSES_BY_WIRE_NAME: dict[str, type] = {}

T = typing.TypeVar("T", bound=type)


def register(name: str) -> collections.abc.Callable[[T], T]:
    """Return a class decorator that registers a frozen data class under a wire name."""

    def decorate(cls: T) -> T:
        if name in _CLASSES_BY_WIRE_NAME:
            raise ValueError(f"message name {name!r} is taken by {_CLASSES_BY_WIRE_NAME[name]!r}")
        cls.wire_name = name
        _CLASSES_BY_WIRE_NAME[name] = cls
        return cls

    return decorate


@functools.cache
def _required_count(cls: type) -> int:
    """Return the number of leading fields up to the last one without a default."""
    missing = dataclasses.MISSING
    required = [
        number
        for number, field in enumerate(dataclasses.fields(cls), 1)
        if field.default is missing and field.default_factory is missing
    ]
    return max(required, default=0)


@functools.cache
def _fields(cls: type) -> tuple[tuple[str, object], ...]:
    hints = typing.get_type_hints(cls)
    return tuple((field.name, hints[field.name]) for field in dataclasses.fields(cls))


def to_plain(value: object) -> object:
    """Convert ``value`` to lists, maps and scalars that CBOR and JSON can represent."""
    if hasattr(value, "wire_name"):
        field_values = [to_plain(getattr(value, name)) for name, _ in _fields(type(value))]
        return [value.wire_name, *field_values]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (list, tuple)):
        return [to_plain(element) for element in value]
    if isinstance(value, collections.abc.Mapping):
        return {key: to_plain(element) for key, element in value.items()}
    return value


def from_plain(data: object) -> object:
    """Convert the output of ``to_plain`` back to a message; raises DecodeError."""
    if not isinstance(data, list) or not data or not isinstance(data[0], str):
        raise errors.DecodeError("a message must be an array that starts with its wire name")
    cls = _CLASSES_BY_WIRE_NAME.get(data[0])
    if cls is None:
        raise errors.DecodeError(f"unknown message name {data[0]!r}")
    fields = _fields(cls)
    if len(data) - 1 < _required_count(cls):
        raise errors.DecodeError(
            f"{data[0]}: {len(data) - 1} fields, expected {_required_count(cls)} or more"
        )
    values = {}
    for (name, hint), value in zip(fields, data[1:], strict=False):
        values[name] = _decode_value(hint, value, f"{data[0]}.{name}")
    try:
        return cls(**values)
    except (TypeError, ValueError) as exc:
        raise errors.DecodeError(f"{data[0]}: {exc}") from exc


def _decode_union(hint, value, location):
    if value is None and type(None) in typing.get_args(hint):
        return None
    for option in typing.get_args(hint):
        if option is type(None):
            continue
        try:
            return _decode_value(option, value, location)
        except errors.DecodeError:
            continue
    raise errors.DecodeError(f"{location}: no type of {hint} matches")


def _decode_tuple(hint, value, location):
    if not isinstance(value, list):
        raise errors.DecodeError(f"{location}: expected an array")
    element_hints = typing.get_args(hint)
    if len(element_hints) == 2 and element_hints[1] is Ellipsis:
        return tuple(_decode_value(element_hints[0], element, location) for element in value)
    if len(element_hints) != len(value):
        raise errors.DecodeError(f"{location}: expected {len(element_hints)} items")
    return tuple(
        _decode_value(element_hint, element, location)
        for element_hint, element in zip(element_hints, value, strict=True)
    )


def _decode_scalar(hint, value, location):
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not hint:
        raise errors.DecodeError(
            f"{location}: expected {hint.__name__}, found {type(value).__name__}"
        )
    return value


def _decode_value(hint, data, location):
    origin = typing.get_origin(hint)
    if hint in (object, typing.Any):
        return from_plain(data) if _is_registered_message(data) else data
    if origin in (typing.Union, types.UnionType):
        return _decode_union(hint, data, location)
    if origin is tuple:
        return _decode_tuple(hint, data, location)
    if origin in (dict, collections.abc.Mapping):
        return _decode_map(hint, data, location)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        try:
            return hint(data)
        except ValueError as exc:
            raise errors.DecodeError(f"{location}: {exc}") from exc
    if hasattr(hint, "wire_name"):
        msg = from_plain(data)
        if not isinstance(msg, hint):
            raise errors.DecodeError(f"{location}: expected {hint.wire_name}")
        return msg
    return _decode_scalar(hint, data, location)


def _decode_map(hint, value, location):
    if not isinstance(value, dict):
        raise errors.DecodeError(f"{location}: expected a map")
    key_hint, value_hint = typing.get_args(hint)
    return {
        _decode_value(key_hint, key, location): _decode_value(value_hint, element, location)
        for key, element in value.items()
    }


def _is_registered_message(value):
    return (
        isinstance(value, list)
        and bool(value)
        and isinstance(value[0], str)
        and value[0] in _CLASSES_BY_WIRE_NAME
    )


def encode(msg: object) -> bytes:
    """Encode an instance of a registered data class as CBOR (RFC 8949)."""
    return cbor2.dumps(to_plain(msg))


def decode(data: bytes) -> object:
    """Decode a message from CBOR; raises DecodeError if ``data`` is not a valid message."""
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, TypeError) as exc:
        raise errors.DecodeError(f"bad CBOR: {exc}") from exc
    return from_plain(plain)

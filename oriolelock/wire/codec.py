"""
oriolelock.wire.codec
~~~~~~~~~~~~~~~~~~~~~

    Frozen data classes to CBOR and back.

    A registered class travels as an array of its name and its fields in order, so that a
    message costs little more than its content. Decoding checks every field against its
    annotation.
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

_TYPES: dict[str, type] = {}

T = typing.TypeVar("T", bound=type)


def register(name: str) -> collections.abc.Callable[[T], T]:
    """Return a class decorator that registers a frozen data class under ``name``."""

    def decorate(cls: T) -> T:
        if name in _TYPES:
            raise ValueError(f"message name {name!r} is taken by {_TYPES[name]!r}")
        cls.wire_name = name
        _TYPES[name] = cls
        return cls

    return decorate


@functools.cache
def _fields(cls: type) -> tuple[tuple[str, object], ...]:
    hints = typing.get_type_hints(cls)
    return tuple((field.name, hints[field.name]) for field in dataclasses.fields(cls))


def to_plain(value: object) -> object:
    """Return ``value`` as lists, maps and scalars that CBOR or JSON can hold."""
    if hasattr(value, "wire_name"):
        parts = [to_plain(getattr(value, name)) for name, _ in _fields(type(value))]
        return [value.wire_name, *parts]
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    if isinstance(value, collections.abc.Mapping):
        return {key: to_plain(item) for key, item in value.items()}
    return value


def from_plain(data: object) -> object:
    """Return the registered data class that ``data`` stands for; raises DecodeError."""
    if not isinstance(data, list) or not data or not isinstance(data[0], str):
        raise errors.DecodeError("a message must be an array that starts with its name")
    cls = _TYPES.get(data[0])
    if cls is None:
        raise errors.DecodeError(f"unknown message name {data[0]!r}")
    fields = _fields(cls)
    if len(data) != len(fields) + 1:
        raise errors.DecodeError(f"{data[0]}: {len(data) - 1} fields, expected {len(fields)}")
    values = {}
    for (name, hint), item in zip(fields, data[1:], strict=True):
        values[name] = _check(hint, item, f"{data[0]}.{name}")
    try:
        return cls(**values)
    except (TypeError, ValueError) as exc:
        raise errors.DecodeError(f"{data[0]}: {exc}") from exc


def _check_union(hint, item, where):
    if item is None and type(None) in typing.get_args(hint):
        return None
    for option in typing.get_args(hint):
        if option is type(None):
            continue
        try:
            return _check(option, item, where)
        except errors.DecodeError:
            continue
    raise errors.DecodeError(f"{where}: no type of {hint} fits")


def _check_tuple(hint, item, where):
    if not isinstance(item, list):
        raise errors.DecodeError(f"{where}: expected an array")
    args = typing.get_args(hint)
    if len(args) == 2 and args[1] is Ellipsis:
        return tuple(_check(args[0], part, where) for part in item)
    if len(args) != len(item):
        raise errors.DecodeError(f"{where}: expected {len(args)} items")
    return tuple(_check(arg, part, where) for arg, part in zip(args, item, strict=True))


def _check_scalar(hint, item, where):
    if hint is float and isinstance(item, int) and not isinstance(item, bool):
        return float(item)
    if type(item) is not hint:
        raise errors.DecodeError(f"{where}: expected {hint.__name__}, found {type(item).__name__}")
    return item


def _check(hint, item, where):
    origin = typing.get_origin(hint)
    if hint in (object, typing.Any):
        return from_plain(item) if _is_message(item) else item
    if origin in (typing.Union, types.UnionType):
        return _check_union(hint, item, where)
    if origin is tuple:
        return _check_tuple(hint, item, where)
    if origin in (dict, collections.abc.Mapping):
        return _check_map(hint, item, where)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        try:
            return hint(item)
        except ValueError as exc:
            raise errors.DecodeError(f"{where}: {exc}") from exc
    if hasattr(hint, "wire_name"):
        value = from_plain(item)
        if not isinstance(value, hint):
            raise errors.DecodeError(f"{where}: expected {hint.wire_name}")
        return value
    return _check_scalar(hint, item, where)


def _check_map(hint, item, where):
    if not isinstance(item, dict):
        raise errors.DecodeError(f"{where}: expected a map")
    key_hint, value_hint = typing.get_args(hint)
    return {
        _check(key_hint, key, where): _check(value_hint, part, where) for key, part in item.items()
    }


def _is_message(item):
    return isinstance(item, list) and bool(item) and isinstance(item[0], str) and item[0] in _TYPES


def encode(msg: object) -> bytes:
    """Return the CBOR form (RFC 8949) of a registered data class."""
    return cbor2.dumps(to_plain(msg))


def decode(data: bytes) -> object:
    """Return the message in ``data``; raises DecodeError for anything else."""
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError, TypeError) as exc:
        raise errors.DecodeError(f"bad CBOR: {exc}") from exc
    return from_plain(plain)

"""
oriolelock.wire.codec
~~~~~~~~~~~~~~~~~~~~~

    Serialization of frozen data classes as CBOR.

    An instance of a registered class is encoded as an array of its wire name and its field values
    in order, which adds little overhead. Decoding validates each field against its type hint.

    Builds of different age run side by side during an upgrade: fields that a newer build has added
    at the end are ignored, and those that an older build does not send take their defaults. Fields
    registered as sparse are sent only if they differ from their defaults, so that builds that
    refuse further fields read all other messages.
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
_PLAIN_TYPES = frozenset((str, int, float, bool, bytes, type(None)))

Decoder = collections.abc.Callable[[object], object]

T = typing.TypeVar("T", bound=type)


def register(name: str, sparse_fields: int = 0) -> collections.abc.Callable[[T], T]:
    """Return a class decorator that registers a frozen data class under a wire name.

    ``sparse_fields``: how many of the last fields, each with a default, are left out while they
    have their defaults.
    """

    def decorate(cls: T) -> T:
        if name in _CLASSES_BY_WIRE_NAME:
            raise ValueError(f"message name {name!r} is taken by {_CLASSES_BY_WIRE_NAME[name]!r}")
        cls.wire_name = name
        cls.sparse_fields = sparse_fields
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
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def _without_defaults(value):
    """Return the names of all fields but the last sparse ones that have their defaults."""
    fields = dataclasses.fields(value)
    first_sparse = len(fields) - value.sparse_fields
    count = len(fields)
    while count > first_sparse and getattr(value, fields[count - 1].name) == (
        fields[count - 1].default
    ):
        count -= 1
    return _field_names(type(value))[:count]


def to_plain(value: object) -> object:
    """Convert ``value`` to lists, maps and scalars that CBOR and JSON can represent."""
    if type(value) in _PLAIN_TYPES:
        return value
    if hasattr(value, "wire_name"):
        names = _field_names(type(value))
        if value.sparse_fields:
            names = _without_defaults(value)
        return [value.wire_name, *[to_plain(getattr(value, name)) for name in names]]
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
    if len(data) - 1 < _required_count(cls):
        raise errors.DecodeError(
            f"{data[0]}: {len(data) - 1} fields, expected {_required_count(cls)} or more"
        )
    decoders = _field_decoders(cls)
    values = [decode_field(value) for decode_field, value in zip(decoders, data[1:], strict=False)]
    try:
        return cls(*values)
    except (TypeError, ValueError) as exc:
        raise errors.DecodeError(f"{data[0]}: {exc}") from exc


@functools.cache
def _field_decoders(cls: type) -> tuple[Decoder, ...]:
    """Return the decoders of a class's fields, made once: hints are slow to take apart."""
    hints = typing.get_type_hints(cls)
    return tuple(
        _make_decoder(hints[name], f"{cls.wire_name}.{name}") for name in _field_names(cls)
    )


def _make_decoder(hint: object, location: str) -> Decoder:
    """Return a function that decodes a value of type ``hint``; ``location``: named in errors."""
    origin = typing.get_origin(hint)
    if hint in (object, typing.Any):
        return _decode_any
    if origin in (typing.Union, types.UnionType):
        return _make_union_decoder(hint, location)
    if origin is tuple:
        return _make_tuple_decoder(hint, location)
    if origin in (dict, collections.abc.Mapping):
        return _make_map_decoder(hint, location)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _make_enum_decoder(hint, location)
    if hasattr(hint, "wire_name"):
        return _make_message_decoder(hint, location)
    return _make_scalar_decoder(hint, location)


def _decode_any(value):
    return from_plain(value) if _is_registered_message(value) else value


def _make_union_decoder(hint, location):
    options = typing.get_args(hint)
    is_optional = type(None) in options
    decoders = [_make_decoder(o, location) for o in options if o is not type(None)]

    def decode_union(value):
        if value is None and is_optional:
            return None
        for decode_option in decoders:
            try:
                return decode_option(value)
            except errors.DecodeError:
                continue
        raise errors.DecodeError(f"{location}: no type of {hint} matches")

    return decode_union


def _make_tuple_decoder(hint, location):
    element_hints = typing.get_args(hint)
    is_homogeneous = len(element_hints) == 2 and element_hints[1] is Ellipsis
    decoders = [_make_decoder(h, location) for h in element_hints if h is not Ellipsis]

    def decode_tuple(value):
        if not isinstance(value, list):
            raise errors.DecodeError(f"{location}: expected an array")
        if is_homogeneous:
            return tuple([decoders[0](element) for element in value])
        if len(decoders) != len(value):
            raise errors.DecodeError(f"{location}: expected {len(decoders)} items")
        pairs = zip(decoders, value, strict=True)
        return tuple([decode_element(element) for decode_element, element in pairs])

    return decode_tuple


def _make_map_decoder(hint, location):
    decode_key, decode_element = (_make_decoder(h, location) for h in typing.get_args(hint))

    def decode_map(value):
        if not isinstance(value, dict):
            raise errors.DecodeError(f"{location}: expected a map")
        return {decode_key(key): decode_element(element) for key, element in value.items()}

    return decode_map


def _make_enum_decoder(hint, location):
    def decode_enum(value):
        try:
            return hint(value)
        except ValueError as exc:
            raise errors.DecodeError(f"{location}: {exc}") from exc

    return decode_enum


def _make_message_decoder(hint, location):
    def decode_message(value):
        msg = from_plain(value)
        if not isinstance(msg, hint):
            raise errors.DecodeError(f"{location}: expected {hint.wire_name}")
        return msg

    return decode_message


def _make_scalar_decoder(hint, location):
    def decode_scalar(value):
        if type(value) is hint:
            return value
        if hint is float and type(value) is int:
            return float(value)
        raise errors.DecodeError(
            f"{location}: expected {hint.__name__}, found {type(value).__name__}"
        )

    return decode_scalar


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

"""
oriolelock.model.from_json
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Model objects from plain mappings, as JSON and YAML documents hold them, and back.
"""

import collections.abc
import dataclasses
import enum
import math
import types
import typing

from oriolelock.model import changes, drain, errors, preset

__all__ = ["change_from", "drain_from", "preset_from", "to_json"]


def preset_from(data: object, where: str = "preset") -> preset.Preset:
    """Return the preset in ``data``; raises InvalidData that names the field."""
    return _build(preset.Preset, data, where)


def drain_from(data: object, where: str = "drain") -> drain.Drain:
    """Return the drain in ``data``; raises InvalidData that names the field."""
    return _build(drain.Drain, data, where)


CHANGES_BY_KIND: dict[str, type] = {
    "put-preset": changes.PutPreset,
    "use-preset": changes.UsePreset,
    "add-drain": changes.AddDrain,
    "cancel-drain": changes.CancelDrain,
    "put-blocks": changes.PutBlocks,
}


def change_from(data: collections.abc.Mapping) -> changes.Change:
    """Return the operator change in ``data``: ``kind`` and the fields of that change.

    Raises InvalidData.
    """
    kind = data.get("kind")
    cls = CHANGES_BY_KIND.get(kind) if isinstance(kind, str) else None
    if cls is None:
        allowed = ", ".join(CHANGES_BY_KIND)
        raise errors.InvalidData(f"kind: found {kind!r}, allowed: {allowed}")
    return _build(cls, {key: value for key, value in data.items() if key != "kind"}, "")


def to_json(value: object) -> object:
    """Return ``value`` as mappings, lists and scalars with the field names of its classes."""
    if dataclasses.is_dataclass(value):
        return {f.name: to_json(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, collections.abc.Mapping):
        return {str(key): to_json(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_json(item) for item in value]
    return value


def _fail(where, found, allowed):
    return errors.InvalidData(f"{where}: found {found!r}, allowed: {allowed}")


def _build(cls, data, where):
    if not isinstance(data, collections.abc.Mapping):
        raise _fail(where or "(top)", data, "a mapping")
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    unknown = [key for key in data if key not in fields]
    if unknown:
        raise _fail(_join(where, unknown[0]), "unknown field", "one of " + ", ".join(fields))
    values = {}
    for name, field in fields.items():
        if name in data:
            values[name] = _convert(hints[name], data[name], _join(where, name))
        elif field.default is dataclasses.MISSING:
            raise errors.InvalidData(f"{_join(where, name)}: a value is required")
    return cls(**values)


def _join(where, name):
    return f"{where}.{name}" if where else str(name)


def _convert(hint, item, where):
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _convert_tuple(hint, item, where)
    if origin is dict:
        if not isinstance(item, collections.abc.Mapping):
            raise _fail(where, item, "a mapping")
        key_hint, value_hint = typing.get_args(hint)
        return {
            _convert(key_hint, key, where): _convert(value_hint, part, _join(where, key))
            for key, part in item.items()
        }
    assert not isinstance(hint, types.UnionType), hint
    if dataclasses.is_dataclass(hint):
        return _build(hint, item, where)
    if issubclass(hint, enum.Enum):
        return _convert_enum(hint, item, where)
    return _convert_scalar(hint, item, where)


def _convert_tuple(hint, item, where):
    if not isinstance(item, (list, tuple)):
        raise _fail(where, item, "a list")
    args = typing.get_args(hint)
    if len(args) == 2 and args[1] is Ellipsis:
        return tuple(_convert(args[0], part, f"{where}[{n}]") for n, part in enumerate(item))
    if len(args) != len(item):
        raise _fail(where, item, f"a list of {len(args)} items")
    pairs = enumerate(zip(args, item, strict=True))
    return tuple(_convert(arg, part, f"{where}[{n}]") for n, (arg, part) in pairs)


def _convert_enum(hint, item, where):
    names = [member.name.lower() for member in hint]
    if not isinstance(item, str) or item not in names:
        raise _fail(where, item, "one of " + ", ".join(names))
    return hint[item.upper()]


SCALARS = {str: "a string", bool: "true or false", int: "a whole number", float: "a number"}


def _convert_scalar(hint, item, where):
    if hint is float and type(item) is int:
        try:
            return float(item)
        except OverflowError:
            raise _fail(where, "an integer out of range", "a finite number") from None
    if type(item) is not hint:
        raise _fail(where, item, SCALARS[hint])
    if hint is float and not math.isfinite(item):
        raise _fail(where, item, "a finite number")
    # Integers beyond 64 bits have no plain CBOR form and no meaning in any field.
    if hint is int and abs(item) >= 1 << 63:
        raise _fail(where, "an integer out of range", "a whole number below 2**63")
    return item

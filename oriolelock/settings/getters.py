"""
oriolelock.settings.getters
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Typed getters for settings. Durations, sizes and rates must carry their unit, so that a
    bare number is refused rather than guessed at.
"""

import re

from oriolelock.settings import node as nodes

__all__ = [
    "get_address",
    "get_bool",
    "get_bytes",
    "get_choice",
    "get_float",
    "get_int",
    "get_list",
    "get_ms",
    "get_node",
    "get_nodes",
    "get_str",
]

MS_PER_UNIT = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
BYTES_PER_UNIT = {"B": 1, "KB": 1000, "MB": 1_000_000, "KiB": 1024, "MiB": 1 << 20}
QUANTITY = re.compile(r"^\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*$")
ADDRESS = re.compile(r"^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$")
MAX_PORT = 65535


def get_str(node: nodes.Node, key: str, default: object = nodes.MISSING) -> str:
    """Return a non-empty string."""
    value = node.fetch(key, default)
    if value is default:
        return value
    if not isinstance(value, str) or not value:
        raise node.fail(key, value, "a non-empty string")
    return value


def get_bool(node: nodes.Node, key: str, default: object = nodes.MISSING) -> bool:
    """Return true or false."""
    value = node.fetch(key, default)
    if not isinstance(value, bool):
        raise node.fail(key, value, "true or false")
    return value


def _in_range(node, key, value, low, high, what):
    if (low is not None and value < low) or (high is not None and value > high):
        raise node.fail(key, value, f"{what} from {low} to {'any' if high is None else high}")
    return value


def get_int(
    node: nodes.Node,
    key: str,
    default: object = nodes.MISSING,
    low: int | None = 0,
    high: int | None = None,
) -> int:
    """Return a whole number between ``low`` and ``high``, both included."""
    value = node.fetch(key, default)
    if value is None and default is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        raise node.fail(key, value, "a whole number")
    return _in_range(node, key, value, low, high, "a whole number")


def get_float(
    node: nodes.Node,
    key: str,
    default: object = nodes.MISSING,
    low: float | None = 0.0,
    high: float | None = None,
) -> float:
    """Return a number between ``low`` and ``high``, both included."""
    value = node.fetch(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise node.fail(key, value, "a number")
    return _in_range(node, key, float(value), low, high, "a number")


def _quantity(node, key, value, units):
    allowed = "a number with one of the units " + ", ".join(units)
    match = QUANTITY.match(value) if isinstance(value, str) else None
    if not match or match[2] not in units:
        raise node.fail(key, value, allowed)
    return float(match[1]) * units[match[2]]


def get_ms(
    node: nodes.Node,
    key: str,
    default: object = nodes.MISSING,
    low: float = 0.0,
    high: float | None = None,
) -> float:
    """Return a duration in milliseconds, written as for example ``250 ms`` or ``5 s``."""
    value = node.fetch(key, default)
    if value is default:
        return value
    return _in_range(node, key, _quantity(node, key, value, MS_PER_UNIT), low, high, "milliseconds")


def get_bytes(node: nodes.Node, key: str, default: object = nodes.MISSING) -> int:
    """Return a size in bytes, written as for example ``64 KiB``."""
    value = node.fetch(key, default)
    if value is default:
        return value
    return int(_quantity(node, key, value, BYTES_PER_UNIT))


def get_choice(
    node: nodes.Node, key: str, choices: tuple[str, ...], default: object = nodes.MISSING
) -> str:
    """Return one of ``choices``."""
    value = node.fetch(key, default)
    if value not in choices:
        raise node.fail(key, value, "one of: " + ", ".join(choices))
    return value


def get_address(
    node: nodes.Node, key: str, default: object = nodes.MISSING
) -> tuple[str, int] | None:
    """Return an IP address and a port from ``a.b.c.d:port``."""
    value = node.fetch(key, default)
    if value is default:
        return value
    match = ADDRESS.match(value) if isinstance(value, str) else None
    if not match or int(match[2]) > MAX_PORT or any(int(n) > 255 for n in match[1].split(".")):
        raise node.fail(key, value, "an address as a.b.c.d:port")
    return match[1], int(match[2])


def get_list(node: nodes.Node, key: str, default: object = nodes.MISSING) -> list:
    """Return a list of plain values."""
    value = node.fetch(key, default)
    if not isinstance(value, (list, tuple)):
        raise node.fail(key, value, "a list")
    return list(value)


def get_node(node: nodes.Node, key: str, default: object = nodes.MISSING) -> nodes.Node:
    """Return the mapping below ``key``."""
    return node.child(key, node.fetch(key, default))


def get_nodes(node: nodes.Node, key: str, default: object = nodes.MISSING) -> list[nodes.Node]:
    """Return the mappings of the list below ``key``."""
    items = get_list(node, key, default)
    return [node.child(f"{key}[{n}]", item) for n, item in enumerate(items)]

"""
oriolelock.routing.pickers
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Load-balancing policies, looked up by name.

    A picker is a function ``pick(candidates, now, rng)``; ``candidates`` is a non-empty list of
    ``load.EndpointLoad``.
"""

import collections.abc

from oriolelock.routing.pickers import least_in_flight, p2c, round_robin

__all__ = ["PICKERS", "Picker", "find_picker"]

Picker = collections.abc.Callable[[collections.abc.Sequence, float, object], object]

PICKERS: dict[str, collections.abc.Callable[[], Picker]] = {
    "p2c": p2c.make,
    "round_robin": round_robin.make,
    "least_in_flight": least_in_flight.make,
}


def find_picker(name: str) -> Picker:
    """Return a new picker; raises LookupError listing the known names."""
    if name not in PICKERS:
        raise LookupError(f"picker {name!r} is unknown, allowed: {', '.join(sorted(PICKERS))}")
    return PICKERS[name]()

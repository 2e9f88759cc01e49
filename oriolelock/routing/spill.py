"""
oriolelock.routing.spill
~~~~~~~~~~~~~~~~~~~~~~~~

    Limits the work that an entry may send to another region.
"""

import collections.abc
import math

from oriolelock.routing import load

__all__ = ["max_in_flight", "order_regions", "rounding_offset"]

ROTATION_INTERVAL_S = 2.0


def rounding_offset(position: int, entries: int, wall_s: float) -> float:
    """Return the rounding offset (0 to below 1) of the entry at ``position`` of ``entries``.

    The share of one entry in a small headroom is often less than one request. With offsets k/n
    for n entries, the sum of floor(x + k/n) is floor(n * x) (Hermite's identity), so together
    the entries use exactly the headroom. Positions rotate so that every entry gets a share.
    """
    rotation = int(wall_s // ROTATION_INTERVAL_S)
    return (position + rotation) % entries / entries


def max_in_flight(
    endpoints: collections.abc.Iterable[load.EndpointLoad],
    entries: int,
    rounding: float,
    now: float,
) -> int:
    """Return how many requests this entry may have in flight in a region."""
    allowance = sum(endpoint_load.allowance(now, entries) for endpoint_load in endpoints)
    # Rounding errors must not push a whole sum just below an integer.
    return math.floor(allowance + rounding + 1e-9)


def order_regions(headroom: dict[str, int], rng) -> list[str]:
    """Return the regions with headroom in random order, weighted by headroom.

    If each entry took the region with the most headroom, all would choose the same one.
    """
    weighted = [
        (rng.random() ** (1.0 / free), region) for region, free in headroom.items() if free > 0
    ]
    return [region for _, region in sorted(weighted, reverse=True)]

"""
oriolelock.routing.spill
~~~~~~~~~~~~~~~~~~~~~~~~

    How much work an entry may send to another region.
"""

import collections.abc
import math

from oriolelock.routing import load

__all__ = ["allowed", "offset", "order"]

ROUND_S = 2.0


def offset(position: int, entries: int, wall_s: float) -> float:
    """Return the rounding offset (0 to below 1) of the entry at ``position`` of ``entries``.

    One part of a small headroom is often less than one request. With the offsets k/n of all n
    entries, the sum of floor(x + k/n) is floor(n * x) (Hermite's identity), so that together
    they use the headroom and no more. Positions rotate, so that each entry has its turn.
    """
    turn = int(wall_s // ROUND_S)
    return (position + turn) % entries / entries


def allowed(
    endpoints: collections.abc.Iterable[load.EndpointLoad],
    entries: int,
    rounding: float,
    now: float,
) -> int:
    """Return how many requests this entry may have in flight at endpoints of a region."""
    total = sum(item.allowance(now, entries) for item in endpoints)
    # Sums of fractions that should be whole must not fall just below.
    return math.floor(total + rounding + 1e-9)


def order(room: dict[str, int], rng) -> list[str]:
    """Return the regions that have room, in random order weighted by it.

    Always taking the region with the most room would send all entries to the same one.
    """
    keyed = [(rng.random() ** (1.0 / count), name) for name, count in room.items() if count > 0]
    return [name for _, name in sorted(keyed, reverse=True)]

"""
oriolelock.routing.pickers.p2c
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The better of two random candidates (Mitzenmacher, 2001).

    Entries that see the same stale report don't all pick the same endpoint, as they would with
    the best of all.
"""

__all__ = ["make"]


def make():
    """Return the picker."""
    return pick


def pick(candidates, now, rng):
    """Return the one of two distinct random candidates with the lower score."""
    count = len(candidates)
    if count == 1:
        return candidates[0]
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    one, two = candidates[first], candidates[second]
    return one if one.score(now) <= two.score(now) else two

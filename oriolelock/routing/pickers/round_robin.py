"""
oriolelock.routing.pickers.round_robin
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One candidate after the other; a baseline for measurements.
"""

import itertools

__all__ = ["make"]


def make():
    """Return a picker with a counter of its own."""
    counter = itertools.count()

    def pick(candidates, now, rng):
        return candidates[next(counter) % len(candidates)]

    return pick

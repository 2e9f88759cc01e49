"""
oriolelock.routing.pickers.round_robin
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Picks the candidates in turn; a baseline for comparison.
"""

import itertools

__all__ = ["make"]


def make():
    """Return a picker with its own counter."""
    counter = itertools.count()

    def pick(candidates, now, rng):
        return candidates[next(counter) % len(candidates)]

    return pick

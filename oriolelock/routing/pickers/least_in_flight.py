"""
oriolelock.routing.pickers.least_in_flight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Picks the candidate with the fewest requests of this entry; a baseline for comparison.
"""

__all__ = ["make"]


def make():
    """Return the picker."""
    return pick


def pick(candidates, now, rng):
    """Return a random one of the candidates with the fewest requests in flight."""
    fewest = min(candidate.in_flight for candidate in candidates)
    return rng.choice([candidate for candidate in candidates if candidate.in_flight == fewest])

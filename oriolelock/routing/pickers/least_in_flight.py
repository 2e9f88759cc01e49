"""
oriolelock.routing.pickers.least_in_flight
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The candidate with the fewest of this entry's requests; a baseline for measurements.
"""

__all__ = ["make"]


def make():
    """Return the picker."""
    return pick


def pick(candidates, now, rng):
    """Return a random one of the candidates with the fewest requests in flight."""
    fewest = min(item.in_flight for item in candidates)
    return rng.choice([item for item in candidates if item.in_flight == fewest])

"""
oriolelock.bench.policy.samples
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sample deployments with a region of few endpoints: a small one, a large one, and the large
    one with less room.
"""

import functools

from oriolelock.bench.policy import scene as scenes

__all__ = ["SCENES"]


# Name, share, density, priority, work, objective, timeout (seconds), objects, slots, objects kept,
# worth in time and late, whether it may run more than once.
LARGE = (
    ("read", 0.51, 1.0, 1, 1.05, 0.6, 1.2, 255, 6, 26, 0.8, 0.16, True),
    ("write", 0.2, 0.5, 1, 1.4, 0.8, 1.2, 99, 6, 20, 1.6, 0.3, False),
    ("ask", 0.17, 0.22, 0, 0.72, 0.4, 3.0, 90, 6, 38, 4.5, 0.4, False),
    ("scan", 0.12, 0.76, 2, 4.2, 4.0, 4.0, 75, 6, 8, 0.4, 0.12, True),
)
LARGE_SAVED = 0.75
# Hundreds of entries: cold work takes as long as the routes' timeouts.
HUNDREDS = (
    ("read", 0.523, 1.0, 1, 1.968, 1.0, 2.0, 432, 6, 15, 0.79, 0.16, True),
    ("write", 0.205, 0.51, 1, 2.544, 1.5, 2.5, 168, 6, 11, 1.6, 0.32, False),
    ("ask", 0.171, 0.22, 0, 1.344, 0.8, 1.2, 141, 6, 21, 4.5, 0.36, False),
    ("scan", 0.101, 0.77, 2, 7.68, 8.0, 8.0, 90, 6, 8, 0.4, 0.12, True),
)
SMALL = (
    ("read", 0.52, 1.0, 1, 0.88, 0.6, 1.2, 24, 6, 25, 0.8, 0.16, True),
    ("write", 0.2, 1.0, 1, 1.16, 0.8, 1.2, 24, 3, 25, 1.6, 0.3, False),
    ("ask", 0.17, 1.0, 0, 0.6, 0.4, 3.0, 24, 3, 25, 4.5, 0.4, False),
    ("scan", 0.11, 1.0, 2, 3.5, 4.0, 4.0, 24, 5, 25, 0.4, 0.12, True),
)
SMALL_SAVED = 0.7


def _works(rows, saved) -> tuple[scenes.Work, ...]:
    """Return the kinds of request in ``rows``; ``saved``: by the object at hand."""
    return tuple(scenes.Work(*row[:7], saved, *row[7:]) for row in rows)


def _make(places, works, load) -> scenes.Scene:
    burst = scenes.Burst("scan", 2.3, 4.0, 10.0)
    return scenes.Scene(
        tuple(scenes.Place(n, r, e, k, rate * load) for n, r, e, k, rate in places),
        works,
        bursts=(burst,),
    )


def _large(a: int, b: int, c: int, load: float) -> scenes.Scene:
    """Return a large deployment with so many endpoints in the domains of each region."""
    places = (
        ("a1", "a", 11, a, 145.0),
        ("a2", "a", 11, a, 145.0),
        ("b1", "b", 10, b, 145.0),
        ("b2", "b", 10, b, 145.0),
        ("c1", "c", 11, c, 145.0),
        ("c2", "c", 11, c, 145.0),
    )
    return _make(places, _works(LARGE, LARGE_SAVED), load)


def _small(load: float) -> scenes.Scene:
    places = (
        ("a1", "a", 2, 3, 36.0),
        ("a2", "a", 2, 3, 36.0),
        ("b1", "b", 2, 1, 36.0),
        ("b2", "b", 1, 1, 36.0),
        ("c1", "c", 2, 2, 36.0),
        ("c2", "c", 1, 2, 36.0),
    )
    return _make(places, _works(SMALL, SMALL_SAVED), load)


def _hundreds(load: float) -> scenes.Scene:
    """Return three regions of which one has a tenth of the endpoints and a third of the callers."""
    places = tuple(
        scenes.Place(f"{region}{number}", region, entries, endpoints, 78.0 * load, phase)
        for number in range(3)
        for region, entries, endpoints, phase in (
            ("a", 20, 59, 0.2),
            ("b", 20, 12, 0.53),
            ("c", 22, 49, 0.87),
        )
    )
    works = _works(HUNDREDS, LARGE_SAVED)
    return scenes.Scene(places, works, wave=scenes.Wave(0.55), duration_s=30.0)


SCENES = {
    "small": _small,
    "uneven": functools.partial(_large, 13, 2, 10),
    "hundreds": _hundreds,
    "tight": functools.partial(_large, 10, 2, 8),
}

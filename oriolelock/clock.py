"""
oriolelock.clock
~~~~~~~~~~~~~~~~

    The clocks of the daemons. Functions that decide take ``now`` as an argument instead.
"""

import time

__all__ = ["monotonic_s", "wall_s"]


def monotonic_s() -> float:
    """Return seconds on a clock that never goes back; only differences have a meaning.

    It counts the time during which the machine was suspended, unlike ``time.monotonic``: leases,
    deadlines and ages run out meanwhile for everybody else.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()

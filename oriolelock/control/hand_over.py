"""
oriolelock.control.hand_over
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Hands leadership of groups to other replicas at a planned stop.
"""

import collections.abc
import time

from oriolelock import logs

__all__ = ["hand_over"]

# Bounds the wait for another leader at a planned stop.
TIMEOUT_S = 2.0
CHECK_S = 0.05

log = logs.get_logger("control.replica")


def hand_over(
    hosts: collections.abc.Iterable, wait: collections.abc.Callable[[float], None] = time.sleep
) -> bool:
    """Have each host that leads hand leadership over; False when one still leads after 2 s.

    ``wait(seconds)`` pauses. A group is asked again and again: no follower may be fit at first,
    and the one that was chosen may fail to be elected.
    """
    leading = [item for item in hosts if item.status().is_leader]
    for _ in range(round(TIMEOUT_S / CHECK_S)):
        left = [item for item in leading if item.status().is_leader]
        if not left:
            log.info("Leadership of {} groups is handed over.", len(leading))
            return True
        for item in left:
            item.transfer()
        wait(CHECK_S)
    log.warning("No other replica took over in time.")
    return False

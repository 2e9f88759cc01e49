"""
oriolelock.control.hand_over
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Transfers leadership of groups to other replicas before a planned stop.
"""

import collections.abc
import time

from oriolelock import logs

__all__ = ["hand_over"]

TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.05

log = logs.get_logger("control.replica")


def hand_over(
    hosts: collections.abc.Iterable, wait: collections.abc.Callable[[float], None] = time.sleep
) -> bool:
    """Transfer leadership of all groups that this replica leads; False if one is left after 2 s.

    ``wait(seconds)`` pauses. The transfer is requested repeatedly, because at first no follower
    may be up to date, and the chosen one may lose the election.
    """
    leading = [host for host in hosts if host.status().is_leader]
    for _ in range(round(TIMEOUT_S / CHECK_INTERVAL_S)):
        remaining = [host for host in leading if host.status().is_leader]
        if not remaining:
            log.info("Leadership of {} groups was handed over.", len(leading))
            return True
        for host in remaining:
            host.transfer()
        wait(CHECK_INTERVAL_S)
    log.warning("No other replica took over leadership within the time limit.")
    return False

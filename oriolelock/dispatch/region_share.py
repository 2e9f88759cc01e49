"""
oriolelock.dispatch.region_share
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds the part of an entry's requests that run in other regions.

    The part can never change by more than its bound from one moment to the next, which keeps
    the fleet's shifts between regions under their cap without a common plan.
"""

import collections

__all__ = ["RegionShare"]

WINDOW_S = 2.0
# Below this number of requests a single one would exceed the part.
FREE_REQUESTS = 1


class RegionShare:
    """``most``: the largest part of the requests of a window that may leave the region."""

    def __init__(self, most: float):
        self._most = most
        self._sent: collections.deque[tuple[float, bool]] = collections.deque()
        self._away = 0

    def _trim(self, now):
        while self._sent and now - self._sent[0][0] > WINDOW_S:
            self._away -= self._sent.popleft()[1]

    def may_leave(self, now: float) -> bool:
        """Return whether one more request may run in another region."""
        self._trim(now)
        return self._away < max(FREE_REQUESTS, self._most * (len(self._sent) + 1))

    def sent(self, away: bool, now: float) -> None:
        """Note where a request was sent."""
        self._trim(now)
        self._sent.append((now, away))
        self._away += away

"""
oriolelock.dispatch.retry_window
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds how often requests of one service are sent once more, over all entries.

    Each entry keeps to its share of a budget for the fleet: a part of its own requests and an
    equal part of a fixed allowance, within a sliding window.
"""

import collections

__all__ = ["RetryWindow"]

# A restarted entry has forgotten what it spent; this keeps its share within the fleet's budget
# when it starts afresh once within a window.
SHARE = 0.5


class RetryWindow:
    """One service on one entry. ``ratio``: retries per request; ``allowance``: of the fleet."""

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def _trim(self, now):
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()

    def request(self, now: float) -> None:
        """Count a request's first sending."""
        self._requests.append(now)
        if len(self._requests) > 64 and now - self._requests[0] > self._window_s:
            self._trim(now)

    def left(self, entries: int, now: float) -> float:
        """Return how many more retries are allowed at this moment."""
        self._trim(now)
        budget = SHARE * (self._ratio * len(self._requests) + self._allowance / max(1, entries))
        return budget - len(self._retries)

    def take(self, entries: int, now: float) -> bool:
        """Count a retry and return True, or return False when the budget is used up."""
        if self.left(entries, now) < 1.0:
            return False
        self._retries.append(now)
        return True

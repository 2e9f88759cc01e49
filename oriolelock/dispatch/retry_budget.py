"""
oriolelock.dispatch.retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Limits the retries of one service's requests over the whole fleet.

    Within a sliding window, each entry may spend its share of the fleet's budget: a ratio of its
    own requests plus an equal share of a fixed allowance.
"""

import collections

__all__ = ["RetryBudget"]

# A restarted entry has lost its count of retries. What it may spend in its first window and what it
# may have spent before it ended make one share together.
FIRST_WINDOW_FACTOR = 0.4
LATER_FACTOR = 0.6


class RetryBudget:
    """Retry budget of one service on one entry.

    ``ratio``: retries per request; ``allowance``: retries of the whole fleet per window;
    ``started_s``: when the entry started.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        started_s: float = float("-inf"),
    ):
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_s = started_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def _trim(self, now):
        for timestamps in (self._requests, self._retries):
            while timestamps and now - timestamps[0] > self._window_s:
                timestamps.popleft()

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now)
        if len(self._requests) > 64 and now - self._requests[0] > self._window_s:
            self._trim(now)

    def withdraw_request(self) -> None:
        """Uncount the latest request: another entry sends it and counts it there."""
        if self._requests:
            self._requests.pop()

    def remaining(self, entries: int, now: float) -> float:
        """Return how many more retries are allowed now; ``entries``: number of entries."""
        self._trim(now)
        is_first = now - self._started_s < self._window_s
        budget = (FIRST_WINDOW_FACTOR if is_first else LATER_FACTOR) * (
            self._ratio * len(self._requests) + self._allowance / max(1, entries)
        )
        return budget - len(self._retries)

    def try_spend(self, entries: int, now: float) -> bool:
        """Count a retry and return True, or return False if the budget is exhausted."""
        if self.remaining(entries, now) < 1.0:
            return False
        self._retries.append(now)
        return True

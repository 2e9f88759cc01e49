"""
oriolelock.dispatch.cold_quota
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds what a cold endpoint gets from all entries together, without asking them.

    For each endpoint the same few entries may send, each at most one request an interval.
"""

import collections.abc

from oriolelock.dispatch import ranking

__all__ = ["INTERVAL_S", "ColdQuota", "senders"]

# A little more than the second that the rate counts in, for requests that overtake each other.
INTERVAL_S = 1.1


def senders(endpoint: str, rate: float, near: collections.abc.Collection[str], own: str) -> bool:
    """Return whether entry ``own`` may send to a cold endpoint that tolerates ``rate`` a second.

    ``near``: the entries that would use it. When they are more than the rate, the first ones
    in the endpoint's order may.
    """
    most = max(1, int(rate))
    if len(near) <= most:
        return True
    return own in ranking.order(endpoint, near)[:most]


class ColdQuota:
    """The requests of this entry to cold endpoints."""

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def may_send(self, endpoint: str, now: float) -> bool:
        """Return whether this entry's interval for the endpoint has passed."""
        return now - self._last_s.get(endpoint, float("-inf")) >= INTERVAL_S

    def sent(self, endpoint: str, now: float) -> None:
        """Note a request to a cold endpoint."""
        self._last_s[endpoint] = now

    def retain(self, endpoints: collections.abc.Container[str]) -> None:
        """Forget endpoints that are gone."""
        self._last_s = {k: v for k, v in self._last_s.items() if k in endpoints}

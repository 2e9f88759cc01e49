"""
oriolelock.dispatch.cold_quota
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Limits the request rate of all entries to a cold endpoint without coordination.

    Rendezvous hashing selects a few entries per endpoint; each sends at most one request per
    interval.
"""

import collections.abc

from oriolelock.dispatch import ranking

__all__ = ["INTERVAL_S", "ColdQuota", "is_permitted_sender"]

# Slightly more than the second over which the rate is measured, because of varying delays.
INTERVAL_S = 1.1


def is_permitted_sender(
    endpoint: str, rate: float, candidates: collections.abc.Collection[str], own: str
) -> bool:
    """Return whether entry ``own`` may send to a cold endpoint; ``rate``: requests per second.

    ``candidates``: the entries that could send. If there are more than ``rate``, only those
    with the highest rendezvous weight for the endpoint may.
    """
    max_senders = max(1, int(rate))
    if len(candidates) <= max_senders:
        return True
    return own in ranking.order(endpoint, candidates)[:max_senders]


class ColdQuota:
    """Rate limit of one entry's requests to each cold endpoint."""

    def __init__(self) -> None:
        self._last_s: dict[str, float] = {}

    def may_send(self, endpoint: str, now: float) -> bool:
        """Return whether the interval since the last request to the endpoint has passed."""
        return now - self._last_s.get(endpoint, float("-inf")) >= INTERVAL_S

    def record_sent(self, endpoint: str, now: float) -> None:
        """Record a request to a cold endpoint."""
        self._last_s[endpoint] = now

    def retain(self, endpoints: collections.abc.Container[str]) -> None:
        """Drop the state of endpoints that are not in ``endpoints``."""
        self._last_s = {k: v for k, v in self._last_s.items() if k in endpoints}

"""
oriolelock.routing.bandwidth
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Token bucket, in bytes, for this entry's share of the link to another region.
"""

__all__ = ["TokenBucket", "rate_bytes_s"]

BURST_S = 0.25
BITS_PER_BYTE = 8


def rate_bytes_s(link_mbits: float, link_share: float, entries: int) -> float:
    """Return the rate, in bytes per second, of each of the ``entries`` entries of a region.

    The link is divided by the number of configured entries rather than reachable ones, so that
    a network partition does not overload it.
    """
    return link_mbits * 1e6 / BITS_PER_BYTE * link_share / max(1, entries)


class TokenBucket:
    """Byte budget shared by both directions, which keeps each direction below the limit."""

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._tokens = rate * BURST_S
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate, in bytes per second."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, rate * BURST_S)

    def can_send(self, size: int, now: float) -> bool:
        """Return whether ``size`` bytes may be sent; more than a burst requires a full bucket."""
        self._refill(now)
        return self._tokens >= min(size, self._rate * BURST_S) and self._tokens > 0

    def consume(self, size: int, now: float) -> None:
        """Remove ``size`` tokens, below zero if needed; a negative size refunds them."""
        self._refill(now)
        self._tokens = min(self._rate * BURST_S, self._tokens - size)

    def _refill(self, now):
        elapsed_s = max(0.0, now - self._refilled_at)
        self._tokens = min(self._rate * BURST_S, self._tokens + elapsed_s * self._rate)
        self._refilled_at = max(self._refilled_at, now)

    def tokens(self) -> float:
        """Return the remaining bytes, for the state dump."""
        return self._tokens

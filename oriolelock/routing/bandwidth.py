"""
oriolelock.routing.bandwidth
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    This entry's part of the link to another region, as a token bucket in bytes.
"""

__all__ = ["Bucket", "rate_bytes_s"]

BURST_S = 0.25
BITS_PER_BYTE = 8


def rate_bytes_s(link_mbits: float, link_share: float, entries: int) -> float:
    """Return the rate of one of ``entries`` configured entries of a region.

    Divided by the configured and not the visible ones, so that a partition does not overload
    the link.
    """
    return link_mbits * 1e6 / BITS_PER_BYTE * link_share / max(1, entries)


class Bucket:
    """Both directions count together, which stays below the limit of each."""

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._tokens = rate * BURST_S
        self._at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Use another rate in bytes per second."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, rate * BURST_S)

    def has(self, size: int, now: float) -> bool:
        """Whether ``size`` bytes may be sent; one larger than the burst needs a full bucket."""
        self._refill(now)
        return self._tokens >= min(size, self._rate * BURST_S) and self._tokens > 0

    def spend(self, size: int, now: float) -> None:
        """Take bytes, below zero if needed; a negative size gives bytes back."""
        self._refill(now)
        self._tokens = min(self._rate * BURST_S, self._tokens - size)

    def _refill(self, now):
        elapsed_s = max(0.0, now - self._at)
        self._tokens = min(self._rate * BURST_S, self._tokens + elapsed_s * self._rate)
        self._at = max(self._at, now)

    def tokens(self) -> float:
        """Return the bytes left, for a state dump."""
        return self._tokens

"""
oriolelock.dispatch.contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    This entry's open connections to an endpoint. While one of them is alive, the endpoint has not
    ended.
"""

__all__ = ["Contact"]

# A connection that was not used for this long may have gone silent.
FRESH_S = 1.5


class Contact:
    """Not thread-safe; times are monotonic seconds."""

    def __init__(self) -> None:
        self.open_count = 0
        self._since_s = float("-inf")
        self._heard_s = float("-inf")
        self._was_warm = False

    def opened(self, is_warm: bool, now: float) -> None:
        """Record a new connection; ``is_warm``: whether the endpoint is known to be warm."""
        if not self.open_count:
            self._since_s, self._was_warm = now, is_warm
        self.open_count += 1
        self._heard_s = now

    def closed(self) -> None:
        """Record the end of a connection."""
        self.open_count -= 1

    def heard(self, now: float) -> None:
        """Record a response."""
        self._heard_s = now

    def is_fresh(self, now: float, max_age_s: float = FRESH_S) -> bool:
        """Return whether the endpoint was alive a short while ago."""
        return self.open_count > 0 and now - self._heard_s <= max_age_s

    def shows_warm(self, cold_s: float, now: float) -> bool:
        """Return whether the connections show that the endpoint is warm.

        ``cold_s``: how long endpoints are cold after their start.
        """
        return self.is_fresh(now) and (self._was_warm or now - self._since_s >= cold_s)

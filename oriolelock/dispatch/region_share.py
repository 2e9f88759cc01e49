"""
oriolelock.dispatch.region_share
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The part of an entry's requests that run in other regions, which changes only slowly.

    The part follows what would be best, at a bounded speed in both directions. That keeps the
    fleet's shifts between regions under their cap without a common plan.
"""

__all__ = ["RegionShare"]

# Over this time the wishes of single requests are averaged.
WISH_TIME_S = 1.5
# Requests that the actual part may run ahead or behind.
MAX_CREDIT = 1.5


class RegionShare:
    """``speed``: the most that the part changes in a second."""

    def __init__(self, speed: float):
        self._speed = speed
        self._wish = 0.0
        self._at_s: float | None = None
        self.part = 0.0
        self._credit = 0.0

    def wish(self, away: bool, now: float) -> None:
        """Note where the next request would best run."""
        if self._at_s is None:
            self._at_s = now
        elapsed_s = min(WISH_TIME_S, max(0.0, now - self._at_s))
        self._at_s = now
        # Dense requests count less each, so that the average covers the same time.
        self._wish += (away - self._wish) * max(elapsed_s / WISH_TIME_S, 0.02)
        step = self._speed * elapsed_s
        self.part += min(step, max(-step, self._wish - self.part))

    def is_away_due(self) -> bool:
        """Return whether the next request should run in another region."""
        return self._credit + self.part >= 1.0

    def sent(self, away: bool) -> None:
        """Note where a request was sent."""
        self._credit += self.part - away
        self._credit = min(MAX_CREDIT, max(-MAX_CREDIT, self._credit))

"""
oriolelock.admission.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Strict priority with a guaranteed share for each priority: deficit counters based on
    deficit round robin (Shreedhar and Varghese, 1996), in units of requests.
"""

import collections.abc

from oriolelock.model import priority

__all__ = ["DEFAULT_SHARES", "Deficits", "by_priority"]

DEFAULT_SHARES = (0.5, 0.35, 0.15)
# Bounds of the debt and credit that a priority can accumulate while it is the only one waiting.
MIN_DEFICIT = -1.0
MAX_DEFICIT = 2.0


def by_priority(shares: collections.abc.Mapping[str, float]) -> tuple[float, ...]:
    """Return the shares in order of priority, with defaults for missing ones."""
    return tuple(
        shares.get(level.name.lower(), DEFAULT_SHARES[level]) for level in priority.Priority
    )


class Deficits:
    """Deficit counter of each priority, in requests."""

    def __init__(self, shares: tuple[float, ...] = DEFAULT_SHARES):
        self.shares = shares
        self.counters = [0.0] * len(shares)

    def choose(self, waiting: collections.abc.Sequence[bool]) -> int | None:
        """Return the priority to serve next among the waiting ones, or None."""
        best = None
        for level, is_waiting in enumerate(waiting):
            if not is_waiting:
                continue
            has_credit = best is not None and self.counters[level] >= 1.0
            if best is None or (has_credit and self.counters[level] > self.counters[best]):
                best = level
        return best

    def charge(self, chosen: int, waiting: collections.abc.Sequence[bool]) -> None:
        """Charge ``chosen`` for one request and credit every waiting priority with its share."""
        for level, is_waiting in enumerate(waiting):
            if is_waiting or level == chosen:
                self.counters[level] = min(MAX_DEFICIT, self.counters[level] + self.shares[level])
            elif self.counters[level] > 0.0:
                self.counters[level] = 0.0
        self.counters[chosen] = max(MIN_DEFICIT, self.counters[chosen] - 1.0)

    def refund(self, chosen: int) -> None:
        """Undo the charge for an item that was not sent."""
        self.counters[chosen] = min(MAX_DEFICIT, self.counters[chosen] + 1.0)

"""
oriolelock.admission.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Urgent first, with a guaranteed share for each priority: deficit counters after deficit
    round robin (Shreedhar and Varghese, 1996), in units of requests.
"""

import collections.abc

from oriolelock.model import priority

__all__ = ["DEFAULT_SHARES", "Deficits", "by_priority"]

DEFAULT_SHARES = (0.5, 0.35, 0.15)
# A priority that was alone for a while must neither owe nor own much once others return.
MIN_DEFICIT = -1.0
MAX_DEFICIT = 2.0


def by_priority(shares: collections.abc.Mapping[str, float]) -> tuple[float, ...]:
    """Return shares in the order of priorities; a missing one has its default."""
    return tuple(shares.get(item.name.lower(), DEFAULT_SHARES[item]) for item in priority.Priority)


class Deficits:
    """What each priority is owed while it waits."""

    def __init__(self, shares: tuple[float, ...] = DEFAULT_SHARES):
        self.shares = shares
        self.owed = [0.0] * len(shares)

    def choose(self, waiting: collections.abc.Sequence[bool]) -> int | None:
        """Return the priority to serve next among those that wait, or None."""
        best = None
        for index, waits in enumerate(waiting):
            if not waits:
                continue
            is_owed = best is not None and self.owed[index] >= 1.0
            if best is None or (is_owed and self.owed[index] > self.owed[best]):
                best = index
        return best

    def serve(self, chosen: int, waiting: collections.abc.Sequence[bool]) -> None:
        """Charge ``chosen`` and credit every priority that waits."""
        for index, waits in enumerate(waiting):
            if waits or index == chosen:
                self.owed[index] = min(MAX_DEFICIT, self.owed[index] + self.shares[index])
            elif self.owed[index] > 0.0:
                self.owed[index] = 0.0
        self.owed[chosen] = max(MIN_DEFICIT, self.owed[chosen] - 1.0)

    def refund(self, chosen: int) -> None:
        """Undo the charge for an item that was taken but not sent."""
        self.owed[chosen] = min(MAX_DEFICIT, self.owed[chosen] + 1.0)

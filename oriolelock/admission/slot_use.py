"""
oriolelock.admission.slot_use
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Counts slots in use by priority.
"""

from oriolelock.model import priority

__all__ = ["SlotUse"]

# Share of the slots that each priority and those below it must leave free, so that urgent work
# starts at once during a flood of slow deferrable work. Kept small, because these slots are idle
# if there is only such work.
RESERVED_SHARES = (0.0, 0.05, 0.10)


class SlotUse:
    """Number of requests holding a slot, for one service or the whole entry."""

    def __init__(self):
        self.total = 0
        self._counts = [0] * len(priority.Priority)

    def add(self, level: int) -> None:
        """Count a slot taken by a request of this priority."""
        self.total += 1
        self._counts[level] += 1

    def remove(self, level: int) -> None:
        """Count a released slot; ignored if this priority holds none."""
        if self._counts[level] > 0:
            self.total -= 1
            self._counts[level] -= 1

    def can_add(self, level: int, slots: int) -> bool:
        """Return whether a request of this priority may take one of ``slots``."""
        if self.total >= slots:
            return False
        return sum(self._counts[level:]) < slots - int(RESERVED_SHARES[level] * slots)

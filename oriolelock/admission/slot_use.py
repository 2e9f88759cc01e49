"""
oriolelock.admission.slot_use
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Slots in use by priority.
"""

from oriolelock.model import priority

__all__ = ["SlotUse"]

# Parts of the slots that a priority and those below it leave free, so that urgent work starts at
# once during a flood of slow deferrable work. Small, because they lie idle when only such work
# comes.
RESERVES = (0.0, 0.05, 0.10)


class SlotUse:
    """Counts of requests that hold a slot, of one service or of the whole entry."""

    def __init__(self):
        self.total = 0
        self._counts = [0] * len(priority.Priority)

    def add(self, level: int) -> None:
        """Note that a request of this priority holds a slot."""
        self.total += 1
        self._counts[level] += 1

    def remove(self, level: int) -> None:
        """Note that a slot was given back; ignored when none is held."""
        if self._counts[level] > 0:
            self.total -= 1
            self._counts[level] -= 1

    def may_add(self, level: int, slots: int) -> bool:
        """Whether a request of this priority may take one of ``slots``."""
        if self.total >= slots:
            return False
        return sum(self._counts[level:]) < slots - int(RESERVES[level] * slots)

"""
oriolelock.admission.service_queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Queues of one service: one per priority, with a common length limit.
"""

import collections

from oriolelock.admission import shares, slot_use, work_item
from oriolelock.model import priority

__all__ = ["ServiceQueues"]

DEPARTURE_INTERVAL_WEIGHT = 0.2
# Removing expired items scans all queues; without an interval every offer would do so in a flood.
EXPIRY_CHECK_INTERVAL_S = 0.05
PRIORITY_COUNT = len(priority.Priority)


class _Queue:
    """FIFO queue that tracks the smoothed interval between departures while items wait."""

    def __init__(self):
        self.items: collections.OrderedDict[str, work_item.WorkItem] = collections.OrderedDict()
        self.departure_interval_s = 0.0
        self.interval_started_s = 0.0

    def push(self, item, now):
        if not self.items:
            self.interval_started_s = now
        self.items[item.item_id] = item

    def pop(self, now):
        elapsed_s = max(0.0, now - self.interval_started_s)
        self.departure_interval_s += DEPARTURE_INTERVAL_WEIGHT * (
            elapsed_s - self.departure_interval_s
        )
        self.interval_started_s = now
        return self.items.popitem(last=False)[1]

    def expected_wait_s(self, now):
        # If no item has left for a while, the estimate from earlier departures is too low.
        stalled_s = max(0.0, now - self.interval_started_s) if self.items else 0.0
        return len(self.items) * max(self.departure_interval_s, stalled_s)


class ServiceQueues:
    """Each priority has reserved places; the rest are first come, first served."""

    def __init__(self, limit: int, in_flight_limit: int, priority_shares: tuple[float, ...]):
        self.queues = [_Queue() for _ in range(PRIORITY_COUNT)]
        self.slots_in_use = slot_use.SlotUse()
        self.expired_removed_at = float("-inf")
        self.deficits = shares.Deficits(priority_shares)
        self.configure(limit, in_flight_limit, priority_shares)

    def configure(
        self, limit: int, in_flight_limit: int, priority_shares: tuple[float, ...]
    ) -> None:
        """Apply new limits; items over the new limit stay queued."""
        self.limit = limit
        self.in_flight_limit = in_flight_limit
        self.deficits.shares = priority_shares
        self.reserved_places = [int(share * limit) for share in priority_shares]

    def __len__(self) -> int:
        return sum(len(queue.items) for queue in self.queues)

    def waiting(self) -> list[bool]:
        """Return which priorities have queued items."""
        return [bool(queue.items) for queue in self.queues]

    def expected_wait_s(self, level: int, now: float) -> float:
        """Estimate the wait, in seconds, of a new item of this priority."""
        return self.queues[level].expected_wait_s(now)

    def push(self, item: work_item.WorkItem, now: float) -> None:
        """Append an item to the queue of its priority."""
        self.queues[item.priority].push(item, now)

    def push_front(self, item: work_item.WorkItem, now: float) -> None:
        """Insert an item at the head of the queue of its priority."""
        self.queues[item.priority].push(item, now)
        self.queues[item.priority].items.move_to_end(item.item_id, last=False)

    def pop(self, level: int, now: float) -> work_item.WorkItem:
        """Remove and return the oldest item of a priority."""
        return self.queues[level].pop(now)

    def remove(self, item: work_item.WorkItem) -> bool:
        """Remove an item from its queue; returns False if it is not queued."""
        return self.queues[item.priority].items.pop(item.item_id, None) is not None

    def pop_expired(self, level: int, now: float) -> work_item.WorkItem | None:
        """Remove and return the oldest item if its deadline has passed."""
        items = self.queues[level].items
        if items and next(iter(items.values())).deadline_s <= now:
            return items.popitem(last=False)[1]
        return None

    def remove_expired(self, now: float) -> list[work_item.WorkItem]:
        """Remove and return the items past their deadline; runs at most every 50 ms."""
        if now - self.expired_removed_at < EXPIRY_CHECK_INTERVAL_S:
            return []
        self.expired_removed_at = now
        expired = [
            item for queue in self.queues for item in queue.items.values() if item.deadline_s <= now
        ]
        for item in expired:
            self.remove(item)
        return expired

    def displace(self, level: int) -> work_item.WorkItem | None:
        """Remove and return an item to make room for one of priority ``level``, or None.

        The victim is the newest item of the lowest priority that exceeds its reserved places.
        A higher priority loses an item only if ``level`` holds less than its reserved places.
        """
        is_below_reservation = len(self.queues[level].items) < self.reserved_places[level]
        for victim_level in reversed(range(PRIORITY_COUNT)):
            queue = self.queues[victim_level]
            if len(queue.items) <= self.reserved_places[victim_level]:
                continue
            if victim_level > level or (is_below_reservation and victim_level != level):
                return queue.items.popitem(last=True)[1]
        return None

"""
oriolelock.admission.service_queues
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The queues of one service: one per priority, bounded together.
"""

import collections

from oriolelock.admission import shares, slot_use, work_item
from oriolelock.model import priority

__all__ = ["ServiceQueues"]

WAIT_WEIGHT = 0.2
# A sweep visits the whole queue; in a flood each offer would start one.
SWEEP_INTERVAL_S = 0.05
PRIORITIES = len(priority.Priority)


class _Queue:
    """First in, first out, with the time between departures while items wait."""

    def __init__(self):
        self.items: collections.OrderedDict[str, work_item.WorkItem] = collections.OrderedDict()
        self.interval_s = 0.0
        self.mark_s = 0.0

    def push(self, item, now):
        if not self.items:
            self.mark_s = now
        self.items[item.item_id] = item

    def pop(self, now):
        elapsed_s = max(0.0, now - self.mark_s)
        self.interval_s += WAIT_WEIGHT * (elapsed_s - self.interval_s)
        self.mark_s = now
        return self.items.popitem(last=False)[1]

    def expected_wait_s(self, now):
        # When nothing leaves, the estimate from earlier departures is too low.
        waited_s = max(0.0, now - self.mark_s) if self.items else 0.0
        return len(self.items) * max(self.interval_s, waited_s)


class ServiceQueues:
    """Each priority owns its share of the places; the rest goes to whoever comes first."""

    def __init__(self, limit: int, in_flight_limit: int, parts: tuple[float, ...]):
        self.queues = [_Queue() for _ in range(PRIORITIES)]
        self.slots = slot_use.SlotUse()
        self.swept_at = float("-inf")
        self.deficits = shares.Deficits(parts)
        self.configure(limit, in_flight_limit, parts)

    def configure(self, limit: int, in_flight_limit: int, parts: tuple[float, ...]) -> None:
        """Use new limits; items over the new limit stay."""
        self.limit = limit
        self.in_flight_limit = in_flight_limit
        self.deficits.shares = parts
        self.places = [int(part * limit) for part in parts]

    def __len__(self) -> int:
        return sum(len(queue.items) for queue in self.queues)

    def waiting(self) -> list[bool]:
        """Return which priorities have items."""
        return [bool(queue.items) for queue in self.queues]

    def expected_wait_s(self, level: int, now: float) -> float:
        """Estimate how long a new item of this priority waits."""
        return self.queues[level].expected_wait_s(now)

    def push(self, item: work_item.WorkItem, now: float) -> None:
        """Append an item to the queue of its priority."""
        self.queues[item.priority].push(item, now)

    def push_front(self, item: work_item.WorkItem, now: float) -> None:
        """Return an item that was taken to the head of its queue."""
        self.queues[item.priority].push(item, now)
        self.queues[item.priority].items.move_to_end(item.item_id, last=False)

    def pop(self, level: int, now: float) -> work_item.WorkItem:
        """Remove the oldest item of a priority."""
        return self.queues[level].pop(now)

    def remove(self, item: work_item.WorkItem) -> bool:
        """Remove an item wherever it stands; False when it does not wait."""
        return self.queues[item.priority].items.pop(item.item_id, None) is not None

    def pop_expired(self, level: int, now: float) -> work_item.WorkItem | None:
        """Remove and return the oldest item if its deadline has passed."""
        items = self.queues[level].items
        if items and next(iter(items.values())).deadline_s <= now:
            return items.popitem(last=False)[1]
        return None

    def sweep(self, now: float) -> list[work_item.WorkItem]:
        """Remove and return the items whose deadline has passed, at most each 50 ms."""
        if now - self.swept_at < SWEEP_INTERVAL_S:
            return []
        self.swept_at = now
        expired = [
            item for queue in self.queues for item in queue.items.values() if item.deadline_s <= now
        ]
        for item in expired:
            self.remove(item)
        return expired

    def displace(self, level: int) -> work_item.WorkItem | None:
        """Make room for an item of priority ``level``: remove and return the newest item of
        the lowest priority that holds more than its places, or None.

        Higher priorities give way only to one that holds less than its own places.
        """
        entitled = len(self.queues[level].items) < self.places[level]
        for victim in reversed(range(PRIORITIES)):
            queue = self.queues[victim]
            if len(queue.items) <= self.places[victim]:
                continue
            if victim > level or (entitled and victim != level):
                return queue.items.popitem(last=True)[1]
        return None

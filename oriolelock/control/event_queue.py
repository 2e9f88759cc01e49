"""
oriolelock.control.event_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Events for the thread of a group, taken in batches.
"""

import queue

from oriolelock import clock

__all__ = ["EventQueue"]

# Bounds the work between two ticks; all entries of a batch share one sync.
MAX_BATCH = 256
MAX_QUEUED = 20_000


class EventQueue:
    """Filled from any thread, emptied by one."""

    def __init__(self) -> None:
        self._queue: queue.Queue = queue.Queue(MAX_QUEUED)

    def put(self, event: object) -> bool:
        """Add an event; returns False when the queue is full."""
        try:
            self._queue.put_nowait(event)
        except queue.Full:
            return False
        return True

    def take(self, until_s: float) -> list:
        """Return the next events, or none when there is none until ``until_s``."""
        wait_s = until_s - clock.monotonic_s()
        batch = []
        try:
            batch.append(self._queue.get(wait_s > 0, max(wait_s, 0.0)))
            while len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
        except queue.Empty:
            pass
        return batch

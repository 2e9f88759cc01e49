"""
oriolelock.control.event_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounded queue of events for the thread of a group, which takes them in batches.
"""

import queue

from oriolelock import clock

__all__ = ["EventQueue"]

# Bounds the work between two ticks. All log entries of a batch share one sync.
MAX_BATCH = 256
MAX_QUEUED = 20_000


class EventQueue:
    """Multiple producer threads, one consumer thread."""

    def __init__(self) -> None:
        self._queue: queue.Queue = queue.Queue(MAX_QUEUED)

    def put(self, event: object) -> bool:
        """Add an event; returns False when the queue is full."""
        try:
            self._queue.put_nowait(event)
        except queue.Full:
            return False
        return True

    def take(self, deadline_s: float) -> list:
        """Wait until ``deadline_s`` for an event and return up to ``MAX_BATCH`` of them."""
        timeout_s = deadline_s - clock.monotonic_s()
        batch = []
        try:
            batch.append(self._queue.get(timeout_s > 0, max(timeout_s, 0.0)))
            while len(batch) < MAX_BATCH:
                batch.append(self._queue.get_nowait())
        except queue.Empty:
            pass
        return batch

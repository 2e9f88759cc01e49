"""
oriolelock.control.event_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounded queue of events for the thread of a group, which takes them in batches.
"""

import collections
import threading

from oriolelock import clock
from oriolelock.consensus import events, messages

__all__ = ["EventQueue"]

# Bounds the work between two ticks. All log entries of a batch share one sync.
MAX_BATCH = 256
MAX_QUEUED = 20_000
# While the thread waits for a disk, peers send again what was not acknowledged.
MAX_QUEUED_BYTES = 16 * 1024 * 1024


class EventQueue:
    """Multiple producer threads, one consumer thread; bounded by number and by bytes.

    A single event may be larger: it is accepted while the queue is empty.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._events: collections.deque[tuple[object, int]] = collections.deque()
        self._bytes = 0

    def put(self, event: object) -> bool:
        """Add an event; returns False when the queue is full."""
        size = _size(event)
        with self._changed:
            is_over = self._bytes + size > MAX_QUEUED_BYTES
            if len(self._events) >= MAX_QUEUED or (size and is_over and self._events):
                return False
            self._events.append((event, size))
            self._bytes += size
            self._changed.notify()
        return True

    def take(self, deadline_s: float) -> list:
        """Wait until ``deadline_s`` for an event and return up to ``MAX_BATCH`` of them."""
        with self._changed:
            if not self._events:
                self._changed.wait(max(0.0, deadline_s - clock.monotonic_s()))
            count = min(MAX_BATCH, len(self._events))
            taken = [self._events.popleft() for _ in range(count)]
            self._bytes -= sum(size for _, size in taken)
        return [event for event, _ in taken]


def _size(event):
    """Return the bytes of what an event carries, without those of the event itself."""
    if isinstance(event, events.Propose):
        return len(event.data)
    msg = event.msg if isinstance(event, events.Received) else None
    if isinstance(msg, messages.Append):
        return sum(len(entry.data) for entry in msg.entries)
    return len(msg.data) if isinstance(msg, messages.InstallSnapshot) else 0

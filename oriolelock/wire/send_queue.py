"""
oriolelock.wire.send_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Encoded messages between the threads that produce them and the one that sends them.
"""

import collections
import threading

__all__ = ["SendQueue"]


class SendQueue:
    """Bounded by number and by bytes; thread-safe.

    A single message may be larger than ``max_bytes``: it is accepted while the queue is empty.
    """

    def __init__(self, max_messages: int, max_bytes: int):
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._changed = threading.Condition()
        self._messages: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._closed = False

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, data: bytes) -> bool:
        """Add a message; returns False if it was dropped because the queue is full or closed."""
        with self._changed:
            is_over = self._bytes + len(data) > self._max_bytes
            if self._closed or len(self._messages) >= self._max_messages:
                return False
            if is_over and self._messages:
                return False
            self._messages.append(data)
            self._bytes += len(data)
            self._changed.notify()
            return True

    def get(self) -> bytes | None:
        """Wait for a message and return it; returns None once the queue is closed."""
        with self._changed:
            while not self._messages and not self._closed:
                self._changed.wait()
            if self._closed:
                return None
            data = self._messages.popleft()
            self._bytes -= len(data)
            return data

    def clear(self) -> None:
        """Drop all messages."""
        with self._changed:
            self._messages.clear()
            self._bytes = 0

    def close(self) -> None:
        """Drop all messages and make ``get`` return None."""
        with self._changed:
            self._closed = True
            self._messages.clear()
            self._bytes = 0
            self._changed.notify_all()

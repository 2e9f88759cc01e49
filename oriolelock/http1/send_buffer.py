"""
oriolelock.http1.send_buffer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bytes that a socket has not accepted yet.
"""

import collections
import socket

__all__ = ["SendBuffer"]

# Smaller parts are joined, so that they leave in one packet. Larger ones are not copied.
MAX_JOINED_BYTES = 64 * 1024


class SendBuffer:
    """Not thread-safe."""

    def __init__(self) -> None:
        self._parts: collections.deque[memoryview] = collections.deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, *parts: bytes) -> None:
        """Add bytes to send, without a copy of large parts."""
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = (b"".join(parts),)
        for part in parts:
            if part:
                self._parts.append(memoryview(part))
                self._size += len(part)

    def send_to(self, sock: socket.socket) -> None:
        """Send as much as possible.

        Raises OSError, among them BlockingIOError if the socket accepts nothing now.
        """
        while self._parts:
            count = sock.send(self._parts[0])
            self._size -= count
            if count == len(self._parts[0]):
                self._parts.popleft()
            else:
                self._parts[0] = self._parts[0][count:]

"""
oriolelock.entry.http_socket
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A socket with one time limit for reading or writing a whole message.
"""

import select
import socket
import threading

from oriolelock import clock

__all__ = ["DeadlineSocket"]

# A caller counts as slow if a thread has waited longer than this for one message. A round trip to
# a caller takes 16 ms.
SLOW_READ_THRESHOLD_S = 0.2


class DeadlineSocket:
    """Wraps a socket, whose own timeout would restart with each byte of a slow caller.

    ``slow_reads`` bounds how many threads may wait for slow callers at once. A read beyond this
    bound fails as if its time limit had passed.
    """

    def __init__(self, sock: socket.socket, slow_reads: threading.Semaphore | None = None):
        self._sock = sock
        self._slow_reads = slow_reads
        self._fast_read_left_s = SLOW_READ_THRESHOLD_S
        self._deadline_s: float | None = None

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)

    def set_limit(self, limit_s: float) -> None:
        """Give all reads and writes until the next call a common limit of ``limit_s`` from now."""
        self._deadline_s = clock.monotonic_s() + limit_s
        self._fast_read_left_s = SLOW_READ_THRESHOLD_S

    def is_gone(self) -> bool:
        """Return whether the caller has closed the connection."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        try:
            if not poller.poll(0):
                return False
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def _apply_timeout(self):
        if self._deadline_s is None:
            return
        left_s = self._deadline_s - clock.monotonic_s()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(left_s)

    def recv_into(self, *args) -> int:
        """Like ``socket.recv_into``; raises TimeoutError at the time limit."""
        self._apply_timeout()
        if self._slow_reads is None or self._wait_readable():
            return self._sock.recv_into(*args)
        if not self._slow_reads.acquire(blocking=False):
            raise TimeoutError("timed out")
        try:
            return self._sock.recv_into(*args)
        finally:
            self._slow_reads.release()

    def _wait_readable(self):
        """Return whether data arrives before the caller counts as slow."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        start_s = clock.monotonic_s()
        events = poller.poll(max(0.0, self._fast_read_left_s) * 1000)
        self._fast_read_left_s -= clock.monotonic_s() - start_s
        return bool(events)

    def send(self, *args) -> int:
        """Like ``socket.send``; raises TimeoutError at the time limit."""
        self._apply_timeout()
        return self._sock.send(*args)

    def sendall(self, *args) -> None:
        """Like ``socket.sendall``; raises TimeoutError at the time limit."""
        self._apply_timeout()
        return self._sock.sendall(*args)

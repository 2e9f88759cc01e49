"""
oriolelock.entry.http_socket
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A caller's socket with a limit on the whole time of reading or writing one message.
"""

import select
import socket
import threading

from oriolelock import clock

__all__ = ["DeadlineSocket"]

# A caller that makes a thread wait longer than this for one message counts as slow. One round
# trip to a caller takes 16 ms.
READ_PATIENCE_S = 0.2


class DeadlineSocket:
    """Wraps a socket. A socket's own timeout restarts with each byte of a slow caller.

    ``slow_reads`` bounds how many threads wait for slow callers at once; a read that finds no
    place there fails as if its limit had passed.
    """

    def __init__(self, sock: socket.socket, slow_reads: threading.Semaphore | None = None):
        self._sock = sock
        self._slow_reads = slow_reads
        self._patience_s = READ_PATIENCE_S
        self._end_s: float | None = None

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)

    def set_limit(self, limit_s: float) -> None:
        """Allow ``limit_s`` from now for all reads and writes until the next call."""
        self._end_s = clock.monotonic_s() + limit_s
        self._patience_s = READ_PATIENCE_S

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

    def _arm(self):
        if self._end_s is None:
            return
        left_s = self._end_s - clock.monotonic_s()
        if left_s <= 0:
            raise TimeoutError("timed out")
        self._sock.settimeout(left_s)

    def recv_into(self, *args) -> int:
        """As of a socket; raises TimeoutError at the limit."""
        self._arm()
        if self._slow_reads is None or self._is_readable():
            return self._sock.recv_into(*args)
        if not self._slow_reads.acquire(blocking=False):
            raise TimeoutError("timed out")
        try:
            return self._sock.recv_into(*args)
        finally:
            self._slow_reads.release()

    def _is_readable(self):
        """Wait for the caller, at most as long as is left before it counts as slow."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        start_s = clock.monotonic_s()
        ready = poller.poll(max(0.0, self._patience_s) * 1000)
        self._patience_s -= clock.monotonic_s() - start_s
        return bool(ready)

    def send(self, *args) -> int:
        """As of a socket; raises TimeoutError at the limit."""
        self._arm()
        return self._sock.send(*args)

    def sendall(self, *args) -> None:
        """As of a socket; raises TimeoutError at the limit."""
        self._arm()
        return self._sock.sendall(*args)

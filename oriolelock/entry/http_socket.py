"""
oriolelock.entry.http_socket
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A caller's socket with a limit on the whole time of reading or writing one message.
"""

import select
import socket

from oriolelock import clock

__all__ = ["DeadlineSocket"]


class DeadlineSocket:
    """Wraps a socket. A socket's own timeout restarts with each byte of a slow caller."""

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._end_s: float | None = None

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)

    def set_limit(self, limit_s: float) -> None:
        """Allow ``limit_s`` from now for all reads and writes until the next call."""
        self._end_s = clock.monotonic_s() + limit_s

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
        return self._sock.recv_into(*args)

    def send(self, *args) -> int:
        """As of a socket; raises TimeoutError at the limit."""
        self._arm()
        return self._sock.send(*args)

    def sendall(self, *args) -> None:
        """As of a socket; raises TimeoutError at the limit."""
        self._arm()
        return self._sock.sendall(*args)

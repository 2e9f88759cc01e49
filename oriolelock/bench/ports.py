"""
oriolelock.bench.ports
~~~~~~~~~~~~~~~~~~~~~~

    Ports on the loopback interface that the kernel chooses and that stay reserved.
"""

import socket

__all__ = ["Ports"]


class Ports:
    """Hands out ports and keeps each bound, without listening, until ``close``.

    With SO_REUSEADDR on both sockets Linux lets a server listen on such a port, while the
    kernel gives it to nobody else. A process can so be restarted at its address.
    """

    def __init__(self):
        self._sockets: list[socket.socket] = []

    def take(self) -> str:
        """Return a new address as ``127.0.0.1:port``."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self._sockets.append(sock)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def close(self) -> None:
        """Give all ports back."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

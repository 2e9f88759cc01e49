"""Addresses that do not answer, like those of machines that are gone."""

import contextlib
import socket

__all__ = ["Unreachable"]


class Unreachable:
    """A port whose queue of connections is full, so that the kernel drops further ones."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = self._listener.getsockname()
        self._waiting = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self.address)
            self._waiting.append(sock)

    def close(self):
        for sock in (*self._waiting, self._listener):
            sock.close()

"""
oriolelock.entry.http_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends the head of a response together with the first part of its body.
"""

import socket

import cheroot.makefile

__all__ = ["HeadWriter", "make_file"]


class HeadWriter(cheroot.makefile.StreamWriter):
    """A stream to a caller. After ``hold`` one write waits for the next, or for ``release``."""

    def __init__(self, sock: socket.socket, mode: str, bufsize: int):
        super().__init__(sock, mode, bufsize)
        self._is_holding = False
        self._held = b""

    def hold(self) -> None:
        """Keep the next write back."""
        self._is_holding = True

    def release(self) -> None:
        """Send what is kept back."""
        self._is_holding = False
        if self._held:
            self.write(b"")

    def write(self, val: bytes, *args, **kwargs) -> int:
        """Send ``val`` after what is kept back, or keep it back."""
        if self._is_holding:
            self._is_holding = False
            self._held = val
            return len(val)
        held, self._held = self._held, b""
        return super().write(held + val, *args, **kwargs) - len(held)


def make_file(sock: socket.socket, mode: str, bufsize: int) -> object:
    """Return the stream of a connection for reading or writing."""
    kind = cheroot.makefile.StreamReader if "r" in mode else HeadWriter
    return kind(sock, mode, bufsize)

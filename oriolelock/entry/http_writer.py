"""
oriolelock.entry.http_writer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends the headers of a response together with the first part of its body.
"""

import socket

import cheroot.makefile

__all__ = ["HeadWriter", "make_file"]


class HeadWriter(cheroot.makefile.StreamWriter):
    """An output stream that can delay one write until the next one.

    After ``cork``, the next write is buffered until the one after it, or until ``uncork``.
    """

    def __init__(self, sock: socket.socket, mode: str, bufsize: int):
        super().__init__(sock, mode, bufsize)
        self._is_corked = False
        self._pending = b""

    def cork(self) -> None:
        """Buffer the next write."""
        self._is_corked = True

    def uncork(self) -> None:
        """Send the buffered write, if any."""
        self._is_corked = False
        if self._pending:
            self.write(b"")

    def write(self, val: bytes, *args, **kwargs) -> int:
        """Buffer ``val`` if corked, else send it after the buffered write."""
        if self._is_corked:
            self._is_corked = False
            self._pending = val
            return len(val)
        pending, self._pending = self._pending, b""
        return super().write(pending + val, *args, **kwargs) - len(pending)


def make_file(sock: socket.socket, mode: str, bufsize: int) -> object:
    """Return the input or output stream of a connection."""
    kind = cheroot.makefile.StreamReader if "r" in mode else HeadWriter
    return kind(sock, mode, bufsize)

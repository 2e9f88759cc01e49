"""
oriolelock.standin.pump
~~~~~~~~~~~~~~~~~~~~~~~

    Two connected sockets whose bytes are carried in both directions.
"""

import collections.abc
import queue
import socket
import threading

from oriolelock import clock

__all__ = ["Pair"]

CHUNK_BYTES = 65536
# Chunks on the way in one direction; a full queue holds the sender back, as TCP does.
MAX_CHUNKS = 256


class Pair:
    """``silent``: bytes are swallowed in both directions, for good.

    A connection that has lost bytes never carries any again: what follows would be a damaged
    stream, which no network delivers.
    """

    def __init__(
        self,
        near: socket.socket,
        far: socket.socket,
        delay_s: collections.abc.Callable[[], float],
        on_close: collections.abc.Callable[["Pair"], None],
    ):
        self._near, self._far = near, far
        self._delay_s = delay_s
        self._on_close = on_close
        self.silent = False

    def start(self) -> None:
        """Start the threads that carry the bytes."""
        for source, sink in ((self._near, self._far), (self._far, self._near)):
            sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            chunks: queue.Queue = queue.Queue(MAX_CHUNKS)
            threading.Thread(target=self._read, args=(source, chunks), daemon=True).start()
            threading.Thread(target=self._write, args=(sink, chunks), daemon=True).start()

    def _read(self, source, chunks):
        while True:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            chunks.put((clock.monotonic_s() + self._delay_s(), data))
            if not data:
                return

    def _write(self, sink, chunks):
        while True:
            due_s, data = chunks.get()
            wait_s = due_s - clock.monotonic_s()
            if wait_s > 0:
                threading.Event().wait(wait_s)
            if self.silent:
                if not data:
                    return
                continue
            if not data:
                self.close()
                return
            try:
                sink.sendall(data)
            except OSError:
                self.close()
                return

    def close(self) -> None:
        """Close both sockets."""
        for sock in (self._near, self._far):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._on_close(self)

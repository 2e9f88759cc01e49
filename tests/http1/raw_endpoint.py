"""An endpoint that answers with bytes that a test chooses, and counts what it gets."""

import contextlib
import socket
import threading

__all__ = ["RawEndpoint"]


class RawEndpoint:
    """``behave(conn, head, body)`` answers one request; each connection has a thread.

    ``requests`` holds head and body of each request that arrived whole.
    """

    def __init__(self, behave):
        self._behave = behave
        self.requests: list[tuple[bytes, bytes]] = []
        self.connections = 0
        self.closed = threading.Event()
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._sock.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError), conn:
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    more = conn.recv(65536)
                    if not more:
                        self.closed.set()
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                size = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        size = int(line.partition(b":")[2])
                while len(data) < size:
                    data += conn.recv(65536)
                body, data = data[:size], data[size:]
                self.requests.append((head, body))
                if self._behave(conn, head, body) is False:
                    return

    def close(self):
        # Closing alone would not wake the thread that accepts.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def header(head: bytes, name: bytes) -> bytes:
    """Return a header of a raw request."""
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""

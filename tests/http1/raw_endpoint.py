"""An endpoint whose raw responses a test scripts, and which records its requests."""

import contextlib
import socket
import threading

__all__ = ["RawEndpoint"]


class RawEndpoint:
    """``respond(conn, head, body)`` answers one request and returns False to close the connection.

    Each connection has a thread. ``requests``: head and body of each complete request.
    """

    def __init__(self, respond):
        self._respond = respond
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
            buffered = b""
            while True:
                while b"\r\n\r\n" not in buffered:
                    received = conn.recv(65536)
                    if not received:
                        self.closed.set()
                        return
                    buffered += received
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                content_length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        content_length = int(line.partition(b":")[2])
                while len(buffered) < content_length:
                    buffered += conn.recv(65536)
                body, buffered = buffered[:content_length], buffered[content_length:]
                self.requests.append((head, body))
                if self._respond(conn, head, body) is False:
                    return

    def close(self):
        # close() alone does not wake the thread that is blocked in accept().
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()


def header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header of a raw request, empty if absent."""
    for line in head.split(b"\r\n"):
        header_name, _, value = line.partition(b":")
        if header_name.lower() == name:
            return value.strip()
    return b""

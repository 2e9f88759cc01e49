"""A TCP forwarder that can hold back what it carries, as a cut network or a stopped peer does."""

import contextlib
import queue
import socket
import threading
import time

__all__ = ["HeldLink"]

CHUNK_BYTES = 65536


class HeldLink:
    """Forwards connections to ``target``; nothing is lost while it is held.

    ``delay_s`` is added to each chunk, in both directions.
    """

    def __init__(self, target):
        self._target = target
        self.delay_s = 0.0
        self._open = threading.Event()
        self._open.set()
        self._held = []
        self._closed = False
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def hold(self):
        self._open.clear()

    def release(self):
        self._open.set()

    def hold_open_connections(self):
        """Hold back what is open now, for good; new connections work."""
        held, self._open = self._open, threading.Event()
        held.clear()
        self._open.set()
        self._held.append(held)

    def close(self):
        for held in self._held:
            held.set()
        self._closed = True
        self.release()
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self):
        while not self._closed:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
            except OSError:
                continue
            self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                chunks, is_open = queue.Queue(), self._open
                threading.Thread(target=self._read, args=(source, chunks), daemon=True).start()
                threading.Thread(
                    target=self._write, args=(sink, chunks, is_open), daemon=True
                ).start()

    def _read(self, source, chunks):
        data = b"-"
        while data:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            chunks.put((time.monotonic() + self.delay_s, data))

    def _write(self, sink, chunks, is_open):
        while True:
            due_s, data = chunks.get()
            time.sleep(max(0.0, due_s - time.monotonic()))
            is_open.wait()
            try:
                if data:
                    sink.sendall(data)
                    continue
                sink.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            return

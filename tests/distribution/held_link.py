"""A TCP forwarder that can hold back what it carries, as a cut network or a stopped peer does."""

import contextlib
import queue
import socket
import struct
import threading
import time

__all__ = ["BOTH", "DOWN", "UP", "HeldLink"]

CHUNK_BYTES = 65536
UP, DOWN = "up", "down"
BOTH = (UP, DOWN)


class HeldLink:
    """Forwards connections to ``target``; nothing is lost while it is held.

    ``delay_s`` is added to each chunk, in both directions, and a round trip of it to the first, for
    the connection, which the kernel makes at once; ``up_delay_s`` is added to chunks to the target.
    ``UP`` is that direction.
    ``accepted`` counts connections.
    """

    def __init__(self, target):
        self._target = target
        self.delay_s = 0.0
        self.up_delay_s = 0.0
        self.accepted = 0
        self._open = self._make_gates()
        self._held = []
        self._closed = False
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _make_gates(self):
        gates = {UP: threading.Event(), DOWN: threading.Event()}
        for gate in gates.values():
            gate.set()
        return gates

    def hold(self, directions=BOTH):
        for direction in directions:
            self._open[direction].clear()

    def release(self):
        for gate in self._open.values():
            gate.set()

    def hold_open_connections(self):
        """Hold back what is open now, for good; new connections work."""
        held, self._open = self._open, self._make_gates()
        for gate in held.values():
            gate.clear()
            self._held.append(gate)

    def reset(self):
        """Reset what is open now; new connections work."""
        sockets, self._sockets = self._sockets, []
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RD)
            sock.close()

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
                self.accepted += 1
                far = socket.create_connection(self._target)
            except OSError:
                continue
            self._sockets += [near, far]
            for direction, source, sink in ((UP, near, far), (DOWN, far, near)):
                sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                chunks, is_open = queue.Queue(), self._open[direction]
                connected_s = time.monotonic() + 2 * self.delay_s + self.up_delay_s
                threading.Thread(
                    target=self._read, args=(source, chunks, connected_s, direction), daemon=True
                ).start()
                threading.Thread(
                    target=self._write, args=(sink, chunks, is_open), daemon=True
                ).start()

    def _read(self, source, chunks, connected_s, direction):
        data = b"-"
        while data:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = b""
            delay_s = self.delay_s + (self.up_delay_s if direction == UP else 0.0)
            chunks.put((max(time.monotonic(), connected_s) + delay_s, data))

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

"""An endpoint behind a faulty link: it delays, resets, falls silent or cuts answers short."""

import contextlib
import hashlib
import random
import socket
import struct
import threading
import time

import h11

from tests.soak import ledger

__all__ = ["Endpoint"]

SLOTS = 4
QUEUE = 8
RECV_BYTES = 65536
STEP_S = 0.02


class Endpoint:
    """Serves on its own address; ``mode`` is the present fault of its link, or empty."""

    def __init__(self, name: str, host: str, port: int, book: ledger.Ledger, seed: int):
        self.name, self.host, self.port = name, host, port
        self.mode = ""
        self.state = "ready"
        self._book = book
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._running = 0
        self._open: set[socket.socket] = set()
        self._sock: socket.socket | None = None
        self.start()

    def start(self) -> None:
        """Listen, unless it does already: crashes may overlap."""
        if self._sock is not None:
            return
        self._sock = socket.create_server((self.host, self.port), backlog=128)
        threading.Thread(target=self._accept, args=(self._sock,), daemon=True).start()

    def crash(self) -> None:
        """Stop to listen and reset all connections."""
        sock, self._sock = self._sock, None
        if sock:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        with self._lock:
            conns, self._open = list(self._open), set()
        for conn in conns:
            with contextlib.suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                conn.shutdown(socket.SHUT_RDWR)
                conn.close()

    def _accept(self, sock):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = sock.accept()
                with self._lock:
                    self._open.add(conn)
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        http = h11.Connection(h11.SERVER)
        try:
            while self._serve_one(conn, http):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            # The other end has left, or this one was reset.
            pass
        finally:
            with self._lock:
                self._open.discard(conn)
            conn.close()

    def _read(self, conn, http):
        head, body = None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(conn.recv(RECV_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head, body
            else:
                return None, b""

    def _serve_one(self, conn, http):
        head, body = self._read(conn, http)
        if head is None:
            return False
        while self.mode == "silence" and self._is_open(conn):
            time.sleep(STEP_S)
        headers = {bytes(k): bytes(v).decode() for k, v in head.headers}
        name = headers.get(b"x-request-id", "")
        if head.target == b"/health":
            status = 200 if self.state == "ready" else 503
            return self._reply(conn, http, name, status, b"", [("X-Instance-Id", self.name)])
        if headers.get(b"x-expected-instance", self.name) != self.name:
            return self._reply(conn, http, name, 421, b"", [("X-Not-Executed", "1")])
        with self._lock:
            full = self._running >= SLOTS + QUEUE
            self._running += not full
        if full:
            return self._reply(conn, http, name, 503, b"", [("X-Not-Executed", "1")])
        return self._run(conn, http, head, name, body)

    def _run(self, conn, http, head, name, body):
        try:
            digest = hashlib.sha256(bytes(head.method) + bytes(head.target) + body).hexdigest()
            made = f"{name} at {self.name}: {self._rng.random()}".encode() * 20
            run = ledger.Run(name, self.name, time.monotonic(), digest)
            self._book.add_run(run, made)
            time.sleep(self._rng.uniform(0.01, 0.06) + (0.3 if self.mode == "delay" else 0.0))
            while self.mode == "one-way" and self._is_open(conn):
                time.sleep(STEP_S)
        finally:
            with self._lock:
                self._running -= 1
        return self._reply(conn, http, name, 200, made, [("X-Server-Stamp", self.name)])

    def _is_open(self, conn):
        return conn.fileno() >= 0

    def _reply(self, conn, http, name, status, body, extra):
        load = f"{self._running},0,{SLOTS}"
        headers = [("X-Request-Id", name), ("X-Server-Load", load), *extra]
        headers.append(("Content-Length", str(len(body))))
        data = http.send(h11.Response(status_code=status, headers=headers))
        data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
        if self.mode == "truncate" and status == 200 and self._rng.random() < 0.5:
            conn.sendall(data[: len(data) - len(body) // 2])
            return False
        conn.sendall(data)
        return http.our_state is h11.DONE and http.their_state is h11.DONE

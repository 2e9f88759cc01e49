"""Guards against requests over kept connections that fail, or wait, because these have ended."""

import socket
import threading
import time

import pytest

from oriolelock.http1 import blocking

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers the numbers of requests in ``per_connection``, then closes or falls silent."""

    def __init__(self, *per_connection, falls_silent=False, response=RESPONSE):
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        self.connections = []
        self._plan = (per_connection, falls_silent, response)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        per_connection, falls_silent, response = self._plan
        for count in per_connection:
            conn, _ = self._sock.accept()
            self.connections.append(conn)
            for _ in range(count):
                conn.recv(65536)
                conn.sendall(response)
            if not falls_silent:
                conn.close()


def test_connection_is_kept():
    server = Server(3)
    client = blocking.Client(server.address)
    assert [client.get("/", 2.0).body for _ in range(3)] == [b"ok"] * 3
    assert len(server.connections) == 1


def test_connection_that_has_ended_is_replaced():
    server = Server(1, 2)
    client = blocking.Client(server.address)
    assert [client.get("/", 2.0).body for _ in range(3)] == [b"ok"] * 3
    assert len(server.connections) == 2


def test_connection_that_has_fallen_silent_is_replaced_in_time():
    client = blocking.Client(Server(1, 1, falls_silent=True).address)
    client.get("/", 2.0)
    started_s = time.monotonic()
    assert client.get("/", 2.0).body == b"ok"
    assert time.monotonic() - started_s < blocking.KEPT_TIMEOUT_S + 0.5


def test_surplus_bytes_belong_to_no_request():
    server = Server(1, 1, response=RESPONSE + RESPONSE)
    client = blocking.Client(server.address)
    client.get("/", 2.0)
    assert client.get("/", 2.0).body == b"ok"
    assert len(server.connections) == 2


def test_request_that_gets_no_response_fails():
    with pytest.raises(blocking.RequestFailed):
        blocking.Client(Server(0, 0).address).get("/", 0.5)

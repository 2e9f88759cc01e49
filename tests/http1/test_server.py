"""Callers' connections: pipelining, invalid requests, timeouts, and disconnects."""

import socket
import threading
import time

import pytest

from oriolelock.http1 import inbound, messages, server, server_rules
from oriolelock.model import request_limits

LIMITS = request_limits.RequestLimits(head_bytes=2048, body_bytes=1000, head_ms=400, idle_ms=600)


class ServerFixture:
    def __init__(self, running):
        self.requests = []
        self.gone = threading.Event()
        self.leaving = False
        self.replies = True
        rules = server_rules.ServerRules(
            self._handle, lambda: LIMITS, is_leaving=lambda: self.leaving
        )
        self.server = running.call(lambda: server.Server(running.loop, ("127.0.0.1", 0), rules))
        self.address = self.server._sock.getsockname()

    def _handle(self, exchange):
        self.requests.append(exchange.request)
        exchange.on_gone = self.gone.set
        if self.replies:
            exchange.reply(messages.Response(200, (), b"<" + exchange.request.target + b">"))

    def connect(self):
        sock = socket.create_connection(self.address, 5)
        sock.settimeout(5)
        return sock


def read_all(sock):
    data = b""
    while True:
        try:
            received = sock.recv(65536)
        except ConnectionResetError:
            return data
        if not received:
            return data
        data += received


@pytest.fixture
def fixture(running):
    return ServerFixture(running)


def test_pipelined_requests_are_answered_in_order(fixture):
    with fixture.connect() as sock:
        sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
        sock.sendall(b"POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
        sock.sendall(b"GET /4 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        data = read_all(sock)
    offsets = [data.index(b"</%d>" % n) for n in (1, 2, 3, 4)]
    assert offsets == sorted(offsets)
    assert [req.body for req in fixture.requests] == [b"", b"", b"abc", b""]


def test_chunked_body_is_reassembled(fixture):
    with fixture.connect() as sock:
        sock.sendall(
            b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        read_all(sock)
    assert fixture.requests[0].body == b"abcde"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost : h\r\n\r\n", 400),
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 4000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
            + b"a" * 2000,
            413,
        ),
    ],
)
def test_invalid_requests_are_refused_and_not_handled(fixture, data, status):
    with fixture.connect() as sock:
        sock.sendall(data)
        response = read_all(sock)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert response.count(b"HTTP/1.1") == 1
    assert not fixture.requests


def test_incomplete_head_is_answered_with_a_timeout(fixture):
    with fixture.connect() as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHo")
        assert read_all(sock).startswith(b"HTTP/1.1 408 ")


def test_idle_connection_is_closed_without_a_response(fixture, monkeypatch):
    monkeypatch.setattr(inbound, "DELIVERY_S", 0.0)
    with fixture.connect() as sock:
        sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        data = read_all(sock)
    assert data.count(b"HTTP/1.1") == 1


def test_disconnect_of_a_caller_is_reported(fixture):
    fixture.replies = False
    sock = fixture.connect()
    sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
    while not fixture.requests:
        pass
    sock.close()
    assert fixture.gone.wait(5)


def test_a_leaving_server_closes_connections_after_the_response(fixture):
    fixture.leaving = True
    with fixture.connect() as sock:
        sock.sendall(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
        data = read_all(sock)
    assert b"</1>" in data
    assert b"connection: close" in data.lower()


def test_a_caller_that_does_not_read_for_some_seconds_gets_its_answer(running):
    """Guards against an answer to an order that is broken off since its caller is busy."""
    body = bytes(range(256)) * 400
    rules = server_rules.ServerRules(
        lambda exchange: exchange.reply(messages.Response(200, (), body)), lambda: LIMITS
    )
    started = running.call(lambda: server.Server(running.loop, ("127.0.0.1", 0), rules))
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(started._sock.getsockname())
        sock.settimeout(5)
        sock.sendall(b"POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        time.sleep(7.0)
        assert read_all(sock).endswith(body)

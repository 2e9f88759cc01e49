"""Tests the HTTP server against slow, malformed and smuggled requests."""

import json
import socket
import threading
import time

import pytest

from oriolelock.entry import http_server
from oriolelock.once import messages as once
from tests import fake_endpoint, waiting

REQUIRED_HEADERS = (
    b"Oriolelock-Service: proofs\r\nOriolelock-Operation: view\r\nOriolelock-Deadline-Ms: 900\r\n"
)

# Follows an ambiguous request and must not be parsed as a request of its own.
INNER_REQUEST = (
    b"GET /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + REQUIRED_HEADERS + b"\r\n"
)


def exchange_raw(running, data, close_writing=False):
    with socket.create_connection(running.entry.address, timeout=20) as conn:
        conn.sendall(data)
        if close_writing:
            conn.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := conn.recv(65536):
            received += chunk
    return received


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n",
        b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n"
        + REQUIRED_HEADERS
        + b"\r\n"
        + INNER_REQUEST,
        b"POST /p HTTP/1.0\r\nConnection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n"
        + REQUIRED_HEADERS
        + b"\r\n"
        + INNER_REQUEST,
        b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        + REQUIRED_HEADERS
        + b"\r\nzz\r\n",
        b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n"
        + REQUIRED_HEADERS
        + b"\r\n3\r\nabc\r\n0\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + REQUIRED_HEADERS + b"\r\n",
        b"GET /\x01 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + REQUIRED_HEADERS + b"\r\n",
    ],
)
def test_malformed_request_is_refused_and_the_server_keeps_serving(start, data):
    running = start().wait_ready()
    head, _, body = exchange_raw(running, data, close_writing=True).partition(b"\r\n\r\n")
    assert b"Oriolelock-Outcome: not-run" in head
    assert b"Oriolelock-Reason: bad-request" in head
    assert b"Oriolelock-Request-Id: " in head
    assert json.loads(body)["reason"] == "bad-request"
    assert running.entry.counters.dump()["request.bad"] == 1
    assert running.endpoint.requests == []
    assert running.send_request().status == 200


def test_truncated_body_is_not_forwarded(start):
    running = start().wait_ready()
    data = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + REQUIRED_HEADERS + b"\r\nabc"
    assert b"Oriolelock-Reason: bad-request" in exchange_raw(running, data, close_writing=True)
    assert running.endpoint.requests == []


def test_idle_connections_occupy_no_thread(start, monkeypatch):
    monkeypatch.setattr(http_server, "READ_LIMIT_S", 60.0)
    running = start(threads=2).wait_ready()
    idle_conns = [socket.create_connection(running.entry.address) for _ in range(10)]
    assert running.send_request().status == 200
    for conn in idle_conns:
        conn.close()


def test_slow_callers_do_not_occupy_all_threads(start, monkeypatch):
    """The whole request has one time limit, as each byte would restart a timeout per read."""
    monkeypatch.setattr(http_server, "READ_LIMIT_S", 0.3)
    running = start(threads=2).wait_ready()
    stop = threading.Event()

    def send_slowly(conn):
        try:
            while not stop.is_set():
                conn.sendall(b"G")
                stop.wait(0.02)
        except OSError:
            return

    slow_conns = [socket.create_connection(running.entry.address) for _ in range(4)]
    senders = [threading.Thread(target=send_slowly, args=(conn,)) for conn in slow_conns]
    for sender in senders:
        sender.start()
    waiting.until(lambda: running.entry._server.requests.idle == 0)
    try:
        assert running.send_request().status == 200
    finally:
        stop.set()
    for sender, conn in zip(senders, slow_conns, strict=True):
        sender.join()
        conn.close()


def test_caller_that_does_not_read_is_disconnected(start, monkeypatch):
    monkeypatch.setattr(http_server, "WRITE_LIMIT_S", 0.3)
    running = start(threads=1).wait_ready()
    running.endpoint.behave = lambda seen, conn: _large_answer(seen)
    with socket.create_connection(running.entry.address) as conn:
        conn.sendall(b"GET /p HTTP/1.1\r\nHost: a\r\n" + REQUIRED_HEADERS + b"\r\n")
        running.endpoint.wait_for(lambda seen: len(seen) == 1)
        assert running.send_request(path="/oriolelock/ready").status == 200


def _large_answer(seen):
    return fake_endpoint.answer(seen, body=b"x" * 16_000_000)


def test_keep_alive_connection_is_closed_when_leaving(start):
    running = start().wait_ready()
    conn = running.connect()
    for _ in range(3):
        response = running.send_request(conn=conn)
        assert (response.status, response.getheader("Connection")) == (200, None)
    running.entry.leave()
    response = running.send_request(conn=conn)
    assert (response.status, response.getheader("Connection")) == (200, "close")


def test_non_idempotent_request_is_claimed_and_its_answer_stored(start):
    running = start().wait_ready()
    key = f"{int(time.time())}-k1"
    headers = {"Oriolelock-Operation": "confirm", "Idempotency-Key": key}
    assert running.send_request("POST", body=b"seat", headers=headers).status == 200
    waiting.until(lambda: len(running.parent.calls) == 2)
    claim, completion = (c.payload for c in running.parent.calls)
    assert (claim.key, completion.key, claim.entry) == (key, key, "a")
    assert (type(completion), completion.answer.body) == (once.CompleteKey, b"ok")
    assert running.endpoint.requests[0].headers["idempotency-key"] == key


def test_request_is_not_run_while_the_record_is_unreachable(start):
    running = start().wait_ready()
    running.parent.on_call = lambda payload: None
    key = f"{int(time.time())}-k2"
    headers = {
        "Oriolelock-Operation": "confirm",
        "Idempotency-Key": key,
        "Oriolelock-Deadline-Ms": "200",
    }
    response = running.send_request("POST", body=b"seat", headers=headers)
    assert response.getheader("Oriolelock-Reason") == "record-unreachable"
    assert running.endpoint.requests == []


def test_a_refusal_reaches_a_caller_that_is_still_sending(start):
    """Closing a connection with unread bytes resets it, and the refusal is lost."""
    running = start().wait_ready()
    with socket.create_connection(running.entry.address, timeout=20) as conn:
        conn.sendall(
            b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n"
            + REQUIRED_HEADERS
            + b"\r\n"
        )
        for _ in range(20):
            conn.sendall(b"x" * 100_000)
            time.sleep(0.01)
        received = b""
        while chunk := conn.recv(65536):
            received += chunk
    assert received.startswith(b"HTTP/1.1 413 ")
    assert b"Oriolelock-Reason: body-too-large" in received
    assert running.send_request().status == 200

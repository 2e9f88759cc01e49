"""Guards against callers that hold threads, break the process or smuggle requests."""

import json
import socket
import threading
import time

import pytest

from oriolelock.entry import http_server
from oriolelock.once import messages as once
from tests import fake_endpoint, waiting

HEAD = (
    b"Oriolelock-Service: proofs\r\nOriolelock-Operation: view\r\nOriolelock-Deadline-Ms: 900\r\n"
)

# Must not be taken for a request of its own.
INNER = b"GET /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + HEAD + b"\r\n"


def raw(item, data, close_writing=False):
    with socket.create_connection(item.entry.address, timeout=20) as conn:
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
        b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n" + HEAD + b"\r\n" + INNER,
        b"POST /p HTTP/1.0\r\nConnection: Keep-Alive\r\nTransfer-Encoding: chunked\r\n"
        + HEAD
        + b"\r\n"
        + INNER,
        b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n" + HEAD + b"\r\nzz\r\n",
        b"POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n"
        + HEAD
        + b"\r\n3\r\nabc\r\n0\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + HEAD + b"\r\n",
        b"GET /\x01 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + HEAD + b"\r\n",
    ],
)
def test_malformed_request_gets_a_refusal_and_serving_goes_on(start, data):
    item = start().wait_ready()
    head, _, body = raw(item, data, close_writing=True).partition(b"\r\n\r\n")
    assert b"Oriolelock-Outcome: not-run" in head
    assert b"Oriolelock-Reason: bad-request" in head
    assert b"Oriolelock-Request-Id: " in head
    assert json.loads(body)["reason"] == "bad-request"
    assert item.entry.counters.dump()["request.bad"] == 1
    assert item.endpoint.requests == []
    assert item.ask().status == 200


def test_body_cut_short_is_not_forwarded(start):
    item = start().wait_ready()
    data = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + HEAD + b"\r\nabc"
    assert b"Oriolelock-Reason: bad-request" in raw(item, data, close_writing=True)
    assert item.endpoint.requests == []


def test_callers_that_send_nothing_hold_no_thread(start, monkeypatch):
    monkeypatch.setattr(http_server, "READ_LIMIT_S", 60.0)
    item = start(threads=2).wait_ready()
    idle = [socket.create_connection(item.entry.address) for _ in range(10)]
    assert item.ask().status == 200
    for conn in idle:
        conn.close()


def test_slow_callers_do_not_hold_all_threads(start, monkeypatch):
    """Each byte would restart a timeout per read; the whole request has one limit."""
    monkeypatch.setattr(http_server, "READ_LIMIT_S", 0.3)
    item = start(threads=2).wait_ready()
    stop = threading.Event()

    def drip(conn):
        try:
            while not stop.is_set():
                conn.sendall(b"G")
                stop.wait(0.02)
        except OSError:
            return

    slow = [socket.create_connection(item.entry.address) for _ in range(4)]
    drippers = [threading.Thread(target=drip, args=(conn,)) for conn in slow]
    for dripper in drippers:
        dripper.start()
    waiting.until(lambda: item.entry._server.requests.idle == 0)
    try:
        assert item.ask().status == 200
    finally:
        stop.set()
    for dripper, conn in zip(drippers, slow, strict=True):
        dripper.join()
        conn.close()


def test_caller_that_does_not_read_is_cut_off(start, monkeypatch):
    monkeypatch.setattr(http_server, "WRITE_LIMIT_S", 0.3)
    item = start(threads=1).wait_ready()
    item.endpoint.behave = lambda seen, conn: _large(seen)
    with socket.create_connection(item.entry.address) as conn:
        conn.sendall(b"GET /p HTTP/1.1\r\nHost: a\r\n" + HEAD + b"\r\n")
        item.endpoint.wait_for(lambda seen: len(seen) == 1)
        assert item.ask(path="/oriolelock/ready").status == 200


def _large(seen):
    return fake_endpoint.answer(seen, body=b"x" * 16_000_000)


def test_keep_alive_serves_several_and_ends_when_leaving(start):
    item = start().wait_ready()
    conn = item.connect()
    for _ in range(3):
        response = item.ask(conn=conn)
        assert (response.status, response.getheader("Connection")) == (200, None)
    item.entry.leave()
    response = item.ask(conn=conn)
    assert (response.status, response.getheader("Connection")) == (200, "close")


def test_confirmation_is_claimed_and_recorded(start):
    item = start().wait_ready()
    key = f"{int(time.time())}-k1"
    headers = {"Oriolelock-Operation": "confirm", "Idempotency-Key": key}
    assert item.ask("POST", body=b"seat", headers=headers).status == 200
    waiting.until(lambda: len(item.parent.calls) == 2)
    claim, done = (c.payload for c in item.parent.calls)
    assert (claim.key, done.key, claim.entry) == (key, key, "a")
    assert (type(done), done.answer.body) == (once.CompleteKey, b"ok")
    assert item.endpoint.requests[0].headers["idempotency-key"] == key


def test_record_unreachable_is_not_run(start):
    item = start().wait_ready()
    item.parent.on_call = lambda payload: None
    key = f"{int(time.time())}-k2"
    headers = {
        "Oriolelock-Operation": "confirm",
        "Idempotency-Key": key,
        "Oriolelock-Deadline-Ms": "200",
    }
    response = item.ask("POST", body=b"seat", headers=headers)
    assert response.getheader("Oriolelock-Reason") == "record-unreachable"
    assert item.endpoint.requests == []


def test_a_refusal_reaches_a_caller_that_is_still_sending(start):
    """Closing with unread bytes reset the connection, and the refusal was lost."""
    item = start().wait_ready()
    with socket.create_connection(item.entry.address, timeout=20) as conn:
        conn.sendall(b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n" + HEAD + b"\r\n")
        for _ in range(20):
            conn.sendall(b"x" * 100_000)
            time.sleep(0.01)
        received = b""
        while chunk := conn.recv(65536):
            received += chunk
    assert received.startswith(b"HTTP/1.1 413 ")
    assert b"Oriolelock-Reason: body-too-large" in received
    assert item.ask().status == 200

"""Request processing: at-most-once forwarding, retries, refusals, timeouts, crashes."""

import threading
import time

import pytest

from tests.gateway import conftest

NOT_RUN = b"X-Not-Run: shed\r\n"


def succeeding(conn, head, body):
    conn.sendall(conftest.make_response(head))


def failing(conn, head, body):
    conn.sendall(conftest.make_response(head, 500, b"broken"))


def shedding(conn, head, body):
    conn.sendall(conftest.make_response(head, 503, b"full", NOT_RUN))


def disconnecting(conn, head, body):
    return False


def truncating(conn, head, body):
    conn.sendall(conftest.make_response(head)[:-2])
    return False


def endless(conn, head, body):
    conn.sendall(b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n")
    while True:
        conn.sendall(b"x" * 65536)


def trickling(conn, head, body):
    conn.sendall(b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n")
    while True:
        conn.sendall(b"x")
        time.sleep(0.02)


def unresponsive(conn, head, body):
    time.sleep(3)
    return False


def test_response_is_passed_on_unchanged(gateway):
    endpoint = gateway.add_endpoint("x", succeeding)
    gateway.configure()
    status, head, body = gateway.send(b"/safe/1?q=%20", body=b"abc")
    assert (status, body) == (200, b"done")
    assert b"x-stamp: s" in head
    sent_head, sent_body = endpoint.requests[0]
    assert sent_head.startswith(b"POST /safe/1?q=%20 HTTP/1.1")
    assert sent_body == b"abc"
    assert b"x-expected-endpoint: x" in sent_head.lower()
    assert b"x-request-id: id1" in sent_head.lower()


def test_forwarded_deadline_is_the_remaining_time(gateway):
    endpoint = gateway.add_endpoint("x", succeeding)
    gateway.configure()
    gateway.send(b"/safe/1", deadline_ms=700)
    header_name = b"oriolelock-deadline-ms"
    remaining_ms = conftest.raw_endpoint.header(endpoint.requests[0][0], header_name)
    assert 1 <= int(remaining_ms) <= 700


@pytest.mark.parametrize("respond", [disconnecting, truncating])
def test_non_idempotent_request_is_not_retried_after_a_lost_response(gateway, respond):
    gateway.add_endpoint("x", respond)
    gateway.add_endpoint("y", respond)
    gateway.configure()
    status, _, _ = gateway.send(b"/once/1")
    assert status == 502
    assert gateway.forwarded_requests() == 1


@pytest.mark.parametrize("respond", [disconnecting, truncating, failing])
def test_idempotent_request_is_retried_at_another_endpoint(gateway, respond):
    gateway.add_endpoint("x", respond)
    gateway.add_endpoint("y", respond)
    gateway.configure()
    gateway.send(b"/safe/1")
    assert gateway.forwarded_requests() == 2
    assert all(len(endpoint.requests) for endpoint in gateway.endpoints.values())


def test_error_response_is_passed_on_without_another_endpoint(gateway):
    gateway.add_endpoint("x", failing)
    gateway.configure()
    status, head, body = gateway.send(b"/safe/1")
    assert (status, body) == (500, b"broken")
    assert b"x-stamp: s" in head


def test_attempts_are_limited_by_the_route(gateway):
    for name in ("x", "y", "z"):
        gateway.add_endpoint(name, shedding)
    gateway.configure(attempts=2)
    status, head, _ = gateway.send(b"/safe/1")
    assert status == 503
    assert b"retry-after" in head
    assert gateway.forwarded_requests() == 2


def test_non_idempotent_request_is_retried_if_it_was_not_run(gateway):
    gateway.add_endpoint("x", shedding)
    gateway.add_endpoint("y", succeeding)
    gateway.configure()
    statuses = [gateway.send(b"/once/%d" % n)[0] for n in range(6)]
    assert statuses == [200] * 6


@pytest.mark.parametrize("lost", [disconnecting, truncating, endless])
def test_request_that_may_have_run_is_not_refused_as_not_run_later(gateway, lost):
    # The first endpoint loses the response, any other refuses the request without running it.
    order = []

    def respond(conn, head, body):
        if head.startswith(b"GET /health"):
            conn.sendall(conftest.make_response(head))
            return False
        order.append(None)
        return (lost if len(order) == 1 else shedding)(conn, head, body)

    for name in ("x", "y"):
        gateway.add_endpoint(name, respond)
    gateway.configure(timeout_ms=8000.0)
    assert gateway.send(b"/safe/1", deadline_ms=9000)[0] == 502
    assert len(order) == 2


def test_status_that_implies_not_run_is_not_passed_on_for_a_request_that_ran(gateway):
    gateway.add_endpoint(
        "x", lambda conn, head, body: conn.sendall(conftest.make_response(head, 503, b"ran"))
    )
    gateway.configure()
    assert gateway.send(b"/once/1")[0] == 502


def test_success_without_a_stamp_is_an_error(gateway):
    def respond_without_stamp(conn, head, body):
        conn.sendall(conftest.make_response(head).replace(b"X-Stamp: s\r\n", b""))

    gateway.add_endpoint("x", respond_without_stamp)
    gateway.configure()
    assert gateway.send(b"/once/1")[0] == 502


def test_unknown_route_is_404_and_no_configuration_503(gateway):
    assert gateway.send(b"/safe/1")[0] == 503
    gateway.add_endpoint("x", succeeding)
    gateway.configure()
    assert gateway.send(b"/other/1")[0] == 404
    assert gateway.send(b"/safe/1", host=b"elsewhere")[0] == 404
    assert gateway.forwarded_requests() == 0


def test_caller_of_an_endless_response_gets_an_error_before_the_timeout(gateway):
    gateway.add_endpoint("x", endless)
    gateway.configure(timeout_ms=8000.0)
    started_s = time.monotonic()
    status, _, body = gateway.send(b"/once/1", deadline_ms=9000)
    assert (status, body) == (502, b"failed\n")
    assert time.monotonic() - started_s < 4.0
    assert gateway.forwarded_requests() == 1


def test_caller_of_an_endless_trickle_gets_an_error_at_the_timeout(gateway):
    endpoint = gateway.add_endpoint("x", trickling)
    gateway.configure(timeout_ms=400.0)
    started_s = time.monotonic()
    assert gateway.send(b"/once/1")[0] == 504
    assert 0.38 <= time.monotonic() - started_s <= 0.9
    assert len(endpoint.requests) == 1


def test_request_without_a_response_ends_at_the_timeout_of_its_route(gateway):
    gateway.add_endpoint("x", unresponsive)
    gateway.configure(timeout_ms=400.0)
    started_s = time.monotonic()
    assert gateway.send(b"/once/1")[0] == 504
    assert 0.38 <= time.monotonic() - started_s <= 0.9


def test_requests_succeed_beside_an_unreachable_endpoint(gateway):
    gateway.add_endpoint("x", succeeding)
    gateway.add_endpoint("y", succeeding)
    gateway.configure()
    gateway.endpoints["x"].close()
    statuses = [gateway.send(b"/once/%d" % n)[0] for n in range(8)]
    assert statuses == [200] * 8


def test_request_is_cancelled_when_the_caller_disconnects(gateway):
    disconnected, started = threading.Event(), threading.Event()

    def wait_for_disconnect(conn, head, body):
        started.set()
        if conn.recv(1) == b"":
            disconnected.set()
        return False

    gateway.add_endpoint("x", wait_for_disconnect)
    gateway.configure(timeout_ms=5000.0)
    sock = gateway.connect()
    sock.sendall(conftest.make_request(b"/safe/1", 5000))
    assert started.wait(5)
    sock.close()
    assert disconnected.wait(0.5)


def test_request_that_crashes_two_endpoints_is_refused(gateway):
    """Guards against forwarding a request that crashes endpoints to all of them.

    Each endpoint closes its connection and its listening socket when it gets the request.
    """

    def make_crashing(name):
        def respond(conn, head, body):
            gateway.endpoints[name].close()
            return False

        return respond

    for name in ("x", "y", "z", "w"):
        gateway.add_endpoint(name, make_crashing(name))
    gateway.configure()
    for _ in range(4):
        gateway.send(b"/safe/killer")
        time.sleep(0.3)
    assert gateway.forwarded_requests() <= 3
    assert len(gateway.crashes) >= 2


def test_misdirected_request_is_retried_at_another_endpoint(gateway):
    def misdirect(conn, head, body):
        conn.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")

    gateway.add_endpoint("x", misdirect)
    gateway.add_endpoint("y", succeeding)
    gateway.configure()
    statuses = [gateway.send(b"/once/%d" % n)[0] for n in range(6)]
    assert statuses == [200] * 6
    assert len(gateway.endpoints["x"].requests) <= 2


def test_malformed_deadline_is_refused(gateway):
    gateway.add_endpoint("x", succeeding)
    gateway.configure()
    with gateway.connect() as sock:
        sock.sendall(
            b"GET /safe/1 HTTP/1.1\r\nHost: h\r\nOriolelock-Deadline-Ms: soon\r\n"
            b"Connection: close\r\n\r\n"
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 400")
    assert gateway.forwarded_requests() == 0


def test_quarantined_request_is_refused_with_the_time_that_is_left(gateway, monkeypatch):
    """Guards against callers that come back each second for ten minutes."""
    gateway.add_endpoint("x", succeeding)
    gateway.configure()
    monkeypatch.setattr(gateway.core, "quarantined_s", lambda fingerprint: 432.0)
    status, head, _ = gateway.send(b"/safe/1")
    assert (status, b"retry-after: 432.00" in head) == (503, True)
    assert gateway.forwarded_requests() == 0


def test_callers_of_an_entry_without_a_configuration_are_told_to_wait_longer_and_longer(gateway):
    """Answers to the load after a restart of everything: callers come back once.

    Told to return at once, they all return before control can serve.
    """
    core = gateway.core
    started_s = core._started_s
    status, head, _ = gateway.send(b"/safe/1")
    assert (status, b"retry-after" in head) == (503, True)
    for waited_s, least_s, most_s in ((0.0, 0.6, 0.9), (1.0, 1.0, 1.5), (60.0, 1.5, 2.25)):
        delays_s = [core.not_ready_retry_after_s(started_s + waited_s) for _ in range(100)]
        assert least_s <= min(delays_s)
        assert max(delays_s) <= most_s
        assert max(delays_s) - min(delays_s) > 0.1

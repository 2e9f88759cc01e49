"""The way of a request: at most once where it must be, true refusals, answers in time."""

import threading
import time

import pytest

from tests.gateway import conftest

NOT_RUN = b"X-Not-Run: shed\r\n"


def good(conn, head, body):
    conn.sendall(conftest.answer(head))


def failing(conn, head, body):
    conn.sendall(conftest.answer(head, 500, b"broken"))


def shedding(conn, head, body):
    conn.sendall(conftest.answer(head, 503, b"full", NOT_RUN))


def breaking(conn, head, body):
    return False


def truncating(conn, head, body):
    conn.sendall(conftest.answer(head)[:-2])
    return False


def silent(conn, head, body):
    time.sleep(3)
    return False


def test_answer_passes_unchanged(path):
    found = path.add("x", good)
    path.configure()
    status, head, body = path.send(b"/safe/1?q=%20", body=b"abc")
    assert (status, body) == (200, b"done")
    assert b"x-stamp: s" in head
    sent_head, sent_body = found.requests[0]
    assert sent_head.startswith(b"POST /safe/1?q=%20 HTTP/1.1")
    assert sent_body == b"abc"
    assert b"x-expected-endpoint: x" in sent_head.lower()
    assert b"x-request-id: id1" in sent_head.lower()


def test_endpoint_gets_no_more_time_than_is_left(path):
    found = path.add("x", good)
    path.configure()
    path.send(b"/safe/1", deadline_ms=700)
    name = b"oriolelock-deadline-ms"
    left = conftest.raw_endpoint.header(found.requests[0][0], name)
    assert 1 <= int(left) <= 700


@pytest.mark.parametrize("behave", [breaking, truncating])
def test_work_that_must_not_run_twice_is_sent_once(path, behave):
    path.add("x", behave)
    path.add("y", behave)
    path.configure()
    status, _, _ = path.send(b"/once/1")
    assert status == 502
    assert path.arrivals() == 1


@pytest.mark.parametrize("behave", [breaking, truncating, failing])
def test_idempotent_work_goes_to_another_endpoint(path, behave):
    path.add("x", behave)
    path.add("y", behave)
    path.configure()
    path.send(b"/safe/1")
    assert path.arrivals() == 2
    assert all(len(item.requests) for item in path.endpoints.values())


def test_an_endpoints_error_is_passed_on_when_no_other_can_do_better(path):
    path.add("x", failing)
    path.configure()
    status, head, body = path.send(b"/safe/1")
    assert (status, body) == (500, b"broken")
    assert b"x-stamp: s" in head


def test_attempts_are_bounded_by_the_route(path):
    for name in ("x", "y", "z"):
        path.add(name, shedding)
    path.configure(attempts=2)
    status, head, _ = path.send(b"/safe/1")
    assert status == 503
    assert b"retry-after" in head
    assert path.arrivals() == 2


def test_what_an_endpoint_has_not_run_may_go_elsewhere_also_if_not_idempotent(path):
    path.add("x", shedding)
    path.add("y", good)
    path.configure()
    statuses = [path.send(b"/once/%d" % n)[0] for n in range(6)]
    assert statuses == [200] * 6


def test_a_status_that_promises_not_run_is_never_passed_on_for_work_that_ran(path):
    path.add("x", lambda conn, head, body: conn.sendall(conftest.answer(head, 503, b"ran")))
    path.configure()
    assert path.send(b"/once/1")[0] == 502


def test_success_without_proof_is_no_success(path):
    def unproved(conn, head, body):
        conn.sendall(conftest.answer(head).replace(b"X-Stamp: s\r\n", b""))

    path.add("x", unproved)
    path.configure()
    assert path.send(b"/once/1")[0] == 502


def test_unknown_route_is_404_and_no_configuration_503(path):
    assert path.send(b"/safe/1")[0] == 503
    path.add("x", good)
    path.configure()
    assert path.send(b"/other/1")[0] == 404
    assert path.send(b"/safe/1", host=b"elsewhere")[0] == 404
    assert path.arrivals() == 0


def test_a_request_without_answer_ends_at_the_timeout_of_its_route(path):
    path.add("x", silent)
    path.configure(timeout_ms=400.0)
    began_s = time.monotonic()
    assert path.send(b"/once/1")[0] == 504
    assert 0.38 <= time.monotonic() - began_s <= 0.9


def test_unreachable_endpoint_costs_no_request(path):
    path.add("x", good)
    path.add("y", good)
    path.configure()
    path.endpoints["x"].close()
    statuses = [path.send(b"/once/%d" % n)[0] for n in range(8)]
    assert statuses == [200] * 8


def test_the_work_of_a_caller_that_left_is_cancelled(path):
    ended, began = threading.Event(), threading.Event()

    def slow(conn, head, body):
        began.set()
        if conn.recv(1) == b"":
            ended.set()
        return False

    path.add("x", slow)
    path.configure(timeout_ms=5000.0)
    sock = path.connect()
    sock.sendall(conftest.request(b"/safe/1", 5000))
    assert began.wait(5)
    sock.close()
    assert ended.wait(0.5)


def test_a_request_that_kills_endpoints_is_refused_after_two_deaths(path):
    """The endpoint that dies under it is gone: its connection ends and nothing listens."""

    def die(name):
        def behave(conn, head, body):
            path.endpoints[name].close()
            return False

        return behave

    for name in ("x", "y", "z", "w"):
        path.add(name, die(name))
    path.configure()
    for _ in range(4):
        path.send(b"/safe/killer")
        time.sleep(0.3)
    assert path.arrivals() <= 3
    assert len(path.crashes) >= 2


def test_misdirected_request_goes_to_another_endpoint(path):
    def other(conn, head, body):
        conn.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")

    path.add("x", other)
    path.add("y", good)
    path.configure()
    statuses = [path.send(b"/once/%d" % n)[0] for n in range(6)]
    assert statuses == [200] * 6
    assert len(path.endpoints["x"].requests) <= 2


def test_malformed_deadline_is_refused(path):
    path.add("x", good)
    path.configure()
    with path.connect() as sock:
        sock.sendall(
            b"GET /safe/1 HTTP/1.1\r\nHost: h\r\nOriolelock-Deadline-Ms: soon\r\n"
            b"Connection: close\r\n\r\n"
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 400")
    assert path.arrivals() == 0

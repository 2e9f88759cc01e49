"""Endpoints that say in their responses that they are leaving get no further requests."""

import pytest

from oriolelock import clock
from oriolelock.dispatch import endpoint_view
from oriolelock.gateway import dialect, facts
from oriolelock.http1 import messages
from tests import waiting
from tests.gateway import conftest, test_cut_off_entry

LEAVING = b"X-Leaving: 1\r\n"


def leaving(conn, head, body):
    conn.sendall(conftest.make_response(head, extra_headers=LEAVING))


def staying(conn, head, body):
    conn.sendall(conftest.make_response(head))


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ((), False),
        (((b"x-leaving", b"1"),), True),
        (((b"x-leaving", b" 1 "),), True),
        (((b"x-leaving", b"0"), (b"x-leaving", b"1")), True),
        (((b"x-leaving", b"0"),), False),
        (((b"x-leaving", b""),), False),
        (((b"x-leaving", b"11"),), False),
        (((b"x-leaving", b"yes"),), False),
        (((b"x-leaving", b"\xff" * 1000),), False),
    ],
)
def test_only_one_value_says_that_an_endpoint_leaves(headers, expected):
    response = messages.Response(200, headers)
    assert facts.classify(response, dialect.OWN).leaving is expected


def test_another_endpoint_at_the_address_speaks_for_itself():
    response = messages.Response(421, ((b"x-leaving", b"1"), (b"retry-after", b"9")))
    found = facts.classify(response, dialect.OWN)
    assert (found.leaving, found.pause_s) == (False, 0.0)


@pytest.mark.parametrize("path", [b"/safe/1", b"/once/1"])
def test_a_leaving_endpoint_gets_no_further_requests(gateway, path):
    gateway.add_endpoint("x1", leaving)
    gateway.add_endpoint("x2", leaving)
    gateway.configure()
    assert [gateway.send(path)[0] for _ in range(4)] == [200, 200, 503, 503]
    assert gateway.forwarded_requests() == 2


@pytest.mark.parametrize("status", [500, 503])
def test_a_retry_does_not_go_back_to_a_leaving_endpoint(gateway, status):
    def respond(conn, head, body):
        extra = LEAVING + (b"X-Not-Run: shed\r\n" if status == 503 else b"")
        conn.sendall(conftest.make_response(head, status, extra_headers=extra))

    gateway.add_endpoint("x1", respond)
    gateway.configure()
    for _ in range(3):
        gateway.send(b"/safe/1")
    assert gateway.forwarded_requests() == 1


def test_the_next_incarnation_starts_clean(gateway):
    endpoint = gateway.add_endpoint("x", leaving)
    gateway.configure()
    gateway.send(b"/safe/1")
    gateway.configure()
    assert gateway.send(b"/safe/1")[0] == 503
    endpoint._respond = staying
    gateway.endpoints = {"x-again": endpoint}
    gateway.configure()
    assert [gateway.send(b"/safe/1")[0] for _ in range(2)] == [200, 200]


def test_a_health_check_does_not_bring_a_leaving_endpoint_back(gateway):
    gateway.add_endpoint("x", staying)
    gateway.configure()
    view = gateway.core.chooser.views["x"]

    def apply():
        health = endpoint_view.Health(True, "x", is_leaving=True)
        view.record_health_check(health, 1.0, clock.monotonic_s())

    gateway.loop_thread.call(apply)
    assert gateway.send(b"/safe/1")[0] == 503


def test_a_delegated_request_obeys_as_well(make_fleet):
    entry, other = make_fleet(leaving, endpoints=1)
    other.send(b"/once/1")
    test_cut_off_entry.cut(entry, "refuse")
    assert entry.send(b"/once/1")[0] == 503
    assert sum(not head.startswith(b"GET") for head, _ in entry.endpoints["x0"].requests) == 1


def test_other_entries_are_told(make_fleet):
    """Guards against hundreds of entries of which each sends one more request to find out."""
    fleet = make_fleet(leaving, entries=5, cut_off=0, endpoints=1, regions="aabbc")
    fleet[0].send(b"/once/1")
    waiting.until(lambda: all(item.core.chooser.views["x0"].is_leaving for item in fleet), 5.0)
    assert fleet[4].send(b"/once/1")[0] == 503


def test_other_entries_are_told_of_a_replaced_endpoint(make_fleet):
    def replaced(conn, head, body):
        conn.sendall(conftest.make_response(head, 421, extra_headers=b"X-Not-Run: other\r\n"))

    fleet = make_fleet(replaced, entries=4, cut_off=0, endpoints=1, regions="aabb")
    fleet[0].send(b"/once/1")
    waiting.until(
        lambda: not any(
            item.core.chooser.views["x0"].is_usable(clock.monotonic_s()) for item in fleet
        ),
        5.0,
    )

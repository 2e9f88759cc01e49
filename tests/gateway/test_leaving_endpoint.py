"""Endpoints that say in their responses that they are leaving get no further requests."""

import dataclasses

import pytest

from oriolelock import clock
from oriolelock.dispatch import endpoint_view, observation, peer_reports
from oriolelock.gateway import dialect, facts
from oriolelock.http1 import messages
from tests import waiting
from tests.dispatch import builders
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


@pytest.mark.parametrize(("started_ms", "is_usable"), [(0, True), (5, False)])
def test_endpoint_that_returns_to_the_list_under_its_name_starts_clean(started_ms, is_usable):
    """Without a start time, its return from leaving is all that shows that it has started again."""

    def configure(state):
        return builders.configure([builders.make_endpoint("x", state=state, started_ms=started_ms)])

    chooser = builders.make_chooser(configure("live"))
    chooser.views["x"].record_fact(endpoint_view.Fact.LEAVING, 0.0)
    chooser.configure(configure("live"), 1.0, 1000.0)
    assert not chooser.views["x"].is_usable(1.0)
    chooser.configure(configure("leaving"), 2.0, 1000.0)
    chooser.configure(configure("live"), 3.0, 1000.0)
    assert chooser.views["x"].is_usable(3.0) is is_usable


def test_late_news_of_an_endpoint_do_not_concern_one_of_its_name_at_another_address():
    old = builders.make_endpoint("x")
    chooser = builders.make_chooser(builders.configure([old]))
    digest = peer_reports.view_digest(chooser.views["x"])
    moved = dataclasses.replace(old, address="127.0.0.1:10")
    chooser.configure(builders.configure([moved]), 1.0, 1000.0)
    for fact in endpoint_view.Fact:
        notice = observation.EndpointNotice(digest, fact)
        assert chooser.peer_reports.apply_notice(notice, 1.1) is None
    assert chooser.views["x"].is_usable(1.2)


def test_a_response_that_is_not_the_endpoints_own_does_not_make_it_leave():
    words = dataclasses.replace(dialect.OWN, stamp=b"x-stamp")
    headers = ((b"x-leaving", b"1"),)
    assert not facts.classify(messages.Response(200, headers), words).leaving
    assert facts.classify(messages.Response(200, (*headers, (b"x-stamp", b"s"))), words).leaving


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

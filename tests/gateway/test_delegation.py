"""What holds for a request that another entry forwards: once, in time, in its regions, counted."""

import socket
import threading
import time

import pytest

from oriolelock import clock
from oriolelock.gateway import delegation
from oriolelock.http1 import messages
from tests import waiting
from tests.gateway import conftest, test_cut_off_entry

HEALTH = b"GET /health"


def disconnecting(conn, head, body):
    return False


def shedding(conn, head, body):
    conn.sendall(conftest.make_response(head, 503, b"full", b"X-Not-Run: shed\r\n"))


def failing(conn, head, body):
    conn.sendall(conftest.make_response(head, 500, b"broken"))


def unresponsive(conn, head, body):
    if head.startswith(HEALTH):
        conn.sendall(conftest.make_response(head))
    else:
        # Returns when the connection ends.
        conn.recv(1)
        unresponsive.caller_left.set()
        return False


unresponsive.caller_left = threading.Event()


def make_cut_fleet(make_fleet, respond, **options):
    """Return entries of which the first has found out that it is cut off."""
    fleet = make_fleet(respond, **options)
    cut_off(fleet[0])
    return fleet


def cut_off(entry):
    """Cut the entry off from all endpoints, and let it find out."""
    test_cut_off_entry.cut(entry, "refuse")

    def learn():
        for view in entry.core.chooser.views.values():
            entry.core.connectivity.record_failure(view, True, 0.0)

    entry.loop_thread.call(learn)


def requests_of(entry):
    return [
        (head, body)
        for endpoint in entry.endpoints.values()
        for head, body in endpoint.requests
        if not head.startswith(HEALTH)
    ]


@pytest.mark.parametrize("kind", [b"once", b"safe"])
@pytest.mark.parametrize(
    "respond", [test_cut_off_entry.succeeding, disconnecting, shedding, failing]
)
def test_a_delegated_request_reaches_no_more_endpoints_than_one_that_is_not(
    make_fleet, kind, respond
):
    entry, _ = make_cut_fleet(make_fleet, respond)
    status, _, _ = entry.send(b"/%s/1" % kind)
    found = len(requests_of(entry))
    may_repeat = respond is shedding or (
        kind == b"safe" and respond is not test_cut_off_entry.succeeding
    )
    assert found == (2 if may_repeat else 1)
    expected = {test_cut_off_entry.succeeding: 200, disconnecting: 502, shedding: 503, failing: 500}
    assert status == expected[respond]


def test_a_request_that_was_tried_before_the_cut_keeps_its_number_of_attempts(make_fleet):
    entry, _ = make_fleet(disconnecting)

    def respond(conn, head, body):
        if head.startswith(HEALTH):
            conn.sendall(conftest.make_response(head))
            return True
        # The entry loses the endpoints while the first attempt is under way.
        test_cut_off_entry.cut(entry, "refuse")
        return False

    for endpoint in entry.endpoints.values():
        endpoint._respond = respond
    status, _, _ = entry.send(b"/safe/1")
    assert status == 502
    assert len(requests_of(entry)) == 2


def test_a_request_that_left_for_an_entry_that_dies_is_not_sent_again(make_fleet):
    entry, second, third = make_cut_fleet(make_fleet, unresponsive, entries=3)

    def die_when_it_runs():
        waiting.until(lambda: requests_of(entry), 5)
        for item in (second, third):
            item.loop_thread.call(item.close_peer_connections)

    thread = threading.Thread(target=die_when_it_runs)
    thread.start()
    status, _, _ = entry.send(b"/safe/1")
    thread.join()
    assert status == 502
    assert len(requests_of(entry)) == 1


def test_an_endpoint_stops_when_the_caller_of_the_delegating_entry_leaves(make_fleet):
    unresponsive.caller_left.clear()
    entry, _ = make_cut_fleet(make_fleet, unresponsive, endpoints=1)
    with entry.connect() as sock:
        sock.sendall(conftest.make_request(b"/safe/1"))
        waiting.until(lambda: requests_of(entry), 5)
    assert unresponsive.caller_left.wait(0.5)


def test_the_deadline_of_a_delegated_request_is_the_time_that_is_left(make_fleet):
    entry, _ = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)
    entry.send(b"/safe/1", deadline_ms=700)
    ((head, _),) = requests_of(entry)
    left_ms = int(conftest.raw_endpoint.header(head, b"oriolelock-deadline-ms"))
    # The caller's round trip is taken off once, not by each entry.
    assert 600 <= left_ms <= 670


def test_the_timeout_of_the_route_runs_from_the_first_entry_on(make_fleet):
    entry, _ = make_cut_fleet(make_fleet, unresponsive, timeout_ms=500.0)
    start_s = time.monotonic()
    status, _, _ = entry.send(b"/once/1", deadline_ms=5000)
    assert status == 504
    assert time.monotonic() - start_s < 0.8


def test_request_and_response_pass_unchanged(make_fleet):
    entry, _ = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)
    status, head, body = entry.send(b"/once/1?q=%20", body=b"abc", request_id=b"id7")
    assert (status, body) == (200, b"done")
    assert b"x-stamp: s" in head
    assert b"x-request-id: id7" in head
    assert b"oriolelock-outcome" not in head
    ((sent_head, sent_body),) = requests_of(entry)
    assert sent_head.startswith(b"POST /once/1?q=%20 HTTP/1.1")
    assert sent_body == b"abc"
    assert b"oriolelock-delegated" not in sent_head.lower()
    assert sent_head.lower().count(b"x-request-id: id7") == 1


def test_entries_that_are_all_cut_off_refuse_at_once_and_do_not_pass_requests_around(make_fleet):
    fleet = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding, entries=4, cut_off=4)
    for item in fleet[1:]:
        test_cut_off_entry.cut(item, "refuse")
    entry = fleet[0]
    for _ in range(3):
        start_s = time.monotonic()
        status, head, _ = entry.send(b"/once/1")
        assert status == 503
        assert b"retry-after" in head
        assert time.monotonic() - start_s < 0.5
    assert not requests_of(entry)


def test_requests_that_are_bound_to_regions_are_delegated_to_entries_there_only(make_fleet):
    fleet = make_cut_fleet(
        make_fleet, test_cut_off_entry.succeeding, entries=3, regions="baab", route_regions=("a",)
    )
    entry, *others = fleet
    for _ in range(4):
        assert entry.send(b"/once/1")[0] == 200
    assert sum(accepted(item) for item in others) == 4


def test_requests_that_are_bound_to_regions_without_an_entry_are_refused(make_fleet):
    entry, other = make_cut_fleet(
        make_fleet, test_cut_off_entry.succeeding, regions="bb", route_regions=("a",)
    )
    assert entry.send(b"/once/1", body=b"abc")[0] == 503
    assert accepted(other) == 0


def accepted(entry):
    return entry.core.metrics._counts["accepted_for_entries"]


def test_an_entry_that_stops_takes_no_requests_of_others(make_fleet):
    entry, second, third = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding, entries=3)
    second.is_leaving = True
    assert [entry.send(b"/once/1")[0] for _ in range(6)] == [200] * 6
    assert accepted(second) == 0
    assert accepted(third) == 6


def test_a_request_counts_once_in_the_retry_budgets_of_all_entries(make_fleet):
    entry, other = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)
    for _ in range(3):
        entry.send(b"/safe/1")
    counts = [len(item.core.retry_budget_of("s")._requests) for item in (entry, other)]
    assert counts == [0, 3]


def test_requests_of_others_than_entries_are_rejected(make_fleet):
    entry, other = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)
    for token in ("", "other"):
        order = delegation.Order("once", "s", False, 1000, 500, ())
        req = messages.Request(b"GET", b"/once/1", ((b"host", b"h"),))
        signed = delegation.to_peer(req, order, token or "x")
        headers = dict(signed.headers)
        value = headers[b"oriolelock-delegated"] if token else b"%%%"

        with socket.create_connection(other.peer_address, 5) as sock:
            sock.settimeout(5)
            sock.sendall(
                b"GET /once/1 HTTP/1.1\r\nHost: h\r\nOriolelock-Delegated: %s\r\n\r\n" % value
            )
            assert sock.recv(65536).startswith(b"HTTP/1.1 400")
    assert not requests_of(entry)


def test_a_caller_that_names_an_order_is_served_as_any_other(make_fleet):
    entry, _ = make_fleet(test_cut_off_entry.succeeding)
    with entry.connect() as sock:
        request = conftest.make_request(b"/once/1")
        sock.sendall(request.replace(b"Host:", b"Oriolelock-Delegated: xx\r\nHost:", 1))
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_the_only_endpoint_of_a_service_is_reached_by_another_entry(make_fleet):
    entry, _ = make_fleet(test_cut_off_entry.succeeding, endpoints=1)
    test_cut_off_entry.cut(entry, "reset")
    time.sleep(0.1)
    statuses = [entry.send(b"/once/%d" % n)[0] for n in range(6)]
    assert statuses == [200] * 6


def test_requests_lost_in_a_cut_are_not_blamed_for_the_death_of_endpoints(make_fleet):
    entry, _ = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)

    def lose():
        view = entry.core.chooser.views["x0"]
        for number in range(4):
            entry.core.record_lost(view, f"mark{number}", 0.0, clock.monotonic_s())

    entry.loop_thread.call(lose)
    time.sleep(0.5)
    assert entry.crashes == []


def test_endpoints_are_used_again_right_after_the_cut(make_fleet):
    entry, _ = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding)
    assert entry.send(b"/once/1")[0] == 200
    for link in entry.links.values():
        link.restore()
    waiting.until(lambda: not entry.core.connectivity.is_cut_off("s"), 1.0)
    assert entry.core.chooser.ejected_count() == 0


def test_a_request_that_entries_hand_back_counts_once_in_the_retry_budget(make_fleet):
    fleet = make_cut_fleet(make_fleet, test_cut_off_entry.succeeding, entries=3)

    def eject_all(item):
        for view in item.core.chooser.views.values():
            view.record_failure(clock.monotonic_s() + 60.0)

    for item in fleet[1:]:
        item.loop_thread.call(lambda item=item: eject_all(item))
    assert fleet[0].send(b"/once/1")[0] == 503
    assert sum(len(item.core.retry_budget_of("s")._requests) for item in fleet) <= 1

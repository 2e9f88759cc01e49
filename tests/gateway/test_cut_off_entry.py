"""Callers of an entry that has lost all endpoints are served by way of another entry."""

import threading
import time

import pytest

from oriolelock import clock
from tests import waiting
from tests.gateway import conftest

CUTS = ("hang", "reset", "refuse")
# The users' bound: the rule binds this long after the cut began.
CONTACT_WINDOW_S = 3.0


def succeeding(conn, head, body):
    conn.sendall(conftest.make_response(head))


def closing(conn, head, body):
    """Answer and close the connection, as endpoints do now and then."""
    conn.sendall(conftest.make_response(head, extra_headers=b"Connection: close\r\n"))
    return False


def cut(entry, how):
    for link in entry.links.values():
        link.cut(how)


def restore(entry):
    for link in entry.links.values():
        link.restore()


def send_during(entry, seconds):
    """Send idempotent requests until the time is over."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        entry.send(b"/safe/1")
        time.sleep(0.02)


def statuses_at(entry, count=20):
    """Return the statuses of requests that may be repeated and of others, and the longest time."""
    found, longest_s = [], 0.0
    for number in range(count):
        start_s = time.monotonic()
        found.append(entry.send(b"/%s/%d" % ((b"safe", b"once")[number % 2], number))[0])
        longest_s = max(longest_s, time.monotonic() - start_s)
    return found, longest_s


@pytest.mark.parametrize("how", CUTS)
def test_callers_of_an_entry_that_is_cut_off_from_all_endpoints_are_served(make_fleet, how):
    entry, _ = make_fleet(closing if how == "refuse" else succeeding)
    assert set(statuses_at(entry)[0]) == {200}
    # Twice: an entry must find back, and find out again.
    for _ in range(2):
        cut(entry, how)
        send_during(entry, CONTACT_WINDOW_S)
        found, longest_s = statuses_at(entry)
        assert set(found) == {200}
        assert longest_s < 0.3
        restore(entry)
        send_during(entry, 1.0)
        assert set(statuses_at(entry)[0]) == {200}


def test_open_connections_of_callers_are_served_during_the_cut(make_fleet):
    entry, _ = make_fleet(succeeding)
    request = conftest.make_request(b"/once/1").replace(b"Connection: close\r\n", b"")
    with entry.connect() as sock:
        sock.sendall(request)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        cut(entry, "reset")
        send_during(entry, CONTACT_WINDOW_S)
        for _ in range(5):
            sock.sendall(request)
            assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_other_entries_know_of_the_cut_until_it_ends(make_fleet):
    entry, other = make_fleet(succeeding)
    cut(entry, "reset")
    send_during(entry, 0.5)
    waiting.until(lambda: cut_off_entries(other) == {"e1"}, CONTACT_WINDOW_S)
    restore(entry)
    waiting.until(lambda: not cut_off_entries(other), CONTACT_WINDOW_S)


def test_a_short_cut_is_not_reported(make_fleet):
    entry, other = make_fleet(succeeding)
    cut(entry, "reset")
    send_during(entry, 0.2)
    restore(entry)
    end_s = time.monotonic() + 2.0
    while time.monotonic() < end_s:
        assert not cut_off_entries(other)
        time.sleep(0.05)


def cut_off_entries(entry):
    return entry.core.cut_off_entries(clock.monotonic_s())


def test_requests_that_come_together_are_served_during_the_cut(make_fleet):
    entry, _ = make_fleet(succeeding)
    cut(entry, "hang")
    send_during(entry, CONTACT_WINDOW_S)
    found = []
    threads = [
        threading.Thread(target=lambda: found.append(entry.send(b"/once/1")[0])) for _ in range(20)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5)
    assert found == [200] * 20


@pytest.mark.parametrize("kind", [b"once", b"safe"])
def test_request_that_reached_no_endpoint_by_its_timeout_is_refused_as_not_run(make_fleet, kind):
    (entry,) = make_fleet(succeeding, entries=1, timeout_ms=50.0, objective_ms=20.0)
    cut(entry, "hang")
    assert entry.send(b"/%s/1" % kind)[0] == 503

"""Endpoints that turn a request away and name a time get nothing for so long."""

import time

import pytest

from oriolelock import clock
from oriolelock.dispatch import decisions, endpoint_view
from oriolelock.gateway import facts
from oriolelock.http1 import messages
from tests import waiting
from tests.dispatch import builders
from tests.gateway import conftest

# Until requests that crossed the response must have arrived, by the users' rule.
CROSSING_S = 0.5


def make_refusal(head, retry_after, status=503):
    extra = b"X-Not-Run: shed\r\n" + b"".join(b"Retry-After: %s\r\n" % v for v in retry_after)
    return conftest.make_response(head, status, extra_headers=extra)


@pytest.mark.parametrize(
    ("status", "values", "expected_s"),
    [
        (503, (), 0.0),
        (503, (b"2",), 2.0),
        (503, (b" 0.25 ",), 0.25),
        (429, (b"2",), 2.0),
        (200, (b"2",), 0.0),
        (500, (b"2",), 0.0),
        (503, (b"-2",), 0.0),
        (503, (b"",), 0.0),
        (503, (b"soon",), 0.0),
        (503, (b"nan",), 0.0),
        (503, (b"inf",), 0.0),
        (503, (b"1e3",), 0.0),
        (503, (b"0x10",), 0.0),
        (503, (b"Fri, 31 Dec 1999 23:59:59 GMT",), 0.0),
        (503, (b"9" * 400,), 0.0),
        (503, (b"1", b"3", b"2"), 3.0),
        (503, (b"x", b"1"), 1.0),
        (503, (b"\xd9\xa3",), 0.0),
    ],
)
def test_time_is_a_plain_number_of_seconds_in_a_refusal(status, values, expected_s):
    headers = tuple((b"retry-after", value) for value in values)
    assert facts.parse_pause(messages.Response(status, headers)) == expected_s


def test_no_time_silences_an_endpoint_for_ever():
    view = endpoint_view.EndpointView(builders.make_endpoint("x"))
    view.record_pause(999_999_999_999_999.0, 0.0)
    assert view.pause_s(1.0) > 0.0
    assert view.pause_s(endpoint_view.MAX_PAUSE_S + 0.1) == 0.0


def test_an_endpoint_may_turn_requests_away_for_minutes():
    """Guards against requests that come back before the end of the time that was named."""
    view = endpoint_view.EndpointView(builders.make_endpoint("x"))
    view.record_pause(600.0, 0.0)
    assert view.is_paused(599.0)


def test_a_shorter_time_does_not_end_a_longer_one():
    view = endpoint_view.EndpointView(builders.make_endpoint("x"))
    view.record_pause(5.0, 0.0)
    view.record_pause(0.1, 1.0)
    assert view.is_paused(4.9)


def test_requests_come_back_one_by_one_until_the_first_is_answered():
    view = endpoint_view.EndpointView(builders.make_endpoint("x"))
    view.record_pause(2.0, 0.0)
    assert view.pause_s(2.1) == 0.0
    view.record_start(1, 0.5, 2.1)
    assert view.pause_s(2.2) > 0.0
    view.ended(1)
    view.answered(1.0, False, 2.3)
    view.record_start(2, 0.5, 2.4)
    assert view.pause_s(2.5) == 0.0


def test_caller_is_told_when_the_first_endpoint_takes_requests_again():
    chooser = builders.make_chooser(
        builders.configure([builders.make_endpoint(name) for name in ("x1", "x2")])
    )
    chooser.views["x1"].record_pause(3.0, 0.0)
    chooser.views["x2"].record_pause(8.0, 0.0)
    refusals = [chooser.choose(builders.make_context(), 1.0) for _ in range(50)]
    assert all(isinstance(refusal, decisions.Refuse) for refusal in refusals)
    delays_s = [refusal.retry_after_s for refusal in refusals]
    assert min(delays_s) >= 2.0
    # Callers of hundreds of entries must not return at one moment.
    assert max(delays_s) - min(delays_s) > 0.2
    assert isinstance(chooser.choose(builders.make_context(), 3.1), decisions.Send)


def test_caller_is_told_a_finite_time_by_an_entry_without_a_share_of_an_announced_rate():
    endpoints = [builders.make_endpoint("x1")]
    entries = tuple(f"e{n}" for n in range(40))
    told_s = []
    for name in entries:
        chooser = builders.make_chooser(builders.configure(endpoints, entries=entries), name=name)
        chooser.limits.record("x1", 0.5, 0.0, 0.0)
        chooser.views["x1"].record_pause(2.0, 0.0)
        told_s.append(chooser.choose(builders.make_context(), 0.5).retry_after_s)
    assert 1.5 <= min(told_s) <= max(told_s) <= endpoint_view.MAX_PAUSE_S + 1.0


def test_refusal_names_the_time_of_the_only_endpoint(gateway):
    gateway.add_endpoint("x", lambda conn, head, body: conn.sendall(make_refusal(head, [b"3"])))
    gateway.configure()
    for _ in range(2):
        status, head, _ = gateway.send(b"/once/1")
        assert status == 503
        assert float(head.split(b"retry-after: ")[1].split(b"\r\n")[0]) > 2.5


def test_a_paused_endpoint_gets_no_requests_until_the_time_ends(gateway):
    refusing = True

    def respond(conn, head, body):
        if refusing:
            conn.sendall(make_refusal(head, [b"2"]))
        else:
            conn.sendall(conftest.make_response(head))

    endpoint = gateway.add_endpoint("x", respond)
    gateway.configure()
    start_s = time.monotonic()
    assert gateway.send(b"/once/1")[0] == 503
    while time.monotonic() - start_s < 1.9:
        status, head, _ = gateway.send(b"/safe/1")
        assert status == 503
        retry_after_s = float(head.split(b"retry-after: ")[1].split(b"\r\n")[0])
        assert retry_after_s >= 1.9 - (time.monotonic() - start_s)
        time.sleep(0.1)
    assert len(endpoint.requests) == 1
    refusing = False
    waiting.until(lambda: gateway.send(b"/safe/1")[0] == 200, 5.0)


def test_health_checks_wait_for_the_end_of_the_time(gateway):
    endpoint = gateway.add_endpoint(
        "x", lambda conn, head, body: conn.sendall(make_refusal(head, [b"1.5"]))
    )
    gateway.configure()
    start_s = time.monotonic()
    assert gateway.send(b"/once/1")[0] == 503
    view = gateway.core.chooser.views["x"]
    gateway.loop_thread.call(lambda: view.record_failure(clock.monotonic_s() - 10.0))
    waiting.until(lambda: len(endpoint.requests) == 2, 5.0)
    assert time.monotonic() - start_s >= 1.5


def test_another_endpoint_serves_meanwhile(gateway):
    def refusing(conn, head, body):
        conn.sendall(make_refusal(head, [b"5"]))

    def serving(conn, head, body):
        conn.sendall(conftest.make_response(head))

    first = gateway.add_endpoint("x1", refusing)
    gateway.add_endpoint("x2", serving)
    gateway.configure()
    assert [gateway.send(b"/safe/1")[0] for _ in range(6)] == [200] * 6
    assert len(first.requests) <= 1


@pytest.mark.parametrize("value", [b"-1", b"never", b"", b"1e99"])
def test_a_malformed_time_changes_nothing(gateway, value):
    endpoint = gateway.add_endpoint(
        "x", lambda conn, head, body: conn.sendall(make_refusal(head, [value]))
    )
    gateway.configure()
    for _ in range(3):
        assert gateway.send(b"/safe/1")[0] == 503
        time.sleep(0.3)
    assert len(endpoint.requests) == 3

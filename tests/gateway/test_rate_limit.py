"""Request rates that endpoints announce in their responses."""

import time

import pytest

from oriolelock import clock
from oriolelock.dispatch import endpoint_limits
from oriolelock.gateway import facts
from tests import waiting
from tests.gateway import conftest

LIMIT_PER_S = 2.0


def limiting(conn, head, body):
    conn.sendall(
        conftest.make_response(head, extra_headers=b"X-Rate-Limit: %.1f\r\n" % LIMIT_PER_S)
    )


@pytest.mark.parametrize(
    ("header", "rate"),
    [
        (None, endpoint_limits.UNLIMITED),
        (b"5.1", 5.1),
        (b"0", 0.0),
        (b"", None),
        (b"many", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
    ],
)
def test_announced_rate_is_a_finite_decimal_number(header, rate):
    assert facts.parse_rate_limit(header) == rate


def test_announced_rate_is_known_until_a_response_comes_without_it(gateway):
    limits = gateway.core.chooser.limits
    responses = iter((b"X-Rate-Limit: 3\r\n", b"X-Rate-Limit: bad\r\n", b""))
    gateway.add_endpoint(
        "x",
        lambda conn, head, body: conn.sendall(
            conftest.make_response(head, extra_headers=next(responses))
        ),
    )
    gateway.configure()
    for expected_rate in (3.0, 3.0, endpoint_limits.UNLIMITED):
        assert gateway.send(b"/safe/1")[0] == 200
        assert limits.rate("x", clock.monotonic_s()) == expected_rate
        time.sleep(1.0)


def test_endpoint_gets_no_more_requests_than_the_rate_that_it_announces(gateway):
    endpoint = gateway.add_endpoint("x", limiting)
    gateway.configure()
    end_s = time.monotonic() + 1.5
    statuses = []
    while time.monotonic() < end_s:
        status, head, _ = gateway.send(b"/once/1")
        statuses.append((status, b"retry-after" in head))
    assert set(statuses) == {(200, False), (503, True)}
    # The users' bound for any 4 seconds: one and a half times the rate, and 5 more.
    assert 2 <= len(endpoint.requests) <= 1.5 * LIMIT_PER_S * 4 + 5


def test_health_checks_wait_for_the_announced_rate(gateway):
    endpoint = gateway.add_endpoint("x", limiting)
    gateway.configure()
    assert gateway.send(b"/safe/1")[0] == 200
    limits, view = gateway.core.chooser.limits, gateway.core.chooser.views["x"]

    def eject():
        now = clock.monotonic_s()
        limits.record_sent("x", now, 3.0)
        view.record_failure(now)
        view.ejected_until_s = now

    gateway.loop_thread.call(eject)
    # Three requests over the rate of 2 a second: none may follow for 1.5 s.
    time.sleep(1.0)
    assert len(endpoint.requests) == 1
    waiting.until(lambda: not view.needs_health_check, 5.0)
    assert len(endpoint.requests) == 2

"""Endpoints that write an earlier refusal once more on a connection that is kept open."""

import pytest

from oriolelock import clock
from tests import waiting
from tests.gateway import conftest

NOT_RUN = b"X-Not-Run: shed\r\n"
HEALTH = b"GET /health"


def repeating_refusals(repeats_id):
    """Return a responder that refuses one request, and writes the refusal before later responses on
    the same connection.

    ``repeats_id``: whether the copy names the request that was refused.
    """
    refusal = []

    def respond(conn, head, body):
        if head.startswith(HEALTH):
            conn.sendall(conftest.make_response(head))
            return False
        if not refusal:
            refusal.append(conftest.make_response(head, 503, b"full", NOT_RUN))
            conn.sendall(refusal[0])
            refusal.append(conn)
            return True
        copy = refusal[0] if refusal[1] is conn else b""
        if not repeats_id:
            lines = copy.split(b"\r\n")
            copy = b"\r\n".join(line for line in lines if not line.startswith(b"X-Request-Id"))
        conn.sendall(copy)
        conn.sendall(conftest.make_response(head))
        return True

    return respond


def wait_until_not_saturated(gateway):
    view = gateway.core.chooser.views["x"]
    waiting.until(lambda: clock.monotonic_s() > view.saturated_until_s, 2)


@pytest.mark.parametrize("repeats_id", [True, False])
@pytest.mark.parametrize("second_id", [b"id2", b"id1"])
def test_a_refusal_that_is_written_once_more_does_not_refuse_the_next_request(
    gateway, repeats_id, second_id
):
    gateway.add_endpoint("x", repeating_refusals(repeats_id))
    gateway.configure()
    assert gateway.send(b"/once/1", request_id=b"id1")[0] == 503
    wait_until_not_saturated(gateway)
    assert gateway.core.pool._idle.get("x")
    status, _, _ = gateway.send(b"/once/1", request_id=second_id)
    # It ran: only its own response or an unknown outcome may be told.
    assert status in (200, 502)
    assert gateway.forwarded_requests() == 2


@pytest.mark.parametrize("repeats_id", [True, False])
def test_a_refusal_that_is_written_once_more_does_not_send_a_request_elsewhere(gateway, repeats_id):
    gateway.add_endpoint("x", repeating_refusals(repeats_id))
    gateway.configure()
    gateway.send(b"/once/1", request_id=b"id1")
    wait_until_not_saturated(gateway)
    gateway.add_endpoint("y", lambda conn, head, body: conn.sendall(conftest.make_response(head)))
    gateway.configure()
    for number in range(8):
        before = gateway.forwarded_requests()
        gateway.send(b"/once/1", request_id=b"other%d" % number)
        assert gateway.forwarded_requests() == before + 1

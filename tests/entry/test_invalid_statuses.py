"""Endpoints in trouble, whose answers bear a status that no final answer may have."""

import itertools
import json
import time

import pytest

from oriolelock.once import messages as once
from tests import fake_endpoint, waiting

INVALID = ["000", "099", "100", "101", "199", "600", "999", "1000", "2000", "20"]
BEFORE = [b"", b"HTTP/1.1 100 Continue\r\n\r\n"]
STAMP = "X-Stamp: s\r\n"


def send_once(running):
    key = f"{int(time.time())}-k1"
    headers = {"Oriolelock-Operation": "confirm", "Idempotency-Key": key}
    return running.send_request("POST", body=b"seat", headers=headers)


def outcome_of(response):
    return response.getheader("Oriolelock-Outcome"), response.getheader("Oriolelock-Reason")


@pytest.mark.parametrize("before", BEFORE, ids=["at once", "after 100"])
@pytest.mark.parametrize("extra", [STAMP, STAMP + "X-Not-Run: shed\r\n"], ids=["plain", "refusal"])
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_not_passed_on(start, status, extra, before):
    running = start().wait_ready()
    running.endpoint.behave = lambda seen, conn: before + fake_endpoint.answer(
        seen, f"{status} X", extra=extra
    )
    response = send_once(running)
    # The request may have run, so it is not sent again and nothing promises "not run".
    assert (response.status, outcome_of(response)) == (502, ("unknown", "bad-answer"))
    assert json.loads(response.content)["outcome"] == "unknown"
    assert response.getheader("X-Stamp") is None
    assert len(running.endpoint.requests) == 1
    waiting.until(lambda: len(running.parent.calls) == 2)
    release = running.parent.calls[1].payload
    assert (type(release), release.ran) == (once.ReleaseKey, True)
    response = running.send_request()
    assert (response.status, outcome_of(response)) == (502, ("unknown", "bad-answer"))
    assert response.getheader("X-Stamp") is None


@pytest.mark.parametrize("status", [0, 101, 199, 600, 999, 1000])
def test_an_invalid_status_that_was_recorded_is_not_given_to_a_resent_request(start, status):
    """Records are kept for a day, and other builds may have written them."""
    running = start().wait_ready()
    recorded = once.Answer(status, "text/x", b"done")
    running.parent.on_call = lambda payload: once.Recorded(recorded)
    response = send_once(running)
    assert (response.status, outcome_of(response)) == (502, ("unknown", "earlier-attempt-unknown"))
    assert running.endpoint.requests == []


@pytest.mark.parametrize("body", [b"", b"begun"])
def test_an_invalid_status_with_half_a_body_is_not_passed_on(start, body):
    running = start().wait_ready()

    def behave(seen, conn):
        conn.wfile.write(fake_endpoint.answer(seen, "999 X", body, extra=STAMP, length=9))

    running.endpoint.behave = behave
    response = send_once(running)
    assert (response.status, outcome_of(response)) == (502, ("unknown", "bad-answer"))
    assert response.getheader("X-Stamp") is None
    assert len(running.endpoint.requests) == 1


@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_does_not_fail_a_request_that_may_be_repeated(start, status):
    running = start().wait_ready()
    count = itertools.count()
    running.endpoint.behave = lambda seen, conn: fake_endpoint.answer(
        seen, f"{status} X" if next(count) == 0 else "200 OK"
    )
    response = running.send_request()
    assert (response.status, response.content, outcome_of(response)) == (
        200,
        b"ok",
        ("complete", "ok"),
    )
    assert len(running.endpoint.requests) == 2

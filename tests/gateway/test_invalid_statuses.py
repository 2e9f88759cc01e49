"""Endpoints in trouble, whose answers bear a status that no final answer may have."""

import dataclasses

import pytest

from oriolelock import clock
from tests import waiting
from tests.gateway import conftest, test_delegation

INVALID = [b"000", b"099", b"100", b"101", b"199", b"600", b"999", b"1000", b"20", b"-20"]
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 %s X\r\nX-Request-Id: %s\r\n"
# What follows the status and the request id: answers that would be passed on with status 500.
REST = {
    "whole": b"X-Stamp: s\r\nContent-Length: 4\r\n\r\ndone",
    "no stamp": b"Content-Length: 4\r\n\r\ndone",
    "body begun": b"X-Stamp: s\r\nContent-Length: 9\r\n\r\ndone",
    "body until the end": b"X-Stamp: s\r\n\r\ndone",
    "refusal": b"X-Stamp: s\r\nX-Not-Run: shed\r\nContent-Length: 4\r\n\r\ndone",
}


def in_trouble(status, rest=REST["whole"], before=b""):
    """Return what answers requests with the status, and health checks as a sound endpoint does."""

    def respond(conn, head, body):
        if head.startswith(test_delegation.HEALTH):
            conn.sendall(conftest.make_response(head))
            return True
        request_id = conftest.raw_endpoint.header(head, b"x-request-id")
        conn.sendall(before + HEAD % (status, request_id) + rest)
        return False

    return respond


def sound(conn, head, body):
    conn.sendall(conftest.make_response(head))


def add_endpoints(gateway, respond):
    for name in ("x", "y"):
        gateway.add_endpoint(name, respond)
    gateway.configure()


@pytest.mark.parametrize(("path", "sends"), [(b"/once/1", 1), (b"/safe/1", 2)])
@pytest.mark.parametrize("before", [b"", INFORMATIONAL], ids=["at once", "after 100"])
@pytest.mark.parametrize("rest", REST)
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_not_passed_on(gateway, status, rest, before, path, sends):
    add_endpoints(gateway, in_trouble(status, REST[rest], before))
    found, head, body = gateway.send(path)
    # The request may have run, so 502 and no status that promises "not run".
    assert (found, body) == (502, b"failed\n")
    assert b"x-stamp" not in head
    assert gateway.forwarded_requests() == sends


@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_does_not_fail_a_request_that_may_be_repeated(gateway, status):
    gateway.add_endpoint("x", in_trouble(status))
    gateway.add_endpoint("y", sound)
    gateway.configure()
    for _ in range(4):
        found, head, body = gateway.send(b"/safe/1")
        assert (found, body) == (200, b"done")
        assert b"x-stamp: s" in head


@pytest.mark.parametrize("status", [b"200", b"204", b"304", b"418", b"500", b"599"])
def test_a_final_status_is_passed_on_unchanged(gateway, status):
    rest = REST["no stamp" if status == b"418" else "whole"]
    add_endpoints(gateway, in_trouble(status, rest, INFORMATIONAL))
    for path in (b"/once/1", b"/safe/1"):
        found, head, body = gateway.send(path)
        assert found == int(status)
        assert body == (b"" if status in (b"204", b"304") else b"done")
        assert (b"x-stamp: s" in head) == (status != b"418")


@pytest.mark.parametrize("path", [b"/once/1", b"/safe/1"])
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_not_passed_on_by_way_of_another_entry(make_fleet, status, path):
    entry, _ = test_delegation.make_cut_fleet(make_fleet, in_trouble(status))
    found, head, body = entry.send(path)
    assert (found, body) == (502, b"failed\n")
    assert b"x-stamp" not in head
    sends = 1 if path == b"/once/1" else 2
    assert len(test_delegation.requests_of(entry)) == sends


def check(gateway, view):
    """Check the endpoint's health now, without the wait after failures."""
    gateway.loop_thread.call(lambda: gateway.core._health_checks.check(view))
    waiting.until(lambda: not view.health_check_pending)


@pytest.mark.parametrize("rest", ["whole", "refusal"])
@pytest.mark.parametrize("status", INVALID)
def test_an_invalid_status_is_no_healthy_answer(gateway, status, rest):
    answers = [HEAD % (status, b"") + REST[rest]]

    def respond(conn, head, body):
        if head.startswith(test_delegation.HEALTH) and answers:
            conn.sendall(answers[0])
            return False
        sound(conn, head, body)

    gateway.add_endpoint("x", respond)
    gateway.configure()
    view = gateway.core.chooser.views["x"]
    gateway.loop_thread.call(lambda: view.record_failure(clock.monotonic_s()))
    check(gateway, view)
    assert view.needs_health_check
    # The program runs on, and finds the endpoint sound again.
    answers.clear()
    check(gateway, view)
    assert not view.needs_health_check
    assert gateway.send(b"/once/1")[0] == 200


def answering_as_entry(status, outcome):
    """Return what answers a delegated request as another entry, whatever it says."""

    def respond(conn, head, body):
        outcome_header = b"Oriolelock-Outcome: %s\r\n" % outcome
        conn.sendall(conftest.make_response(head, status, b"done", outcome_header))

    return respond


@pytest.mark.parametrize("path", [b"/once/1", b"/safe/1"])
@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, b"failed.200"),
        (204, b"failed.204"),
        (408, b"failed.408"),
        (429, b"failed.429"),
        (503, b"failed.503"),
        (404, b"failed.404"),
        (502, b"failed.502"),
        (504, b"failed.504"),
        (600, b"failed.600"),
        (999, b"failed.999"),
        (600, b"complete"),
        (999, b"complete"),
        (999, b"refused.stopping"),
        (200, b"nonsense"),
        (200, b""),
    ],
)
def test_a_failure_of_another_entry_is_no_success_and_no_refusal(make_fleet, path, status, outcome):
    """The request may have run; of these statuses only 502 and 504 promise nothing."""
    entry, second = make_fleet(sound)
    false_entry = conftest.raw_endpoint.RawEndpoint(answering_as_entry(status, outcome))
    address = ":".join(map(str, false_entry.address))
    entry.members["e2"] = dataclasses.replace(second.member(), peer_address=address)
    entry.configure()
    test_delegation.cut_off(entry)
    found, head, body = entry.send(path)
    assert (found, body) == (504 if status == 504 else 502, b"failed\n")
    assert b"x-stamp" not in head
    assert len(false_entry.requests) == 1
    assert test_delegation.requests_of(entry) == []
    false_entry.close()

"""Tests an entry's responses, and that a stop does not abort requests in flight."""

import dataclasses
import json
import threading

import pytest

from oriolelock.distribution import messages
from oriolelock.model import member
from tests import fake_endpoint, fake_parent, waiting


def outcome_of(response):
    return response.getheader("Oriolelock-Outcome"), response.getheader("Oriolelock-Reason")


def test_request_reaches_endpoint_and_answer_comes_back(start):
    running = start().wait_ready()
    response = running.send_request("POST", "/page?x=1", b"abc", {"Content-Type": "text/x"})
    assert (response.status, response.content) == (200, b"ok")
    assert outcome_of(response) == ("complete", "ok")
    received = running.endpoint.requests[0]
    assert (received.method, received.target, received.body) == ("POST", "/page?x=1", b"abc")
    assert received.headers["oriolelock-operation"] == "view"
    assert 0 < int(received.headers["x-deadline-ms"]) <= 3000
    assert response.getheader("Oriolelock-Request-Id") == received.request_id
    assert response.getheader("Oriolelock-Config-Version") == "2"
    assert response.getheader("X-Load") is None


def test_entry_whose_settings_name_no_living_replica_uses_registered_ones(start):
    """Replicas that start from seeds may all be replaced at other addresses."""
    running = start().wait_ready()
    successor = fake_parent.FakeParent(running.cfg)
    name = "{}:{}".format(*successor.address)
    registered = member.Member(name, "control", "", name, "perth", "perth-a")
    members = {**running.cfg.members, name: registered}
    running.parent.cfg = successor.cfg = dataclasses.replace(running.cfg, index=9, members=members)
    running.parent.send(messages.Snapshot(running.parent.cfg, True))
    waiting.until(lambda: running.entry.uplink.configuration.index == 9)
    running.parent.close()
    waiting.until(lambda: running.entry.uplink.parent == successor.address, 10)
    successor.close()


def test_lookup_returns_the_entry(start):
    running = start().wait_ready()
    response = running.send_request(path="/oriolelock/lookup?service=proofs&client=127.0.0.9")
    data = json.loads(response.content)
    assert [e["name"] for e in data["entries"]] == ["a"]
    assert (data["ttl_ms"], data["version"]) == (50, 2)
    assert response.getheader("Oriolelock-Outcome") == "complete"


@pytest.mark.parametrize(
    ("path", "reason"),
    [("service=nope", "unknown-service"), ("service=proofs&client=x", "bad-request")],
)
def test_bad_lookup_is_refused(start, path, reason):
    response = start().wait_ready().send_request(path="/oriolelock/lookup?" + path)
    assert outcome_of(response) == ("not-run", reason)


@pytest.mark.parametrize(
    ("headers", "omit", "status", "reason"),
    [
        ({"Oriolelock-Service": "nope"}, (), 404, "unknown-service"),
        ({}, ("Oriolelock-Service",), 400, "bad-request"),
        ({}, ("Oriolelock-Deadline-Ms",), 400, "deadline-missing"),
        ({"Oriolelock-Deadline-Ms": "0"}, (), 503, "deadline-passed"),
        ({"Oriolelock-Deadline-Ms": "soon"}, (), 400, "bad-request"),
        ({"Oriolelock-Operation": "confirm"}, (), 400, "key-missing"),
        ({"Oriolelock-Operation": "confirm", "Idempotency-Key": "x-1"}, (), 400, "bad-request"),
        ({"Oriolelock-Operation": "confirm", "Idempotency-Key": "99-1"}, (), 400, "key-expired"),
        ({"X-Long": "x" * 5000}, (), 431, "headers-too-large"),
    ],
)
def test_bad_request_is_refused_and_counted(start, headers, omit, status, reason):
    running = start().wait_ready()
    response = running.send_request(headers=headers, omit=omit)
    assert (response.status, outcome_of(response)) == (status, ("not-run", reason))
    assert json.loads(response.content)["reason"] == reason
    assert running.entry.counters.dump()["request.not_run"] == 1
    assert running.endpoint.requests == []
    assert running.send_request().status == 200


def test_responses_without_body_get_no_extra_headers(start):
    running = start().wait_ready()
    running.endpoint.behave = lambda seen, conn: fake_endpoint.answer(seen, body=b"", length=9)
    response = running.send_request("HEAD")
    assert (response.status, response.getheader("Content-Length")) == (200, None)
    running.endpoint.behave = lambda seen, conn: fake_endpoint.answer(
        seen, "204 No Content", b"", extra="X-Own: 1\r\n"
    )
    response = running.send_request("POST", body=b"x")
    assert (response.status, response.getheader("X-Own"), response.content) == (204, "1", b"")
    assert response.getheader("Content-Type") is None


def test_large_body_is_refused(start):
    running = start().wait_ready()
    response = running.send_request("POST", body=b"x" * 5000)
    assert (response.status, outcome_of(response)) == (413, ("not-run", "body-too-large"))
    chunked = running.send_request("POST", body=iter([b"x" * 3000, b"y" * 3000]))
    assert (chunked.status, outcome_of(chunked)) == (413, ("not-run", "body-too-large"))
    assert running.endpoint.requests == []


def test_not_ready_before_first_configuration(start):
    running = start(control=(("127.0.0.1", 9),))
    response = running.send_request()
    assert outcome_of(response) == ("not-run", "not-ready")
    # The version would be lower than the one that the entry served before a restart.
    assert response.getheader("Oriolelock-Config-Version") is None
    assert (
        running.send_request(headers={"X-Long": "x" * 5000}).getheader("Oriolelock-Config-Version")
        is None
    )
    assert running.send_request(path="/oriolelock/ready").status == 503


def test_state_shows_no_secret(start):
    running = start().wait_ready()
    response = running.send_request(path="/oriolelock/state")
    assert json.loads(response.content)["version"] == 2
    assert b"secret" not in response.content


def test_stop_finishes_request_in_flight(start):
    running = start().wait_ready()
    finish_request = threading.Event()

    def behave(seen, conn):
        finish_request.wait(20)
        return fake_endpoint.answer(seen)

    running.endpoint.behave = behave
    responses = []
    caller = threading.Thread(target=lambda: responses.append(running.send_request()))
    caller.start()
    running.endpoint.wait_for(lambda requests: len(requests) == 1)
    running.entry.leave()
    running.parent.wait_for(lambda: any(r.state == "leaving" for r in running.parent.reports))
    stop_results = []
    stopper = threading.Thread(target=lambda: stop_results.append(running.entry.stop()))
    stopper.start()
    waiting.until(lambda: running.entry._is_stopping)
    assert stop_results == []
    finish_request.set()
    stopper.join(20)
    caller.join(20)
    assert stop_results == [True]
    assert [r.status for r in responses] == [200]

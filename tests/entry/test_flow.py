"""Tests that no request runs twice, or is reported as not run although it may have run."""

import random
import time

import pytest

from oriolelock import clock, metrics, outcomes
from oriolelock.admission import retry_budget
from oriolelock.endpoints import results
from oriolelock.entry import caller_request, flow, forwarding, steering
from oriolelock.model import crash_record
from oriolelock.once import client, messages
from tests import fake_parent

NOW, WALL = 1000.0, 1_700_000_000.0
LOST = results.ConnectionLost(0.1)
REFUSED = results.RefusedByEndpoint("shed", 0.1)
NOT_SENT = results.NotSent("refused", 0.1)
TIMED_OUT = results.TimedOut(0.1)
GOOD = results.Completed(200, (("Content-Type", "text/x"),), b"ok", 0.1)
BAD = results.InvalidResponse("crossed", 0.1)


class FakePool:
    """Returns the given results in order, one for each attempt."""

    def __init__(self, *exchange_results):
        self.remaining = list(exchange_results)
        self.sent = []

    def exchange(self, req, endpoint, timeout_s):
        self.sent.append((req, endpoint.name))
        return self.remaining.pop(0)


class FakeOnceClient:
    """Returns a fixed result for each claim, and records completions and releases."""

    def __init__(self, answer=None, lease_end_s=NOW + 5):
        self.claim_result = answer or client.Claim("k", "c", lease_end_s)
        self.updates = []

    def claim(self, key, digest, end_s):
        return self.claim_result

    def complete(self, claim, status, kind, body):
        self.updates.append(("complete", status, body))

    def release(self, claim, ran):
        self.updates.append(("release", ran))


@pytest.fixture(autouse=True)
def fixed_clock(monkeypatch):
    monkeypatch.setattr(clock, "monotonic_s", lambda: NOW)
    monkeypatch.setattr(clock, "wall_s", lambda: WALL)


ENDPOINTS = [fake_parent.dead_endpoint(f"e{n}", f"10.0.0.{n}:80") for n in range(5)]


def make_flow(pool, once=None, cfg=None, **kwargs):
    cfg = cfg or fake_parent.make_config(endpoints=ENDPOINTS)
    decisions = steering.Steering("a", "perth", 64, 32, random.Random(1))
    decisions.configure(cfg, NOW, WALL)
    for _ in range(100):
        decisions.first_attempt("proofs", NOW)
    return flow.Flow(
        lambda: cfg,
        lambda: True,
        pool,
        once or FakeOnceClient(),
        decisions,
        metrics.Metrics(),
        is_refusing=lambda address: False,
        **kwargs,
    )


def make_request(operation="view", key="", body=b"", deadline_ms=2000):
    headers = {"Oriolelock-Service": "proofs", "Oriolelock-Operation": operation}
    headers["Oriolelock-Deadline-Ms"] = str(deadline_ms)
    if key:
        headers["Idempotency-Key"] = key
    return caller_request.CallerRequest("POST", "/p?q", tuple(headers.items()), body)


VIEW = make_request()
CONFIRM = make_request("confirm", f"{int(WALL)}-k")


def serve(request_flow, req=VIEW, now=NOW):
    return request_flow.serve(req, now, WALL).outcome


@pytest.mark.parametrize(
    ("exchange_results", "outcome"),
    [
        ([REFUSED, GOOD], "ok"),
        ([NOT_SENT, GOOD], "ok"),
        ([LOST, GOOD], "ok"),
        ([BAD, GOOD], "ok"),
        ([TIMED_OUT], outcomes.Unknown("timeout")),
        ([REFUSED] * 4, outcomes.NotRun("endpoint-refused", 100.0)),
        # After an attempt that may have run, later refusals don't change the outcome to not run.
        ([LOST, REFUSED, NOT_SENT, REFUSED], outcomes.Unknown("connection-lost")),
        ([LOST, LOST], outcomes.Unknown("connection-lost")),
    ],
)
def test_idempotent_request_is_retried_at_other_endpoints(exchange_results, outcome):
    pool = FakePool(*exchange_results)
    result = serve(make_flow(pool))
    assert (result.body == b"ok") if outcome == "ok" else (result == outcome)
    assert pool.remaining == []
    endpoint_names = [name for _, name in pool.sent]
    assert len(set(endpoint_names)) == len(endpoint_names)
    assert [req.attempt for req, _ in pool.sent] == list(range(1, len(endpoint_names) + 1))


@pytest.mark.parametrize(
    ("exchange_results", "outcome", "update"),
    [
        ([GOOD], None, ("complete", 200, b"ok")),
        ([REFUSED, GOOD], None, ("complete", 200, b"ok")),
        ([NOT_SENT] * 4, outcomes.NotRun("no-endpoint"), ("release", False)),
        ([LOST], outcomes.Unknown("connection-lost"), ("release", True)),
        ([TIMED_OUT], outcomes.Unknown("timeout"), ("release", True)),
        ([BAD], outcomes.Unknown("bad-answer"), ("release", True)),
        ([REFUSED, LOST], outcomes.Unknown("connection-lost"), ("release", True)),
    ],
)
def test_non_idempotent_request_is_resent_only_if_not_run(exchange_results, outcome, update):
    pool, once = FakePool(*exchange_results), FakeOnceClient()
    result = serve(make_flow(pool, once), CONFIRM)
    assert outcome is None or result == outcome
    assert (pool.remaining, once.updates) == ([], [update])


def test_expired_lease_prevents_dispatch():
    pool, once = FakePool(), FakeOnceClient(lease_end_s=NOW + client.LEASE_MARGIN_S)
    assert serve(make_flow(pool, once), CONFIRM) == outcomes.NotRun("record-unreachable")
    assert (pool.sent, once.updates) == ([], [("release", False)])


def test_lease_that_expires_between_attempts_prevents_a_retry(monkeypatch):
    class SlowPool(FakePool):
        def exchange(self, req, endpoint, timeout_s):
            monkeypatch.setattr(clock, "monotonic_s", lambda: NOW + 1)
            return super().exchange(req, endpoint, timeout_s)

    pool, once = SlowPool(REFUSED, GOOD), FakeOnceClient(lease_end_s=NOW + 1)
    result = serve(make_flow(pool, once), CONFIRM)
    assert isinstance(result, outcomes.NotRun)
    assert (len(pool.sent), once.updates) == (1, [("release", False)])


def test_connect_timeout_ends_with_the_lease():
    pool = FakePool(GOOD)
    serve(make_flow(pool, FakeOnceClient(lease_end_s=NOW + 0.5)), CONFIRM)
    assert pool.sent[0][0].connect_timeout_s == pytest.approx(0.5)
    assert not pool.sent[0][0].idempotent


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (client.Unreachable(), outcomes.NotRun("record-unreachable", 1000.0)),
        (messages.InProgress(), outcomes.Unknown("in-progress")),
        (messages.EarlierUnknown(), outcomes.Unknown("earlier-attempt-unknown")),
        (messages.KeyMismatch(), outcomes.NotRun("key-mismatch")),
        (messages.RecordFull(), outcomes.NotRun("record-full", 1000.0)),
        (
            messages.Recorded(messages.Answer(201, "text/x", b"kept")),
            outcomes.Complete(201, (("Content-Type", "text/x"),), b"kept"),
        ),
        (
            messages.Recorded(messages.Answer(201, "text/x", b"", True)),
            outcomes.Unknown("earlier-attempt-unknown"),
        ),
    ],
)
def test_without_a_claim_nothing_is_sent(answer, outcome):
    pool = FakePool()
    assert serve(make_flow(pool, FakeOnceClient(answer)), CONFIRM) == outcome
    assert pool.sent == []


def test_retries_stay_within_the_budget():
    pool = FakePool(*[BAD] * 1000)
    request_flow = make_flow(pool)
    for _ in range(100):
        serve(request_flow)
    max_retries = retry_budget.MAX_TOKENS + 100 * retry_budget.RETRY_SHARE
    assert 100 < len(pool.sent) <= 100 + max_retries


def test_quarantined_request_is_not_sent():
    fingerprint = forwarding.fingerprint(caller_request.parse(VIEW, WALL), VIEW)
    crash = crash_record.CrashRecord(fingerprint, (("e1", WALL), ("e2", WALL)), WALL + 60)
    cfg = fake_parent.make_config(endpoints=ENDPOINTS, crashes={fingerprint: crash})
    outcome = serve(make_flow(FakePool(), cfg=cfg))
    assert outcome == outcomes.NotRun("quarantined", 60_000.0)
    other = make_request(body=b"other")
    assert isinstance(serve(make_flow(FakePool(GOOD), cfg=cfg), other), outcomes.Complete)


def test_crash_of_an_endpoint_is_reported_and_the_request_not_retried():
    """Otherwise a request that crashes endpoints would be retried at one after the other."""
    reported_names, pool = [], FakePool(LOST, GOOD)
    request_flow = make_flow(pool)
    request_flow._report_crash = lambda fingerprint, name: reported_names.append(name)
    request_flow._is_refusing = lambda address: True
    assert serve(request_flow) == outcomes.Unknown("connection-lost")
    assert reported_names == [pool.sent[0][1]]
    assert len(pool.sent) == 1


def test_slot_of_the_in_flight_limit_is_released(monkeypatch):
    monkeypatch.setattr(clock, "monotonic_s", time.monotonic)
    cfg = fake_parent.make_config(
        endpoints=ENDPOINTS, presets={"day": fake_parent.make_preset(in_flight_limit=1)}
    )
    nested_outcomes = []

    class NestedPool(FakePool):
        def exchange(self, req, endpoint, timeout_s):
            if not nested_outcomes:
                nested_outcomes.append(None)
                nested_outcomes[0] = serve(
                    request_flow, make_request(deadline_ms=50), time.monotonic()
                )
            return GOOD

    request_flow = make_flow(NestedPool(), cfg=cfg)
    assert isinstance(serve(request_flow, now=time.monotonic()), outcomes.Complete)
    assert nested_outcomes == [outcomes.NotRun("deadline-passed")]
    assert isinstance(serve(request_flow, now=time.monotonic()), outcomes.Complete)


def test_hop_by_hop_headers_are_not_forwarded():
    answer = (("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Load", "l"), ("Set-Cookie", "a"))
    pool = FakePool(results.Completed(200, answer, b"", 0.1))
    req = caller_request.CallerRequest(
        "GET", "/", (*VIEW.headers, ("X-Request-Id", "forged"), ("TE", "x"), ("Cookie", "c")), b""
    )
    assert serve(make_flow(pool), req).headers == (("Set-Cookie", "a"),)
    sent = dict(pool.sent[0][0].headers)
    assert sent == {"Oriolelock-Operation": "view", "Cookie": "c"}

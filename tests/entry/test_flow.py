"""Guards against requests that run twice, or are called not run although they may have."""

import random

import pytest

from oriolelock import clock, metrics, outcomes
from oriolelock.endpoints import results
from oriolelock.entry import basic, caller_request, flow
from oriolelock.model import crash_record
from oriolelock.once import client, messages
from tests import fake_parent

NOW, WALL = 1000.0, 1_700_000_000.0
LOST = results.ConnectionLost(0.1)
REFUSED = results.RefusedByEndpoint("shed", 0.1)
NOT_SENT = results.NotSent("refused", 0.1)
TIMED_OUT = results.TimedOut(0.1)
GOOD = results.Completed(200, (("Content-Type", "text/x"),), b"ok", 0.1)
BAD = results.BadAnswer("crossed", 0.1)


class Pool:
    """Gives the listed results, one per attempt."""

    def __init__(self, *listed):
        self.listed = list(listed)
        self.sent = []

    def exchange(self, req, endpoint, timeout_s):
        self.sent.append((req, endpoint.name))
        return self.listed.pop(0)


class Once:
    """Grants claims with a given lease end, and notes what becomes of them."""

    def __init__(self, answer=None, lease_end_s=NOW + 5):
        self.answer = answer or client.Claim("k", "c", lease_end_s)
        self.settled = []

    def claim(self, key, digest, end_s):
        return self.answer

    def complete(self, claim, status, kind, body):
        self.settled.append(("complete", status, body))

    def release(self, claim, ran):
        self.settled.append(("release", ran))


@pytest.fixture(autouse=True)
def fixed_clock(monkeypatch):
    monkeypatch.setattr(clock, "monotonic_s", lambda: NOW)
    monkeypatch.setattr(clock, "wall_s", lambda: WALL)


ENDPOINTS = [fake_parent.dead_endpoint(f"e{n}", f"10.0.0.{n}:80") for n in range(5)]


def make_flow(pool, once=None, cfg=None, **kwargs):
    cfg = cfg or fake_parent.make_config(endpoints=ENDPOINTS)
    pick = basic.make_picker("perth")
    return flow.Flow(
        lambda: cfg,
        lambda: True,
        pool,
        once or Once(),
        pick,
        metrics.Metrics(),
        rng=random.Random(1),
        **kwargs,
    )


def make_request(operation="view", key="", body=b""):
    headers = {"Oriolelock-Service": "proofs", "Oriolelock-Operation": operation}
    headers["Oriolelock-Deadline-Ms"] = "2000"
    if key:
        headers["Idempotency-Key"] = key
    return caller_request.CallerRequest("POST", "/p?q", tuple(headers.items()), body)


VIEW = make_request()
CONFIRM = make_request("confirm", f"{int(WALL)}-k")


def serve(item, req=VIEW):
    return item.serve(req, NOW, WALL).outcome


@pytest.mark.parametrize(
    ("listed", "outcome"),
    [
        ([REFUSED, GOOD], "ok"),
        ([NOT_SENT, GOOD], "ok"),
        ([LOST, GOOD], "ok"),
        ([BAD, GOOD], "ok"),
        ([TIMED_OUT], outcomes.Unknown("timeout")),
        ([REFUSED] * 4, outcomes.NotRun("endpoint-refused", 100.0)),
        # Once an attempt may have run, later refusals don't make it not run.
        ([LOST, REFUSED, NOT_SENT, REFUSED], outcomes.Unknown("connection-lost")),
        ([LOST, LOST], outcomes.Unknown("connection-lost")),
    ],
)
def test_idempotent_work_is_retried_elsewhere(listed, outcome):
    pool = Pool(*listed)
    result = serve(make_flow(pool))
    assert (result.body == b"ok") if outcome == "ok" else (result == outcome)
    assert pool.listed == []
    names = [name for _, name in pool.sent]
    assert len(set(names)) == len(names)
    assert [req.attempt for req, _ in pool.sent] == list(range(1, len(names) + 1))


@pytest.mark.parametrize(
    ("listed", "outcome", "settled"),
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
def test_work_that_must_not_run_twice_is_sent_again_only_if_not_run(listed, outcome, settled):
    pool, once = Pool(*listed), Once()
    result = serve(make_flow(pool, once), CONFIRM)
    assert outcome is None or result == outcome
    assert (pool.listed, once.settled) == ([], [settled])


def test_expired_lease_prevents_dispatch():
    pool, once = Pool(), Once(lease_end_s=NOW + client.LEASE_MARGIN_S)
    assert serve(make_flow(pool, once), CONFIRM) == outcomes.NotRun("record-unreachable")
    assert (pool.sent, once.settled) == ([], [("release", False)])


def test_lease_that_expires_between_attempts_prevents_the_next(monkeypatch):
    pool, once = Pool(REFUSED, GOOD), Once(lease_end_s=NOW + 1)

    def observe(item, result, fingerprint):
        monkeypatch.setattr(clock, "monotonic_s", lambda: NOW + 1)

    result = serve(make_flow(pool, once, observe=observe), CONFIRM)
    assert isinstance(result, outcomes.NotRun)
    assert (len(pool.sent), once.settled) == (1, [("release", False)])


def test_connecting_ends_with_the_lease():
    pool = Pool(GOOD)
    serve(make_flow(pool, Once(lease_end_s=NOW + 0.5)), CONFIRM)
    assert pool.sent[0][0].connect_s == pytest.approx(0.5)
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
    pool = Pool()
    assert serve(make_flow(pool, Once(answer)), CONFIRM) == outcome
    assert pool.sent == []


def test_retries_stay_within_the_budget():
    pool = Pool(*[REFUSED] * 1000)
    item = make_flow(pool)
    for _ in range(100):
        serve(item)
    assert len(pool.sent) <= 100 * (1 + basic.RETRY_SHARE) + basic.RETRY_BURST


def test_quarantined_request_is_not_sent():
    item = make_flow(Pool(GOOD))
    seen = []
    item._observe = lambda endpoint, result, fingerprint: seen.append(fingerprint)
    serve(item)
    crash = crash_record.CrashRecord(seen[0], (("e1", WALL), ("e2", WALL)), WALL + 60)
    cfg = fake_parent.make_config(endpoints=ENDPOINTS, crashes={seen[0]: crash})
    refused = serve(make_flow(Pool(), cfg=cfg))
    assert refused == outcomes.NotRun("quarantined", 60_000.0)
    other = make_request(body=b"other")
    assert isinstance(serve(make_flow(Pool(GOOD), cfg=cfg), other), outcomes.Complete)


def test_limit_of_requests_in_flight_is_given_back():
    cfg = fake_parent.make_config(
        endpoints=ENDPOINTS, presets={"day": fake_parent.make_preset(in_flight_limit=1)}
    )
    inner = []

    class Nested(Pool):
        def exchange(self, req, endpoint, timeout_s):
            if not inner:
                inner.append(None)
                inner[0] = serve(item)
            return GOOD

    item = make_flow(Nested(), cfg=cfg)
    assert isinstance(serve(item), outcomes.Complete)
    assert inner == [outcomes.NotRun("overloaded", 100.0)]
    assert isinstance(serve(item), outcomes.Complete)


def test_answer_and_request_lose_headers_of_the_connection():
    answer = (("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Load", "l"), ("Set-Cookie", "a"))
    pool = Pool(results.Completed(200, answer, b"", 0.1))
    req = caller_request.CallerRequest(
        "GET", "/", (*VIEW.headers, ("X-Request-Id", "forged"), ("TE", "x"), ("Cookie", "c")), b""
    )
    assert serve(make_flow(pool), req).headers == (("Set-Cookie", "a"),)
    sent = dict(pool.sent[0][0].headers)
    assert sent == {"Oriolelock-Operation": "view", "Cookie": "c"}

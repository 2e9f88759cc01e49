"""Guards against requests that run twice, or are called not run although they may have."""

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
    decisions = steering.Steering("a", "perth", 64, 32, random.Random(1))
    decisions.configure(cfg, NOW, WALL)
    for _ in range(100):
        decisions.first_attempt("proofs", NOW)
    return flow.Flow(
        lambda: cfg,
        lambda: True,
        pool,
        once or Once(),
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


def serve(item, req=VIEW, now=NOW):
    return item.serve(req, now, WALL).outcome


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
    class SlowPool(Pool):
        def exchange(self, req, endpoint, timeout_s):
            monkeypatch.setattr(clock, "monotonic_s", lambda: NOW + 1)
            return super().exchange(req, endpoint, timeout_s)

    pool, once = SlowPool(REFUSED, GOOD), Once(lease_end_s=NOW + 1)
    result = serve(make_flow(pool, once), CONFIRM)
    assert isinstance(result, outcomes.NotRun)
    assert (len(pool.sent), once.settled) == (1, [("release", False)])


def test_connecting_ends_with_the_lease():
    pool = Pool(GOOD)
    serve(make_flow(pool, Once(lease_end_s=NOW + 0.5)), CONFIRM)
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
    pool = Pool()
    assert serve(make_flow(pool, Once(answer)), CONFIRM) == outcome
    assert pool.sent == []


def test_retries_stay_within_the_budget():
    pool = Pool(*[BAD] * 1000)
    item = make_flow(pool)
    for _ in range(100):
        serve(item)
    allowed = retry_budget.MAX_TOKENS + 100 * retry_budget.RETRY_SHARE
    assert 100 < len(pool.sent) <= 100 + allowed


def test_quarantined_request_is_not_sent():
    mark = forwarding.fingerprint(caller_request.parse(VIEW, WALL), VIEW)
    crash = crash_record.CrashRecord(mark, (("e1", WALL), ("e2", WALL)), WALL + 60)
    cfg = fake_parent.make_config(endpoints=ENDPOINTS, crashes={mark: crash})
    refused = serve(make_flow(Pool(), cfg=cfg))
    assert refused == outcomes.NotRun("quarantined", 60_000.0)
    other = make_request(body=b"other")
    assert isinstance(serve(make_flow(Pool(GOOD), cfg=cfg), other), outcomes.Complete)


def test_death_of_an_endpoint_is_reported_and_not_tried_again():
    """A request that crashes endpoints must not go from one to the next by itself."""
    reported, pool = [], Pool(LOST, GOOD)
    item = make_flow(pool)
    item._report_crash = lambda mark, name: reported.append(name)
    item._is_refusing = lambda address: True
    assert serve(item) == outcomes.Unknown("connection-lost")
    assert reported == [pool.sent[0][1]]
    assert len(pool.sent) == 1


def test_limit_of_requests_in_flight_is_given_back(monkeypatch):
    monkeypatch.setattr(clock, "monotonic_s", time.monotonic)
    cfg = fake_parent.make_config(
        endpoints=ENDPOINTS, presets={"day": fake_parent.make_preset(in_flight_limit=1)}
    )
    inner = []

    class Nested(Pool):
        def exchange(self, req, endpoint, timeout_s):
            if not inner:
                inner.append(None)
                inner[0] = serve(item, make_request(deadline_ms=50), time.monotonic())
            return GOOD

    item = make_flow(Nested(), cfg=cfg)
    assert isinstance(serve(item, now=time.monotonic()), outcomes.Complete)
    assert inner == [outcomes.NotRun("deadline-passed")]
    assert isinstance(serve(item, now=time.monotonic()), outcomes.Complete)


def test_answer_and_request_lose_headers_of_the_connection():
    answer = (("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Load", "l"), ("Set-Cookie", "a"))
    pool = Pool(results.Completed(200, answer, b"", 0.1))
    req = caller_request.CallerRequest(
        "GET", "/", (*VIEW.headers, ("X-Request-Id", "forged"), ("TE", "x"), ("Cookie", "c")), b""
    )
    assert serve(make_flow(pool), req).headers == (("Set-Cookie", "a"),)
    sent = dict(pool.sent[0][0].headers)
    assert sent == {"Oriolelock-Operation": "view", "Cookie": "c"}

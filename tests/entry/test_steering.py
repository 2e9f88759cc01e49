"""Tests that no request waits for ever, overtakes others wrongly or keeps its slot."""

import concurrent.futures
import random
import threading
import time

import pytest

from oriolelock import clock, outcomes
from oriolelock.endpoints import results
from oriolelock.entry import steering
from tests import fake_parent, waiting

ENDPOINTS = [fake_parent.dead_endpoint(f"e{n}", f"10.0.0.{n}:80") for n in range(2)]
GOOD = results.Completed(200, (), b"ok", 0.01)
LOST = results.ConnectionLost(0.01)


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor(32) as executor:
        yield executor


def make_steering(threads=64, worker_slots=16, in_flight_limit=1):
    preset = fake_parent.make_preset(in_flight_limit=in_flight_limit)
    cfg = fake_parent.make_config(endpoints=ENDPOINTS, presets={"day": preset})
    decisions = steering.Steering("a", "perth", threads, worker_slots, random.Random(1))
    decisions.configure(cfg, clock.monotonic_s(), time.time())
    return decisions, preset.services[0]


def admit(decisions, policy, op="view", left_s=10.0, is_gone=lambda: False):
    now = clock.monotonic_s()
    return decisions.admit("proofs", policy.find_operation(op), now + left_s, now, is_gone)


def count_waiting(decisions):
    return sum(decisions.dump()["waiting"].values())


def test_queued_request_is_admitted_when_another_finishes(pool):
    decisions, policy = make_steering()
    first = admit(decisions, policy)
    second = pool.submit(admit, decisions, policy)
    waiting.until(lambda: count_waiting(decisions) == 1)
    decisions.leave(first, clock.monotonic_s())
    decisions.leave(second.result(5), clock.monotonic_s())
    assert decisions.dump()["scheduler"]["in_flight"] == 0


def test_request_of_a_disconnected_caller_leaves_the_queue(pool):
    decisions, policy = make_steering()
    admit(decisions, policy)
    caller_gone = threading.Event()
    second = pool.submit(admit, decisions, policy, is_gone=caller_gone.is_set)
    waiting.until(lambda: count_waiting(decisions) == 1)
    caller_gone.set()
    assert second.result(5) == outcomes.NotRun("caller-gone")
    assert count_waiting(decisions) == 0


def test_urgent_request_is_admitted_before_queued_ones(pool):
    decisions, policy = make_steering()
    first = admit(decisions, policy)
    finish_order = []

    def run(op):
        admitted = admit(decisions, policy, op)
        finish_order.append(op)
        decisions.leave(admitted, clock.monotonic_s())

    futures = [pool.submit(run, "view")]
    waiting.until(lambda: count_waiting(decisions) == 1)
    futures.append(pool.submit(run, "confirm"))
    waiting.until(lambda: count_waiting(decisions) == 2)
    decisions.leave(first, clock.monotonic_s())
    for fut in futures:
        fut.result(5)
    assert finish_order == ["confirm", "view"]


def test_flood_of_one_priority_leaves_threads_for_the_others(pool):
    """Each waiting request occupies a thread of the server."""
    decisions, policy = make_steering(threads=20, worker_slots=4)
    first = admit(decisions, policy)
    flood_futures = [pool.submit(admit, decisions, policy, left_s=5.0) for _ in range(12)]
    waiting.until(lambda: sum(fut.done() for fut in flood_futures) >= 9)
    assert count_waiting(decisions) <= 10 * steering.WAITING_THREAD_SHARES[1]
    refusal_reasons = [fut.result().reason for fut in flood_futures if fut.done()]
    assert set(refusal_reasons) == {"queue-full"}
    urgent = pool.submit(admit, decisions, policy, "confirm")
    waiting.until(lambda: decisions.dump()["waiting"]["urgent"] == 1)
    decisions.leave(first, clock.monotonic_s())
    decisions.leave(urgent.result(5), clock.monotonic_s())
    for fut in flood_futures:
        if not isinstance(fut.result(10), outcomes.NotRun):
            decisions.leave(fut.result(), clock.monotonic_s())


class LockWithPause:
    """A lock after which its thread pauses, so that others run before the next step."""

    def __init__(self):
        self._lock = threading.Lock()

    def __enter__(self):
        self._lock.acquire()

    def __exit__(self, *exc_info):
        self._lock.release()
        time.sleep(0.02)


def test_requests_that_arrive_together_take_more_than_their_share_of_the_threads(pool):
    decisions, policy = make_steering(threads=20, worker_slots=4)
    admit(decisions, policy)
    decisions._lock = LockWithPause()
    futures = [pool.submit(admit, decisions, policy, left_s=3.0) for _ in range(12)]
    concurrent.futures.wait(futures)
    reasons = [fut.result().reason for fut in futures]
    assert reasons.count("deadline-passed") == 3 and reasons.count("queue-full") == 9


def test_request_without_free_endpoint_waits_again(pool):
    decisions, policy = make_steering(in_flight_limit=50)
    admitted = admit(decisions, policy)
    chosen = []
    while target := decisions.choose("proofs", "view", clock.monotonic_s(), ()):
        chosen.append(target)
    readmission = pool.submit(decisions.wait_again, admitted, clock.monotonic_s())
    waiting.until(lambda: count_waiting(decisions) == 1)
    decisions.finished(chosen[0], GOOD, 0, "m", False, clock.monotonic_s())
    assert readmission.result(5) is admitted


def test_crash_is_reported_only_if_the_request_may_have_caused_it():
    decisions, policy = make_steering()
    now = clock.monotonic_s()
    target = decisions.choose("proofs", "view", now, ())
    decisions.finished(target, GOOD, 0, "popular", False, now)
    for fingerprint, is_death, expected in (
        ("popular", True, False),
        ("crashing", True, True),
        ("crashing", False, False),
    ):
        assert decisions.finished(target, LOST, 0, fingerprint, is_death, now) is expected

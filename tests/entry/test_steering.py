"""Guards against requests that wait for ever, jump the queue or keep a slot."""

import concurrent.futures
import random
import threading
import time

import pytest

from oriolelock import outcomes
from oriolelock.endpoints import results
from oriolelock.entry import steering
from tests import fake_parent, waiting

ENDPOINTS = [fake_parent.dead_endpoint(f"e{n}", f"10.0.0.{n}:80") for n in range(2)]
GOOD = results.Completed(200, (), b"ok", 0.01)
LOST = results.ConnectionLost(0.01)


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor(32) as item:
        yield item


def make(threads=64, worker_slots=16, in_flight_limit=1):
    preset = fake_parent.make_preset(in_flight_limit=in_flight_limit)
    cfg = fake_parent.make_config(endpoints=ENDPOINTS, presets={"day": preset})
    item = steering.Steering("a", "perth", threads, worker_slots, random.Random(1))
    item.configure(cfg, time.monotonic(), time.time())
    return item, preset.services[0]


def admit(item, policy, op="view", left_s=10.0, is_gone=lambda: False):
    now = time.monotonic()
    return item.admit("proofs", policy.find_operation(op), now + left_s, now, is_gone)


def count_waiting(item):
    return sum(item.dump()["waiting"].values())


def test_waiting_request_runs_when_another_leaves(pool):
    item, policy = make()
    first = admit(item, policy)
    second = pool.submit(admit, item, policy)
    waiting.until(lambda: count_waiting(item) == 1)
    item.leave(first, time.monotonic())
    item.leave(second.result(5), time.monotonic())
    assert item.dump()["scheduler"]["in_flight"] == 0


def test_caller_that_goes_away_leaves_the_queue(pool):
    item, policy = make()
    admit(item, policy)
    gone = threading.Event()
    second = pool.submit(admit, item, policy, is_gone=gone.is_set)
    waiting.until(lambda: count_waiting(item) == 1)
    gone.set()
    assert second.result(5) == outcomes.NotRun("caller-gone")
    assert count_waiting(item) == 0


def test_urgent_request_goes_before_those_that_wait(pool):
    item, policy = make()
    first = admit(item, policy)
    order = []

    def run(op):
        held = admit(item, policy, op)
        order.append(op)
        item.leave(held, time.monotonic())

    futures = [pool.submit(run, "view")]
    waiting.until(lambda: count_waiting(item) == 1)
    futures.append(pool.submit(run, "confirm"))
    waiting.until(lambda: count_waiting(item) == 2)
    item.leave(first, time.monotonic())
    for fut in futures:
        fut.result(5)
    assert order == ["confirm", "view"]


def test_flood_of_one_priority_leaves_threads_for_the_others(pool):
    """Each waiting request holds a thread of the server."""
    item, policy = make(threads=20, worker_slots=4)
    first = admit(item, policy)
    flood = [pool.submit(admit, item, policy, left_s=5.0) for _ in range(12)]
    waiting.until(lambda: sum(fut.done() for fut in flood) >= 9)
    assert count_waiting(item) <= 10 * steering.WAITING_PARTS[1]
    refused = [fut.result().reason for fut in flood if fut.done()]
    assert set(refused) == {"queue-full"}
    urgent = pool.submit(admit, item, policy, "confirm")
    waiting.until(lambda: item.dump()["waiting"]["urgent"] == 1)
    item.leave(first, time.monotonic())
    item.leave(urgent.result(5), time.monotonic())
    for fut in flood:
        if not isinstance(fut.result(10), outcomes.NotRun):
            item.leave(fut.result(), time.monotonic())


def test_no_endpoint_puts_the_request_back(pool):
    item, policy = make(in_flight_limit=50)
    held = admit(item, policy)
    taken = []
    while found := item.choose("proofs", "view", time.monotonic(), ()):
        taken.append(found)
    again = pool.submit(item.wait_again, held, time.monotonic())
    waiting.until(lambda: count_waiting(item) == 1)
    item.finished(taken[0], GOOD, 0, "m", False, time.monotonic())
    assert again.result(5) is held


def test_only_a_death_that_may_be_the_requests_doing_is_reported():
    item, policy = make()
    now = time.monotonic()
    found = item.choose("proofs", "view", now, ())
    item.finished(found, GOOD, 0, "popular", False, now)
    for mark, is_death, expected in (
        ("popular", True, False),
        ("crashing", True, True),
        ("crashing", False, False),
    ):
        assert item.finished(found, LOST, 0, mark, is_death, now) is expected

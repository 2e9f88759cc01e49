"""Guards against floods that delay urgent work, starve other work or occupy all slots."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.admission import decisions, scheduler, shares, work_item
from oriolelock.model import preset, priority, service_policy

URGENT, NORMAL, DEFERRABLE = priority.Priority


def make_scheduler(
    worker_slots=20, services=("s",), queue_limit=40, in_flight=1000, endpoint_capacity=None
):
    sched = scheduler.Scheduler(worker_slots, endpoint_capacity)
    policies = tuple(
        service_policy.ServicePolicy(name, (), {}, queue_limit, in_flight) for name in services
    )
    sched.configure(preset.Preset("p", policies, {}, 0.1, 1000, 0.05, 4000, 0.8))
    return sched


def make_item(name, level=NORMAL, service="s", deadline_s=1000.0):
    return work_item.WorkItem(str(name), service, level, deadline_s)


def offer_many(sched, count, level, now=0.0, prefix="", service="s"):
    items = [make_item(f"{prefix}{level}-{n}", level, service) for n in range(count)]
    return items, [sched.offer(item, now) for item in items]


def take_all(sched, now):
    return list(iter(lambda: sched.take(now), None))


def test_urgent_goes_first_and_each_priority_keeps_its_share():
    sched = make_scheduler(worker_slots=1, queue_limit=3000)
    sched.offer(make_item("first", URGENT), 0.0)
    for level in (DEFERRABLE, NORMAL, URGENT):
        offer_many(sched, 900, level)
    order, last = [], make_item("first", URGENT)
    for step in range(1000):
        sched.finish(last, step * 0.001)
        last = sched.take(step * 0.001)
        order.append(last.priority)
    assert order[0] == URGENT
    assert abs(order.count(URGENT) - 500) <= 5 and abs(order.count(NORMAL) - 350) <= 5
    assert abs(order.count(DEFERRABLE) - 150) <= 5


def test_flood_of_slow_deferrable_work_leaves_a_slot_for_urgent_work():
    sched = make_scheduler()
    offer_many(sched, 60, DEFERRABLE)
    assert sched.dump()["in_flight"] == 18
    assert isinstance(sched.offer(make_item("u", URGENT), 0.0), decisions.Queued)
    assert [taken.item_id for taken in take_all(sched, 0.0)] == ["u"]


def test_full_worker_slots_of_urgent_work_still_serve_normal_work():
    sched = make_scheduler(queue_limit=100)
    running = [
        item
        for item, decision in zip(*offer_many(sched, 60, URGENT), strict=True)
        if is_admitted(decision)
    ]
    offer_many(sched, 10, NORMAL)
    for finished in running[:10]:
        sched.finish(finished, 0.01)
    assert sum(taken.priority == NORMAL for taken in take_all(sched, 0.01)) >= 3


def is_admitted(decision):
    return isinstance(decision, decisions.Admitted)


def test_flood_of_one_service_leaves_slots_for_the_others():
    sched = make_scheduler(worker_slots=40, services=("a", "b"))
    offer_many(sched, 80, URGENT, service="a")
    assert sched.dump()["services"]["a"]["in_flight"] == 35
    assert is_admitted(sched.offer(make_item("b", DEFERRABLE, "b"), 0.0))


def test_endpoint_capacity_limits_admissions():
    sched = make_scheduler(endpoint_capacity=lambda service, now: 3)
    _, admissions = offer_many(sched, 5, URGENT)
    assert sum(map(is_admitted, admissions)) == 3
    assert sched.take(0.0) is None


def test_full_queue_displaces_lower_priority_and_reports_it():
    sched = make_scheduler(worker_slots=1, queue_limit=10)
    offer_many(sched, 12, DEFERRABLE)
    assert sched.offer(make_item("d", DEFERRABLE), 0.0).reason == "queue-full"
    assert isinstance(sched.offer(make_item("u", URGENT), 0.0), decisions.Queued)
    evicted = sched.pop_evicted()
    assert [(e.item.priority, e.reason) for e in evicted] == [(DEFERRABLE, "queue-full")]


def test_queue_full_of_urgent_work_reserves_places_for_normal_work():
    sched = make_scheduler(worker_slots=1, queue_limit=10)
    offer_many(sched, 12, URGENT)
    _, admissions = offer_many(sched, 5, NORMAL)
    assert [isinstance(a, decisions.Queued) for a in admissions] == [True] * 3 + [False] * 2


def test_wait_beyond_the_deadline_is_refused_early_until_the_queue_recovers():
    sched = make_scheduler(worker_slots=1)
    held = make_item("held")
    sched.offer(held, 0.0)
    for n in range(10):
        sched.offer(make_item(n), 0.0)
    for n in range(5):
        sched.finish(held, n + 1.0)
        held = sched.take(n + 1.0)
    refusal = sched.offer(make_item("late", deadline_s=6.0), 5.0)
    assert refusal.reason == "deadline-unmeetable" and refusal.retry_after_ms > 1000
    assert isinstance(sched.offer(make_item("patient", deadline_s=60.0), 5.0), decisions.Queued)
    sched.finish(held, 9.0)
    for _ in range(6):
        sched.finish(sched.take(9.0), 9.0)
    assert is_admitted(sched.offer(make_item("after", deadline_s=9.1), 9.0))


def test_expired_items_never_run_and_are_reported():
    sched = make_scheduler(worker_slots=1)
    held = make_item("held")
    sched.offer(held, 0.0)
    sched.offer(make_item("short", deadline_s=1.0), 0.0)
    sched.finish(held, 2.0)
    assert sched.take(2.0) is None
    assert [e.reason for e in sched.pop_evicted()] == ["deadline-passed"]


def test_put_back_item_is_next_and_holds_no_slot():
    sched = make_scheduler(worker_slots=1)
    held = make_item("held")
    sched.offer(held, 0.0)
    sched.offer(make_item("x"), 0.0)
    sched.offer(make_item("y"), 0.0)
    sched.finish(held, 0.1)
    sched.requeue(sched.take(0.1), 0.1)
    assert sched.dump()["in_flight"] == 0
    assert sched.take(0.2).item_id == "x"


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.integers(0, 2**32), st.integers(1, 12), st.integers(1, 12))
def test_every_item_ends_once_and_no_slot_is_lost(seed, slots, limit):
    rng = random.Random(seed)
    sched = make_scheduler(worker_slots=slots, services=("a", "b"), queue_limit=limit)
    running, waiting, ended, now = [], {}, [], 0.0
    for n in range(150):
        now += rng.random() * 0.1
        item = make_item(
            n, rng.choice(list(priority.Priority)), rng.choice("ab"), now + rng.random()
        )
        decision = sched.offer(item, now)
        if isinstance(decision, decisions.Queued):
            waiting[item.item_id] = item
        else:
            (running if is_admitted(decision) else ended).append(item)
        for evicted in sched.pop_evicted():
            ended.append(waiting.pop(evicted.item.item_id))
        if running and rng.random() < 0.6:
            finished = running.pop(rng.randrange(len(running)))
            sched.finish(finished, now)
            ended.append(finished)
        if waiting and rng.random() < 0.1:
            cancelled = waiting.pop(rng.choice(sorted(waiting)))
            assert sched.cancel(cancelled, now) and not sched.cancel(cancelled, now)
            ended.append(cancelled)
        for taken in take_all(sched, now):
            assert taken.deadline_s > now
            running.append(waiting.pop(taken.item_id))
        for evicted in sched.pop_evicted():
            ended.append(waiting.pop(evicted.item.item_id))
        assert sched.dump()["in_flight"] == len(running) <= slots
    assert len(ended) + len(running) + len(waiting) == 150


def test_urgent_flood_does_not_displace_items_in_reserved_places():
    sched = make_scheduler(worker_slots=1, queue_limit=10)
    offer_many(sched, 2, DEFERRABLE)
    _, admissions = offer_many(sched, 12, URGENT)
    assert sum(isinstance(a, decisions.Queued) for a in admissions) == 9
    assert sched.pop_evicted() == []


def test_stalled_queue_refuses_unmeetable_deadlines():
    sched = make_scheduler(worker_slots=1)
    offer_many(sched, 3, NORMAL)
    assert sched.offer(make_item("x", deadline_s=12.0), 10.0).reason == "deadline-unmeetable"


def test_priority_that_stopped_waiting_keeps_no_credit():
    deficits = shares.Deficits()
    for _ in range(4):
        deficits.charge(0, [True, True, False])
    deficits.charge(0, [True, False, False])
    assert deficits.choose([True, True, False]) == 0

"""Guards against a flood at 3 times capacity that starves other priorities."""

import heapq
import random

from oriolelock.admission import decisions, shares, work_item
from oriolelock.model import priority
from tests.admission import test_scheduler

SLOTS, MEAN_S, DEADLINE_S, END_S = 20, 0.05, 0.5, 10.0
CAPACITY_PER_S = SLOTS / MEAN_S


def run_flood(flooding, single_queue=False, seed=3):
    """Return per priority the share served in time and the 99th percentile wait in ms.

    The flooding priority offers 3 times the capacity, each other priority 15% of it.
    """
    rng = random.Random(seed)
    sched = test_scheduler.make_scheduler(worker_slots=SLOTS, queue_limit=200)
    rates = [CAPACITY_PER_S * (3.0 if p == flooding else 0.15) for p in priority.Priority]
    offered, waits = [0, 0, 0], [[], [], []]
    completions, now, item_count = [], 0.0, 0
    while now < END_S:
        now += rng.expovariate(sum(rates))
        while completions and completions[0][0] <= now:
            completed_at, _, finished = heapq.heappop(completions)
            sched.finish(finished, completed_at)
            start_waiting(sched, completed_at, completions, waits, rng)
        level = rng.choices(list(priority.Priority), rates)[0]
        item_count += 1
        queue_level = priority.Priority.NORMAL if single_queue else level
        item = work_item.WorkItem(str(item_count), "s", queue_level, now + DEADLINE_S, (now, level))
        offered[level] += 1
        if isinstance(sched.offer(item, now), decisions.Admitted):
            start_item(item, now, completions, waits, rng)
        start_waiting(sched, now, completions, waits, rng)
    return [
        (round(len(w) / n, 2), round(sorted(w)[int(len(w) * 0.99)] * 1000) if w else None)
        for w, n in zip(waits, offered, strict=True)
    ]


def start_item(item, now, completions, waits, rng):
    offered_at, level = item.payload
    waits[level].append(now - offered_at)
    heapq.heappush(completions, (now + rng.expovariate(1 / MEAN_S), item.item_id, item))


def start_waiting(sched, now, completions, waits, rng):
    while item := sched.take(now):
        start_item(item, now, completions, waits, rng)
    sched.pop_evicted()


def test_flood_of_deferrable_work_does_not_slow_urgent_work():
    results = run_flood(priority.Priority.DEFERRABLE)
    print(
        "shares", results, "one queue", run_flood(priority.Priority.DEFERRABLE, single_queue=True)
    )
    urgent, normal, deferrable = results
    assert urgent[0] > 0.99 and normal[0] > 0.99 and urgent[1] <= 20 and deferrable[0] > 0.2


def test_flood_of_urgent_work_leaves_normal_and_deferrable_work_their_shares(monkeypatch):
    urgent, normal, deferrable = results = run_flood(priority.Priority.URGENT)
    monkeypatch.setattr(shares, "DEFAULT_SHARES", (0.0, 0.0, 0.0))
    results_without_shares = run_flood(priority.Priority.URGENT)
    print("shares", results, "without", results_without_shares)
    assert normal[0] > 0.95 and deferrable[0] > 0.85 and urgent[0] > 0.2
    assert results_without_shares[1][0] < 0.1 and results_without_shares[2][0] < 0.1

"""Guards against an endpoint kept overloaded, and against a limit that never recovers."""

import random

import pytest

from oriolelock.admission import limiter


def make(slots=6):
    result = limiter.Limiter()
    result.configure({"e": slots})
    return result


def limit_of(limit, now=1e9):
    return limit.limit("e", now)


def answers(limit, count, latency_s, start=0.0, in_flight=None):
    for n in range(count):
        used = limit_of(limit) if in_flight is None else in_flight
        limit.completed("e", "op", latency_s, used, start + n * 0.1)


def test_sheds_lower_the_limit_to_one_and_answers_raise_it_to_the_slots():
    limit = make()
    for n in range(20):
        limit.shed("e", float(n))
    assert limit_of(limit) == 1
    answers(limit, 200, 0.02, 30.0)
    assert limit_of(limit) == 6


def test_new_entry_uses_all_slots_after_a_few_round_trips():
    limit = make(slots=8)
    answers(limit, 40, 0.2)
    assert limit_of(limit) == 8


def test_sheds_of_one_overload_count_once():
    limit = make()
    for _ in range(10):
        limit.shed("e", 1.0)
    assert limit_of(limit) == 2


def test_latency_over_the_baseline_lowers_the_limit():
    limit = make()
    answers(limit, 60, 0.02)
    answers(limit, 200, 0.2, 7.0)
    assert limit_of(limit) <= 2


@pytest.mark.parametrize("seed", range(12))
def test_service_times_that_vary_do_not_lower_the_limit(seed):
    rng, limit, total = random.Random(seed), make(4), 0
    for n in range(2000):
        used = limit.limit("e", n * 0.05)
        total += used
        limit.completed("e", rng.choice("abc"), rng.expovariate(5), used, n * 0.05)
    assert total / 2000 > 0.9 * 4


def test_unused_limit_does_not_grow():
    limit = make()
    answers(limit, 100, 0.02, in_flight=1)
    assert limit_of(limit) == 3


def test_shed_at_the_floor_pauses_for_a_moment():
    limit = make(slots=1)
    limit.shed("e", 5.0)
    assert limit.limit("e", 5.001) == 0 and limit.limit("e", 6.0) == 1


def run_step(entries, slots, step):
    """One round trip of 100 ms in which all entries send as much as they may."""
    now, used, full = step * 0.1, [0] * len(entries), set()
    sheds = 0
    for turn in range(slots * len(entries)):
        entry = (step + turn) % len(entries)
        if entry in full or used[entry] >= entries[entry].limit("e", now):
            continue
        if sum(used) >= slots:
            sheds += 1
            full.add(entry)
            entries[entry].shed("e", now)
        else:
            used[entry] += 1
    for entry, count in enumerate(used):
        for _ in range(count):
            entries[entry].completed("e", "op", 0.1, count, now + 0.1)
    return sheds, sum(used)


@pytest.mark.parametrize("slots", [3, 6, 9])
def test_four_entries_share_slots_without_asking_one_another(slots):
    entries = [make(slots) for _ in range(4)]
    results = [run_step(entries, slots, step) for step in range(4000)]
    sheds, served = map(sum, zip(*results, strict=True))
    assert sheds / (sheds + served) < (0.15 if slots < len(entries) else 0.06)
    assert served / 4000 / slots > 0.9

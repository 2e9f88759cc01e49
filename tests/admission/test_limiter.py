"""Guards against sustained endpoint overload, and against a limit that never recovers."""

import random

import pytest

from oriolelock.admission import limiter


def make_limiter(slots=6):
    limits = limiter.Limiter()
    limits.configure({"e": slots})
    return limits


def current_limit(limits, now=1e9):
    return limits.limit("e", now)


def complete_requests(limits, count, latency_s, start=0.0, in_flight=None):
    for n in range(count):
        reported_in_flight = current_limit(limits) if in_flight is None else in_flight
        limits.record_completion("e", "op", latency_s, reported_in_flight, start + n * 0.1)


def test_sheds_lower_the_limit_to_one_and_completions_raise_it_to_the_slots():
    limits = make_limiter()
    for n in range(20):
        limits.record_shed("e", float(n))
    assert current_limit(limits) == 1
    complete_requests(limits, 200, 0.02, 30.0)
    assert current_limit(limits) == 6


def test_new_entry_uses_all_slots_after_a_few_round_trips():
    limits = make_limiter(slots=8)
    complete_requests(limits, 40, 0.2)
    assert current_limit(limits) == 8


def test_sheds_of_one_overload_count_once():
    limits = make_limiter()
    for _ in range(10):
        limits.record_shed("e", 1.0)
    assert current_limit(limits) == 2


def test_latency_over_the_baseline_lowers_the_limit():
    limits = make_limiter()
    complete_requests(limits, 60, 0.02)
    complete_requests(limits, 200, 0.2, 7.0)
    assert current_limit(limits) <= 2


@pytest.mark.parametrize("seed", range(12))
def test_service_times_that_vary_do_not_lower_the_limit(seed):
    rng, limits, total = random.Random(seed), make_limiter(4), 0
    for n in range(2000):
        in_flight = limits.limit("e", n * 0.05)
        total += in_flight
        limits.record_completion("e", rng.choice("abc"), rng.expovariate(5), in_flight, n * 0.05)
    assert total / 2000 > 0.9 * 4


def test_unused_limit_does_not_grow():
    limits = make_limiter()
    complete_requests(limits, 100, 0.02, in_flight=1)
    assert current_limit(limits) == 3


def test_shed_at_the_minimum_limit_pauses_briefly():
    limits = make_limiter(slots=1)
    limits.record_shed("e", 5.0)
    assert limits.limit("e", 5.001) == 0 and limits.limit("e", 6.0) == 1


def simulate_round_trip(limiters, slots, step):
    """Simulate a round trip of 100 ms in which every entry sends up to its limit."""
    now, in_flight, full = step * 0.1, [0] * len(limiters), set()
    sheds = 0
    for position in range(slots * len(limiters)):
        entry = (step + position) % len(limiters)
        if entry in full or in_flight[entry] >= limiters[entry].limit("e", now):
            continue
        if sum(in_flight) >= slots:
            sheds += 1
            full.add(entry)
            limiters[entry].record_shed("e", now)
        else:
            in_flight[entry] += 1
    for entry, count in enumerate(in_flight):
        for _ in range(count):
            limiters[entry].record_completion("e", "op", 0.1, count, now + 0.1)
    return sheds, sum(in_flight)


@pytest.mark.parametrize("slots", [3, 6, 9])
def test_four_entries_share_slots_without_coordination(slots):
    limiters = [make_limiter(slots) for _ in range(4)]
    results = [simulate_round_trip(limiters, slots, step) for step in range(4000)]
    sheds, served = map(sum, zip(*results, strict=True))
    assert sheds / (sheds + served) < (0.15 if slots < len(limiters) else 0.06)
    assert served / 4000 / slots > 0.9

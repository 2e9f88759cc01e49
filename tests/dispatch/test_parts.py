"""Route matching, weighted splitting, retry budgets, cold quotas, service times, costs."""

import random

import pytest

from oriolelock.dispatch import (
    cold_quota,
    costs,
    retry_budget,
    route_index,
    service_times,
    splitter,
)
from oriolelock.model import route, route_table
from tests.dispatch import builders


def make_index(*prefixes):
    routes = {p: builders.make_route(p, prefix=p) for p in prefixes}
    return route_index.RouteIndex(route_table.RouteTable(1, routes))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "/a/"),
        ("/a/b/x", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a", None),
        ("/ab/x", None),
        ("/", None),
        ("/a/c/d/e", "/a/"),
    ],
)
def test_longest_prefix_wins(path, expected):
    match = make_index("/a/", "/a/b/").find("H.Example:8080", path)
    assert (match and match.prefix) == expected


def test_unknown_host_has_no_route():
    assert make_index("/").find("other.example", "/x") is None
    assert make_index("/").find("h.example", "/x").prefix == "/"


def test_splitter_keeps_each_part_within_one_request_of_its_weight():
    parts = (route.Part("x", 90.0), route.Part("y", 10.0), route.Part("z", 0.0))
    weighted = splitter.Splitter(parts, random.Random(3))
    selected = [weighted.next_service() for _ in range(200)]
    assert abs(selected.count("x") - 180) <= 1
    assert abs(selected.count("y") - 20) <= 1
    assert "z" not in selected


def test_retries_stay_within_the_entrys_share_of_the_budget():
    budget = retry_budget.RetryBudget(ratio=0.2, allowance=60.0, window_s=10.0)
    for n in range(100):
        budget.record_request(n * 0.05)
    allowed = sum(budget.try_spend(10, 5.0) for _ in range(100))
    assert allowed <= 0.2 * 100 + 60 / 10
    assert allowed >= 5
    assert not budget.try_spend(10, 9.0)
    # After the window there are no requests left, but the allowance is available again.
    assert budget.try_spend(10, 30.0)


def test_retries_of_all_entries_stay_within_the_fleet_budget():
    budgets = [retry_budget.RetryBudget(0.2, 60.0, 10.0) for _ in range(10)]
    for budget in budgets:
        for _ in range(20):
            budget.record_request(1.0)
    total = sum(budget.try_spend(10, 2.0) for budget in budgets for _ in range(50))
    assert total <= 0.2 * 200 + 60


def test_an_entry_that_restarts_in_a_window_keeps_to_its_share():
    """Guards against retries over the budget after a restart, which forgets the earlier ones."""
    share = 0.2 * 100 + 60 / 10
    spent = 0
    for started_s, now in ((0.0, 19.0), (20.0, 21.0)):
        budget = retry_budget.RetryBudget(0.2, 60.0, 10.0, started_s)
        for _ in range(100):
            budget.record_request(now)
        while budget.try_spend(10, now):
            spent += 1
    assert share / 2 < spent <= share


def test_cold_endpoint_receives_one_request_per_second_from_few_entries():
    entries = [f"e{n}" for n in range(12)]
    permitted = [
        name for name in entries if cold_quota.is_permitted_sender("x", 4.2, entries, name)
    ]
    assert len(permitted) == 4
    quota = cold_quota.ColdQuota()
    sent = 0
    for step in range(100):
        now = step * 0.1
        if quota.may_send("x", now):
            quota.record_sent("x", now)
            sent += 1
    assert sent <= 10


def test_chance_of_a_cached_object_is_learned_from_requests_of_others():
    """Answers to a load of which each entry sees a small part, and others have warmed the objects.

    Until it knows of an object, an entry would expect all of its requests to take the long time.
    """
    times = service_times.ServiceTimes(1.0, True)
    assert times.hit_rate(False, True) == 0.0
    assert times.expected_s(times.hit_rate(False, True)) == times.cold_s
    for _ in range(40):
        times.record_unknown(True, True)
    assert times.hit_rate(False, True) > 0.9
    assert times.hit_rate(False, False) == 0.0
    assert times.hit_rate(True, False) == 1.0
    for _ in range(40):
        times.record_unknown(False, True)
    assert times.hit_rate(False, True) < 0.1


def test_warm_and_cold_service_times_are_estimated_separately():
    times = service_times.ServiceTimes(0.6, True)
    for _ in range(100):
        times.observe(0.26, warm=True)
        times.observe(0.88, warm=False)
    assert times.warm_s == pytest.approx(0.26, abs=0.02)
    assert times.cold_s == pytest.approx(0.88, abs=0.05)
    # An unexpected miss must not be recorded as a hit.
    for _ in range(50):
        times.observe(0.9, warm=True)
    assert times.warm_s == pytest.approx(0.26, abs=0.02)


def test_first_measurements_replace_the_initial_estimate():
    times = service_times.ServiceTimes(4.0, True)
    for _ in range(4):
        times.observe(3.5, warm=False)
    assert times.cold_s == pytest.approx(3.5, abs=0.5)


def test_time_cost_is_monotonic_and_highest_past_the_deadline():
    cost_values = [costs.time_cost(hundredths / 100, 0.6, 1.2) for hundredths in range(1, 130)]
    assert cost_values == sorted(cost_values)
    assert costs.time_cost(1.2, 0.6, 1.2) == costs.MISSED_COST
    assert costs.time_cost(0.3, -0.1, 1.0) >= costs.LATE_COST

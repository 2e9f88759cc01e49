"""Guards against a picker that is worse than the baselines under stale reports."""

import heapq
import random

import pytest

from oriolelock.routing import load, pickers, result, service_load
from tests.routing import builders

ENTRIES, RATE_PER_S, REQUESTS = 4, 380.0, 12_000
SLOTS_AND_MEAN_S = ((3, 0.05), (3, 0.05), (6, 0.05), (9, 0.05), (6, 0.10))
REPORT_EVERY_S = 1.0


def run_model(name, seed=7, misleading=False):
    """Return the sorted latencies of entries that share unequal endpoints with a queue each.

    Capacity is 480 requests per second, so the load is 79%. Reports are up to a second old. With
    ``misleading`` the slow endpoint always reports that it is idle.
    """
    rng = random.Random(seed)
    shared = [service_load.ServiceLoad() for _ in range(ENTRIES)]
    views = [
        [
            load.EndpointLoad(builders.make_endpoint(str(n), slots=s), shared[e])
            for n, (s, _) in enumerate(SLOTS_AND_MEAN_S)
        ]
        for e in range(ENTRIES)
    ]
    picks = [pickers.find_picker(name) for _ in range(ENTRIES)]
    free_at = [[0.0] * slots for slots, _ in SLOTS_AND_MEAN_S]
    ends, latencies, now, next_report = [], [], 0.0, 0.0
    for _ in range(REQUESTS):
        now += rng.expovariate(RATE_PER_S)
        while ends and ends[0][0] <= now:
            at, entry, number, latency_s = heapq.heappop(ends)
            views[entry][number].in_flight -= 1
            views[entry][number].observe_latency(shared[entry].observe_latency("op", latency_s), at)
        if now >= next_report:
            next_report = now + REPORT_EVERY_S
            totals = [sum(views[e][n].in_flight for e in range(ENTRIES)) for n in range(5)]
            totals[-1] *= not misleading
            for own in views:
                for number, view in enumerate(own):
                    view.report(result.LoadReport(totals[number], view.endpoint.slots), now)
        entry = rng.randrange(ENTRIES)
        view = picks[entry](views[entry], now, rng)
        number = int(view.endpoint.name)
        start = max(now, heapq.heappop(free_at[number]))
        end = start + rng.expovariate(1.0 / SLOTS_AND_MEAN_S[number][1])
        heapq.heappush(free_at[number], end)
        view.in_flight += 1
        latencies.append(end - now)
        heapq.heappush(ends, (end, entry, number, end - now))
    return sorted(latencies)


def percentiles_ms(latencies):
    return [round(latencies[int(len(latencies) * q)] * 1000) for q in (0.5, 0.95, 0.99)]


@pytest.mark.parametrize("misleading", [False, True])
def test_p2c_beats_the_baselines_with_unequal_endpoints_and_stale_reports(misleading):
    found = {n: percentiles_ms(run_model(n, misleading=misleading)) for n in pickers.PICKERS}
    print(found)
    for quantile in range(3):
        best = min(found["round_robin"][quantile], found["least_in_flight"][quantile])
        assert found["p2c"][quantile] < 0.9 * best


def test_unknown_picker_is_refused_with_the_known_names():
    with pytest.raises(LookupError, match="least_in_flight, p2c, round_robin"):
        pickers.find_picker("best")

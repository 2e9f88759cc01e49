"""Guards against a picker that performs worse than the baselines with stale reports."""

import heapq
import random

import pytest

from oriolelock.routing import load, pickers, result, service_load
from tests.routing import builders

ENTRIES, RATE_PER_S, REQUESTS = 4, 380.0, 12_000
SLOTS_AND_MEAN_SERVICE_S = ((3, 0.05), (3, 0.05), (6, 0.05), (9, 0.05), (6, 0.10))
REPORT_INTERVAL_S = 1.0


def simulate(name, seed=7, misleading=False):
    """Return the sorted latencies for entries that share unequal endpoints with one queue each.

    Capacity is 480 requests per second, so the load is 79%. Reports are up to one second old.
    With ``misleading``, the slow endpoint always reports that it is idle.
    """
    rng = random.Random(seed)
    shared = [service_load.ServiceLoad() for _ in range(ENTRIES)]
    loads = [
        [
            load.EndpointLoad(builders.make_endpoint(str(n), slots=s), shared[e])
            for n, (s, _) in enumerate(SLOTS_AND_MEAN_SERVICE_S)
        ]
        for e in range(ENTRIES)
    ]
    entry_pickers = [pickers.find_picker(name) for _ in range(ENTRIES)]
    free_at = [[0.0] * slots for slots, _ in SLOTS_AND_MEAN_SERVICE_S]
    completions, latencies, now, next_report = [], [], 0.0, 0.0
    for _ in range(REQUESTS):
        now += rng.expovariate(RATE_PER_S)
        while completions and completions[0][0] <= now:
            completed_at, entry, number, latency_s = heapq.heappop(completions)
            loads[entry][number].in_flight -= 1
            loads[entry][number].observe_latency(
                shared[entry].observe_latency("op", latency_s), completed_at
            )
        if now >= next_report:
            next_report = now + REPORT_INTERVAL_S
            totals = [sum(loads[e][n].in_flight for e in range(ENTRIES)) for n in range(5)]
            totals[-1] *= not misleading
            for entry_loads in loads:
                for number, endpoint_load in enumerate(entry_loads):
                    endpoint_load.apply_report(
                        result.LoadReport(totals[number], endpoint_load.endpoint.slots), now
                    )
        entry = rng.randrange(ENTRIES)
        endpoint_load = entry_pickers[entry](loads[entry], now, rng)
        number = int(endpoint_load.endpoint.name)
        start = max(now, heapq.heappop(free_at[number]))
        end = start + rng.expovariate(1.0 / SLOTS_AND_MEAN_SERVICE_S[number][1])
        heapq.heappush(free_at[number], end)
        endpoint_load.in_flight += 1
        latencies.append(end - now)
        heapq.heappush(completions, (end, entry, number, end - now))
    return sorted(latencies)


def percentiles_ms(latencies):
    return [round(latencies[int(len(latencies) * q)] * 1000) for q in (0.5, 0.95, 0.99)]


@pytest.mark.parametrize("misleading", [False, True])
def test_p2c_beats_the_baselines_with_unequal_endpoints_and_stale_reports(misleading):
    percentiles = {n: percentiles_ms(simulate(n, misleading=misleading)) for n in pickers.PICKERS}
    print(percentiles)
    for quantile in range(3):
        best = min(percentiles["round_robin"][quantile], percentiles["least_in_flight"][quantile])
        assert percentiles["p2c"][quantile] < 0.9 * best


def test_unknown_picker_is_refused_with_the_known_names():
    with pytest.raises(LookupError, match="least_in_flight, p2c, round_robin"):
        pickers.find_picker("best")

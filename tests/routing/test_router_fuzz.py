"""Guards against states that no single case reaches: lost counts, work for closed endpoints."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.routing import result
from tests.routing import builders


def random_cfg(rng):
    endpoints = [
        builders.make_endpoint(
            f"{r}{n}", r, rng.randint(1, 9), rng.choice(["live", "live", "leaving"])
        )
        for r in "abc"
        for n in range(rng.randint(0, 3))
    ]
    drains = [builders.make_drain("region", "b", 0, 9e9)] if rng.random() < 0.3 else []
    weights = {r: rng.random() for r in "abc" if rng.random() < 0.5}
    return builders.make_cfg(endpoints, rng.randint(1, 11), weights, drains)


def random_report(rng):
    if rng.random() < 0.5:
        return None
    state = rng.choice(["serving", "serving", "cold", "draining"])
    return result.LoadReport(rng.randint(0, 12), 6, rng.randint(0, 3), state, rng.random())


def check_choice(bench, used):
    assert bench.cfg.endpoints[used.endpoint.name].state == "live"
    state = bench.router.dump()
    here = state["services"]["s"]["endpoints"][used.endpoint.name]
    assert here["drained"] > 0
    if not used.probe:
        assert used.endpoint.name not in state["services"]["s"]["ejected"]
        assert here["in_flight"] < max(1, state["limits"][used.endpoint.name])


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.integers(0, 2**32))
def test_random_events_keep_counts_and_never_use_closed_endpoints(seed):
    rng = random.Random(seed)
    bench, running = builders.Bench(random_cfg(rng), seed=seed), []
    for _ in range(200):
        bench.now += rng.choice([0.0, 0.01, 0.1, 3.0])
        if rng.random() < 0.03:
            bench.configure(random_cfg(rng))
        if rng.random() < 0.1:
            bench.report_all(rng.randint(0, 9), rng.choice("abc"))
        used = bench.choose(rng.choice(["read", "book", "none"]), size=rng.randint(0, 10**6))
        if used:
            check_choice(bench, used)
            bench.router.started(used, bench.now)
            running.append(used)
        if running and rng.random() < 0.7:
            done = running.pop(rng.randrange(len(running)))
            kind = rng.choice(list(result.Kind))
            bench.finish(done, kind, rng.expovariate(50), random_report(rng))
        assert bench.router.room("s", bench.now) >= 0
    for used in running:
        bench.finish(used)
    services = bench.router.dump()["services"]
    here = services["s"]["endpoints"].values() if services else ()
    assert all(item["in_flight"] == 0 for item in here)

"""Guards against wrong in-flight counts and work sent to unavailable endpoints."""

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


def check_choice(harness, chosen):
    assert harness.cfg.endpoints[chosen.endpoint.name].state == "live"
    state = harness.router.dump()
    endpoint_state = state["services"]["s"]["endpoints"][chosen.endpoint.name]
    assert endpoint_state["drained"] > 0
    if not chosen.is_probe:
        assert chosen.endpoint.name not in state["services"]["s"]["ejected"]
        assert endpoint_state["in_flight"] < max(1, state["limits"][chosen.endpoint.name])


@settings(derandomize=True, database=None, deadline=None, max_examples=60)
@given(st.integers(0, 2**32))
def test_random_events_keep_counts_and_never_use_closed_endpoints(seed):
    rng = random.Random(seed)
    harness, running = builders.RouterHarness(random_cfg(rng), seed=seed), []
    for _ in range(200):
        harness.now += rng.choice([0.0, 0.01, 0.1, 3.0])
        if rng.random() < 0.03:
            harness.configure(random_cfg(rng))
        if rng.random() < 0.1:
            harness.report_all(rng.randint(0, 9), rng.choice("abc"))
        chosen = harness.choose(rng.choice(["read", "book", "none"]), size=rng.randint(0, 10**6))
        if chosen:
            check_choice(harness, chosen)
            harness.router.started(chosen, harness.now)
            running.append(chosen)
        if running and rng.random() < 0.7:
            completed = running.pop(rng.randrange(len(running)))
            kind = rng.choice(list(result.Kind))
            harness.finish(completed, kind, rng.expovariate(50), random_report(rng))
        assert harness.router.in_flight_limit("s", harness.now) >= 0
    for chosen in running:
        harness.finish(chosen)
    services = harness.router.dump()["services"]
    endpoints = services["s"]["endpoints"].values() if services else ()
    assert all(endpoint_state["in_flight"] == 0 for endpoint_state in endpoints)

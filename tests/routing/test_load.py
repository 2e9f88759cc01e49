"""Guards against routing by stale or misleading load reports."""

from oriolelock.routing import load, result, service_load
from tests.routing import builders


def make_load(slots=6, averages=None):
    return load.EndpointLoad(
        builders.make_endpoint("e", slots=slots), averages or service_load.ServiceLoad()
    )


def test_report_decays_towards_the_average_load():
    endpoint_load = make_load()
    endpoint_load.apply_report(result.LoadReport(6, 6), 0.0)
    fresh, old, oldest = (endpoint_load.occupancy(at) for at in (0.0, 2.0, 60.0))
    assert fresh == 1.0 and 0.5 < old < 0.6 and oldest < 0.1


def test_older_report_does_not_replace_a_newer_one():
    endpoint_load = make_load()
    endpoint_load.apply_report(result.LoadReport(6, 6), 10.0)
    assert not endpoint_load.apply_report(result.LoadReport(0, 6, age_s=5.0), 11.0)
    assert endpoint_load.occupancy(10.0) == 1.0


def test_own_requests_are_not_counted_twice():
    endpoint_load = make_load()
    endpoint_load.in_flight = 4
    endpoint_load.apply_report(result.LoadReport(4, 6), 0.0)
    endpoint_load.in_flight = 1
    assert abs(endpoint_load.occupancy(0.0) - 1 / 6) < 1e-9


def test_endpoint_that_reports_idle_but_sheds_counts_as_full():
    endpoint_load = make_load()
    endpoint_load.apply_report(result.LoadReport(0, 6), 0.0)
    endpoint_load.observe_shed(0.0)
    endpoint_load.apply_report(result.LoadReport(0, 6), 0.1)
    assert (
        endpoint_load.occupancy(0.1) > 0.9
        and endpoint_load.trust < 0.8
        and endpoint_load.allowance(0.1, 1) < 0.5
    )


def test_endpoint_that_reports_idle_but_is_slow_loses_trust_and_regains_it():
    endpoint_load = make_load()
    endpoint_load.apply_report(result.LoadReport(0, 6), 0.0)
    for n in range(20):
        endpoint_load.observe_latency(5.0, n * 0.01)
    assert endpoint_load.trust < 0.1 and endpoint_load.score(0.2) > 3 * make_load().score(0.2)
    for n in range(60):
        endpoint_load.observe_latency(1.0, 1.0 + n * 0.01)
    assert endpoint_load.trust > 0.9


def test_endpoint_that_reports_a_queue_but_is_fast_loses_trust():
    endpoint_load = make_load()
    endpoint_load.apply_report(result.LoadReport(6, 6, 6), 0.0)
    for n in range(20):
        endpoint_load.observe_latency(0.5, n * 0.01)
    assert endpoint_load.trust < 0.1


def test_slowness_decays_so_that_the_endpoint_is_tried_again():
    endpoint_load = make_load()
    for n in range(20):
        endpoint_load.observe_latency(8.0, n * 0.01)
    assert endpoint_load.slowness(0.2) > 5 and endpoint_load.slowness(60.0) < 1.2


def test_endpoint_that_fails_fast_does_not_look_best():
    endpoint_load, idle = make_load(), make_load()
    idle.in_flight = 2
    for n in range(10):
        endpoint_load.observe_error(n * 0.01)
    assert endpoint_load.score(0.1) > idle.score(0.1)


def test_endpoint_that_others_keep_busy_scores_worse():
    busy, idle = make_load(), make_load()
    busy.apply_report(result.LoadReport(6, 6), 0.0)
    idle.apply_report(result.LoadReport(0, 6), 0.0)
    assert busy.score(0.0) > 1.5 * idle.score(0.0)
    busy.trust = 0.0
    assert busy.score(0.0) < 1.5 * idle.score(0.0)


def test_endpoint_that_just_shed_scores_as_full():
    shedding, in_use = make_load(), make_load()
    shedding.observe_shed(0.0)
    in_use.in_flight = 4
    assert shedding.score(0.0) > in_use.score(0.0) and shedding.score(20.0) < in_use.score(20.0)

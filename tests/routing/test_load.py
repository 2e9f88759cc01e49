"""Guards against routing by reports that are old or misleading."""

from oriolelock.routing import load, result, service_load
from tests.routing import builders


def make(slots=6, shared=None):
    return load.EndpointLoad(
        builders.make_endpoint("e", slots=slots), shared or service_load.ServiceLoad()
    )


def test_report_fades_towards_the_usual_load():
    view = make()
    view.report(result.LoadReport(6, 6), 0.0)
    fresh, old, ancient = (view.occupancy(at) for at in (0.0, 2.0, 60.0))
    assert fresh == 1.0 and 0.5 < old < 0.6 and ancient < 0.1


def test_older_report_does_not_replace_a_newer_one():
    view = make()
    view.report(result.LoadReport(6, 6), 10.0)
    assert not view.report(result.LoadReport(0, 6, age_s=5.0), 11.0)
    assert view.occupancy(10.0) == 1.0


def test_own_requests_are_not_counted_twice():
    view = make()
    view.in_flight = 4
    view.report(result.LoadReport(4, 6), 0.0)
    view.in_flight = 1
    assert abs(view.occupancy(0.0) - 1 / 6) < 1e-9


def test_endpoint_that_reports_idle_but_sheds_counts_as_full():
    view = make()
    view.report(result.LoadReport(0, 6), 0.0)
    view.observe_shed(0.0)
    view.report(result.LoadReport(0, 6), 0.1)
    assert view.occupancy(0.1) > 0.9 and view.trust < 0.8 and view.allowance(0.1, 1) < 0.5


def test_endpoint_that_reports_idle_but_is_slow_loses_trust_and_regains_it():
    view = make()
    view.report(result.LoadReport(0, 6), 0.0)
    for n in range(20):
        view.observe_latency(5.0, n * 0.01)
    assert view.trust < 0.1 and view.score(0.2) > 3 * make().score(0.2)
    for n in range(60):
        view.observe_latency(1.0, 1.0 + n * 0.01)
    assert view.trust > 0.9


def test_endpoint_that_reports_a_queue_but_is_fast_loses_trust():
    view = make()
    view.report(result.LoadReport(6, 6, 6), 0.0)
    for n in range(20):
        view.observe_latency(0.5, n * 0.01)
    assert view.trust < 0.1


def test_slowness_is_forgotten_so_that_the_endpoint_is_tried_again():
    view = make()
    for n in range(20):
        view.observe_latency(8.0, n * 0.01)
    assert view.slowness(0.2) > 5 and view.slowness(60.0) < 1.2


def test_endpoint_that_fails_fast_does_not_look_best():
    view, idle = make(), make()
    idle.in_flight = 2
    for n in range(10):
        view.observe_error(n * 0.01)
    assert view.score(0.1) > idle.score(0.1)


def test_endpoint_that_others_keep_busy_scores_worse():
    busy, idle = make(), make()
    busy.report(result.LoadReport(6, 6), 0.0)
    idle.report(result.LoadReport(0, 6), 0.0)
    assert busy.score(0.0) > 1.5 * idle.score(0.0)
    busy.trust = 0.0
    assert busy.score(0.0) < 1.5 * idle.score(0.0)


def test_endpoint_that_just_shed_scores_as_full():
    shedding, used = make(), make()
    shedding.observe_shed(0.0)
    used.in_flight = 4
    assert shedding.score(0.0) > used.score(0.0) and shedding.score(20.0) < used.score(20.0)

"""Endpoint selection: cost, eligibility, cold endpoints, admission."""

from oriolelock.dispatch import decisions, endpoint_view, restarts
from oriolelock.model import drain
from tests.dispatch import builders


def make_chooser(endpoints, **overrides):
    return builders.make_chooser(
        builders.configure(
            [builders.make_endpoint(name, domain) for name, domain in endpoints], **overrides
        )
    )


OWN_REGION = [("x1", "a1"), ("x2", "a1"), ("x3", "a2")]
OTHER_REGION = [("y1", "b1"), ("y2", "b1")]


def test_all_entries_of_a_region_choose_the_same_endpoint_for_an_object():
    cfg = builders.configure([builders.make_endpoint(n, d) for n, d in OWN_REGION])
    for key in (f"k{n}" for n in range(20)):
        chosen = {
            builders.make_chooser(cfg, name=name)
            .choose(builders.make_context(key), 0.0)
            .view.endpoint.name
            for name in ("e1", "e2", "e3")
        }
        assert len(chosen) == 1


def test_repeated_requests_for_an_object_use_the_endpoint_that_cached_it():
    chooser = make_chooser(OWN_REGION)
    first = chooser.choose(builders.make_context(), 0.0)
    assert not first.warm
    chooser.started(first, 1, 0.0)
    first.view.ended(1)
    chooser.answered(first, builders.make_context(), 0.9, None, False, 0.9)
    second = chooser.choose(builders.make_context(), 1.0)
    assert second.view is first.view
    assert second.warm


def test_an_object_moves_away_from_a_saturated_endpoint():
    chooser = make_chooser(OWN_REGION)
    first = chooser.choose(builders.make_context(), 0.0).view
    first.reported(endpoint_view.Load(4, 12, 4), 0.0)
    assert chooser.choose(builders.make_context(), 0.0).view is not first


def test_other_regions_are_used_only_without_usable_endpoints_in_the_own_region():
    chooser = make_chooser(OWN_REGION + OTHER_REGION)
    selections = [chooser.choose(builders.make_context(f"k{n}"), 0.0) for n in range(30)]
    assert not any(decision.cross_region for decision in selections)
    for name in ("x1", "x2", "x3"):
        chooser.views[name].record_failure(0.0)
    assert chooser.choose(builders.make_context(), 0.1).cross_region


def test_drained_and_tried_endpoints_are_not_selected():
    domain_drain = drain.Drain("d", "failure_domain", "a1", 0.0, 0.0, True)
    chooser = make_chooser(OWN_REGION, drains=[domain_drain])
    for n in range(10):
        assert chooser.choose(builders.make_context(f"k{n}"), 0.0).view.endpoint.name == "x3"
    decision = chooser.choose(builders.make_context(tried=("x3",)), 0.0)
    assert isinstance(decision, decisions.Refuse)
    assert decision.reason == "no-endpoint"


def test_endpoints_need_a_health_check_after_a_drain():
    domain_drain = drain.Drain("d", "failure_domain", "a1", 0.0, 0.0, True)
    endpoints = [builders.make_endpoint(n, d) for n, d in OWN_REGION]
    chooser = builders.make_chooser(builders.configure(endpoints, drains=[domain_drain]))
    chooser.configure(builders.configure(endpoints), 1.0, 1000.0)
    unchecked = restarts.State.UNCHECKED
    assert chooser.restarts.state(chooser.views["x1"].restart_digest, 20.0) is unchecked
    assert not chooser.restarts.state(chooser.views["x3"].restart_digest, 20.0).is_open


def test_a_route_with_allowed_regions_uses_only_those():
    chooser = make_chooser(OWN_REGION + OTHER_REGION)
    regional = builders.make_route(regions=("b",))
    assert (
        chooser.choose(builders.make_context(request_route=regional), 0.0).view.endpoint.region
        == "b"
    )
    unserved = builders.make_route(regions=("c",))
    assert isinstance(
        chooser.choose(builders.make_context(request_route=unserved), 0.0), decisions.Refuse
    )


def test_cold_endpoints_get_few_requests():
    cfg = builders.configure([builders.make_endpoint("x1", cold=True)], cold_rate=4.0)
    chooser = builders.make_chooser(cfg)
    sent = 0
    for step in range(30):
        decision = chooser.choose(builders.make_context(f"k{step}"), step * 0.1)
        if isinstance(decision, decisions.Send):
            chooser.started(decision, step, step * 0.1)
            decision.view.ended(step)
            sent += 1
    assert 1 <= sent <= 4


def test_overload_is_refused_with_a_retry_delay():
    chooser = make_chooser(OWN_REGION)
    for view in chooser.views.values():
        view.reported(endpoint_view.Load(4, 40, 4), 0.0)
    decision = chooser.choose(builders.make_context(), 0.0)
    assert isinstance(decision, decisions.Refuse)
    assert decision.reason == "overloaded"
    assert decision.retry_after_s > 0.0


def test_urgent_requests_may_queue_longer_than_deferrable_ones():
    chooser = make_chooser(OWN_REGION)
    for view in chooser.views.values():
        view.reported(endpoint_view.Load(4, 8, 4), 0.0)
    urgent = builders.make_route(priority=0, timeout_ms=8000.0)
    deferrable = builders.make_route(name="q", priority=2, timeout_ms=8000.0)
    assert isinstance(
        chooser.choose(builders.make_context(request_route=urgent, left_s=8.0), 0.0), decisions.Send
    )
    assert isinstance(
        chooser.choose(builders.make_context(request_route=deferrable, left_s=8.0), 0.0),
        decisions.Refuse,
    )


def test_a_restarted_endpoint_has_no_cached_objects():
    before = builders.make_endpoint("x1", started_ms=1)
    chooser = builders.make_chooser(builders.configure([before]))
    chooser.views["x1"].record_object("k", 0.0)
    restarted = builders.make_endpoint("x1", started_ms=2)
    chooser.configure(builders.configure([restarted]), 1.0, 1000.0)
    assert not chooser.views["x1"].has_object("k")


def test_row_that_is_left_out_for_a_while_does_not_hide_open_connections():
    """Guards against an end that goes unnoticed, as the list left out the endpoint before."""
    listed = [builders.make_endpoint("x1"), builders.make_endpoint("x2")]
    chooser = builders.make_chooser(builders.configure(listed))
    contact = chooser.views["x1"].contact
    contact.opened(True, 1.0)
    for time_s, endpoints in ((2.0, listed[1:]), (3.0, listed)):
        chooser.configure(builders.configure(endpoints), time_s, 1000.0 + time_s)
    assert chooser.views["x1"].contact is contact
    restarted = builders.make_endpoint("x1", started_ms=1_003_000)
    chooser.configure(builders.configure([restarted, listed[1]]), 4.0, 1004.0)
    assert chooser.views["x1"].contact is not contact

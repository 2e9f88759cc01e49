"""Which endpoint gets a request, and when it is refused."""

from oriolelock.dispatch import decisions, endpoint_view
from oriolelock.model import drain
from tests.dispatch import builders


def make(names, **more):
    return builders.make_chooser(
        builders.configure([builders.make_endpoint(n, d) for n, d in names], **more)
    )


NEAR = [("x1", "a1"), ("x2", "a1"), ("x3", "a2")]
FAR = [("y1", "b1"), ("y2", "b1")]


def test_all_entries_of_a_region_choose_the_same_endpoint_for_an_object():
    cfg = builders.configure([builders.make_endpoint(n, d) for n, d in NEAR])
    for key in (f"k{n}" for n in range(20)):
        chosen = {
            builders.make_chooser(cfg, name=name).choose(builders.ask(key), 0.0).view.endpoint.name
            for name in ("e1", "e2", "e3")
        }
        assert len(chosen) == 1


def test_an_object_stays_where_it_is_at_hand():
    found = make(NEAR)
    first = found.choose(builders.ask(), 0.0)
    assert not first.warm
    found.started(first, 1, 0.0)
    first.view.ended(1)
    found.answered(first, builders.ask(), 0.9, None, False, 0.9)
    again = found.choose(builders.ask(), 1.0)
    assert again.view is first.view
    assert again.warm


def test_a_full_endpoint_passes_the_object_on():
    found = make(NEAR)
    first = found.choose(builders.ask(), 0.0).view
    first.reported(endpoint_view.Load(4, 12, 4), 0.0)
    assert found.choose(builders.ask(), 0.0).view is not first


def test_own_region_first_and_others_when_it_has_none():
    found = make(NEAR + FAR)
    chosen = [found.choose(builders.ask(f"k{n}"), 0.0) for n in range(30)]
    assert not any(item.away for item in chosen)
    for name in ("x1", "x2", "x3"):
        found.views[name].failed(0.0)
    assert found.choose(builders.ask(), 0.1).away


def test_drained_and_tried_endpoints_are_left_out():
    item = drain.Drain("d", "failure_domain", "a1", 0.0, 0.0, True)
    found = make(NEAR, drains=[item])
    for n in range(10):
        assert found.choose(builders.ask(f"k{n}"), 0.0).view.endpoint.name == "x3"
    refused = found.choose(builders.ask(tried=("x3",)), 0.0)
    assert isinstance(refused, decisions.Refuse)
    assert refused.reason == "no-endpoint"


def test_endpoints_taken_back_are_checked_first():
    item = drain.Drain("d", "failure_domain", "a1", 0.0, 0.0, True)
    endpoints = [builders.make_endpoint(n, d) for n, d in NEAR]
    found = builders.make_chooser(builders.configure(endpoints, drains=[item]))
    found.configure(builders.configure(endpoints), 1.0, 1000.0)
    assert found.views["x1"].needs_check
    assert not found.views["x3"].needs_check


def test_only_home_regions_serve_a_route_that_has_some():
    found = make(NEAR + FAR)
    item = builders.make_route(regions=("b",))
    assert found.choose(builders.ask(item=item), 0.0).view.endpoint.region == "b"
    nowhere = builders.make_route(regions=("c",))
    assert isinstance(found.choose(builders.ask(item=nowhere), 0.0), decisions.Refuse)


def test_cold_endpoints_get_few_requests():
    cfg = builders.configure([builders.make_endpoint("x1", cold=True)], cold_rate=4.0)
    found = builders.make_chooser(cfg)
    sent = 0
    for step in range(30):
        answer = found.choose(builders.ask(f"k{step}"), step * 0.1)
        if isinstance(answer, decisions.Send):
            found.started(answer, step, step * 0.1)
            answer.view.ended(step)
            sent += 1
    assert 1 <= sent <= 4


def test_what_cannot_finish_in_time_is_refused_with_a_time_to_come_back():
    found = make(NEAR)
    for view in found.views.values():
        view.reported(endpoint_view.Load(4, 40, 4), 0.0)
    refused = found.choose(builders.ask(), 0.0)
    assert isinstance(refused, decisions.Refuse)
    assert refused.reason == "overloaded"
    assert refused.retry_after_s > 0.0


def test_urgent_requests_wait_where_others_are_refused():
    found = make(NEAR)
    for view in found.views.values():
        view.reported(endpoint_view.Load(4, 8, 4), 0.0)
    urgent = builders.make_route(priority=0, timeout_ms=8000.0)
    late = builders.make_route(name="q", priority=2, timeout_ms=8000.0)
    assert isinstance(found.choose(builders.ask(item=urgent, left_s=8.0), 0.0), decisions.Send)
    assert isinstance(found.choose(builders.ask(item=late, left_s=8.0), 0.0), decisions.Refuse)


def test_a_restart_under_the_same_name_forgets_everything():
    old = builders.make_endpoint("x1", started_ms=1)
    found = builders.make_chooser(builders.configure([old]))
    found.views["x1"].handled("k", 0.0)
    new = builders.make_endpoint("x1", started_ms=2)
    found.configure(builders.configure([new]), 1.0, 1000.0)
    assert not found.views["x1"].has_object("k")

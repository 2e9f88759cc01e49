"""Estimates of load, speed, cache and availability of one endpoint."""

import pytest

from oriolelock.dispatch import endpoint_view
from tests.dispatch import builders


def make_view(**overrides):
    return endpoint_view.EndpointView(builders.make_endpoint("x", **overrides))


def test_expected_wait_covers_load_reports_and_own_requests():
    view = make_view(slots=4)
    assert view.expected_wait_s(0.4, 0.0) == 0.0
    view.reported(endpoint_view.Load(4, 4, 4), 0.0)
    assert view.expected_wait_s(0.4, 0.0) == pytest.approx(0.5)
    # The weight of a report decays.
    assert view.expected_wait_s(0.4, 10.0) < 0.1
    for n in range(8):
        view.record_start(n, 0.4, 10.0)
    assert view.expected_wait_s(0.4, 10.0) >= 0.5


def test_slowness_includes_overdue_requests_and_decays():
    view = make_view()
    view.record_start(1, 0.2, 0.0)
    assert view.slowness(0.25) == 1.0
    assert view.slowness(1.0) == pytest.approx(5.0)
    view.ended(1)
    for n in range(20):
        view.answered(6.0, False, 1.0 + n * 0.01)
    slow = view.slowness(1.3)
    assert slow > 4.0
    assert view.slowness(20.0) < 1.5


def test_unreachable_endpoint_backs_off_until_a_health_check():
    view = make_view()
    view.record_failure(0.0)
    assert not view.is_usable(10.0)
    first_s = view.ejected_until_s
    view.record_failure(1.0)
    assert view.ejected_until_s - 1.0 > first_s
    view.record_health_check(endpoint_view.Health(True, "x", cold_ms=2000.0), 3.0, 5.0)
    assert view.is_usable(5.0)
    assert view.is_cold(6.9)
    assert not view.is_cold(7.1)


def test_health_check_answered_by_another_endpoint_keeps_the_ejection():
    view = make_view()
    view.record_failure(0.0)
    view.record_health_check(endpoint_view.Health(True, "y"), 3.0, 1.0)
    assert not view.is_usable(1.1)


def test_estimated_cache_size_shrinks_after_misses():
    view = make_view()
    for n in range(40):
        view.record_object(f"k{n}", 0.0)
    assert view.has_object("k0")
    for _ in range(30):
        view.record_cache_outcome(False)
    view.record_object("k40", 1.0)
    assert not view.has_object("k0")
    assert view.has_object("k40")


def test_leaving_endpoint_is_not_used():
    assert not make_view(state="leaving").is_usable(0.0)

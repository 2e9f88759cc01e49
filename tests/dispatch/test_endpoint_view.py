"""What an entry believes of one endpoint."""

import pytest

from oriolelock.dispatch import endpoint_view
from tests.dispatch import builders


def make_view(**more):
    return endpoint_view.EndpointView(builders.make_endpoint("x", **more))


def test_wait_follows_reports_and_own_requests():
    view = make_view(slots=4)
    assert view.wait_s(0.4, 0.0) == 0.0
    view.reported(endpoint_view.Load(4, 4, 4), 0.0)
    assert view.wait_s(0.4, 0.0) == pytest.approx(0.5)
    # Old reports count less.
    assert view.wait_s(0.4, 10.0) < 0.1
    for n in range(8):
        view.started(n, 0.4, 10.0)
    assert view.wait_s(0.4, 10.0) >= 0.5


def test_slowness_shows_before_the_answer_and_fades():
    view = make_view()
    view.started(1, 0.2, 0.0)
    assert view.slowness(0.25) == 1.0
    assert view.slowness(1.0) == pytest.approx(5.0)
    view.ended(1)
    for n in range(20):
        view.answered(6.0, False, 1.0 + n * 0.01)
    slow = view.slowness(1.3)
    assert slow > 4.0
    assert view.slowness(20.0) < 1.5


def test_unreachable_endpoint_rests_and_needs_a_check():
    view = make_view()
    view.failed(0.0)
    assert not view.is_usable(10.0)
    first_s = view.out_until_s
    view.failed(1.0)
    assert view.out_until_s - 1.0 > first_s
    view.checked(endpoint_view.Health(True, "x", cold_ms=2000.0), 3.0, 5.0)
    assert view.is_usable(5.0)
    assert view.is_cold(6.9)
    assert not view.is_cold(7.1)


def test_check_by_another_endpoint_keeps_it_out():
    view = make_view()
    view.failed(0.0)
    view.checked(endpoint_view.Health(True, "y"), 3.0, 1.0)
    assert not view.is_usable(1.1)


def test_what_it_keeps_is_learned():
    view = make_view()
    for n in range(40):
        view.handled(f"k{n}", 0.0)
    assert view.has_object("k0")
    for _ in range(30):
        view.found(False)
    view.handled("k40", 1.0)
    assert not view.has_object("k0")
    assert view.has_object("k40")


def test_leaving_endpoint_is_not_used():
    assert not make_view(state="leaving").is_usable(0.0)

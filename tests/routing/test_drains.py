"""Guards against new work for drained targets, and against drains that stop work abruptly."""

import pytest

from oriolelock.model import member
from oriolelock.routing import bandwidth, drains, slow_start, spill
from tests.routing import builders

WALL_S = builders.WALL_S


def test_work_is_reduced_gradually_and_ends_before_the_deadline():
    planned_drain = builders.make_drain("endpoint", "e")
    shares = [
        drains.work_share(planned_drain, WALL_S + offset_s) for offset_s in (9, 10, 50, 90, 111)
    ]
    assert shares == [1.0, 1.0, 0.5, 0.0, 0.0]


@pytest.mark.parametrize("scope,target", [("endpoint", "e"), ("failure_domain", "a1")])
def test_drain_covers_its_scope_only(scope, target):
    covered, other = builders.make_endpoint("e"), builders.make_endpoint("x", "b")
    planned_drains = [builders.make_drain(scope, target)]
    assert drains.endpoint_share(drains.find_covering(planned_drains, covered), WALL_S + 50) == 0.5
    assert drains.find_covering(planned_drains, other) == ()


def test_endpoints_of_a_drained_region_stop_at_the_deadline():
    covering_drains = drains.find_covering(
        [builders.make_drain("region", "a")], builders.make_endpoint("e")
    )
    assert drains.endpoint_share(covering_drains, WALL_S + 109) == 1.0
    assert drains.endpoint_share(covering_drains, WALL_S + 110) == 0.0


@pytest.mark.parametrize("scope,target", [("entry", "n"), ("failure_domain", "f"), ("region", "r")])
def test_drained_or_leaving_entry_gets_fewer_lookups(scope, target):
    planned_drains = [builders.make_drain(scope, target)]
    live = member.Member("n", "entry", "", "", "r", "f")
    leaving = member.Member("n", "entry", "", "", "r", "f", "leaving")
    assert drains.entry_share(planned_drains, live, WALL_S + 50) == 0.5
    assert (
        drains.entry_share([], live, WALL_S) == 1.0
        and drains.entry_share([], leaving, WALL_S) == 0.0
    )


def test_slow_start_rises_and_holds_while_cold():
    assert [slow_start.share(0.0, False, at) for at in (0.0, 10.0)] == [0.1, 1.0]
    assert slow_start.share(0.0, True, 60.0) == slow_start.MAX_COLD_SHARE
    assert slow_start.share(None, False, 0.0) == 1.0


def test_bandwidth_over_time_stays_at_the_rate():
    bucket, sent_bytes = bandwidth.TokenBucket(1000.0, 0.0), 0
    for step in range(10_000):
        if bucket.can_send(100, step * 0.001):
            bucket.consume(100, step * 0.001)
            sent_bytes += 100
    assert 9_800 <= sent_bytes <= 10_250
    assert bandwidth.rate_bytes_s(4000, 0.8, 4) == 100e6


def test_response_larger_than_its_estimate_is_charged():
    bucket = bandwidth.TokenBucket(1000.0, 0.0)
    bucket.consume(2000, 0.0)
    assert not bucket.can_send(1, 1.0) and bucket.can_send(1, 3.0)


@pytest.mark.parametrize("rotation", range(5))
def test_shares_of_all_entries_add_up_to_the_headroom(rotation):
    for headroom in range(20):
        offsets = [
            spill.rounding_offset(n, 5, rotation * spill.ROTATION_INTERVAL_S) for n in range(5)
        ]
        assert sum(int(headroom / 5 + rounding + 1e-9) for rounding in offsets) == headroom

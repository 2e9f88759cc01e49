"""Guards against new work for what is drained, and against drains that cut off suddenly."""

import pytest

from oriolelock.model import member
from oriolelock.routing import bandwidth, drains, slow_start, spill
from tests.routing import builders

WALL = builders.WALL


def test_work_is_reduced_gradually_and_ends_before_the_deadline():
    item = builders.make_drain("endpoint", "e")
    shares = [drains.work_share(item, WALL + at) for at in (9, 10, 50, 90, 111)]
    assert shares == [1.0, 1.0, 0.5, 0.0, 0.0]


@pytest.mark.parametrize("scope,target", [("endpoint", "e"), ("failure_domain", "a1")])
def test_drain_covers_its_scope_only(scope, target):
    item, other = builders.make_endpoint("e"), builders.make_endpoint("x", "b")
    planned = [builders.make_drain(scope, target)]
    assert drains.endpoint_share(drains.matching(planned, item), WALL + 50) == 0.5
    assert drains.matching(planned, other) == ()


def test_endpoints_of_a_drained_region_stop_at_the_deadline():
    found = drains.matching([builders.make_drain("region", "a")], builders.make_endpoint("e"))
    assert drains.endpoint_share(found, WALL + 109) == 1.0
    assert drains.endpoint_share(found, WALL + 110) == 0.0


@pytest.mark.parametrize("scope,target", [("entry", "n"), ("failure_domain", "f"), ("region", "r")])
def test_drained_or_leaving_entry_gets_fewer_lookups(scope, target):
    planned = [builders.make_drain(scope, target)]
    live = member.Member("n", "entry", "", "", "r", "f")
    gone = member.Member("n", "entry", "", "", "r", "f", "leaving")
    assert drains.entry_share(planned, live, WALL + 50) == 0.5
    assert drains.entry_share([], live, WALL) == 1.0 and drains.entry_share([], gone, WALL) == 0.0


def test_slow_start_rises_and_holds_while_cold():
    assert [slow_start.share(0.0, False, at) for at in (0.0, 10.0)] == [0.1, 1.0]
    assert slow_start.share(0.0, True, 60.0) == slow_start.COLD_FACTOR
    assert slow_start.share(None, False, 0.0) == 1.0


def test_bandwidth_over_time_stays_at_the_rate():
    bucket, sent = bandwidth.Bucket(1000.0, 0.0), 0
    for step in range(10_000):
        if bucket.has(100, step * 0.001):
            bucket.spend(100, step * 0.001)
            sent += 100
    assert 9_800 <= sent <= 10_250
    assert bandwidth.rate_bytes_s(4000, 0.8, 4) == 100e6


def test_response_larger_than_its_estimate_is_paid_for():
    bucket = bandwidth.Bucket(1000.0, 0.0)
    bucket.spend(2000, 0.0)
    assert not bucket.has(1, 1.0) and bucket.has(1, 3.0)


@pytest.mark.parametrize("turn", range(5))
def test_parts_of_all_entries_add_up_to_the_headroom(turn):
    for headroom in range(20):
        offsets = [spill.offset(n, 5, turn * spill.ROUND_S) for n in range(5)]
        assert sum(int(headroom / 5 + part + 1e-9) for part in offsets) == headroom

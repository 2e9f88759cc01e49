"""Guards against one request that crashes endpoint after endpoint, and against blocking the
popular requests of a failed region."""

import time

import pytest

from oriolelock.admission import fingerprint, quarantine
from oriolelock.model import crash_record

WALL_S = 1_000_000.0


def test_one_death_stops_retries_and_two_block_for_the_quarantine():
    tracker = quarantine.Quarantine()
    assert tracker.record_death("f", "e", 0.0) and not tracker.may_retry("f", 1.0, WALL_S)
    assert not tracker.is_blocked("f", 1.0, WALL_S) and tracker.may_retry("other", 1.0, WALL_S)
    assert tracker.record_death("f", "e", 10.0) and tracker.is_blocked("f", 11.0, WALL_S)
    assert tracker.is_blocked("f", 9.0 + crash_record.QUARANTINE_S, WALL_S)
    assert not tracker.is_blocked("f", 11.0 + crash_record.QUARANTINE_S, WALL_S)


def test_two_deaths_far_apart_do_not_block():
    tracker = quarantine.Quarantine()
    tracker.record_death("f", "e", 0.0)
    tracker.record_death("f", "e", crash_record.WINDOW_S + 1)
    assert not tracker.is_blocked("f", crash_record.WINDOW_S + 2, WALL_S)


def test_quarantine_known_to_control_blocks_until_it_ends():
    tracker = quarantine.Quarantine()
    record = crash_record.CrashRecord("f", (("e", WALL_S),), WALL_S + 600)
    tracker.configure({"f": record})
    assert tracker.is_blocked("f", 0.0, WALL_S + 599) and not tracker.is_blocked(
        "f", 0.0, WALL_S + 601
    )
    assert not tracker.may_retry("f", 0.0, WALL_S + 1)


def test_failed_region_does_not_quarantine_popular_requests():
    tracker = quarantine.Quarantine()
    tracker.record_completion("f", 0.0)
    assert not any(tracker.record_death("f", "e", 1.0 + n * 0.01) for n in range(10))
    assert tracker.may_retry("f", 2.0, WALL_S) and not tracker.is_blocked("f", 2.0, WALL_S)
    assert tracker.record_death("f", "e", 70.0)


def test_request_that_continues_to_crash_endpoints_is_quarantined():
    tracker = quarantine.Quarantine()
    tracker.record_completion("f", 0.0)
    deaths = [tracker.record_death("f", "e", at) for at in (1.0, 8.0, 15.0)]
    assert deaths == [False, True, True] and tracker.is_blocked("f", 16.0, WALL_S)


def test_tables_stay_bounded():
    tracker = quarantine.Quarantine()
    for n in range(quarantine.MAX_COMPLETED + 50):
        tracker.record_completion(str(n), float(n))
        tracker.record_death(f"x{n}", "a", float(n))
        tracker.record_death(f"x{n}", "b", float(n))
        tracker.record_death(str(n), "e", float(n))
    sizes = tracker.dump()
    assert sizes["completed"] <= quarantine.MAX_COMPLETED
    assert max(sizes["suspects"], sizes["blocked"]) <= quarantine.MAX_SUSPECTS
    assert len(tracker._first_ignored_death) <= quarantine.MAX_SUSPECTS + 1


def test_several_requests_on_an_endpoint_that_dies_count_as_one_death():
    """Two copies of a new request on one endpoint must not be quarantined by a single crash."""
    tracker = quarantine.Quarantine()
    tracker.record_death("f", "e", 0.0)
    tracker.record_death("f", "e", 0.1)
    assert not tracker.is_blocked("f", 1.0, WALL_S)
    tracker.record_death("f", "other", 0.2)
    assert tracker.is_blocked("f", 1.0, WALL_S)


def request(path="/p", query=b"", caller=b""):
    headers = [(b"caller", caller)] if caller else []
    return fingerprint.make(("s", "op", "GET", path), b"", query, headers)


CRASHING = request(query=b"q=bad")
OTHERS = [
    request(query=b"q=1"),
    request(),
    request(query=b"q=bad", caller=b"c2"),
    request("/other", b"q=bad"),
]


@pytest.mark.parametrize("other", OTHERS)
def test_completions_of_others_say_nothing_of_a_crashing_request(other):
    """Guards against a crashing request that is trusted for the sake of others on its path."""
    tracker = quarantine.Quarantine()
    for second in (1.0, 2.0, 3.0):
        tracker.record_completion(other, second - 0.5)
        if not tracker.is_blocked(CRASHING, second, WALL_S):
            tracker.record_death(CRASHING, f"e{second}", second)
        assert not tracker.is_blocked(other, second + 0.1, WALL_S)
    assert tracker.is_blocked(CRASHING, 3.0, WALL_S)


def test_another_request_of_a_path_is_not_blocked_with_the_crashing_one():
    tracker = quarantine.Quarantine()
    tracker.record_death(CRASHING, "e1", 0.0)
    tracker.record_death(CRASHING, "e2", 5.0)
    assert tracker.is_blocked(CRASHING, 6.0, WALL_S)
    assert not any(tracker.is_blocked(other, 6.0, WALL_S) for other in OTHERS)
    # Nor is it by a death of its own.
    tracker.record_death(OTHERS[0], "e3", 10.0)
    assert not any(tracker.is_blocked(other, 11.0, WALL_S) for other in OTHERS)


def test_a_crashing_request_whose_query_changes_is_blocked_at_one_entry_and_at_several():
    tracker = quarantine.Quarantine()
    tracker.record_death(request(query=b"n=1", caller=b"c"), "e1", 0.0)
    tracker.record_death(request(query=b"n=2", caller=b"c"), "e2", 5.0)
    assert tracker.is_blocked(request(query=b"n=3", caller=b"c"), 6.0, WALL_S)
    assert not tracker.is_blocked(request(query=b"n=3", caller=b"d"), 6.0, WALL_S)
    another = quarantine.Quarantine()
    records = {}
    for number in (1, 2):
        name = request(query=b"n=%d" % number, caller=b"c")
        records[name] = crash_record.CrashRecord(name, ((f"e{number}", WALL_S + 3 * number),), 0.0)
    another.configure(records)
    assert another.is_blocked(request(query=b"n=3", caller=b"c"), 7.0, WALL_S + 7.0)
    assert not another.is_blocked(request(query=b"n=3", caller=b"d"), 7.0, WALL_S + 7.0)


def test_a_quarantine_of_control_holds_where_the_request_completed_before_the_crashes():
    """Guards against entries that go on with a request that crashes endpoints since a release."""
    tracker = quarantine.Quarantine()
    tracker.record_completion("f", 10.0)
    record = crash_record.CrashRecord("f", (("a", WALL_S + 12), ("b", WALL_S + 14)), WALL_S + 614)
    tracker.configure({"f": record})
    assert tracker.is_blocked("f", 15.0, WALL_S + 15)
    # It was on its way, and was served after all.
    tracker.record_completion("f", 16.0)
    assert not tracker.is_blocked("f", 17.0, WALL_S + 17)


def test_a_request_that_control_convicted_takes_no_other_of_its_path_with_it():
    tracker = quarantine.Quarantine()
    other = request(query=b"q=1")
    deaths = (("e1", WALL_S), ("e2", WALL_S + 3))
    tracker.configure(
        {
            CRASHING: crash_record.CrashRecord(CRASHING, deaths, WALL_S + 603),
            other: crash_record.CrashRecord(other, (("e3", WALL_S + 9),), 0.0),
        }
    )
    assert tracker.is_blocked(CRASHING, 10.0, WALL_S + 10)
    assert not any(tracker.is_blocked(name, 10.0, WALL_S + 10) for name in OTHERS)


def test_requests_that_are_lost_at_once_do_not_block_their_path():
    """Guards against a path that is refused since its few requests ran where a domain was lost."""
    tracker = quarantine.Quarantine()
    for number in range(8):
        tracker.record_death(request(query=b"n=%d" % number), f"e{number}", 0.1 * number)
    assert not tracker.is_blocked(request(query=b"n=9"), 2.0, WALL_S)


def make_records(requests, interval_s):
    """Return crash records of requests that were lost one after the other, from ``WALL_S`` on."""
    return {
        name: crash_record.CrashRecord(name, ((f"e{n}", WALL_S + n * interval_s),), 0.0)
        for n, name in enumerate(requests)
    }


def test_many_requests_of_a_path_that_were_lost_at_once_do_not_slow_down_the_next_ones():
    """Guards against a search through all crash records for each request."""
    tracker = quarantine.Quarantine()
    lost = [request(query=b"n=%d" % n) for n in range(crash_record.MAX_CRASH_RECORDS)]
    tracker.configure(make_records(lost, 0.001))
    start_s = time.thread_time()
    for n in range(50):
        assert not tracker.is_blocked(request(query=b"new=%d" % n), 2.0 + n, WALL_S + 2.0 + n)
    assert time.thread_time() - start_s < 1.0


def test_crashes_of_a_request_that_is_known_say_nothing_of_others_on_its_path():
    """Guards against a path that is refused for what a narrower level explains."""
    bad = [request(query=b"q=bad", caller=b"c%d" % n) for n in range(4)]
    another = request(query=b"q=1", caller=b"d1")
    here = quarantine.Quarantine()
    for n, name in enumerate(bad[:2]):
        here.record_death(name, f"e{n}", 5.0 * n)
        assert here.is_blocked(bad[3], 5.0 * n + 1.0, WALL_S) == (n == 1)
    here.record_death(another, "e9", 20.0)
    told = quarantine.Quarantine()
    told.configure(make_records([*bad[:2], another], 5.0))
    for tracker in (here, told):
        assert tracker.is_blocked(bad[3], 21.0, WALL_S + 21.0)
        assert not tracker.is_blocked(request(query=b"q=2", caller=b"d2"), 21.0, WALL_S + 21.0)


def test_a_level_that_control_blocks_is_not_refused_where_others_of_it_complete():
    """Guards against sound requests that are refused for crashes at entries they don't come to."""
    tracker = quarantine.Quarantine()
    level = fingerprint.levels(CRASHING)[-1]
    tracker.record_completion(request(query=b"q=1"), 5.0)
    deaths = (("a", WALL_S + 8), ("b", WALL_S + 12))
    tracker.configure({level: crash_record.CrashRecord(level, deaths, WALL_S + 612)})
    assert not tracker.is_blocked(request(query=b"q=2"), 13.0, WALL_S + 13)
    later_s = 6.0 + quarantine.COMPLETED_TRUST_S
    assert tracker.is_blocked(request(query=b"q=2"), later_s, WALL_S + later_s)


def test_the_time_left_is_told_for_each_level():
    tracker = quarantine.Quarantine()
    level = fingerprint.levels(CRASHING)[1]
    tracker.configure({level: crash_record.CrashRecord(level, (("a", WALL_S),), WALL_S + 600)})
    assert tracker.blocked_s(CRASHING, 100.0, WALL_S + 100) == 500.0
    assert tracker.blocked_s(CRASHING, 650.0, WALL_S + 650) == 0.0
    assert tracker.blocked_s(request(query=b"q=1"), 100.0, WALL_S + 100) == 0.0
    tracker.record_death(OTHERS[0], "e1", 700.0)
    tracker.record_death(OTHERS[0], "e2", 705.0)
    assert tracker.blocked_s(OTHERS[0], 715.0, WALL_S) == crash_record.QUARANTINE_S - 10.0


def test_wide_levels_take_no_room_from_requests_that_completed():
    """Guards against requests that are forgotten sooner since their levels are remembered."""
    tracker = quarantine.Quarantine()
    names = [request(query=b"n=%d" % n, caller=b"c%d" % n) for n in range(quarantine.MAX_COMPLETED)]
    for name in names:
        tracker.record_completion(name, 1.0)
    assert all(tracker.completed_recently(name, 2.0) for name in names)

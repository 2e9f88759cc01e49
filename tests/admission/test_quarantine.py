"""Guards against one request that crashes endpoint after endpoint, and against blocking the
popular requests of a failed region."""

from oriolelock.admission import quarantine
from oriolelock.model import crash_record

WALL_S = 1_000_000.0


def test_fingerprint_covers_all_parts_and_their_boundaries():
    reference = quarantine.fingerprint("s", "op", "/p", b"body")
    others = [("so", "p", "/p", b"body"), ("s", "op", "/pb", b"ody"), ("s", "op", "/p", b"bodz")]
    assert reference not in {quarantine.fingerprint(*parts) for parts in others}


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

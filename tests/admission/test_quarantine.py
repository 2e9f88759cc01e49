"""Guards against one request that kills endpoint after endpoint, and against refusing the
popular requests of a region that failed."""

from oriolelock.admission import quarantine
from oriolelock.model import crash_record

WALL = 1_000_000.0


def test_fingerprint_covers_all_parts_and_their_bounds():
    base = quarantine.fingerprint("s", "op", "/p", b"body")
    others = [("so", "p", "/p", b"body"), ("s", "op", "/pb", b"ody"), ("s", "op", "/p", b"bodz")]
    assert base not in {quarantine.fingerprint(*parts) for parts in others}


def test_one_death_stops_retries_and_two_block_for_the_quarantine():
    box = quarantine.Quarantine()
    assert box.died("f", "e", 0.0) and not box.may_retry("f", 1.0, WALL)
    assert not box.blocked("f", 1.0, WALL) and box.may_retry("other", 1.0, WALL)
    assert box.died("f", "e", 10.0) and box.blocked("f", 11.0, WALL)
    assert box.blocked("f", 9.0 + crash_record.QUARANTINE_S, WALL)
    assert not box.blocked("f", 11.0 + crash_record.QUARANTINE_S, WALL)


def test_two_deaths_far_apart_do_not_block():
    box = quarantine.Quarantine()
    box.died("f", "e", 0.0)
    box.died("f", "e", crash_record.WINDOW_S + 1)
    assert not box.blocked("f", crash_record.WINDOW_S + 2, WALL)


def test_quarantine_known_to_control_blocks_until_it_ends():
    box = quarantine.Quarantine()
    record = crash_record.CrashRecord("f", (("e", WALL),), WALL + 600)
    box.configure({"f": record})
    assert box.blocked("f", 0.0, WALL + 599) and not box.blocked("f", 0.0, WALL + 601)
    assert not box.may_retry("f", 0.0, WALL + 1)


def test_failed_region_does_not_quarantine_popular_requests():
    box = quarantine.Quarantine()
    box.completed("f", 0.0)
    assert not any(box.died("f", "e", 1.0 + n * 0.01) for n in range(10))
    assert box.may_retry("f", 2.0, WALL) and not box.blocked("f", 2.0, WALL)
    assert box.died("f", "e", 70.0)


def test_request_that_goes_on_killing_loses_its_trust():
    box = quarantine.Quarantine()
    box.completed("f", 0.0)
    deaths = [box.died("f", "e", at) for at in (1.0, 8.0, 15.0)]
    assert deaths == [False, True, True] and box.blocked("f", 16.0, WALL)


def test_tables_stay_bounded():
    box = quarantine.Quarantine()
    for n in range(quarantine.MAX_COMPLETED + 50):
        box.completed(str(n), float(n))
        box.died(f"x{n}", "a", float(n))
        box.died(f"x{n}", "b", float(n))
        box.died(str(n), "e", float(n))
    sizes = box.dump()
    assert sizes["completed"] <= quarantine.MAX_COMPLETED
    assert max(sizes["suspects"], sizes["blocked"]) <= quarantine.MAX_SUSPECTS
    assert len(box._excused) <= quarantine.MAX_SUSPECTS + 1


def test_several_requests_on_an_endpoint_that_dies_count_as_one_death():
    """Two copies of a new request on one endpoint must not be quarantined by its first death."""
    box = quarantine.Quarantine()
    box.died("f", "e", 0.0)
    box.died("f", "e", 0.1)
    assert not box.blocked("f", 1.0, WALL)
    box.died("f", "other", 0.2)
    assert box.blocked("f", 1.0, WALL)

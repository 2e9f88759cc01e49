"""Guards against an endpoint that starts again under its name and is treated as the old one."""

import dataclasses

import pytest

from oriolelock.routing import result
from tests.routing import builders

KIND = result.Kind
NEW_START = {"started_ms": 2_000}
NEW_ADDRESS = {"address": "127.0.0.1:2"}


def make_harness(count=3):
    endpoints = [builders.make_endpoint(f"a{n}") for n in range(count)]
    return builders.RouterHarness(
        builders.make_cfg([dataclasses.replace(e, started_ms=1_000) for e in endpoints])
    )


def list_again(harness, name="a0", **fields):
    endpoints = dict(harness.cfg.endpoints)
    endpoints[name] = dataclasses.replace(endpoints[name], **fields)
    harness.configure(dataclasses.replace(harness.cfg, endpoints=endpoints))


def start_at(harness, name="a0"):
    others = [other for other in harness.cfg.endpoints if other != name]
    return harness.start(exclude=others)


def dump_of(harness, name="a0"):
    return harness.router.dump()["services"]["s"]["endpoints"][name]


@pytest.mark.parametrize("fields", [NEW_START, NEW_ADDRESS])
def test_new_start_under_an_old_name_gets_the_share_of_a_warm_endpoint(fields):
    harness = make_harness()
    assert harness.serve(300)["a0"] > 60
    harness.now = 100.0
    list_again(harness, **fields)
    assert harness.serve(300).get("a0", 0) < 40
    harness.now = 115.0
    assert harness.serve(300)["a0"] > 60


@pytest.mark.parametrize(
    "fields", [{"slots": 7}, {"started_ms": 0}, {"state": "live", "connections": 9}]
)
def test_other_news_of_a_warm_endpoint_slows_it_down(fields):
    harness = make_harness()
    harness.now = 100.0
    list_again(harness, **fields)
    assert dump_of(harness)["ramp"] == 1.0


def test_start_time_that_was_missing_for_a_time_hides_a_new_start():
    harness = make_harness()
    harness.now = 100.0
    list_again(harness, started_ms=0)
    assert dump_of(harness)["ramp"] == 1.0
    list_again(harness, started_ms=1_000)
    assert dump_of(harness)["ramp"] == 1.0
    list_again(harness, started_ms=0)
    list_again(harness, **NEW_START)
    assert dump_of(harness)["ramp"] == 0.1


def test_requests_to_the_old_start_count_as_in_flight_at_the_new_one():
    harness = make_harness(1)
    old = [start_at(harness) for _ in range(3)]
    list_again(harness, **NEW_START)
    assert dump_of(harness)["in_flight"] == 0
    new = start_at(harness)
    harness.finish(old[0], KIND.LOST)
    assert dump_of(harness)["in_flight"] == 1
    harness.finish(new)
    harness.finish(old[1], KIND.TIMEOUT)
    assert dump_of(harness)["in_flight"] == 0


def test_failures_of_requests_to_the_old_start_eject_the_new_one():
    harness = make_harness()
    old = [start_at(harness) for _ in range(3)]
    for chosen in old[:2]:
        harness.finish(chosen, KIND.LOST)
    for _ in range(2):
        harness.finish(start_at(harness), KIND.LOST)
    list_again(harness, **NEW_START)
    harness.finish(old[2], KIND.LOST)
    harness.finish(start_at(harness), KIND.LOST)
    assert harness.router.dump()["services"]["s"]["ejected"] == []


def test_ejection_of_the_old_start_holds_for_the_new_one():
    harness = make_harness()
    harness.finish(start_at(harness), KIND.REFUSED)
    assert harness.router.dump()["services"]["s"]["ejected"] == ["a0"]
    list_again(harness, **NEW_START)
    assert harness.router.dump()["services"]["s"]["ejected"] == []
    assert dump_of(harness)["ramp"] == 0.1


def test_load_and_limit_of_the_old_start_hold_for_the_new_one():
    harness = make_harness()
    for _ in range(20):
        harness.finish(start_at(harness), KIND.SHED)
        harness.now += 1.0
    report = result.LoadReport(6, 6, 9, "draining")
    harness.router.apply_load_report("a0", report, harness.now)
    assert harness.router.limits.dump()["a0"] == 1.0 and dump_of(harness)["drained"] == 0.0
    list_again(harness, **NEW_START)
    after = dump_of(harness)
    assert (after["state"], after["trust"], after["drained"]) == ("serving", 1.0, 1.0)
    assert harness.router.limits.dump()["a0"] == 3.0
    stale = harness.router.endpoints_with_stale_load(harness.now, 0.9)
    assert "a0" in {endpoint.name for endpoint in stale}


def report(harness, state, name="a0", age_s=0.0):
    load_report = result.LoadReport(0, 6, 0, state, age_s)
    harness.router.apply_load_report(name, load_report, harness.now)


def test_endpoint_that_turns_cold_during_its_slow_start_goes_on_with_the_old_one():
    harness = make_harness()
    harness.now = 100.0
    list_again(harness, **NEW_START)
    harness.now = 108.0
    report(harness, "serving")
    harness.serve(1)
    assert dump_of(harness)["ramp"] > 0.8
    report(harness, "cold")
    assert dump_of(harness)["ramp"] == 0.1


def test_endpoint_that_turns_cold_gets_work_as_a_warm_one_until_the_next_tick():
    harness = make_harness(1)
    for _ in range(3):
        harness.finish(start_at(harness))
    report(harness, "cold")
    assert sum(start_at(harness) is not None for _ in range(3)) == 1


def test_reports_of_a_cold_endpoint_begin_its_slow_start_again_and_again():
    harness = make_harness()
    report(harness, "cold")
    for _ in range(40):
        harness.now += 0.1
        report(harness, "cold")
        report(harness, "serving", age_s=5.0)
        harness.serve(1)
    assert dump_of(harness)["ramp"] > 0.4


def start_six(kind):
    """Send six requests to one of two endpoints; the first of them ends as ``kind``."""
    cfg = builders.make_cfg([builders.make_endpoint(f"a{n}", slots=20) for n in range(2)])
    harness = builders.RouterHarness(cfg)
    old = [start_at(harness) for _ in range(6)]
    harness.finish(old[0], kind)
    assert harness.router.dump()["services"]["s"]["ejected"] == ["a0"]
    return harness, old[1:]


@pytest.mark.parametrize("kind", [KIND.REFUSED, KIND.CRASH])
def test_requests_that_the_old_start_left_open_eject_the_new_one(kind):
    harness, old = start_six(kind)
    harness.now = 1.5
    harness.finish(start_at(harness))
    for chosen in old:
        harness.finish(chosen, KIND.TIMEOUT)
    assert harness.router.dump()["services"]["s"]["ejected"] == []
    assert dump_of(harness)["in_flight"] == 0


@pytest.mark.parametrize("kind", [KIND.REFUSED, KIND.CRASH])
def test_requests_that_the_old_start_left_open_delay_the_first_probe(kind):
    harness, old = start_six(kind)
    for chosen in old:
        harness.finish(chosen, KIND.TIMEOUT)
    harness.now = 1.5
    assert start_at(harness).is_probe


def test_endpoint_that_refused_a_connection_keeps_the_limit_and_trust_of_its_old_start():
    harness = make_harness()
    for _ in range(20):
        harness.finish(start_at(harness), KIND.SHED)
        harness.now += 1.0
    assert dump_of(harness)["trust"] < 0.1
    harness.finish(start_at(harness), KIND.REFUSED)
    harness.now += 1.5
    harness.finish(start_at(harness))
    assert dump_of(harness)["ramp"] == 0.1 and dump_of(harness)["trust"] == 1.0
    assert harness.router.limits.dump()["a0"] == 3.0


def test_report_from_before_a_refused_connection_is_taken_for_one_of_the_new_start():
    harness = make_harness()
    harness.now = 10.0
    harness.finish(start_at(harness), KIND.REFUSED)
    report(harness, "draining", age_s=0.5)
    assert dump_of(harness)["state"] == "serving"


def test_failures_of_the_new_start_do_not_eject_it():
    harness, _ = start_six(KIND.REFUSED)
    harness.now = 1.5
    harness.finish(start_at(harness))
    harness.now = 20.0
    for _ in range(5):
        harness.finish(start_at(harness), KIND.TIMEOUT)
    assert harness.router.dump()["services"]["s"]["ejected"] == ["a0"]


def note_restart(harness, **fields):
    listed = dataclasses.replace(harness.cfg.endpoints["a0"], **fields)
    harness.router.record_restart(listed, harness.now)


def test_endpoint_that_has_probably_restarted_keeps_share_failures_or_limit_of_its_old_start():
    cfg = builders.make_cfg([builders.make_endpoint(f"a{n}", slots=20) for n in range(2)])
    harness = builders.RouterHarness(cfg)
    old = [start_at(harness) for _ in range(6)]
    for chosen in old[:4]:
        harness.finish(chosen, KIND.LOST)
    note_restart(harness)
    assert dump_of(harness)["ramp"] == 0.1
    assert dump_of(harness)["in_flight"] == 2, "they still end, one by one"
    for chosen in old[4:]:
        harness.finish(chosen, KIND.LOST)
    harness.finish(start_at(harness), KIND.LOST)
    assert harness.router.dump()["services"]["s"]["ejected"] == []
    assert dump_of(harness)["in_flight"] == 0


def test_sign_of_a_restart_readmits_an_ejected_endpoint_or_blocks_its_probes():
    harness = make_harness()
    harness.finish(start_at(harness), KIND.REFUSED)
    note_restart(harness)
    assert harness.router.dump()["services"]["s"]["ejected"] == ["a0"]
    harness.now = 1.5
    probe = start_at(harness)
    note_restart(harness)
    harness.finish(probe)
    second = start_at(harness)
    assert second.is_probe
    harness.finish(second)
    assert dump_of(harness)["ramp"] == 0.1
    assert harness.router.dump()["services"]["s"]["ejected"] == []


def test_connections_to_an_earlier_address_tell_of_the_present_process():
    harness = make_harness()
    note_restart(harness, **NEW_ADDRESS)
    assert dump_of(harness)["ramp"] == 1.0


def test_new_entry_takes_an_endpoint_that_has_just_started_for_a_warm_one():
    started_ms = {"a0": 3_000, "a1": 60_000, "a2": 0, "a3": -5_000, "a4": -60_000}
    endpoints = [
        dataclasses.replace(
            builders.make_endpoint(name),
            started_ms=int(1000 * builders.WALL_S) - age_ms if age_ms else 0,
        )
        for name, age_ms in started_ms.items()
    ]
    harness = builders.RouterHarness(builders.make_cfg(endpoints))
    shares = [dump_of(harness, name)["ramp"] for name in started_ms]
    assert shares == [pytest.approx(0.37), 1.0, 1.0, 0.1, 1.0]


def make_returning_region(entries=1):
    """All endpoints of the entry's own region were refused and have just been readmitted."""
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=entries))
    harness.report_all()
    for name in ("a0", "a1", "a2"):
        others = [other for other in harness.cfg.endpoints if other != name]
        harness.finish(harness.start(exclude=others), KIND.REFUSED)
    harness.now = 2.0
    harness.report_all()
    return harness


def test_region_that_returns_cold_as_a_whole_gets_all_its_work_at_once():
    harness = make_returning_region()
    shares = []
    for harness.now in (2.0, 7.0, 13.0):
        harness.report_all()
        counts = harness.serve(400)
        shares.append(sum(count for name, count in counts.items() if name[0] == "a") / 400)
    assert shares[0] < 0.4 and shares[2] == 1.0
    assert shares[0] < shares[1] < 1.0


def test_region_that_returns_cold_is_left_unused_when_the_others_are_full():
    harness = make_returning_region()
    harness.report_all(in_flight=6, regions="b")
    counts = harness.serve(100)
    assert {name[0] for name in counts} == {"a"}


def test_work_moves_between_regions_that_are_all_cold():
    harness = make_returning_region()
    harness.report_all(state="cold")
    counts = harness.serve(200)
    assert sum(count for name, count in counts.items() if name[0] == "b") < 60


def test_endpoint_whose_poll_was_refused_gets_work_as_a_warm_one_when_it_is_back():
    harness = make_harness()
    harness.router.record_refused_poll("a0", harness.now)
    assert "a0" not in harness.serve(50)
    harness.now = 1.5
    report(harness, "serving")
    assert dump_of(harness)["ramp"] == 0.1
    assert harness.serve(300).get("a0", 0) < 40


def test_refused_polls_lengthen_an_ejection():
    harness = make_harness()
    harness.finish(start_at(harness), KIND.REFUSED)
    for harness.now in (0.5, 0.9):
        harness.router.record_refused_poll("a0", harness.now)
    harness.now = 1.1
    assert start_at(harness).is_probe
    harness.router.record_refused_poll("unknown", harness.now)

"""Guards against work sent where it can not be served, and against overloaded regions."""

import dataclasses

import pytest

from oriolelock.routing import result
from tests.routing import builders

KIND = result.Kind


def regions_of(counts):
    return {name[0] if name else None for name in counts}


def test_own_region_is_used_while_it_has_room():
    bench = builders.Bench(builders.make_cfg(builders.two_regions()))
    bench.report_all()
    assert regions_of(bench.serve(200)) == {"a"}


def test_full_region_spills_within_its_part_of_the_headroom():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=6))
    bench.report_all()
    used = [bench.start() for _ in range(30)]
    remote = [c for c in used if c and c.remote]
    assert len(remote) == 3, "18 free slots for 6 entries"
    assert all(c is None for c in used[-10:])


def test_entries_of_a_region_leave_its_headroom_to_the_others():
    """A share for entries that never spill there would keep a third of the headroom unused."""
    cfg = builders.make_cfg(builders.two_regions(), entries=6)
    members = dict(cfg.members)
    for name in ("entry-3", "entry-4", "entry-5"):
        members[name] = dataclasses.replace(members[name], region="b")
    bench = builders.Bench(dataclasses.replace(cfg, members=members))
    bench.report_all()
    used = [bench.start() for _ in range(30)]
    assert sum(bool(c and c.remote) for c in used) == 6, "18 free slots for 3 entries"


def test_many_entries_with_one_stale_report_do_not_exceed_the_headroom():
    cfg = builders.make_cfg(builders.two_regions(), entries=7)
    benches = [builders.Bench(cfg, f"entry-{n}", n) for n in range(7)]
    for bench in benches:
        bench.report_all(in_flight=4)
    sent = sum(bool(c and c.remote) for b in benches for c in [b.start() for _ in range(30)])
    assert 4 <= sent <= 6, "3 endpoints with 2 free slots each"


def test_spill_fades_with_the_age_of_reports():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=2))
    bench.report_all()
    bench.now = 20.0
    assert not any(c and c.remote for c in [bench.start() for _ in range(30)])


def test_link_budget_ends_spill():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=1, link_mbits=1.0))
    bench.report_all()
    used = [bench.start(size=20_000) for _ in range(40)]
    assert sum(bool(c and c.remote) for c in used) == 1, "25 kB of burst, 20 kB each"


def test_weights_of_the_preset_do_not_exceed_the_headroom():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=6, weights={"a": 0.1}))
    bench.report_all(in_flight=6)
    assert regions_of(bench.serve(100)) == {"a"}


@pytest.mark.parametrize("kind", [KIND.SILENT, KIND.CANCELLED, KIND.SHED])
def test_results_that_say_nothing_about_health_do_not_eject(kind):
    bench = builders.Bench(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    for _ in range(30):
        used = bench.start()
        if used:
            bench.finish(used, kind)
        bench.now += 1.0
    assert bench.router.dump()["services"]["s"]["ejected"] == []


def test_refused_endpoint_gets_no_work_and_is_probed_back_in():
    bench = builders.Bench(builders.make_cfg(builders.two_regions()))
    bench.finish(used := bench.start(), KIND.REFUSED)
    name = used.endpoint.name
    assert name not in bench.serve(100)
    bench.now = 1.5
    probe = bench.start()
    assert probe.probe and probe.endpoint.name == name
    assert not bench.choose().probe, "one probe at a time"
    bench.finish(probe)
    counts = bench.serve(300)
    assert 0 < counts[name] < 60, "back with a slow start"


def test_draining_endpoint_gets_no_work_until_it_serves_again():
    bench = builders.Bench(builders.make_cfg(builders.two_regions()))
    bench.finish(used := bench.start(), KIND.DRAINING)
    name = used.endpoint.name
    bench.router.reported(name, result.LoadReport(0, 6, age_s=1.0), bench.now)
    assert name not in bench.serve(100, 0.01), "a report from before says nothing"
    bench.router.reported(name, result.LoadReport(0, 6), bench.now)
    bench.now += 0.2
    assert name in bench.serve(100)
    bench.router.reported(name, result.LoadReport(0, 6, 0, "draining"), bench.now)
    assert name not in bench.serve(100)


def test_leaving_endpoint_gets_no_work():
    bench = builders.Bench(
        builders.make_cfg(
            [builders.make_endpoint("a0"), builders.make_endpoint("a1", state="leaving")]
        )
    )
    assert set(bench.serve(50)) == {"a0"}


def test_drained_endpoint_gets_less_work_and_none_at_the_end():
    cfg = builders.make_cfg(builders.two_regions(2), drains=[builders.make_drain("endpoint", "a0")])
    bench = builders.Bench(cfg)
    share = []
    for bench.now in (5.0, 50.0, 95.0):
        share.append(bench.serve(400).get("a0", 0) / 400)
    assert share[0] > 0.4 and 0.1 < share[1] < 0.35 and share[2] == 0


def test_drained_region_gives_its_work_away_within_the_cap_and_gets_no_spill():
    cfg = builders.make_cfg(
        builders.two_regions(), entries=1, drains=[builders.make_drain("region", "a")]
    )
    bench = builders.Bench(cfg)
    parts = []
    for second in range(120):
        bench.now = float(second)
        bench.report_all()
        bench.router.control_heard(bench.now)
        bench.serve(5)
        parts.append(bench.part_of("b"))
    steps = [after - before for before, after in zip(parts, parts[1:], strict=False)]
    assert max(steps) <= 0.1 + 1e-9 and parts[5] == 0 and 0.3 < parts[50] < 0.7
    assert parts[100] > 0.99 and regions_of(bench.serve(20)) == {"b"}
    other = builders.Bench(
        builders.make_cfg(
            builders.two_regions(), entries=1, drains=[builders.make_drain("region", "b", 0, 9e9)]
        )
    )
    other.report_all()
    assert not any(c and c.remote for c in [other.start() for _ in range(30)])


def test_failed_region_is_taken_over_and_used_again():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=1))
    bench.report_all()
    for _ in range(3):
        bench.finish(bench.start(), KIND.REFUSED)
    assert regions_of(bench.serve(50)) == {"b"}
    bench.now = 30.0
    bench.report_all()
    assert "a" in regions_of(bench.serve(50, 0.01))


def test_new_endpoint_starts_slowly_but_a_new_entry_does_not():
    bench = builders.Bench(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    assert bench.serve(400)["a0"] > 100
    bench.now = 100.0
    bench.configure(builders.make_cfg([builders.make_endpoint(f"a{n}") for n in range(3)]))
    assert bench.serve(300).get("a2", 0) < 40
    bench.now = 115.0
    assert bench.serve(300)["a2"] > 60


def test_cold_endpoints_alone_still_get_few_requests_at_once():
    bench = builders.Bench(builders.make_cfg([builders.make_endpoint("a0", slots=9)]))
    bench.report_all(state="cold")
    bench.now = 0.2
    assert sum(c is not None for c in [bench.start() for _ in range(10)]) == 1


def test_failing_endpoint_does_not_attract_work():
    bench = builders.Bench(builders.make_cfg([builders.make_endpoint(f"a{n}") for n in range(4)]))
    counts = {}
    for n in range(400):
        used = bench.start()
        counts[used.endpoint.name] = counts.get(used.endpoint.name, 0) + 1
        # Every third response is good, so that the failures are never consecutive enough.
        bad = used.endpoint.name == "a0" and n % 3
        bench.finish(used, KIND.ERROR if bad else KIND.COMPLETE, 0.0001 if bad else 0.01)
        bench.now += 0.005
    assert counts["a0"] < 60


def test_excluded_endpoints_are_not_chosen_again():
    bench = builders.Bench(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    assert {bench.choose(exclude=("a0",)).endpoint.name for _ in range(50)} == {"a1"}
    assert bench.choose(exclude=("a0", "a1")) is None


def test_room_counts_limits_and_spill():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=3))
    assert bench.router.room("s", 0.0) == 9
    bench.report_all()
    assert bench.router.room("s", 0.1) == 9 + 6, "a third of 18 free slots"
    assert bench.router.room("none", 0.0) == 0


def test_region_kept_full_by_other_entries_spills_before_it_sheds():
    bench = builders.Bench(builders.make_cfg(builders.two_regions(), entries=2))
    bench.report_all(in_flight=6, regions="a")
    bench.report_all(in_flight=0, regions="b")
    assert bench.choose().remote
    bench.report_all(in_flight=6)
    assert not bench.choose().remote


def test_probe_that_was_shed_does_not_block_the_next_probe():
    bench = builders.Bench(builders.make_cfg(builders.two_regions()))
    bench.finish(bench.start(), KIND.REFUSED)
    bench.now = 1.5
    probe = bench.start()
    bench.finish(probe, KIND.SHED)
    assert probe.probe and bench.choose().probe

"""Guards against work sent where it cannot be served, and against overloaded regions."""

import dataclasses

import pytest

from oriolelock.routing import result
from tests.routing import builders

KIND = result.Kind


def regions_in(counts):
    return {name[0] if name else None for name in counts}


def test_own_region_is_used_while_it_has_room():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions()))
    harness.report_all()
    assert regions_in(harness.serve(200)) == {"a"}


def test_full_region_spills_within_its_share_of_the_headroom():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=6))
    harness.report_all()
    chosen = [harness.start() for _ in range(30)]
    remote = [c for c in chosen if c and c.is_remote]
    assert len(remote) == 3, "18 free slots for 6 entries"
    assert all(c is None for c in chosen[-10:])


def test_entries_of_a_region_leave_its_headroom_to_the_others():
    """Shares for entries inside the region would leave a third of its headroom unused."""
    cfg = builders.make_cfg(builders.two_regions(), entries=6)
    members = dict(cfg.members)
    for name in ("entry-3", "entry-4", "entry-5"):
        members[name] = dataclasses.replace(members[name], region="b")
    harness = builders.RouterHarness(dataclasses.replace(cfg, members=members))
    harness.report_all()
    chosen = [harness.start() for _ in range(30)]
    assert sum(bool(c and c.is_remote) for c in chosen) == 6, "18 free slots for 3 entries"


def test_many_entries_with_one_stale_report_do_not_exceed_the_headroom():
    cfg = builders.make_cfg(builders.two_regions(), entries=7)
    harnesses = [builders.RouterHarness(cfg, f"entry-{n}", n) for n in range(7)]
    for harness in harnesses:
        harness.report_all(in_flight=4)
    sent = sum(bool(c and c.is_remote) for b in harnesses for c in [b.start() for _ in range(30)])
    assert 4 <= sent <= 6, "3 endpoints with 2 free slots each"


def test_spill_decays_with_the_age_of_reports():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=2))
    harness.report_all()
    harness.now = 20.0
    assert not any(c and c.is_remote for c in [harness.start() for _ in range(30)])


def test_link_budget_ends_spill():
    harness = builders.RouterHarness(
        builders.make_cfg(builders.two_regions(), entries=1, link_mbits=1.0)
    )
    harness.report_all()
    chosen = [harness.start(size=20_000) for _ in range(40)]
    assert sum(bool(c and c.is_remote) for c in chosen) == 1, "25 kB of burst, 20 kB each"


def test_weights_of_the_preset_do_not_exceed_the_headroom():
    harness = builders.RouterHarness(
        builders.make_cfg(builders.two_regions(), entries=6, weights={"a": 0.1})
    )
    harness.report_all(in_flight=6)
    assert regions_in(harness.serve(100)) == {"a"}


@pytest.mark.parametrize("kind", [KIND.SILENT, KIND.CANCELLED, KIND.SHED])
def test_results_that_say_nothing_about_health_do_not_eject(kind):
    harness = builders.RouterHarness(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    for _ in range(30):
        chosen = harness.start()
        if chosen:
            harness.finish(chosen, kind)
        harness.now += 1.0
    assert harness.router.dump()["services"]["s"]["ejected"] == []


def test_refused_endpoint_gets_no_work_and_is_probed_back_in():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions()))
    harness.finish(chosen := harness.start(), KIND.REFUSED)
    name = chosen.endpoint.name
    assert name not in harness.serve(100)
    harness.now = 1.5
    probe = harness.start()
    assert probe.is_probe and probe.endpoint.name == name
    assert not harness.choose().is_probe, "one probe at a time"
    harness.finish(probe)
    counts = harness.serve(300)
    assert 0 < counts[name] < 60, "readmitted with a slow start"


def test_draining_endpoint_gets_no_work_until_it_serves_again():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions()))
    harness.finish(chosen := harness.start(), KIND.DRAINING)
    name = chosen.endpoint.name
    harness.router.apply_load_report(name, result.LoadReport(0, 6, age_s=1.0), harness.now)
    assert name not in harness.serve(100, 0.01), "a report measured before the drain is ignored"
    harness.router.apply_load_report(name, result.LoadReport(0, 6), harness.now)
    harness.now += 0.2
    assert name in harness.serve(100)
    harness.router.apply_load_report(name, result.LoadReport(0, 6, 0, "draining"), harness.now)
    assert name not in harness.serve(100)


def test_leaving_endpoint_gets_no_work():
    harness = builders.RouterHarness(
        builders.make_cfg(
            [builders.make_endpoint("a0"), builders.make_endpoint("a1", state="leaving")]
        )
    )
    assert set(harness.serve(50)) == {"a0"}


def test_drained_endpoint_gets_less_work_and_none_at_the_end():
    cfg = builders.make_cfg(builders.two_regions(2), drains=[builders.make_drain("endpoint", "a0")])
    harness = builders.RouterHarness(cfg)
    share = []
    for harness.now in (5.0, 50.0, 95.0):
        share.append(harness.serve(400).get("a0", 0) / 400)
    assert share[0] > 0.4 and 0.1 < share[1] < 0.35 and share[2] == 0


def test_drained_region_shifts_its_work_within_the_cap_and_gets_no_spill():
    cfg = builders.make_cfg(
        builders.two_regions(), entries=1, drains=[builders.make_drain("region", "a")]
    )
    harness = builders.RouterHarness(cfg)
    shares = []
    for second in range(120):
        harness.now = float(second)
        harness.report_all()
        harness.router.record_control_contact(harness.now)
        harness.serve(5)
        shares.append(harness.applied_share("b"))
    steps = [after - before for before, after in zip(shares, shares[1:], strict=False)]
    assert max(steps) <= 0.1 + 1e-9 and shares[5] == 0 and 0.3 < shares[50] < 0.7
    assert shares[100] > 0.99 and regions_in(harness.serve(20)) == {"b"}
    other = builders.RouterHarness(
        builders.make_cfg(
            builders.two_regions(), entries=1, drains=[builders.make_drain("region", "b", 0, 9e9)]
        )
    )
    other.report_all()
    assert not any(c and c.is_remote for c in [other.start() for _ in range(30)])


def test_failed_region_is_taken_over_and_used_again():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=1))
    harness.report_all()
    for _ in range(3):
        harness.finish(harness.start(), KIND.REFUSED)
    assert regions_in(harness.serve(50)) == {"b"}
    harness.now = 30.0
    harness.report_all()
    assert "a" in regions_in(harness.serve(50, 0.01))


def test_new_endpoint_starts_slowly_but_a_new_entry_does_not():
    harness = builders.RouterHarness(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    assert harness.serve(400)["a0"] > 100
    harness.now = 100.0
    harness.configure(builders.make_cfg([builders.make_endpoint(f"a{n}") for n in range(3)]))
    assert harness.serve(300).get("a2", 0) < 40
    harness.now = 115.0
    assert harness.serve(300)["a2"] > 60


def test_cold_endpoints_alone_still_get_few_requests_at_once():
    harness = builders.RouterHarness(builders.make_cfg([builders.make_endpoint("a0", slots=9)]))
    harness.report_all(state="cold")
    harness.now = 0.2
    assert sum(c is not None for c in [harness.start() for _ in range(10)]) == 1


def test_failing_endpoint_does_not_attract_work():
    harness = builders.RouterHarness(
        builders.make_cfg([builders.make_endpoint(f"a{n}") for n in range(4)])
    )
    counts = {}
    for n in range(400):
        chosen = harness.start()
        counts[chosen.endpoint.name] = counts.get(chosen.endpoint.name, 0) + 1
        # Every third response succeeds, so there are never enough consecutive failures to eject.
        bad = chosen.endpoint.name == "a0" and n % 3
        harness.finish(chosen, KIND.ERROR if bad else KIND.COMPLETE, 0.0001 if bad else 0.01)
        harness.now += 0.005
    assert counts["a0"] < 60


def test_excluded_endpoints_are_not_chosen_again():
    harness = builders.RouterHarness(
        builders.make_cfg([builders.make_endpoint("a0"), builders.make_endpoint("a1")])
    )
    assert {harness.choose(exclude=("a0",)).endpoint.name for _ in range(50)} == {"a1"}
    assert harness.choose(exclude=("a0", "a1")) is None


def test_in_flight_limit_counts_endpoint_limits_and_spill():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=3))
    assert harness.router.in_flight_limit("s", 0.0) == 9
    harness.report_all()
    assert harness.router.in_flight_limit("s", 0.1) == 9 + 6, "a third of 18 free slots"
    assert harness.router.in_flight_limit("none", 0.0) == 0


def test_region_kept_full_by_other_entries_spills_before_it_sheds():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions(), entries=2))
    harness.report_all(in_flight=6, regions="a")
    harness.report_all(in_flight=0, regions="b")
    assert harness.choose().is_remote
    harness.report_all(in_flight=6)
    assert not harness.choose().is_remote


def test_probe_that_was_shed_does_not_block_the_next_probe():
    harness = builders.RouterHarness(builders.make_cfg(builders.two_regions()))
    harness.finish(harness.start(), KIND.REFUSED)
    harness.now = 1.5
    probe = harness.start()
    harness.finish(probe, KIND.SHED)
    assert probe.is_probe and harness.choose().is_probe

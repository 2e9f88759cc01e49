"""Guards against drains that overload the remaining endpoints."""

import pytest

from oriolelock.control import drain_check
from oriolelock.endpoints import load_report
from oriolelock.model import configuration, drain, endpoint, errors


def make_endpoint(n, region):
    return endpoint.Endpoint(f"e{n}", "web", f"127.0.0.1:{n}", region, f"{region}-a", 4, 350)


ENDPOINTS = [make_endpoint(1, "east"), make_endpoint(2, "west"), make_endpoint(3, "north")]
CFG = configuration.Configuration(endpoints={e.name: e for e in ENDPOINTS})


def check(in_flight, scope="region", target="east", cfg=CFG, burst=0):
    bursts = iter([burst])

    def measure(endpoints):
        running = in_flight + next(bursts, 0)
        return {e.name: load_report.LoadReport(running, 4, 0, "serving") for e in endpoints}

    drain_check.check(cfg, drain.Drain("d", scope, target, 0.0, 1.0), measure)


def test_drain_is_accepted_if_the_remaining_slots_carry_the_load():
    check(2)


def test_drain_is_refused_with_figures_if_the_load_exceeds_the_remaining_slots():
    with pytest.raises(errors.InvalidData, match="9.0 requests .* 8 slots"):
        check(3)


def test_burst_in_one_sample_does_not_refuse_a_safe_drain():
    check(1, burst=4)


def test_already_planned_drains_reduce_the_remaining_slots():
    planned = drain.Drain("p", "endpoint", "e2", 0.0, 1.0)
    cfg = configuration.Configuration(endpoints=CFG.endpoints, drains={"p": planned})
    with pytest.raises(errors.InvalidData, match="6.0 requests .* 4 slots"):
        check(2, cfg=cfg)


def test_drain_of_an_entry_needs_no_measurement():
    check(4, "entry", "entry-1")

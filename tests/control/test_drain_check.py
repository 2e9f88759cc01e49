"""Guards against a drain that overloads what remains."""

import pytest

from oriolelock.control import drain_check
from oriolelock.endpoints import load_report
from oriolelock.model import configuration, drain, endpoint, errors


def make(n, region):
    return endpoint.Endpoint(f"e{n}", "web", f"127.0.0.1:{n}", region, f"{region}-a", 4, 350)


ENDPOINTS = [make(1, "east"), make(2, "west"), make(3, "north")]
CFG = configuration.Configuration(endpoints={e.name: e for e in ENDPOINTS})


def check(in_flight, scope="region", target="east", cfg=CFG, burst=0):
    bursts = iter([burst])

    def measure(found):
        running = in_flight + next(bursts, 0)
        return {e.name: load_report.LoadReport(running, 4, 0, "serving") for e in found}

    drain_check.check(cfg, drain.Drain("d", scope, target, 0.0, 1.0), measure)


def test_load_that_the_rest_can_carry_is_accepted():
    check(2)


def test_load_beyond_the_rest_is_refused_with_figures():
    with pytest.raises(errors.InvalidData, match="9.0 requests .* 8 slots"):
        check(3)


def test_burst_in_one_sample_does_not_refuse_a_safe_drain():
    check(1, burst=4)


def test_drains_that_are_planned_already_count():
    planned = drain.Drain("p", "endpoint", "e2", 0.0, 1.0)
    cfg = configuration.Configuration(endpoints=CFG.endpoints, drains={"p": planned})
    with pytest.raises(errors.InvalidData, match="6.0 requests .* 4 slots"):
        check(2, cfg=cfg)


def test_drain_of_an_entry_needs_no_measurement():
    check(4, "entry", "entry-1")

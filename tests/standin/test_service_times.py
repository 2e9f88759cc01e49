"""Guards against service times that differ from run to run, or that ignore a cold start."""

import random
import threading

import pytest

from oriolelock import clock
from oriolelock.settings import standin_endpoint
from oriolelock.standin import endpoint, run_log


def make(distribution="exponential", cold_ms=0.0, seed=1):
    cfg = standin_endpoint.EndpointSettings(
        "e", ("127.0.0.1", 0), "s", 1, 1, 10, 20.0, distribution, cold_ms, 3.0, 100, ()
    )
    return endpoint.Endpoint(cfg, run_log.RunLog(None), random.Random(seed), lambda fault: None)


def draw(item, count=5):
    work = endpoint._Work("r", "", "", "/", b"", clock.monotonic_s(), threading.Event())
    return [item._draw_service_s(work) for _ in range(count)]


def test_same_seed_gives_the_same_service_times():
    assert draw(make()) == draw(make()) != draw(make(seed=2))


def test_mean_of_exponential_times_is_the_service_time():
    times = draw(make(), 5000)
    assert sum(times) / len(times) == pytest.approx(0.020, rel=0.05)


def test_cold_start_lengthens_service_times_and_can_be_commanded():
    assert draw(make("fixed", cold_ms=3_600_000.0), 1)[0] == pytest.approx(0.060, rel=0.01)
    item = make("fixed")
    assert draw(item, 1) == [0.020]
    item.command({"kind": "cold", "delay": "1 h", "factor": 5})
    assert draw(item, 1)[0] == pytest.approx(0.100, rel=0.01)
    assert item.state() == "cold"

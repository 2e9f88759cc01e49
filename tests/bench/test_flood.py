"""Guards against a flood that takes urgent work down, and against drains that cut requests.

A whole deployment in processes; bounds come from the requirements, not from measured times.
"""

import argparse
import random

import pytest

from oriolelock.bench import load, operator, preset_file, stream, virtual_caller, waiting
from oriolelock.bench.experiments import drain
from tests.bench import small

SLOTS, SERVICE_MS = 2, 50
OPERATIONS = [
    {"name": "confirm", "priority": "urgent", "idempotent": True, "timeout": "4 s"},
    {"name": "read", "priority": "normal", "idempotent": True, "timeout": "4 s"},
    {"name": "bulk", "priority": "deferrable", "idempotent": True, "timeout": "4 s"},
]


@pytest.fixture(scope="module")
def item(tmp_path_factory):
    folder = tmp_path_factory.mktemp("flood")
    options = {"service_time": f"{SERVICE_MS} ms", "distribution": "fixed", "entry_threads": 128}
    with small.make(folder / "f", **options) as found:
        preset = preset_file.write(folder / "flood.yaml", {"s": OPERATIONS})
        operator.use_preset(found, preset, "flood")
        operator.wait_for_lookups(found, "s", 2)
        waiting.until(lambda: all(p.is_ready() for p in found.entries.values()))
        yield found


def test_urgent_work_is_served_in_time_during_a_deferrable_flood(item):
    capacity = len(item.settings.plan.endpoints) * SLOTS * 1000 / SERVICE_MS
    rng = random.Random(1)
    callers = [
        virtual_caller.VirtualCaller("10.0.0.1", [process.address], rng)
        for process in item.entries.values()
    ]
    streams = [
        stream.Stream("urgent", "s", "confirm", 0.2 * capacity, 4000),
        stream.Stream("flood", "s", "bulk", 3 * capacity, 4000),
    ]
    results = load.Generator(streams, callers, rng).run(3.0)
    assert results["urgent"].in_time == results["urgent"].sent > 0
    # The rest of the capacity is still used, and refusals are told as not run.
    assert results["flood"].in_time > 0
    assert not any(o.startswith(("unknown", "failed")) for o in results["flood"].outcomes)


def test_drained_endpoint_and_stopped_entry_cut_nothing(item):
    args = argparse.Namespace(deadline=1.0, service_ms=float(SERVICE_MS))
    found = drain.run_all(item, item.settings.plan, args)
    assert found["endpoint"]["result"] is not None
    assert found["entry"]["result"]["exit_code"] == 0
    for part in found.values():
        assert part["cut"] == 0 and part["outcomes"]["complete"] > 0

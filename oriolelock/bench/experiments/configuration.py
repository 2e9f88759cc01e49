"""
oriolelock.bench.experiments.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bytes, memory and processor time of a configuration by its members and endpoints: one
    change, a snapshot, the router of an entry and a lookup.
"""

import gc
import itertools
import os
import random
import time
import tracemalloc

from oriolelock.bench import fit, sample
from oriolelock.control import commands, config_state
from oriolelock.lookup import directory
from oriolelock.model import changes, configuration
from oriolelock.routing import router
from oriolelock.wire import codec

__all__ = ["add_arguments", "run"]

TARGET_MEMBERS = 5400
TARGET_ENDPOINTS = 3600
TARGET_BLOCKS = 700_000
REPEATS = 7
TICKS_PER_S = 20


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--members", type=int, nargs="+", default=[500, 2000, 5400])
    parser.add_argument("--endpoints", type=int, nargs="+", default=[130, 1200, 3600])
    parser.add_argument("--lookups", type=int, default=2000)


def _cpu_ms(act, repeats=REPEATS):
    """Return the least processor time of ``act()`` in milliseconds.

    Other work on the machine only adds to it: medians differed by a factor of two between runs.
    """
    found = []
    for _ in range(repeats):
        began_s = time.process_time()
        act()
        found.append(1000 * (time.process_time() - began_s))
    return min(found)


def _allocated(make):
    """Return the bytes that the result of ``make()`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, kept
    finally:
        tracemalloc.stop()


def _applier(cfg, change):
    return lambda: configuration.apply(cfg, change, cfg.index + 1, 1000.0)


def _measure_data(members, endpoints):
    cfg = sample.make_configuration(members, endpoints)
    data = codec.encode(cfg)
    memory, _ = _allocated(lambda: codec.decode(data))
    return {
        "snapshot_bytes": len(data),
        "memory_bytes": memory,
        "encode_ms": _cpu_ms(lambda: codec.encode(cfg)),
        "decode_ms": _cpu_ms(lambda: codec.decode(data)),
        "set_member_ms": _cpu_ms(_applier(cfg, changes.SetMember(sample.make_member(1, "down")))),
        "set_endpoint_ms": _cpu_ms(_applier(cfg, changes.SetEndpoint(sample.make_endpoint(1, 5)))),
        "use_preset_ms": _cpu_ms(_applier(cfg, changes.UsePreset("day"))),
    }


def _measure_router(members, endpoints):
    cfg = sample.make_configuration(members, endpoints)
    now = itertools.count(100.0, 0.05)

    def make():
        item = router.Router("entry-00000", "region-0")
        item.configure(cfg, next(now), 1000.0)
        return item

    memory, item = _allocated(make)
    return {
        "router_bytes": memory,
        "configure_ms": _cpu_ms(lambda: item.configure(cfg, next(now), 1000.0)),
        "tick_ms": _cpu_ms(lambda: item.tick(next(now), 1000.0)),
    }


def _measure_lookup(members, lookups):
    cfg = sample.make_configuration(members, 0)
    rng = random.Random(1)
    clients = [f"10.{rng.randrange(256)}.{rng.randrange(256)}.9" for _ in range(lookups)]
    memory, index = _allocated(lambda: directory.Directory(cfg))

    def act():
        for client in clients:
            index.choose("region-3", "service-1", 1000.0, client)

    return {
        "directory_bytes": memory,
        "directory_build_ms": _cpu_ms(lambda: directory.Directory(cfg)),
        "choose_us": _cpu_ms(act) / lookups * 1000,
    }


def _measure_blocks(count):
    cfg = sample.make_configuration(10, 10)
    change = changes.PutBlocks(
        sample.make_blocks(count, TARGET_ENDPOINTS), sample.make_regions(TARGET_ENDPOINTS)
    )
    began_s = time.process_time()
    configuration.apply(cfg, change, 11, 1000.0)
    return {"put_blocks_ms": 1000 * (time.process_time() - began_s)}


def _measure_results(count):
    """Measure the results of operator changes that control keeps for 24 hours."""
    commands = [
        commands.Command(
            1000.0, commands.OperatorChange(f"{n:036x}", None, "bench", changes.UsePreset("day"))
        )
        for n in range(count)
    ]

    def make():
        machine = config_state.ConfigState()
        machine._recent.reset(sample.make_configuration(10, 10))
        for n, command in enumerate(commands):
            machine.apply(11 + n, command)
        return machine

    memory, machine = _allocated(make)
    return {"memory_bytes": memory, "snapshot_bytes": len(machine.encode())}


def _table(name, sizes, rows, target):
    fits = {}
    for size, row in zip(sizes, rows, strict=True):
        print(f"{size:>7} {name}: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    if len(sizes) > 2:
        for key in rows[0]:
            line = fit.fit_line(sizes, [row[key] for row in rows])
            fits[key] = {"line": str(line), "at_target": line.at(target)}
            print(f"  {key}: {line}; at {target} {name}: {line.at(target):.4g}")
    return {"sizes": sizes, "rows": rows, "fits": fits}


def run(args) -> dict:
    """Measure each series with the others at a fixed size, and print rows and fits."""
    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    blocks = [100_000, 300_000, TARGET_BLOCKS]
    endpoints = args.endpoints
    results = [5_000, 20_000, config_state.MAX_RESULTS]
    series = {
        "members": (args.members, lambda n: _measure_data(n, 0), TARGET_MEMBERS),
        "endpoints": (endpoints, lambda n: _measure_data(0, n), TARGET_ENDPOINTS),
        "endpoints in the router": (
            endpoints,
            lambda n: _measure_router(TARGET_MEMBERS, n),
            TARGET_ENDPOINTS,
        ),
        "members in a lookup": (
            args.members,
            lambda n: _measure_lookup(n, args.lookups),
            TARGET_MEMBERS,
        ),
        "results kept": (results, _measure_results, results[-1]),
        "blocks in one change": (blocks, _measure_blocks, TARGET_BLOCKS),
    }
    return {
        name: _table(name, sizes, [measure(n) for n in sizes], target)
        for name, (sizes, measure, target) in series.items()
    }

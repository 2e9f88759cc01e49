"""
oriolelock.bench.experiments.restart
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bytes, time and processor time until restarted entries have a confirmed configuration, and
    the memory of a process that uses it, by the size of the configuration.
"""

import multiprocessing
import os
import random
import time

import psutil

from oriolelock import clock
from oriolelock.bench import fit, ports, relay_node, relay_surroundings, waiting

__all__ = ["add_arguments", "run"]

MEMBERS, ENDPOINTS, BLOCKS = 5400, 3600, 700_000
READY_TIMEOUT_S = 60.0
RESTARTS_PER_DAY = 1900
DAY_S = 86_400


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--parts", type=float, nargs="+", default=[0.1, 0.5, 1.0])
    parser.add_argument("--bursts", type=int, nargs="+", default=[1, 4, 16])


def _split(address):
    host, port = address.split(":")
    return host, int(port)


def _use(cfg):
    """Have the parts of an entry that hold a configuration use ``cfg``."""
    from oriolelock.entry import background, steering

    decisions = steering.Steering("entry-00000", "region-0", 192, 64, random.Random(1))
    parts = background.Background(decisions)
    parts.on_config(cfg)
    return parts


def _start_one(pipe, control):
    """Import what an entry needs, start and use the configuration; send the figures."""
    from oriolelock.entry import daemon  # noqa: F401

    own = psutil.Process()
    empty_mb = own.memory_info().rss / 1e6
    began_s, began_cpu_s = clock.monotonic_s(), time.process_time()
    node = relay_node.RelayNode("entry-00000", control)
    node.start()
    waiting.until(lambda: node.uplink.is_ready, READY_TIMEOUT_S, "the entry is ready")
    ready_s = clock.monotonic_s() - began_s
    parts = _use(node.uplink.configuration)
    pipe.send(
        {
            "ready_ms": 1000 * ready_s,
            "received_bytes": node.uplink.traffic()[0],
            "cpu_ms": 1000 * (time.process_time() - began_cpu_s),
            "empty_rss_mb": empty_mb,
            "rss_mb": own.memory_info().rss / 1e6,
        }
    )
    del parts
    node.stop()


def _start_many(control, count):
    context = multiprocessing.get_context("spawn")
    started = []
    for _ in range(count):
        pipe, theirs = context.Pipe()
        item = context.Process(target=_start_one, args=(theirs, control), daemon=True)
        item.start()
        theirs.close()
        started.append((item, pipe))
    rows = [pipe.recv() for _, pipe in started]
    for item, _ in started:
        item.join(READY_TIMEOUT_S)
    return {name: max(row[name] for row in rows) for name in rows[0]}


def _with_control(part, act):
    taken = ports.Ports()
    control = taken.take()
    around = relay_surroundings.Surroundings(
        control, control, int(part * MEMBERS), int(part * ENDPOINTS), int(part * BLOCKS)
    )
    try:
        around.call("oldest")
        return act(_split(control))
    finally:
        around.close()
        taken.close()


def _print(what, sizes, rows, target):
    fits = {}
    for size, row in zip(sizes, rows, strict=True):
        print(f"{size} {what}: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    for name in rows[0] if len(sizes) > 2 else ():
        line = fit.fit_line(sizes, [row[name] for row in rows])
        fits[name] = {"line": str(line), "at_target": line.at(target)}
        print(f"  {name}: {line}; at {target}: {line.at(target):.4g}")
    return fits


def run(args) -> dict:
    """Measure one restart at parts of the target size and bursts at the whole of it."""
    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    rows = [_with_control(part, lambda c: _start_many(c, 1)) for part in args.parts]
    fits = _print("of the target size", args.parts, rows, 1.0)
    bursts = _with_control(1.0, lambda c: [_start_many(c, n) for n in args.bursts])
    burst_fits = _print("entries at once", args.bursts, bursts, 95)
    size = rows[-1]["received_bytes"]
    print(f"{RESTARTS_PER_DAY} restarts a day: {RESTARTS_PER_DAY * size / DAY_S:.0f} B/s in all")
    return {"rows": rows, "bursts": bursts, "fits": fits, "burst_fits": burst_fits}

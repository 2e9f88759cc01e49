"""
oriolelock.bench.experiments.record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    At-most-once record: bytes of a key in memory and in a snapshot, time of a command, time
    of a snapshot, claims per second of one group over three replicas.
"""

import concurrent.futures
import contextlib
import gc
import os
import pathlib
import statistics
import tempfile
import time
import tracemalloc

from oriolelock import clock
from oriolelock.bench import fit, fleet, fleet_options, operator, process
from oriolelock.distribution import uplink
from oriolelock.once import messages, record
from oriolelock.settings import deployment, loader
from oriolelock.wire import hello

__all__ = ["add_arguments", "run"]

WALL_S = 1_800_000_000.0
REPEATS = 3
CALL_TIMEOUT_S = 10.0
INSTANCES = 16
REPLICAS = 3
MEMORY_BYTES = 128e6


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--keys", type=int, nargs="+", default=[10_000, 50_000, 100_000])
    parser.add_argument("--answer-bytes", type=int, default=200)
    parser.add_argument("--callers", type=int, nargs="+", default=[1, 4, 16])
    parser.add_argument("--seconds", type=float, default=5.0)


def _commands(n, wall_s, answer_bytes):
    # Text that differs per key, as it does when it is decoded from the log.
    key = f"{int(wall_s)}-order-{n:012d}"
    claim_id = f"{n:032x}"
    yield messages.ClaimKey(key, f"{n:016x}", "entry-00001", claim_id, 5.0)
    answer = messages.Answer(200, "application/json", n.to_bytes(8, "big") * (answer_bytes // 8))
    yield messages.CompleteKey(key, claim_id, answer)


def _fill(count, answer_bytes):
    state = record.State()
    for n in range(count):
        for command in _commands(n, WALL_S, answer_bytes):
            record.apply(state, command, WALL_S)
    return state


def _least_s(act):
    found = []
    for _ in range(REPEATS):
        began_s = time.process_time()
        act()
        found.append(time.process_time() - began_s)
    return min(found)


def _measure_state(count, answer_bytes):
    gc.collect()
    tracemalloc.start()
    state = _fill(count, answer_bytes)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    commands = [c for n in range(1000) for c in _commands(count + n, WALL_S, answer_bytes)]
    began_s = time.process_time()
    for command in commands:
        record.apply(state, command, WALL_S)
    command_us = (time.process_time() - began_s) / len(commands) * 1e6
    data = record.encode(state)
    return {
        "memory_bytes": memory,
        "snapshot_bytes": len(data),
        "command_us": command_us,
        "encode_ms": 1000 * _least_s(lambda: record.encode(state)),
        "restore_ms": 1000 * _least_s(lambda: record.restore(data)),
    }


def _claim_until(link, number, end_s, answer_bytes):
    """Claim and complete one key after the other; return the seconds of each pair."""
    taken_s = []
    while (began_s := clock.monotonic_s()) < end_s:
        n = number * 1_000_000 + len(taken_s)
        for command in _commands(n, clock.wall_s(), answer_bytes):
            reply = link.call(command, CALL_TIMEOUT_S)
            if not isinstance(reply, (messages.Granted, messages.Done)):
                raise RuntimeError(f"unexpected reply: {reply}")
        taken_s.append(clock.monotonic_s() - began_s)
    return taken_s


def _measure_callers(link, callers, args, series):
    end_s = clock.monotonic_s() + args.seconds
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        futs = [
            pool.submit(_claim_until, link, series * 100 + n, end_s, args.answer_bytes)
            for n in range(callers)
        ]
        taken_s = [item for fut in futs for item in fut.result()]
    return {
        "keys_s": len(taken_s) / args.seconds,
        "pair_p50_ms": 1000 * statistics.median(taken_s),
        "pair_max_ms": 1000 * max(taken_s),
    }


def _measure_group(args):
    path = process.ROOT / "examples" / "bula" / "deployment.yaml"
    plan = loader.load(str(path), deployment.parse)
    options = fleet_options.FleetOptions(entries=1, record_groups=1, log_level="WARNING")
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        running = stack.enter_context(fleet.Fleet(pathlib.Path(folder) / "fleet", plan, options))
        operator.Operator(running).change()
        data = running.settings.control(running.settings.plan.control[0])
        greeting = hello.Hello(
            hello.PROTOCOL_VERSION,
            data["cluster"],
            data["cluster_token"],
            "bench",
            "entry",
            "bench",
        )
        host, port = data["link_listen"].split(":")
        link = uplink.Uplink(lambda cfg: [(host, int(port))], greeting, _no_report)
        link.start()
        try:
            while not link.is_ready:
                time.sleep(0.05)
            return [
                _measure_callers(link, callers, args, series)
                for series, callers in enumerate(args.callers)
            ]
        finally:
            link.stop()


def _no_report():
    from oriolelock.distribution import messages as distribution_messages

    return distribution_messages.StatusReport("bench", 0, 0, "live", 0.0, 0)


def run(args) -> dict:
    """Measure the state machine by keys and one group by callers; print rows and fits."""
    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    rows = [_measure_state(count, args.answer_bytes) for count in args.keys]
    fits = {}
    for count, row in zip(args.keys, rows, strict=True):
        print(f"{count:>7} keys: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    for name in rows[0]:
        line = fit.fit_line(args.keys, [row[name] for row in rows])
        fits[name] = {"line": str(line), "at_max_keys": line.at(record.MAX_KEYS)}
        print(f"  {name}: {line}; at {record.MAX_KEYS}: {line.at(record.MAX_KEYS):.4g}")
        if name == "memory_bytes":
            keys = (MEMORY_BYTES - line.base) / line.slope
            print(f"  keys in {MEMORY_BYTES / 1e6:.0f} MB: {keys:.0f} a replica; in {INSTANCES} ")
            print(f"  instances with {REPLICAS} copies: {keys * INSTANCES / REPLICAS:.0f} a day")
    groups = _measure_group(args)
    for callers, row in zip(args.callers, groups, strict=True):
        print(f"{callers:>3} callers: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    return {"state": rows, "fits": fits, "callers": groups}

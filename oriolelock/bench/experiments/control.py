"""
oriolelock.bench.experiments.control
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Distribution of changes: time until the last subscriber has one, bytes and processor time
    per subscriber, catch-up after an absence, recovery after the loss of the leader.
"""

import dataclasses
import os
import pathlib
import statistics
import tempfile
import time

import psutil

from oriolelock import clock
from oriolelock.bench import fit, fleet, fleet_options, operator, process, subscribers
from oriolelock.distribution import messages
from oriolelock.settings import deployment, loader
from oriolelock.wire import channel, hello

__all__ = ["add_arguments", "run"]

SETTLE_S = 2.0
IDLE_S = 5.0
CHANGE_LIMIT_S = 5.0
CATCH_UP = (10, 100, 1000)


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--subscribers", type=int, nargs="+", default=[10, 30, 100])
    parser.add_argument("--changes", type=int, default=40)


def _link_address(item):
    host, port = item.split(":")
    return host, int(port)


def _parents(running):
    found = [running.settings.control(place) for place in running.settings.plan.control]
    return [_link_address(data["link_listen"]) for data in found]


def _credentials(running):
    data = running.settings.control(running.settings.plan.control[0])
    return data["cluster"], data["cluster_token"]


def _cpu_s(running):
    return {
        name: sum(psutil.Process(item.pid).cpu_times()[:2])
        for name, item in running.control.items()
        if item.is_running()
    }


def _measure_size(running, hand, count, changes):
    group = subscribers.Subscribers(count, _parents(running), *_credentials(running))
    group.start()
    try:
        group.wait_version(hand.change(), 30.0)
        # The first snapshots and the replicas' first look at the instance list are not idle.
        _pause(SETTLE_S)
        idle = _measure_window(running, group, lambda: _pause(IDLE_S))
        delays_ms: list[float] = []
        busy = _measure_window(
            running, group, lambda: _make_changes(hand, group, changes, delays_ms)
        )
    finally:
        group.stop()
    per_change = {
        "bytes": (busy["bytes"] - idle["bytes_per_s"] * count * busy["wall_s"]) / count / changes,
        "cpu_ms": 1000
        * (busy["cpu_s"] - idle["cpu_s"] * busy["wall_s"] / IDLE_S)
        / count
        / changes,
    }
    return {
        "subscribers": count,
        "delay_p50_ms": statistics.median(delays_ms),
        "delay_max_ms": max(delays_ms),
        "idle_bytes_per_s": idle["bytes_per_s"],
        "idle_cpu_share": idle["cpu_s"] / idle["wall_s"] / count,
        "bytes_per_change": per_change["bytes"],
        "cpu_ms_per_change": per_change["cpu_ms"],
        "control_idle_cpu_share": idle["control_cpu_s"] / idle["wall_s"],
        "control_rss_mb": max(
            psutil.Process(item.pid).memory_info().rss for item in running.control.values()
        )
        / 1e6,
    }


def _pause(length_s):
    end_s = clock.monotonic_s() + length_s
    while (left_s := end_s - clock.monotonic_s()) > 0:
        time.sleep(left_s)


def _make_changes(hand, group, changes, delays_ms):
    for _ in range(changes):
        version = hand.change()
        acknowledged_s = clock.monotonic_s()
        delays_ms.append(
            1000 * max(0.0, group.wait_version(version, CHANGE_LIMIT_S) - acknowledged_s)
        )


def _measure_window(running, group, act):
    own = psutil.Process(os.getpid())
    before = sum(group.traffic()), sum(own.cpu_times()[:2]), _cpu_s(running), clock.monotonic_s()
    act()
    wall_s = clock.monotonic_s() - before[3]
    total = sum(group.traffic()) - before[0]
    after = _cpu_s(running)
    return {
        "bytes": total,
        "bytes_per_s": total / wall_s / len(group.links),
        "cpu_s": sum(own.cpu_times()[:2]) - before[1],
        "control_cpu_s": max(after[name] - before[2][name] for name in after),
        "wall_s": wall_s,
    }


def _catch_up(running, hand, missed):
    """Return seconds and bytes until a subscriber that missed changes is confirmed again."""
    cluster, token = _credentials(running)
    index = running.status()["index"]
    for _ in range(missed):
        version = hand.change()
    address = _parents(running)[0]
    greeting = hello.Hello(hello.PROTOCOL_VERSION, cluster, token, "late", "entry", "late")
    began_s = clock.monotonic_s()
    link = channel.connect(address, greeting)
    try:
        link.send(messages.Subscribe("late", index))
        while True:
            msg = link.recv(10.0)
            is_whole = isinstance(msg, messages.Snapshot) and msg.configuration.version >= version
            is_delta = isinstance(msg, messages.Delta) and bool(msg.changes)
            if (is_whole or is_delta) and msg.confirmed:
                break
    finally:
        link.close()
    return {
        "missed": missed,
        "time_ms": 1000 * (clock.monotonic_s() - began_s),
        "bytes": link.bytes_received,
        "by": type(msg).__name__,
    }


def _recover(running, hand):
    leader = running.status()["leader"]
    hand.change()
    running.control[leader].kill()
    began_s = clock.monotonic_s()
    hand.change()
    return 1000 * (clock.monotonic_s() - began_s)


def _report(rows, lines):
    for row in rows:
        print(
            f"{row['subscribers']:>4} subscribers: last has it after p50 "
            f"{row['delay_p50_ms']:.0f} ms, max {row['delay_max_ms']:.0f} ms; "
            f"{row['bytes_per_change']:.0f} B and {row['cpu_ms_per_change']:.2f} ms a change; idle "
            f"{row['idle_bytes_per_s']:.0f} B/s and {row['idle_cpu_share']:.2%} of a core each; "
            f"busiest replica {row['control_idle_cpu_share']:.1%}, {row['control_rss_mb']:.0f} MB"
        )
    for name, line in lines.items():
        print(f"{name} by subscribers: {line}")


def run(args) -> dict:
    """Measure at ``args.subscribers`` sizes and print a table."""
    path = process.ROOT / "examples" / "bula" / "deployment.yaml"
    plan = loader.load(str(path), deployment.parse)
    options = fleet_options.FleetOptions(entries=1, log_level="WARNING")
    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    with tempfile.TemporaryDirectory() as folder:
        running = fleet.Fleet(pathlib.Path(folder) / "fleet", plan, options)
        with running:
            hand = operator.Operator(running)
            rows = [_measure_size(running, hand, n, args.changes) for n in args.subscribers]
            late = [_catch_up(running, hand, missed) for missed in CATCH_UP]
            recovery_ms = _recover(running, hand)
    names = ("delay_p50_ms", "control_idle_cpu_share", "control_rss_mb")
    sizes = [row["subscribers"] for row in rows]
    lines = (
        {n: fit.fit_line(sizes, [row[n] for row in rows]) for n in names} if len(rows) > 2 else {}
    )
    _report(rows, lines)
    for row in late:
        print(
            f"catch-up after {row['missed']} changes: {row['time_ms']:.0f} ms, {row['bytes']} B "
            f"({row['by']})"
        )
    print(f"next change after the leader was killed: {recovery_ms:.0f} ms")
    return {
        "rows": rows,
        "catch_up": late,
        "recovery_ms": recovery_ms,
        "fits": {name: dataclasses.asdict(line) for name, line in lines.items()},
    }

"""
oriolelock.bench.experiments.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bytes, messages and processor time of an entry that relays, by children and by entries
    below it; age of reports and delay of changes by hops.
"""

import os
import statistics
import time

from oriolelock import clock
from oriolelock.bench import (
    control_stand_in,
    fit,
    ports,
    relay_node,
    relay_surroundings,
    sample,
    waiting,
)

__all__ = ["add_arguments", "run"]

BELOW = (16, 48, 95)
MOST_CHILDREN = 16
SETTLE_S = 2.0
CHANGES = 100
# 26,000 changes, and two or three changes of members for each of 1,900 restarts and 9 failures.
CHANGES_PER_DAY = 26_000 + 3 * 1_900 + 2 * 9
DAY_S = 86_400
# Headers of TCP and IP with time stamps, and the frame of a masked websocket message.
HEADER_BYTES = 52 + 8


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--children", type=int, nargs="+", default=[4, 8, 16])
    parser.add_argument("--members", type=int, default=5400)
    parser.add_argument("--window", type=float, default=5.0, help="seconds of each measurement")
    parser.add_argument("--hops", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--chain-changes", type=int, default=30)


def _split(address):
    host, port = address.split(":")
    return host, int(port)


def _totals(node, around):
    below = around.call("traffic")
    bytes_ = sum(node.uplink.traffic()) + sum(below[:2])
    count = sum(node.uplink.messages()) + sum(below[2:])
    return bytes_, count, time.process_time(), clock.monotonic_s()


def _difference(before, after):
    return [b - a for a, b in zip(before, after, strict=True)]


def _measure(node, around, children, below, window_s):
    around.call("connect", children, below - children)
    try:
        time.sleep(SETTLE_S)
        around.call("oldest")
        before = _totals(node, around)
        time.sleep(window_s)
        idle = _difference(before, _totals(node, around))
        oldest_s = around.call("oldest")
        before = _totals(node, around)
        around.call("change", CHANGES)
        busy = _difference(before, _totals(node, around))
    finally:
        around.call("disconnect")
    wall_s = idle[3]
    per_change = [(b - i * busy[3] / wall_s) / CHANGES for i, b in zip(idle, busy, strict=True)]
    rate = CHANGES_PER_DAY / DAY_S
    bytes_s, messages_s = idle[0] / wall_s, idle[1] / wall_s
    return {
        "idle_bytes_s": bytes_s,
        "idle_messages_s": messages_s,
        "idle_cpu_percent": 100 * idle[2] / wall_s,
        "bytes_per_change": per_change[0],
        "cpu_ms_per_change": 1000 * per_change[2],
        "bytes_s": bytes_s + rate * per_change[0],
        "bytes_s_with_headers": bytes_s + HEADER_BYTES * messages_s + rate * per_change[0],
        "oldest_report_s": oldest_s,
    }


def _measure_all(args):
    taken = ports.Ports()
    control, own = taken.take(), taken.take()
    around = relay_surroundings.Surroundings(control, own, args.members)
    node = relay_node.RelayNode("head", _split(control), _split(own))
    try:
        around.call("oldest")
        node.start()
        waiting.until(lambda: node.uplink.is_ready, 30.0, "the relay is ready")
        by_children = [_measure(node, around, n, n, args.window) for n in args.children]
        by_below = [_measure(node, around, MOST_CHILDREN, n, args.window) for n in BELOW]
    finally:
        node.stop()
        around.close()
        taken.close()
    return by_children, by_below


def _measure_chain(hops, count, window_s):
    """Return ages of reports and delays of changes with ``hops`` connections from control."""
    taken = ports.Ports()
    arrived: dict[int, float] = {}

    def on_config(cfg):
        arrived[cfg.index] = clock.monotonic_s()

    addresses = [_split(taken.take()) for _ in range(hops)]
    control = control_stand_in.ControlStandIn(addresses[0], sample.make_configuration(100, 0))
    nodes = [
        relay_node.RelayNode(f"hop-{n}", addresses[n], addresses[n + 1]) for n in range(hops - 1)
    ]
    nodes.append(relay_node.RelayNode("leaf", addresses[-1], on_config=on_config))
    try:
        for node in nodes:
            node.start()
        waiting.until(lambda: control.known() >= hops, 30.0, "a report of the leaf")
        delays_ms = []
        for n in range(count):
            began_s = clock.monotonic_s()
            index = control.change(sample.make_member_change(n))
            waiting.until(lambda wanted=index: wanted in arrived, 10.0, "the change at the leaf")
            delays_ms.append(1000 * (arrived[index] - began_s))
        control.oldest()
        time.sleep(2 * window_s)
        oldest_s = control.oldest()["leaf"]
    finally:
        for node in reversed(nodes):
            node.stop()
        control.close()
        taken.close()
    return {
        "delay_p50_ms": statistics.median(delays_ms),
        "delay_max_ms": max(delays_ms),
        "oldest_report_s": oldest_s,
    }


def _table(name, sizes, rows, target):
    fits = {}
    for size, row in zip(sizes, rows, strict=True):
        print(f"{size:>3} {name}: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    if len(sizes) > 2:
        for key in rows[0]:
            line = fit.fit_line(sizes, [row[key] for row in rows])
            fits[key] = {"line": str(line), "at_target": line.at(target)}
            print(f"  {key}: {line}; at {target} {name}: {line.at(target):.4g}")
    return {"sizes": sizes, "rows": rows, "fits": fits}


def run(args) -> dict:
    """Measure by children, by entries below and by hops, and print rows and fits."""
    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    by_children, by_below = _measure_all(args)
    chains = [_measure_chain(n, args.chain_changes, args.window) for n in args.hops]
    return {
        "children": _table("children", args.children, by_children, 2 * MOST_CHILDREN),
        "below": _table("entries below", list(BELOW), by_below, BELOW[-1]),
        "hops": _table("hops", args.hops, chains, args.hops[-1]),
    }

"""
oriolelock.bench.experiments.flood
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A flood of the lowest, then of the highest priority over a base load, against baselines
    without priorities and shares.
"""

import dataclasses
import pathlib
import random
import tempfile

from oriolelock import clock
from oriolelock.bench import (
    examples,
    fleet,
    fleet_options,
    http,
    load,
    machine,
    operator,
    preset_file,
    stream,
    virtual_caller,
)

__all__ = ["add_arguments", "run", "run_variant"]

ENTRIES = 3
LISTED = 2
BASE_SHARE = 0.6
CALLERS = 30
# The generator makes lookups one at a time. They are made before the load starts and last for
# it, so that a slow lookup does not hold it up. A stop of the fleet waits this long, too.
LOOKUP_TTL = "20 s"
THREADS = 192
LEVELS = ("urgent", "normal", "deferrable")
# Parts of a service's base load by priority.
MIX = {"urgent": 0.3, "normal": 0.4, "deferrable": 0.3}
DEADLINES_MS = {"urgent": 2000, "normal": 2000, "deferrable": 4000}
SHARES = {"urgent": 0.5, "normal": 0.35, "deferrable": 0.15}
# Without priorities everything is of one priority, which owns all of the queue.
ONE_PRIORITY = {"urgent": 0.0, "normal": 1.0, "deferrable": 0.0}


@dataclasses.dataclass(frozen=True)
class Variant:
    """``shares`` None puts all operations at one priority."""

    picker: str
    shares: dict[str, float] | None


VARIANTS = {
    "p2c": Variant("p2c", SHARES),
    "least_in_flight": Variant("least_in_flight", SHARES),
    "round_robin": Variant("round_robin", SHARES),
    "least_in_flight, one priority": Variant("least_in_flight", None),
    "round_robin, one priority": Variant("round_robin", None),
}
DEFAULT_VARIANTS = ["p2c", "least_in_flight, one priority", "round_robin, one priority"]
LAG = {"kind": "load-lag", "delay": "5 s"}
LIE = {"kind": "load-lie", "in_flight": 0, "queued": 0}
LIE_EVERY = 3


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--deployment", choices=examples.NAMES, default="bula")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of each flood")
    parser.add_argument("--factor", type=float, default=3.0, help="flood, times the capacity")
    parser.add_argument("--service-ms", type=float, default=200.0, help="mean service time")
    parser.add_argument("--endpoint-queue", type=int, default=0, help="waiting at an endpoint")
    parser.add_argument("--per-service", type=int, default=3, help="endpoints of each service")
    parser.add_argument(
        "--misleading", action="store_true", help="reports lag by 5 s, a third show no load"
    )
    parser.add_argument("--flood", choices=LEVELS, nargs="*", default=["deferrable", "urgent"])
    parser.add_argument("--variant", choices=VARIANTS, nargs="+", default=DEFAULT_VARIANTS)


def _operations(variant):
    return [
        {
            "name": level,
            "priority": level if variant.shares else "normal",
            "idempotent": True,
            "timeout": f"{DEADLINES_MS[level]} ms",
        }
        for level in LEVELS
    ]


def _capacities(plan, service_ms):
    found: dict[str, float] = {}
    for item in plan.endpoints:
        found[item.service] = found.get(item.service, 0.0) + item.slots * 1000 / service_ms
    return found


def _streams(capacities, flood, factor):
    found = []
    for service, per_s in capacities.items():
        for level in LEVELS:
            rate = per_s * BASE_SHARE * MIX[level]
            deadline = DEADLINES_MS[level]
            found.append(stream.Stream(f"{service}/{level}", service, level, rate, deadline))
        if flood:
            rate, deadline = per_s * factor, DEADLINES_MS[flood]
            found.append(stream.Stream(f"{service}/flood", service, flood, rate, deadline))
    return found


def _counters(item, names=("endpoint.shed", "request.retried")):
    found = dict.fromkeys(names, 0)
    for process in item.entries.values():
        metrics = http.get_json(process.address, "/oriolelock/state")["metrics"]
        for name in names:
            found[name] += metrics.get(name, 0)
    return found


def _merge(results):
    """Return one result per kind of work, over all services."""
    merged: dict[str, object] = {}
    for name, result in results.items():
        kind = name.rpartition("/")[2]
        into = merged.setdefault(kind, type(result)())
        into.sent += result.sent
        into.in_time += result.in_time
        into.outcomes.update(result.outcomes)
        into.latency.add(result.latency)
    return merged


def _run_load(item, capacities, flood, args):
    rng = random.Random(7)
    seeds = [process.address for process in item.entries.values()]
    # A client outside all blocks is served by the region of the entry that it asks.
    callers = [
        virtual_caller.VirtualCaller(f"10.{n}.0.1", [seeds[n % len(seeds)]], rng)
        for n in range(CALLERS)
    ]
    for caller in callers:
        for service in capacities:
            caller.entry_for(service, clock.monotonic_s())
    before = _counters(item)
    streams = _streams(capacities, flood, args.factor)
    generator = load.Generator(streams, callers, rng)
    results = _merge(generator.run(args.seconds))
    after = _counters(item)
    found = {kind: result.summary() for kind, result in results.items()}
    return {
        "streams": found,
        "sheds": after["endpoint.shed"] - before["endpoint.shed"],
        "retries": after["request.retried"] - before["request.retried"],
        "complete_per_s": round(
            sum(r["in_time"] for r in found.values()) / args.seconds,
            1,
        ),
        "generator_late_ms": round(1000 * generator.max_late_s),
        "load": machine.load(),
    }


def _show(name, flood, found):
    print(
        f"{name}, flood {flood or 'none'}: {found['complete_per_s']}/s in time, "
        f"{found['sheds']} sheds, {found['retries']} retries, "
        f"generator late by at most {found['generator_late_ms']} ms, load {found['load']}"
    )
    for kind, row in found["streams"].items():
        print(
            f"  {kind:<12}{row['sent']:>6} sent  {row['in_time_share']:>7.1%} in time  "
            f"p50 {row['p50_ms']:>8.1f} ms  p99 {row['p99_ms']:>8.1f} ms",
            flush=True,
        )


def _mislead(item):
    for number, end in enumerate(item.settings.plan.endpoints):
        fault = LIE if number % LIE_EVERY == 0 else LAG
        http.post_json(item.address_of(end.name), "/faults", fault)


def run_variant(name: str, args) -> list[dict]:
    """Start the deployment as ``name`` says, run the base load and each flood."""
    variant = VARIANTS[name]
    plan = examples.scaled(examples.load(args.deployment), args.per_service)
    capacities = _capacities(plan, args.service_ms)
    options = fleet_options.FleetOptions(
        entries=ENTRIES,
        entry_threads=THREADS,
        service_time=f"{args.service_ms:g} ms",
        endpoint_queue=args.endpoint_queue,
        picker=variant.picker,
        lookup_ttl=LOOKUP_TTL,
    )
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        shares = variant.shares or ONE_PRIORITY
        services = {service: _operations(variant) for service in capacities}
        preset = preset_file.write(root / "flood.yaml", services, shares)
        with fleet.Fleet(root / "fleet", plan, options) as item:
            operator.use_preset(item, preset, "flood")
            operator.wait_for_lookups(item, next(iter(capacities)), LISTED)
            if args.misleading:
                _mislead(item)
            for flood in ("", *args.flood):
                found = _run_load(item, capacities, flood, args)
                _show(name, flood, found)
                rows.append({"variant": name, "flood": flood, **found})
    return rows


def run(args) -> dict:
    """Run all variants and return their rows."""
    return {"rows": [row for name in args.variant for row in run_variant(name, args)]}

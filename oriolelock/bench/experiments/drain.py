"""
oriolelock.bench.experiments.drain
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Time until a drained endpoint runs nothing, and until an entry exits after SIGTERM; requests
    cut by either.
"""

import pathlib
import random
import tempfile
import threading

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
    waiting,
)

__all__ = ["add_arguments", "run", "run_all"]

ENTRIES = 3
LISTED = 2
PER_SERVICE = 6
BASE_SHARE = 0.4
CALLERS = 12
IDLE_S = 0.5
STEP_S = 0.02
RUN_LIMIT_S = 40.0
# What a caller sees of a request that was cut.
CUT = ("failed", "unknown", "no-outcome")
OPERATION = {"name": "read", "priority": "normal", "idempotent": True, "timeout": "4 s"}


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--deployment", choices=examples.NAMES, default="bula")
    parser.add_argument("--deadline", type=float, default=5.0, help="of the drain, in seconds")
    parser.add_argument("--service-ms", type=float, default=100.0, help="mean service time")


class _Background:
    """Base load in a thread of its own until ``stop``."""

    def __init__(self, item, plan, service_ms):
        rng = random.Random(3)
        seeds = [process.address for process in item.entries.values()]
        callers = [
            virtual_caller.VirtualCaller(f"10.{n}.0.1", seeds[n % 3 :] + seeds[: n % 3], rng)
            for n in range(CALLERS)
        ]
        slots: dict[str, int] = {}
        for end in plan.endpoints:
            slots[end.service] = slots.get(end.service, 0) + end.slots
        streams = [
            stream.Stream(name, name, "read", n * 1000 / service_ms * BASE_SHARE, 4000)
            for name, n in slots.items()
        ]
        self._generator = load.Generator(streams, callers, rng)
        self._thread = threading.Thread(target=self._generator.run, args=(RUN_LIMIT_S,))

    def start(self):
        """Start to send."""
        self._thread.start()

    def stop(self):
        """Send nothing more, wait for all answers; return the counts by outcome."""
        self._generator.stop()
        self._thread.join()
        counts: dict[str, int] = {}
        for result in self._generator.results.values():
            for outcome, count in result.outcomes.items():
                counts[outcome] = counts.get(outcome, 0) + count
        return counts


def _cut(counts):
    return sum(n for outcome, n in counts.items() if outcome.partition(":")[0] in CUT)


def _wait_idle(address, timeout_s):
    """Return when the endpoint began to run nothing for half a second (monotonic)."""
    end_s = clock.monotonic_s() + timeout_s
    idle_since = None
    while clock.monotonic_s() < end_s:
        now = clock.monotonic_s()
        figures = http.get_json(address, "/load")
        if figures["in_flight"] + figures["queued"]:
            idle_since = None
        elif idle_since is None:
            idle_since = now
        elif now - idle_since >= IDLE_S:
            return idle_since
        threading.Event().wait(STEP_S)
    return None


def _drain_endpoint(item, plan, args):
    target = plan.endpoints[0]
    address = item.address_of(target.name)
    waiting.until(lambda: http.get_json(address, "/load")["in_flight"] > 0, 10.0, "work")
    began_s = clock.monotonic_s()
    names = ("--scope", "endpoint", "--target", target.name)
    # The check of the load could refuse the drain; it is not what is measured here.
    deadline = f"+{args.deadline:g}s"
    operator.operate(item, "drain", "add", "measured", *names, "--deadline", deadline, "--force")
    idle_s = _wait_idle(address, args.deadline + 10)
    return None if idle_s is None else round(idle_s - began_s, 2)


def _stop_entry(item):
    entry = list(item.entries.values())[-1]
    began_s = clock.monotonic_s()
    code = entry.stop()
    return {"seconds": round(clock.monotonic_s() - began_s, 2), "exit_code": code}


def run_all(item: fleet.Fleet, plan, args) -> dict:
    """Drain an endpoint, then stop an entry, each under load; return times and cuts."""
    found = {}
    for name, act in (
        ("endpoint", lambda: _drain_endpoint(item, plan, args)),
        ("entry", lambda: _stop_entry(item)),
    ):
        background = _Background(item, plan, args.service_ms)
        background.start()
        threading.Event().wait(2.0)
        try:
            result = act()
        finally:
            counts = background.stop()
        cut = _cut(counts)
        found[name] = {"result": result, "cut": cut, "outcomes": counts, "load": machine.load()}
    return found


def run(args) -> dict:
    """Run both and print the figures."""
    plan = examples.scaled(examples.load(args.deployment), PER_SERVICE)
    options = fleet_options.FleetOptions(
        entries=ENTRIES, service_time=f"{args.service_ms:g} ms", lookup_ttl="1 s", leave_lag="1 s"
    )
    services = sorted({end.service for end in plan.endpoints})
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        preset = preset_file.write(root / "drain.yaml", {name: [OPERATION] for name in services})
        with fleet.Fleet(root / "fleet", plan, options) as item:
            operator.use_preset(item, preset, "drain")
            operator.wait_for_lookups(item, services[0], LISTED)
            found = run_all(item, plan, args)
    end, entry = found["endpoint"], found["entry"]
    print(f"endpoint: runs nothing {end['result']} s after drain add with a deadline of")
    print(f"  {args.deadline:g} s; {end['cut']} requests cut of {sum(end['outcomes'].values())}")
    print(f"entry: exit {entry['result']['exit_code']} after {entry['result']['seconds']} s, of")
    print("  which 2 s are the lifetime of lookups and their lag;")
    print(f"  {entry['cut']} requests cut of {sum(entry['outcomes'].values())}")
    print(f"outcomes: {end['outcomes']}, {entry['outcomes']}; load {entry['load']}")
    return found

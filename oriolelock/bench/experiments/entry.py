"""
oriolelock.bench.experiments.entry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One entry in a closed loop: lookups, requests, the latency it adds, and the cost of the
    at-most-once record without and with the delays between regions.
"""

import dataclasses
import pathlib
import tempfile

from oriolelock.bench import (
    caller,
    closed_loop,
    examples,
    fleet,
    fleet_options,
    http,
    machine,
    operator,
    preset_file,
)

__all__ = ["add_arguments", "run"]

SERVICE = "measured"
ENDPOINTS = 3
SLOTS = 32
OPERATIONS = [
    {"name": "read", "priority": "normal", "idempotent": True, "timeout": "5 s"},
    {"name": "pay", "priority": "normal", "idempotent": False, "timeout": "5 s"},
]
THREADS = 192
COLUMNS = ("what", "connections", "per_s", "p50_ms", "p99_ms", "cpu_ms", "refused", "load")


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--deployment", choices=examples.NAMES, default="swanport")
    parser.add_argument("--seconds", type=float, default=2.0, help="length of each run")
    parser.add_argument("--connections", type=int, nargs="+", default=[1, 4, 8, 16, 32])


def _make_plan(plan):
    """Return one entry, and endpoints without service time in its region."""
    where = plan.entries[0]
    made = [
        dataclasses.replace(
            plan.endpoints[0],
            name=f"{SERVICE}-{number}",
            service=SERVICE,
            region=where.region,
            failure_domain=where.failure_domain,
            slots=SLOTS,
            service_ms=0.0,
        )
        for number in range(ENDPOINTS)
    ]
    return dataclasses.replace(plan, endpoints=tuple(made))


def _fields(operation, is_keyed=False):
    fixed = [
        f"Oriolelock-Service: {SERVICE}",
        f"Oriolelock-Operation: {operation}",
        "Oriolelock-Deadline-Ms: 5000",
    ]

    def make():
        return [*fixed, f"Idempotency-Key: {caller.new_key()}"] if is_keyed else fixed

    return make


def _direct_fields():
    key = caller.new_key()
    return [f"X-Request-Id: {key}", "X-Deadline-Ms: 5000", "Oriolelock-Operation: read"]


class _Measure:
    """Runs loads one after the other, prints and keeps a row for each."""

    def __init__(self, item: fleet.Fleet, seconds: float):
        self._entry = next(iter(item.entries.values()))
        self._direct = next(iter(item.endpoints.values())).address
        self._seconds = seconds
        self.rows: list[dict] = []
        print("".join(f"{name:>22}" if name == "what" else f"{name:>12}" for name in COLUMNS))

    def run(self, what, connections, path, fields=list, body=None, is_direct=False):
        """Measure one load."""
        address = self._direct if is_direct else self._entry.address
        before_s = machine.cpu_s(self._entry.pid)
        load = closed_loop.Load(address, path, connections, fields, body)
        found = closed_loop.run(load, self._seconds)
        cpu_ms = 1000 * (machine.cpu_s(self._entry.pid) - before_s) / max(1, found["sent"])
        row = {
            "what": what,
            "connections": connections,
            **found,
            "cpu_ms": round(0.0 if is_direct else cpu_ms, 3),
            "refused": found["sent"] - found["outcomes"].get("complete", 0),
            "load": machine.load(),
        }
        self.rows.append(row)
        print(f"{what:>22}" + "".join(f"{row[name]:>12}" for name in COLUMNS[1:]), flush=True)

    def pair(self, connections):
        """Measure the stand-in endpoint directly, then through the entry."""
        self.run("direct", connections, "/x", _direct_fields, b"{}", is_direct=True)
        self.run("idempotent", connections, "/x", _fields("read"), b"{}")
        direct, through = self.rows[-2:]
        for name in ("p50_ms", "p99_ms"):
            through[f"added_{name}"] = round(through[name] - direct[name], 2)
        added = f"p50 {through['added_p50_ms']:g} ms, p99 {through['added_p99_ms']:g} ms"
        print(f"{'added':>22}{connections:>12}  {added}")


def _measure_all(item, args):
    entry = next(iter(item.entries.values()))
    measure = _Measure(item, args.seconds)
    memory = {"start_mb": machine.memory_mb(entry.pid)}
    for count in args.connections:
        measure.run("server only", count, "/oriolelock/ready")
        measure.run("lookup", count, f"/oriolelock/lookup?service={SERVICE}")
        measure.pair(count)
    for delays, change in (("record, links as set", None), ("record, no delay", "0 ms")):
        if change:
            item.set_links(lambda name: True, delay=change)
        for count in (args.connections[0], args.connections[-1]):
            measure.run(delays, count, "/x", _fields("pay", True), b"{}")
    memory["end_mb"] = machine.memory_mb(entry.pid)
    print(f"memory of the entry: {memory['start_mb']} MB at the start, {memory['end_mb']} MB now")
    others = {p.name: machine.memory_mb(p.pid) for p in item.control.values()}
    print("memory of control replicas: " + ", ".join(f"{mb} MB" for mb in others.values()))
    return {"rows": measure.rows, "memory": memory, "control_memory_mb": others}


def run(args) -> dict:
    """Measure one entry, print a table and return the rows."""
    plan = _make_plan(examples.load(args.deployment))
    options = fleet_options.FleetOptions(
        entries=1, separate_endpoints=True, links=True, distribution="fixed", entry_threads=THREADS
    )
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        preset = preset_file.write(
            root / "measured.yaml",
            {SERVICE: OPERATIONS},
            {"urgent": 0.0, "normal": 1.0, "deferrable": 0.0},
            in_flight_limit=THREADS,
        )
        with fleet.Fleet(root / "fleet", plan, options) as item:
            operator.use_preset(item, preset, "measured")
            operator.wait_for_lookups(item, SERVICE, 1)
            entry = next(iter(item.entries.values()))
            before = http.get_json(entry.address, "/oriolelock/state")["metrics"]
            found = _measure_all(item, args)
            after = http.get_json(entry.address, "/oriolelock/state")["metrics"]
    found["counters"] = {name: after[name] - before.get(name, 0) for name in after}
    return found

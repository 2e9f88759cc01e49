"""After hundreds of configs, all processes are killed and started: an old config is in force."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402

# The largest dose of `big_config` is 350 routes more; a day "may contain hundreds of changes".
ROUTES = 360
CHANGES = 220
DOWN_S = 1.0
# Twice `contactWindow` after a fault that took the whole core, all machines are in touch.
IN_TOUCH_S = 6.0
OBSERVED_S = 30.0
OLD, NEW = "svc0", "svc1"


def _routes(changes):
    """Return a config's routes; the first one goes to the new service with the last change."""
    parts = [{"service": f"svc{n}", "weight": weight} for n, weight in enumerate((70, 10, 10, 10))]
    found = {}
    for number in range(ROUTES):
        item = fleets.route(f"/p{number}abc/", OLD, "safe", timeout="6000ms")
        if number:
            del item["service"]
            item["weightedServices"] = parts
            item["host"] = f"hulo{number % 9}.example"
        found[f"r-{number}x{number * 7919 % 9973}"] = item
    found["r-1x7919"]["timeout"] = f"{6000 + changes}ms"
    if changes == CHANGES:
        found["r-0x0"]["service"] = NEW
    return found


class Probes:
    """A client at each entry that asks for the first route four times a second."""

    def __init__(self, fleet, stopping):
        self._fleet, self._stopping = fleet, stopping
        self.sent_s, self.statuses = {}, {}
        for name in fleet.names("entry"):
            threading.Thread(target=self._run, args=(name,), daemon=True).start()

    def _run(self, name):
        record, number = self._fleet.record, 0
        while not self._stopping.is_set():
            number += 1
            request_id = f"{name}-{number}"
            self.sent_s[request_id] = record.now_s()
            try:
                client = fleets.Client(self._fleet.processes[name].ip, timeout_s=2.0)
                answer = client.ask("GET", "/p0abc/card", request_id, deadline_ms=1500)
                client.close()
                self.statuses[request_id] = answer.status
                record.write(f"{request_id}: {answer.status}")
            except OSError as exc:
                record.write(f"{request_id}: {type(exc).__name__}")
            time.sleep(0.25)


def case(record, trouble):
    fleet = fleets.Fleet(record, entries=3)
    stopping = threading.Event()
    try:
        world = fleets.World(fleet)
        for name in (OLD, NEW):
            for zone in fleets.ZONES:
                world.add(name, zone, lambda server, target: 0.05)
        fleet.start_all()
        fleet.wait_ready(fleet.names("control"))
        operator = fleets.Operator(fleet)
        services = {f"svc{n}": fleets.service() for n in range(4)}
        operator.put(_routes(0), services)
        fleet.wait_ready(fleet.names("entry"))
        started_s = record.now_s()
        for number in range(1, CHANGES + 1):
            operator.put(_routes(number), services)
        record.write(f"{CHANGES} changes took {record.now_s() - started_s:.1f} s; all acknowledged")
        probes = Probes(fleet, stopping)
        time.sleep(4.0)
        before = [run for run in world.runs if run[0] > record.now_s() - 1.0]
        services_before = {world.servers[run[2]].service for run in before}
        record.write(f"run by {services_before} before the fault")
        if services_before != {NEW}:
            raise fleets.CannotRun("the last config isn't in force")
        if trouble:
            for name in fleet.processes:
                fleet.signal(name, signal.SIGKILL)
            for process in fleet.processes.values():
                process.popen.wait()
            time.sleep(DOWN_S)
            fleet.start_all()
        back_s = record.now_s()
        in_touch_s = back_s + (IN_TOUCH_S if trouble else 0.0)
        threading.Thread(target=_read_back, args=(fleet, stopping, back_s), daemon=True).start()
        time.sleep(OBSERVED_S if trouble else 10.0)
        stopping.set()
        sent_s = probes.sent_s
        runs = [run for run in world.runs if sent_s[run[1]] >= in_touch_s]
        old = [run for run in runs if world.servers[run[2]].service == OLD]
        record.write(
            f"of the requests sent from {in_touch_s - back_s:.0f} s after the start on, "
            f"{len(runs)} ran, {len(old)} of them at the old service"
        )
        if old:
            first, last = sent_s[old[0][1]] - back_s, sent_s[old[-1][1]] - back_s
            return (
                f"CONFIG: {len(old)} of {len(runs)} requests sent {first:.1f} to {last:.1f} s after "
                "the start were run by the old service, which the acknowledged config had left"
            )
        if not runs:
            raise fleets.CannotRun("no request was served")
        return ""
    finally:
        stopping.set()
        fleet.close()


def _read_back(fleet, stopping, back_s):
    """Ask one replica after another for the config until one of them answers."""
    names, number = fleet.names("control"), 0
    while not stopping.wait(0.3):
        number += 1
        ip = fleet.processes[names[number % len(names)]].ip
        try:
            answer = fleets.call(ip, 8649, "GET", "/oriolelock/Config.Get", timeout_s=1.0)
        except OSError:
            continue
        if answer.status == 200:
            after_s = fleet.record.now_s() - back_s
            fleet.record.write(f"read back {answer.body[:18]!r} after {after_s:.1f} s")
            return


fleets.main(case, FOLDER)

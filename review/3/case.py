"""Hundreds of configs of 360 routes: control outgrows its memory again and again."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402
import platform_limits  # noqa: E402

# The largest dose of `big_config` is 350 routes more; a day "may contain hundreds of changes".
ROUTES = 360
MAX_CHANGES = 400
QUIET_CHANGES = 20
CHANGE_S = 110.0
ENDS = 3
SERVICES = ("proof-rendering", "venue-reorder-ledger", "scribe-order-intake", "ink-and-paper")


def _routes():
    found = {}
    for number in range(ROUTES):
        prefix = f"/planners/planner-{number}/galas-weddings-and-dinners/seating-runs/confirmations/"
        prefix += "of-cards-and-envelopes/for-the-halls-of-perth-bunbury-and-geraldton/by-the-scribes/"
        item = fleets.route(prefix, SERVICES[number % 4], "unsafe", timeout="6000ms")
        item["host"] = f"venue-{number}.galas.swanquill.example"
        found[f"seating-confirmations-of-planner-{number}"] = item
    return found


def _send(fleet, number, routes, services, is_over, names):
    """Send one config to one replica after another until one accepts it or ``is_over()``."""
    record = fleet.record
    data = {"version": f"r{number}", "routes": routes, "services": services}
    body = json.dumps({**data, "limits": fleets.LIMITS}).encode()
    headers = ["Content-Type: application/json", f"X-Base-Version: r{number - 1}"]
    pause_s = 0.1
    while not is_over():
        ip = fleet.processes[names[0]].ip
        try:
            answer = fleets.call(
                ip, 8649, "POST", "/oriolelock/Config.Replace", body, headers, timeout_s=2.0
            )
            result = str(answer.status)
        except OSError as exc:
            result = type(exc).__name__
        if result == "200":
            return True
        record.write(f"config r{number} at {names[0]}: {result}")
        if result.startswith("4"):
            raise fleets.CannotRun(f"config r{number}: {result}")
        # The next replica; who answered last is asked first for the next config.
        names.append(names.pop(0))
        time.sleep(pause_s)
        pause_s = min(1.0, 2 * pause_s)
    return False


def _ended_often(platform, fleet):
    names = fleet.names("control")
    often = [name for name in names if platform.ends.count(name) >= ENDS]
    return 2 * len(often) >= len(names)


def case(record, trouble):
    fleet = fleets.Fleet(record, entries=2)
    stopping = threading.Event()
    try:
        world = fleets.World(fleet)
        for zone in fleets.ZONES:
            world.add(SERVICES[0], zone, lambda server, target: 0.1)
        fleet.start_all()
        names = fleet.names("control")
        fleet.wait_ready(names)
        platform = platform_limits.Platform(fleet, stopping)
        routes, services = _routes(), {name: fleets.service() for name in SERVICES}
        until_s, accepted, accepted_s = record.now_s() + CHANGE_S, 0, 0.0
        item = next(iter(routes.values()))

        def is_over():
            return record.now_s() > until_s or _ended_often(platform, fleet)

        for number in range(1, (MAX_CHANGES if trouble else QUIET_CHANGES) + 1):
            item["timeout"] = f"{6000 + number}ms"
            if not _send(fleet, number, routes, services, is_over, names):
                break
            accepted, accepted_s = number, record.now_s()
            if number % 20 == 0:
                used = {n: round(platform_limits.private_mb(p)) for n, p in fleet.processes.items()}
                record.write(f"config r{number} accepted; private memory in MB: {used}")
        if not accepted:
            raise fleets.CannotRun("no config was accepted")
        while trouble and not is_over():
            time.sleep(0.2)
        ends = {name: platform.ends.count(name) for name in fleet.processes}
        record.write(
            f"{accepted} configs accepted, the last at {accepted_s:.1f} s; ended for memory: {ends}"
        )
        if _ended_often(platform, fleet):
            return (
                f"Fault: control processes ended for their memory {ends}, after {accepted} configs; "
                f"none was accepted in the last {record.now_s() - accepted_s:.0f} s"
            )
        return ""
    finally:
        stopping.set()
        time.sleep(platform_limits.RESTART_S + 0.3)
        fleet.close()


fleets.main(case, FOLDER)

"""Three of five entries are lost for good: does the directory still name them?"""

import json
import os
import signal
import time

import small_deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One region has more than half of the entries.
ENTRY_ZONES = ("perth-a", "perth-a", "perth-b", "bunbury-a", "geraldton-a")
LOST = ("front-1", "front-2", "front-3")
# Of the site swanquill; the rule adds 3 s to it.
CONTACT_WINDOW_S = 3.0
WATCH_S = 25.0
# The rule allows three.
MOST_ANSWERS = 3


def ask(deployment, name, zone):
    """Return the addresses in an answer of the directory, None for a failure."""
    region = zone.partition("-")[0]
    path = f"/oriolelock/resolve?name={small_deployment.HOST}&region={region}&zone={zone}"
    try:
        status, _, body = deployment.call(name, "directory", "GET", path)
    except OSError:
        return None
    return json.loads(body).get("addresses") if status == 200 else None


def main():
    record = small_deployment.Record("record.txt")
    deployment = small_deployment.Deployment(record, ENTRY_ZONES)
    names = {
        f"{machine.ip}:{deployment.port['front']}": name
        for name, machine in deployment.machines.items()
    }
    try:
        deployment.start_all()
        routes = {"r-a": small_deployment.route("svc-a", "/a/")}
        if deployment.replace_config(2, 0, routes) != 200 or not deployment.wait_ready():
            return 2
        time.sleep(6.0)
        asked = [name for name in deployment.names("entry") if name not in LOST]
        before = ask(deployment, asked[0], ENTRY_ZONES[0])
        if not before:
            return 2
        lost_s = time.monotonic()
        if TROUBLE:
            for name in LOST:
                deployment.signal(name, signal.SIGKILL)
        wrong = right = 0
        while time.monotonic() - lost_s < WATCH_S:
            for name in asked:
                for zone in ENTRY_ZONES:
                    age_s = time.monotonic() - lost_s
                    found = ask(deployment, name, zone)
                    if found is None:
                        record.write(f"asked {name} for {zone}: no answer")
                        continue
                    named = sorted(names[address] for address in found)
                    dead = [n for n in named if deployment.processes[n].poll() is not None]
                    is_late = age_s > CONTACT_WINDOW_S + 3.0
                    is_wrong = is_late and dead and len(dead) < len(named)
                    wrong, right = wrong + bool(is_wrong), right + (not is_wrong)
                    note = ", wrong" if is_wrong else ""
                    record.write(f"asked {name} for {zone} {age_s:.1f} s after: {named}{note}")
            time.sleep(1.0)
        alive = all(deployment.processes[n].poll() is None for n in (*asked, "core-1", "core-2"))
        if not alive or not right:
            return 2
        print(f"{wrong} answers named a lost entry beside a running one, {right} did not")
        return 1 if wrong > MOST_ANSWERS else 0
    finally:
        deployment.close()


small_deployment.run(main)

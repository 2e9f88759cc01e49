"""A control replica is frozen, another one is added, and the leader loses its disk."""

import os
import signal
import time

import small_deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY_ZONES = ("perth-a", "bunbury-a")
# Of the site: the longest freeze of a replica is 7.8 s.
FREEZE_S = 5.0
# After the leader's log says that the frozen one is to be removed.
LOSS_DELAY_S = 0.015
DOWN_S = 1.0
RECOVERY_S = 15.0
READ_S = 8.0


def wait_for_removal(deployment, leader, removed, until_s):
    """Wait until the leader's log names the removal of a replica; returns whether it does."""
    path = deployment.log_path(leader)
    wanted = f'"member":"{deployment.machines[removed].ip}:'.encode()
    with open(path, "rb") as log:
        rest = b""
        while time.monotonic() < until_s:
            lines = (rest + log.read()).split(b"\n")
            rest = lines.pop()
            if any(b'"Remove"' in line and wanted in line for line in lines):
                return True
            time.sleep(0.0005)
    return False


def read_config(deployment, record):
    """Read the config from all replicas for a while; returns the first one that comes."""
    until_s = time.monotonic() + READ_S
    while time.monotonic() < until_s:
        for name in deployment.names("control"):
            try:
                status, _, body = deployment.call(
                    name, "control", "GET", "/oriolelock/Config.Get", timeout_s=2.0
                )
            except OSError as exc:
                status, body = type(exc).__name__, b""
            record.write(f"read at {name}: {status}")
            if status == 200:
                return body
        time.sleep(0.3)
    return None


def main():
    record = small_deployment.Record("record.txt")
    deployment = small_deployment.Deployment(record, ENTRY_ZONES)
    try:
        deployment.start_all()
        routes = {"r-a": small_deployment.route("svc-a", "/a/")}
        if deployment.replace_config(2, 0, routes) != 200 or not deployment.wait_ready():
            return 2
        time.sleep(6.0)
        leader = deployment.leader()
        if leader is None or read_config(deployment, record) is None:
            return 2
        frozen = next(name for name in deployment.names("control") if name != leader)
        record.write(f"the leader is {leader}")
        if TROUBLE:
            deployment.signal(frozen, signal.SIGSTOP)
        frozen_s = time.monotonic()
        added = deployment.add_control(deployment.machines[frozen].zone)
        if TROUBLE:
            if not wait_for_removal(deployment, leader, frozen, frozen_s + FREEZE_S):
                return 2
            time.sleep(LOSS_DELAY_S)
            deployment.signal(leader, signal.SIGKILL)
            time.sleep(DOWN_S)
            deployment.wipe(leader)
            deployment.start(leader)
            time.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
            deployment.signal(frozen, signal.SIGCONT)
        time.sleep(3.0 + RECOVERY_S)
        if any(process.poll() is not None for process in deployment.processes.values()):
            return 2
        found = read_config(deployment, record)
        changed = deployment.replace_config(3, 2, routes)
        print(f"config read back: {'yes' if found else 'no'}; next change: {changed}; added {added}")
        return 0 if found and b'"r2"' in found else 1
    finally:
        deployment.close()


small_deployment.run(main)

"""A replica that was frozen applies an older order to end an evacuation, after a newer one."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402

ZONE = "geraldton-a"
FREEZE_S = 6.0
EVACUATION_S = 5.0
CONTACT_WINDOW_S = 3.0
CLIENTS = 12


def _keep_asking(fleet, stopping, number):
    """Ask one entry after another for work of 0.1 s until ``stopping`` is set."""
    names, count = fleet.names("entry"), 0
    client = None
    while not stopping.is_set():
        count += 1
        ip = fleet.processes[names[number % len(names)]].ip
        try:
            client = client or fleets.Client(ip)
            client.ask("POST", f"/orders/{number}", f"r{number}-{count}", b"card")
        except OSError:
            client = None
        time.sleep(0.05)


def case(record, trouble):
    fleet = fleets.Fleet(record, entries=3)
    stopping = threading.Event()
    try:
        world = fleets.World(fleet)
        for zone in fleets.ZONES:
            for _ in range(2):
                world.add("orderbench", zone, lambda server, target: 0.1)
        fleet.start_all()
        fleet.wait_ready(fleet.names("control"))
        operator = fleets.Operator(fleet)
        operator.put(
            {"r-1": fleets.route("/orders/", "orderbench", "unsafe")},
            {"orderbench": fleets.service()},
        )
        fleet.wait_ready(fleet.names("entry"))
        for number in range(CLIENTS):
            threading.Thread(
                target=_keep_asking, args=(fleet, stopping, number), daemon=True
            ).start()
        time.sleep(CONTACT_WINDOW_S)

        def order(verb, first):
            name, answer = operator.order(f"/oriolelock/Evacuations.{verb}/{ZONE}", first=first)
            if answer.status != 200:
                raise fleets.CannotRun(f"{verb}: {answer.status}")
            record.write(f"{verb} {ZONE} acknowledged by {name}")
            return record.now_s()

        leaders = [n for n in fleet.names("control") if _leads(fleet, n)]
        frozen = next(n for n in fleet.names("control") if n not in leaders)
        healthy = next(n for n in fleet.names("control") if n != frozen)
        order("Start", healthy)
        time.sleep(2.0)
        if trouble:
            fleet.signal(frozen, signal.SIGSTOP)
        frozen_s = record.now_s()
        time.sleep(0.3)
        order("Stop", frozen)
        time.sleep(1.0)
        acked_s = order("Start", healthy)
        time.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
        if trouble:
            fleet.signal(frozen, signal.SIGCONT)
        # All machines are in touch from here on, and the evacuation isn't taken back.
        judged_s = max(acked_s + EVACUATION_S, record.now_s() + CONTACT_WINDOW_S) + 0.5
        time.sleep(judged_s + 4.0 - record.now_s())
        stopping.set()
        zones = {server.name: server.zone for server in world.servers.values()}
        late = [run for run in world.runs if run[0] > judged_s and zones[run[2]] == ZONE]
        served = [run for run in world.runs if run[0] > judged_s]
        record.write(f"{len(served)} runs after {judged_s:.1f} s, {len(late)} of them in {ZONE}")
        if len(served) < 20:
            raise fleets.CannotRun("too few requests were served")
        if late:
            return f"EVAC: {len(late)} requests ran in {ZONE}, the first {late[0][0] - acked_s:.1f} s after the ack of its evacuation"
        return ""
    finally:
        stopping.set()
        fleet.close()


def _leads(fleet, name):
    answer = fleets.call(fleet.processes[name].ip, 9464, "GET", "/metrics")
    return b"control_is_leader 1" in answer.body


fleets.main(case, FOLDER)

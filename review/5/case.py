"""A request that crashes servers isn't recognised while the servers are busy with others."""

import asyncio
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import fleet as fleets  # noqa: E402

SERVERS_PER_ZONE = 4
SLOTS = 9
CLIENTS = 200
WORK_S = 1.0
BACK_S = 3.0
RETRIES = 25
RETRY_S = 2.0
CONTACT_WINDOW_S = 3.0
ALLOWED_LATE = 3
CRASHING = "/orders/crashing"


def _keep_asking(fleet, stopping, answers, number):
    names, count, client = fleet.names("entry"), 0, None
    ip = fleet.processes[names[number % len(names)]].ip
    while not stopping.is_set():
        count += 1
        try:
            client = client or fleets.Client(ip)
            answer = client.ask("POST", f"/orders/{number}-{count}", f"r{number}-{count}", b"card", 6000)
        except OSError:
            client = None
            time.sleep(0.1)
            continue
        answers[answer.status] = answers.get(answer.status, 0) + 1
        if answer.headers.get("connection", "") == "close":
            client = None
        if answer.status == 503:
            time.sleep(float(answer.headers.get("retry-after", 0.3)))


def case(record, trouble):
    fleet = fleets.Fleet(record, entries=2)
    stopping = threading.Event()
    try:
        world = fleets.World(fleet)

        async def come_back(server):
            await asyncio.sleep(BACK_S)
            await server.start()

        def work(server, target):
            if trouble and target == CRASHING:
                asyncio.ensure_future(come_back(server))
                return None
            return WORK_S

        for zone in fleets.ZONES:
            for _ in range(SERVERS_PER_ZONE):
                world.add("orderbench", zone, work, slots=SLOTS)
        fleet.start_all()
        fleet.wait_ready(fleet.names("control"))
        fleets.Operator(fleet).put(
            {"r-1": fleets.route("/orders/", "orderbench", "unsafe", timeout="6s", aim="2s")},
            {"orderbench": fleets.service(cold_s=0)},
        )
        fleet.wait_ready(fleet.names("entry"))
        answers = {}
        for number in range(CLIENTS):
            threading.Thread(
                target=_keep_asking, args=(fleet, stopping, answers, number), daemon=True
            ).start()
        time.sleep(4.0)
        names, refused = fleet.names("entry"), 0
        for number in range(RETRIES):
            ip = fleet.processes[names[number % len(names)]].ip
            request_id = f"crashing-{number}"
            try:
                answer = fleets.Client(ip).ask("POST", CRASHING, request_id, b"crash", 6000)
                record.write(f"{request_id}: {answer.status} {answer.body!r}")
                refused += answer.status == 503
            except OSError as exc:
                record.write(f"{request_id}: {type(exc).__name__}")
            time.sleep(RETRY_S)
        stopping.set()
        reached = [run for run in world.runs if run[3] == CRASHING]
        record.write(f"answers to other requests: {answers}")
        record.write(f"{len(reached)} of {RETRIES} tries reached a server, {refused} got 503")
        if not trouble:
            if len(reached) < RETRIES // 2:
                raise fleets.CannotRun("few of the harmless requests ran")
            return ""
        if len(reached) < 3:
            return ""
        third_s = reached[2][0]
        late = [run for run in reached if run[0] > third_s + CONTACT_WINDOW_S]
        if len(late) > ALLOWED_LATE:
            return (
                f"BUDGET: a request that crashes servers reached them in {len(late)} tries sent "
                f"later than contactWindow after it had crashed the third, {len(reached)} in all"
            )
        return ""
    finally:
        stopping.set()
        fleet.close()


fleets.main(case, FOLDER)

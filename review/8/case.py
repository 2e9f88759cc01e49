"""One request with a query of its own crashes each endpoint that runs it, and comes again.

Other callers use the same path with other queries, and are answered.
"""

import os
import threading
import time

import small_deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With OTHER_PATH=1 the other callers use another path.
USUAL_PATH = "/a/other" if os.environ.get("OTHER_PATH") == "1" else "/a/search"
ENTRY_ZONES = ("perth-a", "bunbury-a")
CONTACT_WINDOW_S = 3.0
# The rule allows three retries.
MOST_RETRIES = 3
RUN_S = 30.0
REPEAT_S = 1.0
BAD = "/a/search?q=bad"


class Watch:
    """What the endpoints have seen of the bad request."""

    def __init__(self, record):
        self._record = record
        self._lock = threading.Lock()
        self.arrivals = []
        self.crashes = []
        self.cut = set()
        self.running = {}

    def on_request(self, endpoint, conn, req):
        """Run a request; the bad one ends its endpoint, and all that runs there is cut."""
        is_bad = req.path == BAD
        with self._lock:
            if is_bad:
                self.arrivals.append((time.monotonic(), req.id))
            self.running.setdefault(endpoint.name, set()).add(req.id)
        endpoint.run(req)
        if is_bad and TROUBLE:
            if endpoint.crash():
                with self._lock:
                    self.crashes.append(time.monotonic())
                    self.cut |= self.running.pop(endpoint.name, set()) - {req.id}
            return False
        with self._lock:
            self.running.get(endpoint.name, set()).discard(req.id)
        conn.send(endpoint.answer(req))
        return True


class Callers:
    """Requests of callers; ``statuses``: how often each answer came, by kind of caller."""

    def __init__(self, deployment, record):
        self._deployment, self._record = deployment, record
        self._lock = threading.Lock()
        self.statuses = {"bad": {}, "usual": {}}
        self.is_over = False

    def send(self, kind, entry, path, request_id):
        headers = {
            "Host": small_deployment.HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
        }
        try:
            status = self._deployment.call(entry, "front", "GET", path, headers, timeout_s=5.0)[0]
        except OSError as exc:
            status = type(exc).__name__
        self._record.write(f"{kind} {request_id} {path} at {entry}: {status}")
        with self._lock:
            counts = self.statuses[kind]
            counts[status] = counts.get(status, 0) + 1

    def run_usual(self, entry):
        number = 0
        while not self.is_over:
            number += 1
            path = f"{USUAL_PATH}?q={number % 20}"
            self.send("usual", entry, path, f"usual-{entry}-{number}")
            time.sleep(0.08)


def main():
    record = small_deployment.Record("record.txt")
    deployment = small_deployment.Deployment(record, ENTRY_ZONES, per_service=6)
    watch, callers = Watch(record), Callers(deployment, record)
    try:
        for endpoint in deployment.endpoints:
            endpoint.on_request = watch.on_request
        deployment.start_all()
        routes = {"r-a": small_deployment.route("svc-a", "/a/")}
        if deployment.replace_config(2, 0, routes) != 200 or not deployment.wait_ready():
            return 2
        time.sleep(5.0)
        entries = deployment.names("entry")
        for entry in entries:
            threading.Thread(target=callers.run_usual, args=(entry,), daemon=True).start()
        time.sleep(4.0)
        if not callers.statuses["usual"].get(200):
            return 2
        began_s, number = time.monotonic(), 0
        while time.monotonic() - began_s < RUN_S:
            number += 1
            entry = entries[number % len(entries)]
            args = "bad", entry, BAD, f"bad-{number}"
            threading.Thread(target=callers.send, args=args, daemon=True).start()
            time.sleep(REPEAT_S)
        callers.is_over = True
        time.sleep(2.0)
        if any(process.poll() is not None for process in deployment.processes.values()):
            return 2
        late = set()
        if len(watch.crashes) >= 3:
            limit_s = watch.crashes[2] + CONTACT_WINDOW_S
            late = {request_id for at_s, request_id in watch.arrivals if at_s > limit_s}
        print(
            f"{len(watch.crashes)} crashes; {len(late)} of {number} bad requests reached endpoints "
            f"over {CONTACT_WINDOW_S:.0f} s after the third; {len(watch.cut)} requests of others "
            f"were cut while they ran; answers: {callers.statuses}"
        )
        return 1 if len(late) > MOST_RETRIES else 0
    finally:
        deployment.close()


small_deployment.run(main)

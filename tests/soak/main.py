"""``scripts/soak``: plays seeds and says which promise each of them broke."""

import argparse
import http.server
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

from tests.soak import callers, endpoint, fleet, ledger, plan

__all__ = ["main", "play"]

START_LIMIT_S = 20.0
CALM_S = 6.0
CALM_SERVED = 0.8
PORT_ENDPOINT = 18080
PORT_LIST = 18642
NETS = 200


class _List:
    """The platform's list of endpoints."""

    def __init__(self, host, endpoints):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                rows = [
                    ["s", f"{e.host}:{e.port}", f"z{n % 2 + 1}", endpoint.SLOTS, e.state, e.name]
                    for n, e in enumerate(endpoints)
                ]
                columns = ["service", "address", "zone", "slots", "state", "id"]
                data = {"instances": {"columns": columns, "rows": rows}, "nextPageToken": None}
                body = json.dumps(data).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self._server = http.server.ThreadingHTTPServer((host, PORT_LIST), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class _Injector:
    """Carries out the faults of a plan; each ends by itself."""

    def __init__(self, group, endpoints, operator, book):
        self._fleet = group
        self._endpoints = endpoints
        self._operator = operator
        self._book = book
        self.longest_pause_s = 0.0
        self._open: list[threading.Thread] = []

    def begin(self, fault):
        thread = threading.Thread(target=self._carry_out, args=(fault,), daemon=True)
        thread.start()
        self._open.append(thread)

    def wait(self):
        for thread in self._open:
            thread.join(30)

    def _carry_out(self, fault):
        hits = plan.KINDS[fault.kind][0]
        group = self._fleet
        if hits == "endpoint":
            self._hit_endpoint(fault, self._endpoints[fault.target % len(self._endpoints)])
        elif fault.kind == "evacuate":
            self._operator.evacuate("z1", True)
            time.sleep(fault.for_s)
            self._operator.evacuate("z1", False)
        elif hits == "all":
            names = group.control_hosts if fault.kind == "kill-control" else group.names()
            for host in names:
                group.signal(host, signal.SIGKILL)
            time.sleep(fault.for_s)
            for host in names:
                group.kill(host)
                group.start(host)
        else:
            hosts = {"entry": group.entry_hosts, "control": group.control_hosts}
            known = hosts.get(hits, group.names())
            self._hit_process(fault, known[fault.target % len(known)])

    def _hit_process(self, fault, host):
        group = self._fleet
        if fault.kind == "pause":
            self.longest_pause_s = max(self.longest_pause_s, fault.for_s)
            began_s = time.monotonic()
            group.signal(host, signal.SIGSTOP)
            time.sleep(fault.for_s)
            group.signal(host, signal.SIGCONT)
            self._book.pauses.append((host, began_s, time.monotonic()))
        elif fault.kind == "reload":
            group.signal(host, signal.SIGHUP)
        elif fault.kind == "stop":
            group.signal(host, signal.SIGTERM)
            time.sleep(7.0)
            group.kill(host)
            group.start(host)
        else:
            group.kill(host)
            if fault.kind == "wipe":
                group.wipe(host)
            time.sleep(fault.for_s)
            group.start(host)

    def _hit_endpoint(self, fault, item):
        if fault.kind == "reset":
            item.reset()
        elif fault.kind == "leave":
            if sum(e.state == "ready" for e in self._endpoints) > len(self._endpoints) // 2:
                item.state = "draining"
                self._book.leaving[item.name] = time.monotonic()
        elif fault.kind == "crash":
            item.crash()
            time.sleep(fault.for_s)
            item.start()
        else:
            item.mode = fault.kind
            time.sleep(fault.for_s)
            item.mode = ""


def _take_net(seed, endpoints):
    """Return a part of the loopback range that no other soak uses, and the list served there."""
    for offset in range(NETS):
        net = 10 + (seed + offset) % NETS
        try:
            return net, _List(f"127.{net}.4.1", endpoints)
        except OSError:
            # Another soak on this machine has it.
            continue
    raise RuntimeError("every part of the loopback range is in use")


def play(
    seed: int, length_s: float, entries: int, controls: int, endpoints: int, folder: pathlib.Path
) -> list[str]:
    """Play one seed and return a line for each broken promise."""
    book = ledger.Ledger()
    served: list[endpoint.Endpoint] = []
    net, listing = _take_net(seed, served)
    served += [
        endpoint.Endpoint(f"e{n}", f"127.{net}.3.{n + 1}", PORT_ENDPOINT, book, seed + n)
        for n in range(endpoints)
    ]
    group = fleet.Fleet(folder, net, entries, controls, f"127.{net}.4.1:{PORT_LIST}")
    operator = callers.Operator(group.control_hosts, book, seed)
    asking: list[callers.Caller] = []
    try:
        group.start_all()
        if not operator.put_next(START_LIMIT_S):
            return ["the first configuration was not acknowledged"]
        group.settle()
        time.sleep(1.0)
        asking = [callers.Caller(n, group.entry_hosts, book, seed + n) for n in range(3 * entries)]
        operator.thread.start()
        injector = _Injector(group, served, operator, book)
        began_s = time.monotonic()
        for fault in plan.make(seed, length_s):
            time.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            injector.begin(fault)
        injector.wait()
        operator.stop()
        operator.thread.join(15)
        time.sleep(CALM_S)
        since = len(book.answers)
        time.sleep(CALM_S)
        for item in asking:
            item.stop()
        for item in asking:
            item.thread.join(5)
        broken = book.broken(injector.longest_pause_s)
        for _ in range(20):
            book.final_revision = operator.read()
            if book.final_revision is not None:
                break
            time.sleep(0.3)
        else:
            broken.append("no replica tells the newest revision at the end")
        if book.served_part(since) < CALM_SERVED:
            broken.append(f"only {book.served_part(since):.2f} served after all faults ended")
        broken += [f"{host} ended by itself with {code}" for host, code in group.ended().items()]
        print(
            f"seed {seed}: {len(book.answers)} requests, {len(book.runs)} runs,"
            f" {len(book.acknowledged)} revisions, {len(broken)} broken promises",
            flush=True,
        )
        return broken
    finally:
        for item in asking:
            item.stop()
        group.stop_all()
        listing.close()
        for item in served:
            item.crash()


def main(argv: list[str] | None = None) -> int:
    """Run the command; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser("soak", description="Plays random faults on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=6)
    parser.add_argument("--keep", metavar="FOLDER", help="keep settings and logs of broken seeds")
    args = parser.parse_args(argv)
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            broken = play(seed, args.seconds, args.entries, args.controls, args.endpoints, folder)
            for line in broken:
                print(f"seed {seed}: {line}", flush=True)
            failed = failed or bool(broken)
            if broken and args.keep:
                shutil.copytree(folder, pathlib.Path(args.keep) / f"seed-{seed}")
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())

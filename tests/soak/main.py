"""``scripts/soak``: plays seeds and says which promise each of them broke."""

import argparse
import http.server
import json
import pathlib
import sys
import threading
import time

from tests.soak import (
    callers,
    control_group,
    endpoint,
    fleet,
    injector,
    ledger,
    losses,
    plan,
    seeds,
)

__all__ = ["main", "play"]

START_LIMIT_S = 20.0
CALM_S = 6.0
CALM_SERVED = 0.8
PORT_ENDPOINT = 18080
PORT_LIST = 18642
NETS = 200
MOST_PROCESSES = 250
# Some 35 MB a process. The callers and endpoints share one process, which must keep up.
LARGE = {"entries": 180, "controls": 11, "endpoints": 40, "callers": 40, "replace": True}


# An entry of another writer, which is no JSON.
ODD_ROW = b'["s","127.0.0.1:9","z1",4,"ready","odd-\x00"\x1b"\\q]'


class _List:
    """The platform's list of endpoints, with ``odd_rows`` among those that can be read."""

    def __init__(self, host, endpoints, odd_rows=()):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                rows = [
                    ["s", f"{e.host}:{e.port}", f"z{n % 2 + 1}", endpoint.SLOTS, e.state, e.name]
                    for n, e in enumerate(endpoints)
                ]
                columns = json.dumps(
                    ["service", "address", "zone", "slots", "state", "id"]
                ).encode()
                texts = [*odd_rows, *(json.dumps(row).encode() for row in rows)]
                listed = b'{"columns":%s,"rows":[%s]}' % (columns, b",".join(texts))
                body = b'{"instances":%s,"nextPageToken":null}' % listed
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


def _take_net(seed, endpoints, odd_rows=()):
    """Return a part of the loopback range that no other soak uses, and the list served there."""
    for offset in range(NETS):
        net = 10 + (seed + offset) % NETS
        try:
            return net, _List(f"127.{net}.4.1", endpoints, odd_rows)
        except OSError:
            # Another soak on this machine has it.
            continue
    raise RuntimeError("every part of the loopback range is in use")


class _Deployment:
    """The processes, endpoints, callers and the operator of one seed."""

    def __init__(self, seed, entries, controls, endpoints, asking, folder):
        self._connections = asking
        self.book = ledger.Ledger()
        self._seed = seed
        self.endpoints: list[endpoint.Endpoint] = []
        net, self._listing = _take_net(seed, self.endpoints, (ODD_ROW,))
        self.endpoints += [
            endpoint.Endpoint(f"e{n}", f"127.{net}.3.{n + 1}", PORT_ENDPOINT, self.book, seed + n)
            for n in range(endpoints)
        ]
        self.group = fleet.Fleet(folder, net, entries, controls, f"127.{net}.4.1:{PORT_LIST}")
        self.operator = callers.Operator(self.group.control_hosts, self.book, seed)
        self._asking: list[callers.Caller] = []

    def start(self):
        """Start everything; returns whether the first configuration was acknowledged."""
        self.group.start_all()
        if not self.operator.put_next(START_LIMIT_S):
            return False
        self.group.settle()
        time.sleep(1.0)
        hosts = self.group.entry_hosts
        for number in range(self._connections):
            self._asking.append(callers.Caller(number, hosts, self.book, self._seed + number))
        self.operator.thread.start()
        return True

    def stop_callers(self):
        for item in self._asking:
            item.stop()
        for item in self._asking:
            item.thread.join(5)

    def read_back(self):
        """Return the broken promises of the final configuration and of the processes."""
        broken = []
        for _ in range(20):
            self.book.final_revision = self.operator.read()
            if self.book.final_revision is not None:
                break
            time.sleep(0.3)
        else:
            broken.append("no replica tells the newest revision at the end")
        ended = self.group.ended()
        return broken + [f"{host} ended by itself with {code}" for host, code in ended.items()]

    def close(self):
        for item in self._asking:
            item.stop()
        self.group.stop_all()
        self._listing.close()
        for item in self.endpoints:
            item.crash()


def play(
    seed: int,
    length_s: float,
    entries: int,
    controls: int,
    endpoints: int,
    folder: pathlib.Path,
    replacing: bool = False,
    most_lost: int | None = None,
    connections: int | None = None,
) -> list[str]:
    """Play one seed and return a line for each broken promise.

    With ``replacing`` control replicas are replaced at new addresses, and at most ``most_lost`` of
    them, drawn by the seed if None, are lost at once. ``connections``: of callers, three for each
    entry if None.
    """
    asking = 3 * entries if connections is None else connections
    found = _Deployment(seed, entries, controls, endpoints, asking, folder)
    book, operator = found.book, found.operator
    control = control_group.ControlGroup(found.group, operator, book)
    faults, lost = plan.make(seed, length_s), None
    if replacing:
        most, faults = plan.make_replacing(
            seed, length_s, controls, control_group.CATCH_UP_S, most_lost
        )
        lost = losses.Losses(found.group, control, most, seed, folder / "losses.txt")
    try:
        if not found.start():
            return ["the first configuration was not acknowledged"]
        faulty = injector.Injector(found.group, found.endpoints, operator, book, lost)
        faulty.play(faults)
        operator.stop()
        operator.thread.join(15)
        broken = _check_control(control, book, lost) if lost else []
        time.sleep(CALM_S)
        since = len(book.answers)
        time.sleep(CALM_S)
        found.stop_callers()
        broken += book.broken(faulty.longest_pause_s) + found.read_back()
        if book.served_part(since) < CALM_SERVED:
            broken.append(f"only {book.served_part(since):.2f} served after all faults ended")
        if lost:
            broken += _broken_by(control.check_members)
        print(
            f"seed {seed}: {len(book.answers)} requests, {len(book.runs)} runs,"
            f" {len(book.acknowledged)} revisions, {len(broken)} broken promises"
            + (f", {most} of {controls} replicas lost at once at most" if lost else ""),
            flush=True,
        )
        return broken
    finally:
        found.close()


def _check_control(control, book, lost):
    return [
        *_broken_by(control.check_service, "after the last fault"),
        *(f"no acknowledgement of revision {n} in time" for _, n in book.unacknowledged),
        *lost.broken,
    ]


def _broken_by(check, *args):
    try:
        check(*args)
    except control_group.Broken as exc:
        return [str(exc)]
    return []


def _parse(argv):
    parser = argparse.ArgumentParser("soak", description="Plays random faults on loopback.")
    seeds.add_arguments(parser)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=6)
    parser.add_argument("--callers", type=int, help="connections; three for each entry if left out")
    parser.add_argument("--replace", action="store_true", help="also replace control replicas")
    parser.add_argument(
        "--lost", type=int, help="most replicas lost at once; drawn by the seed if left out"
    )
    parser.add_argument(
        "--large", action="store_true", help="many entries and 11 control replicas, replaced too"
    )
    args = parser.parse_args(argv)
    if args.large:
        vars(args).update(LARGE)
    if args.entries + args.controls > MOST_PROCESSES:
        parser.error(f"more than {MOST_PROCESSES} processes")
    return args


def main(argv: list[str] | None = None) -> int:
    """Run the command; returns 1 when a promise was broken."""
    args = _parse(argv)
    counts = (args.entries, args.controls, args.endpoints)

    def play_one(seed, folder):
        return play(seed, args.seconds, *counts, folder, args.replace, args.lost, args.callers)

    return seeds.play_all(args, play_one)


if __name__ == "__main__":
    sys.exit(main())

"""
oriolelock.bench.experiments.lookup
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Lookups per second of one entry process by callers in a closed loop, and the processor time
    of each; bytes of the load polls of an entry by endpoints.
"""

import concurrent.futures
import http.server
import io
import json
import os
import pathlib
import tempfile
import threading

import psutil
import pycurl

from oriolelock import clock
from oriolelock.bench import errors, fleet, fleet_options, operator, ports, process, sample
from oriolelock.endpoints import load_poller
from oriolelock.model import from_json
from oriolelock.settings import deployment, loader, preset

__all__ = ["add_arguments", "run"]

TARGET_ENDPOINTS = 3600
TARGET_LOOKUPS_S = 1111
ROUNDS = 3


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--callers", type=int, nargs="+", default=[1, 4, 16])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--endpoints", type=int, nargs="+", default=[10, 40, 160])


def _ask_until(url, end_s):
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    count = size = 0
    while clock.monotonic_s() < end_s:
        body = io.BytesIO()
        curl.setopt(pycurl.WRITEDATA, body)
        curl.perform()
        if curl.getinfo(pycurl.RESPONSE_CODE) != 200:
            raise errors.CallFailed(body.getvalue().decode())
        count += 1
        size += _bytes_of(curl)
    curl.close()
    return count, size


def _bytes_of(curl):
    parts = (pycurl.REQUEST_SIZE, pycurl.HEADER_SIZE, pycurl.SIZE_DOWNLOAD)
    return sum(curl.getinfo(part) for part in parts)


def _measure_callers(url, pid, callers, seconds):
    item = psutil.Process(pid)
    before = sum(item.cpu_times()[:2])
    end_s = clock.monotonic_s() + seconds
    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        futs = [pool.submit(_ask_until, url, end_s) for _ in range(callers)]
        found = [fut.result() for fut in futs]
    count = sum(row[0] for row in found)
    cpu_s = sum(item.cpu_times()[:2]) - before
    return {
        "lookups_s": count / seconds,
        "cpu_ms_per_lookup": 1000 * cpu_s / count,
        "lookups_s_core": count / cpu_s,
        "bytes_per_lookup": sum(row[1] for row in found) / count,
        "rss_mb": item.memory_info().rss / 1e6,
    }


def _measure_lookups(args):
    path = process.ROOT / "examples" / "bula" / "deployment.yaml"
    plan = loader.load(str(path), deployment.parse)
    options = fleet_options.FleetOptions(entries=1, log_level="WARNING")
    with tempfile.TemporaryDirectory() as folder:
        item = fleet.Fleet(pathlib.Path(folder) / "fleet", plan, options)
        with item as running:
            hand = operator.Operator(running)
            found = loader.load(str(path.parent / "presets" / "ordinary.yaml"), preset.parse)
            hand.send(kind="put-preset", preset=from_json.to_json(found))
            running.wait_version(hand.send(kind="use-preset", name=found.name))
            entry = next(iter(running.entries.values()))
            url = f"http://{entry.address}/oriolelock/lookup?service=till-stock&client=10.0.0.9"
            return [_measure_callers(url, entry.pid, n, args.seconds) for n in args.callers]


class _Handler(http.server.BaseHTTPRequestHandler):
    """Answers as an endpoint's ``GET /load``."""

    protocol_version = "HTTP/1.1"
    BODY = json.dumps(
        {"in_flight": 2, "slots": 6, "queued": 0, "state": "serving", "age_ms": 12.5}
    ).encode()

    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(self.BODY)))
        self.end_headers()
        self.wfile.write(self.BODY)

    def log_message(self, *args):
        """Write nothing."""


def _measure_polls(count):
    """Return bytes and processor time of rounds that ask ``count`` endpoints for their load."""
    taken = ports.Ports()
    servers = []
    for _ in range(count):
        host, port = taken.take().split(":")
        servers.append(http.server.ThreadingHTTPServer((host, int(port)), _Handler))
        threading.Thread(target=servers[-1].serve_forever, daemon=True).start()
    found = []
    for n, server in enumerate(servers):
        host, port = server.server_address
        found.append(sample.make_endpoint(n, address=f"{host}:{port}"))
    answered: list[str] = []
    poller = load_poller.LoadPoller(
        lambda now: found, lambda name, report, age_s: answered.append(name)
    )
    for _ in range(ROUNDS):
        poller.poll(clock.monotonic_s())
    sizes = [_bytes_of(curl) for curl in poller._handles.values()]
    for server in servers:
        server.shutdown()
        server.server_close()
    taken.close()
    return {"bytes_per_round": sum(sizes), "answered_per_round": len(answered) / ROUNDS}


def run(args) -> dict:
    """Measure lookups and polls and print rows."""
    from oriolelock.bench import fit

    print(f"load average at start: {os.getloadavg()[0]:.1f}")
    rows = _measure_lookups(args)
    for callers, row in zip(args.callers, rows, strict=True):
        print(f"{callers:>3} callers: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    polls = [_measure_polls(n) for n in args.endpoints]
    for count, row in zip(args.endpoints, polls, strict=True):
        print(f"{count:>4} endpoints: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()))
    line = fit.fit_line(args.endpoints, [row["bytes_per_round"] for row in polls])
    at_target = line.at(TARGET_ENDPOINTS)
    print(f"  bytes a round: {line}; at {TARGET_ENDPOINTS}: {at_target:.4g}")
    return {"lookups": rows, "polls": polls, "poll_bytes_at_target": at_target}

"""A small deployment on loopback addresses: the project's programs and stand-ins for the rest.

The programs are started with the commands of ``deploy/system.toml``, each on a loopback address
of its own, with a settings file like the platform's. Servers, the provider's list, the operator
and the clients are small stand-ins that follow PROTOCOL.md.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
REGIONS = {"perth-a": "perth", "bunbury-a": "bunbury", "geraldton-a": "geraldton"}
ZONES = tuple(REGIONS)
BOUNDS = (
    "seedLag=3s,reuseAfter=2s,contactWindow=3000ms,ack=4000ms,catchUp=4s,drain=3000ms,grace=6s,"
    "lossSlack=200ms,configApply=2500ms,rollbackSlack=250ms,maxStretch=5000ms,"
    "retryBudgetRatio=0.2,budgetWindow=10s,budgetExtraRetries=60,coldMultiplier=1.5,coldSlack=5,"
    "evacuation=5000ms,recovery=15s,ttl_max=5s,maxShiftFraction=0.15"
)
MEMORY_MB = {"entry": 300, "control": 296}
HOST = "hulo84.example"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 67108864,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}


class CannotRun(Exception):
    """The case can't be judged: something other than the promise failed."""


def _commands():
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: role["run"].split() for name, role in deploy["roles"].items()}


def _free_net():
    """Return the first three bytes of 250 loopback addresses on which nothing listens."""
    for _ in range(50):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (9464, 7620, 7621, 8640, 8641, 8649):
                with socket.socket() as sock:
                    sock.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback addresses")


class Record:
    """``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now_s():8.3f}  {text}\n")
            self._file.flush()


@dataclasses.dataclass
class Process:
    name: str
    role: str
    ip: str
    zone: str
    settings: pathlib.Path
    popen: subprocess.Popen | None = None
    starts: int = 0


class Fleet:
    """The processes of the deployment; ``close`` ends all of them."""

    def __init__(self, record, entries=2, controls=3):
        self.record = record
        self.net = _free_net()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._commands = _commands()
        self._ids = iter(range(1, 250))
        self.processes = {}
        control_ips = [self.ip() for _ in range(controls)]
        self.provider_address = (self.ip(), 8642)
        seeds = ",".join(f"{ip}:8649" for ip in control_ips[:3])
        for number, ip in enumerate(control_ips):
            self._add("control", number, ip, seeds)
        for number in range(entries):
            self._add("entry", number, self.ip(), seeds)

    def ip(self):
        return f"{self.net}.{next(self._ids)}"

    def _add(self, role, number, ip, seeds):
        zone = ZONES[number % len(ZONES)]
        name = f"{role}-{number + 1}"
        folder = self.folder / name
        data = folder / "data"
        data.mkdir(parents=True)
        lines = [
            f"nodeName={name}",
            f"role={role}",
            f"ip={ip}",
            f"zone={zone}",
            f"region={REGIONS[zone]}",
            *(f"zones.{z}={r}" for z, r in REGIONS.items()),
            "internalPortRange=7620,7635",
            f"seeds={seeds}",
            "firstStart=true",
            f"countsTowardTolerance={'true' if role == 'control' else 'false'}",
            f"limits.memoryMb={MEMORY_MB[role]}",
            "limits.cores=1",
            "limits.maxFds=4100",
            "discovery=cloud",
            "entry=directory",
            "faultTolerance.machines=1",
            "faultTolerance.zones=1",
            "faultTolerance.regions=1",
            f"bounds={BOUNDS}",
            f"cloud.address={self.provider_address[0]}:{self.provider_address[1]}",
            "cloud.ratePerS=50.0",
            "cloud.maxLag=800ms",
        ]
        if role == "control":
            lines += ["serves=control", f"listen.control={ip}:8649", f"dataDir={data}"]
        else:
            lines += [
                "serves=front,directory",
                f"listen.front={ip}:8641",
                f"listen.ready={ip}:8640",
                f"listen.directory={ip}:8643",
            ]
        settings = folder / "local.conf"
        settings.write_text("\n".join(lines) + "\n")
        self.processes[name] = Process(name, role, ip, zone, settings)

    def start(self, name):
        """Start a process; after its first start, ``firstStart`` is false."""
        process = self.processes[name]
        if process.starts:
            text = process.settings.read_text().replace("firstStart=true", "firstStart=false")
            process.settings.write_text(text)
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "ORIOLELOCK_SETTINGS": str(process.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        out = open(process.settings.parent / "log.txt", "ab")
        process.popen = subprocess.Popen(
            self._commands[process.role], cwd=ROOT, env=env, stdout=out, stderr=out
        )
        process.starts += 1
        self.record.write(f"start {name} pid {process.popen.pid}")

    def signal(self, name, signum):
        self.record.write(f"signal {signal.Signals(signum).name} to {name}")
        self.processes[name].popen.send_signal(signum)

    def names(self, role):
        return [name for name, process in self.processes.items() if process.role == role]

    def start_all(self):
        for name in self.processes:
            self.start(name)

    def is_ready(self, name):
        process = self.processes[name]
        port = 8640 if process.role == "entry" else 8649
        try:
            answer = call(process.ip, port, "GET", "/oriolelock/ready", timeout_s=1.0)
        except OSError:
            return False
        return answer.status == 200

    def wait_ready(self, names, timeout_s=30.0):
        deadline_s = time.monotonic() + timeout_s
        while not all(self.is_ready(name) for name in names):
            if time.monotonic() > deadline_s:
                raise CannotRun("not ready: " + ", ".join(n for n in names if not self.is_ready(n)))
            time.sleep(0.1)

    def resident_mb(self, name):
        """Return the resident memory of a process in MB, 0 when it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.processes[name].popen.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(match[1]) / 1024 if match else 0.0

    def log(self, name):
        return (self.processes[name].settings.parent / "log.txt").read_text(errors="replace")

    def close(self):
        for process in self.processes.values():
            if process.popen and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclasses.dataclass
class Answer:
    status: int
    headers: dict
    body: bytes


def _read_answer(file):
    line = file.readline()
    if not line:
        raise ConnectionError("closed without an answer")
    status = int(line.split()[1])
    headers = {}
    while True:
        line = file.readline().strip()
        if not line:
            break
        key, _, value = line.partition(b":")
        headers[key.strip().lower().decode()] = value.strip().decode("latin-1")
    length = int(headers.get("content-length", 0))
    body = file.read(length)
    if len(body) < length:
        raise ConnectionError("answer cut short")
    return Answer(status, headers, body)


def call(ip, port, method, path, body=b"", headers=(), timeout_s=5.0):
    """Send one request over a connection of its own and return the answer; raises OSError."""
    with socket.create_connection((ip, port), timeout_s) as sock:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        sock.sendall("\r\n".join(lines).encode() + body)
        with sock.makefile("rb") as file:
            return _read_answer(file)


class Client:
    """A client's kept connection to one entry."""

    def __init__(self, ip, port=8641, timeout_s=30.0):
        self._sock = socket.create_connection((ip, port), timeout_s)
        self._file = self._sock.makefile("rb")

    def ask(self, method, path, request_id, body=b"", deadline_ms=4000, host=HOST, extra=()):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *extra,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._sock.sendall("\r\n".join([*lines, "", ""]).encode())
        if body:
            self._sock.sendall(body)
        return _read_answer(self._file)

    def close(self):
        self._file.close()
        self._sock.close()


class Operator:
    """Sends each order to one replica after another, for a second each, as PROTOCOL.md says."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._number = 0

    def order(self, path, body=b"", base=None, first=None, tries=12):
        """Send an order; returns the name of the replica that answered and its answer."""
        names = self._fleet.names("control")
        if first is None:
            random.shuffle(names)
        else:
            names = [first, *(name for name in names if name != first)]
        headers = ["Content-Type: application/json"]
        if base is not None:
            headers.append(f"X-Base-Version: r{base}")
        pause_s = 0.1
        for number in range(tries):
            name = names[number % len(names)]
            process = self._fleet.processes[name]
            self._fleet.record.write(f"operator -> {name}: POST {path}")
            try:
                answer = call(process.ip, 8649, "POST", path, body, headers, timeout_s=1.0)
            except OSError as exc:
                self._fleet.record.write(f"operator <- {name}: no answer ({type(exc).__name__})")
                continue
            self._fleet.record.write(f"operator <- {name}: {answer.status} {answer.body[:100]!r}")
            if answer.status < 500 and answer.status not in (408, 429):
                return name, answer
            time.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        raise CannotRun(f"no answer to {path}")

    def put(self, routes, services, limits=LIMITS):
        """Put a whole config in force."""
        base, self._number = self._number, self._number + 1
        data = {"version": f"r{self._number}", "routes": routes, "services": services}
        body = json.dumps({**data, "limits": limits}).encode()
        _, answer = self.order("/oriolelock/Config.Replace", body, base)
        if answer.status != 200:
            raise CannotRun(f"config refused: {answer.status} {answer.body!r}")


def service(connections=360, cold_s=3):
    return {
        "healthPath": "/health",
        "maxConnections": connections,
        "protocol": "h1",
        "tls": False,
        "coldStart": f"{cold_s}s",
        "coldPerS": 4.2,
    }


def route(prefix, service_name, kind="safe", timeout="10s", aim="2s", attempts=2, priority=1):
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "targetLatency": aim,
        "priority": priority,
        "service": service_name,
        "maxAttempts": attempts,
        "stickySessions": False,
        "allowedRegions": [],
    }


class Server:
    """A sound server: one request at a time on a connection, slots and a queue.

    ``work(server, head)`` returns the seconds of work of a request, or None to crash.
    """

    def __init__(self, world, name, service_name, ip, zone, work, slots=6, queue=18):
        self.world, self.name, self.service, self.zone = world, name, service_name, zone
        self.address = (ip, 8080)
        self.slots, self.queue, self.work = slots, queue, work
        self.running = self.waiting = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._listener = None
        self._writers = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self._listener = await asyncio.start_server(self._serve, *self.address, limit=1 << 20)

    def crash(self):
        """End like a killed process: nothing listens and all connections end, oldest first."""
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers = []

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            if writer in self._writers:
                self._writers.remove(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        data = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
        first, *lines = data.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            key, _, value = line.partition(":")
            headers[key.strip().lower()] = value.strip()
        left = int(headers.get("content-length", 0))
        size = left
        while left:
            chunk = await reader.read(min(left, 1 << 20))
            if not chunk:
                return False
            left -= len(chunk)
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance")
        if target == "/health":
            return await self._reply(writer, 200, headers, b"ok\n", {"X-Instance-Id": self.name})
        if expected is not None and expected != self.name:
            return await self._reply(writer, 421, headers, b"", {})
        if self.waiting >= self.queue:
            return await self._reply(writer, 503, headers, b"", {"X-Not-Executed": "full"})
        self.waiting += 1
        await self._free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.world.record.write(
                f"run {request_id} at {self.name}: {method} {target}, {size} bytes"
            )
            self.world.runs.append((self.world.record.now_s(), request_id, self.name, target))
            seconds = self.work(self, target)
            if seconds is None:
                self.world.record.write(f"{self.name} crashes by {request_id}")
                self.crash()
                return False
            await asyncio.sleep(seconds)
        finally:
            self.running -= 1
            self._free.release()
        stamp = {"X-Server-Stamp": f"{self.name}.{request_id}"}
        return await self._reply(writer, 200, headers, b"done " + request_id.encode(), stamp)

    async def _reply(self, writer, status, request, body, headers):
        lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", "Keep-Alive: timeout=10"]
        if "x-request-id" in request:
            lines.append(f"X-Request-Id: {request['x-request-id']}")
        lines.append(f"X-Server-Load: {self.running},{self.waiting},{self.slots}")
        lines += [f"{key}: {value}" for key, value in headers.items()]
        closes = request.get("connection", "").lower() == "close"
        if closes:
            lines.append("Connection: close")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return not closes


class World:
    """Servers and the provider's list, in a thread of their own."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.runs = []
        self.servers = {}
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.do(self._serve_list())

    def do(self, coroutine):
        """Run a coroutine in the world's thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10.0)

    def add(self, service_name, zone, work, slots=6, queue=18):
        name = f"i-{service_name}-{len(self.servers) + 1}"

        async def make():
            server = Server(self, name, service_name, self.fleet.ip(), zone, work, slots, queue)
            await server.start()
            return server

        self.servers[name] = self.do(make())
        return self.servers[name]

    async def _serve_list(self):
        await asyncio.start_server(self._answer_list, *self.fleet.provider_address)

    async def _answer_list(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                columns = ["id", "service", "address", "zone", "version", "slots", "state"]
                rows = [
                    [s.name, s.service, f"{s.address[0]}:{s.address[1]}", s.zone, "v1", s.slots, s.state]
                    for s in list(self.servers.values())
                ]
                for row, server in zip(rows, list(self.servers.values()), strict=False):
                    row += ["0ms", server.born]
                listed = {"columns": [*columns, "coldRemaining", "born"], "rows": rows}
                body = json.dumps({"instances": listed, "nextPageToken": None}).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def main(case, folder):
    """Run ``case(record, trouble)``, which returns what broke or an empty text; exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    if not (ROOT / "target" / "deps").is_dir():
        print("not built")
        sys.exit(2)
    record.write(f"trouble: {trouble}")
    try:
        broken = case(record, trouble)
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.write(broken or "the rule held")
    print(broken or "the rule held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)

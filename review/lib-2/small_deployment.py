"""A small deployment on loopback addresses, for the scripts of the review.

Control replicas and entries are the project's programs, started with the commands of the deploy
file. The platform's list and the endpoints are the small stand-ins of this module; they follow
PROTOCOL.md. Each machine has an address of its own in 127.0.0.0/8.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "cards.example"
# The bounds of the site swanquill.
BOUNDS = (
    "seedLag=3s,reuseAfter=2s,contactWindow=3000ms,ack=4000ms,catchUp=4s,drain=3000ms,grace=6s,"
    "lossSlack=200ms,configApply=2500ms,rollbackSlack=250ms,maxStretch=5000ms,"
    "retryBudgetRatio=0.2,budgetWindow=10s,budgetExtraRetries=60,coldMultiplier=1.5,coldSlack=5,"
    "evacuation=5000ms,recovery=15s,ttl_max=5s,maxShiftFraction=0.15"
)
ZONES = ("perth-a", "bunbury-a", "geraldton-a", "perth-b", "bunbury-b", "geraldton-b")
COLUMNS = ("service", "address", "zone", "version", "slots", "state", "coldRemaining", "id", "born")
# Final answers with which the operator's call ends.
FINAL = (400, 409, 412, 413, 422)


class Record:
    """The lines of ``record.txt``; thread-safe. Times are seconds since the script began."""

    def __init__(self, path):
        self._lock = threading.Lock()
        self._file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_s

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, respond):
        super().__init__(address, Connection)
        self.respond = respond
        self.connections = set()
        self._thread = threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True)
        self._thread.start()

    def handle_error(self, request, client_address):
        """Ignore connections that end early."""

    def end(self):
        """Stop listening and reset all connections, as when a process is killed."""
        self.socket.close()
        for conn in list(self.connections):
            conn.reset()
        threading.Thread(target=self.shutdown, daemon=True).start()


@dataclasses.dataclass
class Message:
    """One HTTP request as it was received; header names in lower case."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def id(self):
        return self.headers.get("x-request-id", "")


class Connection(socketserver.BaseRequestHandler):
    """One connection to a stand-in; requests are answered one at a time."""

    def handle(self):
        self.buffer = b""
        self.server.connections.add(self)
        try:
            while True:
                req = self._read()
                if req is None or not self.server.respond(self, req):
                    return
        except (OSError, ValueError):
            # The connection has ended, or was reset by this stand-in.
            return
        finally:
            self.server.connections.discard(self)

    def send(self, data):
        self.request.sendall(data)

    def reset(self):
        """Close the connection with a reset, also while another thread waits for it to read."""
        try:
            self.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            # Wakes up a thread that reads; the close that follows resets.
            self.request.shutdown(socket.SHUT_RD)
            self.request.close()
        except OSError:
            pass

    def _fill(self):
        data = self.request.recv(65536)
        self.buffer += data
        return bool(data)

    def _read(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self._fill():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        method, path, _ = first.split(" ")
        while len(self.buffer) < length:
            if not self._fill():
                return None
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Message(method, path, headers, body)


def response(status, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Platform:
    """The list of endpoints; ``rows()`` returns its entries as tables.

    ``odd_entry``: the bytes of one more entry, left by another writer.
    """

    def __init__(self, address, rows):
        self._server = _Server(address, self._respond)
        self.rows = rows
        self.odd_entry = b""

    def _respond(self, conn, req):
        zone = req.path.partition("zone=")[2].partition("&")[0]
        rows = [row for row in self.rows() if not zone or row["zone"] == zone]
        entries = [json.dumps([row.get(c) for c in COLUMNS]).encode() for row in rows]
        if self.odd_entry:
            entries.insert(len(entries) // 2, self.odd_entry)
        body = b'{"instances":{"columns":%s,"rows":[%s]},"nextPageToken":null}' % (
            json.dumps(COLUMNS).encode(),
            b",".join(entries),
        )
        conn.send(response("200 OK", ("Content-Type: application/json",), body))
        return True


class Endpoint:
    """An endpoint that answers each request with a body that names the request.

    ``on_request(endpoint, conn, req)``, if set, answers in its place and returns whether the
    connection stays open; None leaves the request to the endpoint.
    """

    def __init__(self, name, service, zone, address, record, slots=6, work_s=0.02):
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.slots, self.work_s = slots, work_s
        self.state, self.on_request = "ready", None
        self.started_ms = int(time.time() * 1000) - 60_000
        self.runs = []
        self._record = record
        self._lock = threading.Lock()
        self.is_up = True
        self.cold_until_s = 0.0
        self._server = _Server(address, self._respond)

    def row(self):
        """Return its entry in the platform's list."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemaining": f"{self.cold_left_ms()}ms",
            "id": self.name,
            "born": self.started_ms,
        }

    def cold_left_ms(self):
        return max(0, int((self.cold_until_s - time.monotonic()) * 1000))

    def crash(self, down_s=3.0, cold_s=3.0):
        """End as a process that is killed, and start again under the same id after ``down_s``.

        Returns whether the endpoint was up.
        """
        with self._lock:
            was_up, self.is_up = self.is_up, False
        if not was_up:
            return False
        self._record.write(f"crash of {self.name}")
        self._server.end()

        def start_again():
            self.started_ms = int(time.time() * 1000)
            self.cold_until_s = time.monotonic() + cold_s
            self._server = _Server(self.address, self._respond)
            self.is_up = True
            self._record.write(f"start of {self.name}")

        timer = threading.Timer(down_s, start_again)
        timer.daemon = True
        timer.start()
        return True

    def _respond(self, conn, req):
        if req.path == "/health":
            headers = (
                f"X-Instance-Id: {self.name}",
                f"X-Server-Load: 0,0,{self.slots}",
                f"X-Cold-Ms: {self.cold_left_ms()}",
            )
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            conn.send(response(status, (*headers, *self._leaving_headers())))
            return True
        echo = f"X-Request-Id: {req.id}"
        if not req.id:
            conn.send(response("400 Bad Request", ("X-Not-Executed: 1",)))
            return True
        if req.headers.get("x-expected-instance", self.name) != self.name:
            lines = (f"X-Instance-Id: {self.name}", echo)
            conn.send(response("421 Misdirected Request", lines))
            return True
        if self.on_request is not None:
            stays = self.on_request(self, conn, req)
            if stays is not None:
                return stays
        self.run(req)
        conn.send(self.answer(req))
        return True

    def _leaving_headers(self):
        return () if self.state == "ready" else ("Server-Leaving: 1", "Connection: close")

    def end(self):
        """End as planned, for good; the list no longer names the endpoint."""
        self._record.write(f"end of {self.name}")
        self.is_up = False
        self._server.end()

    def drain(self):
        """Announce in the list and in all answers that the endpoint leaves."""
        self._record.write(f"{self.name} is draining")
        self.state = "draining"

    def run(self, req):
        """Run a request."""
        self.runs.append((time.monotonic(), req.id))
        self._record.write(f"run {req.id} at {self.name}")
        time.sleep(self.work_s)

    def answer(self, req):
        """Return the bytes of the answer to a request that was run."""
        headers = (
            f"X-Request-Id: {req.id}",
            f"X-Server-Stamp: stamp.{req.id}.{self.name}",
            f"X-Server-Load: 1,0,{self.slots}",
            "Keep-Alive: timeout=10",
            *self._leaving_headers(),
        )
        return response("200 OK", headers, f"answer to {req.id} by {self.name}".encode())


@dataclasses.dataclass
class Machine:
    """A machine of the system; ``role`` is that of the deploy file."""

    role: str
    ip: str
    zone: str


class Deployment:
    """``entry_zones`` and ``control_zones``: the zone of each machine."""

    def __init__(self, record, entry_zones, services=("svc-a",), per_service=6, control_zones=None):
        self.record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._net, base = _free_net()
        names = ("front", "ready", "control", "directory", "endpoint", "list", "inner")
        self.port = {name: base + offset for offset, name in enumerate(names)}
        self.endpoints = []
        for service in services:
            for zone in (ZONES * per_service)[:per_service]:
                self.add_endpoint(service, zone)
        self.platform = Platform(
            (f"{self._net}.250", self.port["list"]), lambda: [e.row() for e in self.endpoints if e.is_up]
        )
        self.machines = {}
        for number, zone in enumerate(control_zones or ZONES[:3], 1):
            ip = f"{self._net}.{9 + number}"
            self.machines[f"core-{number}"] = Machine("control", ip, zone)
        for number, zone in enumerate(entry_zones, 1):
            ip = f"{self._net}.{29 + number}"
            self.machines[f"front-{number}"] = Machine("entry", ip, zone)
        self.seeds = [m.ip for m in self.machines.values() if m.role == "control"][:3]
        self.is_first_start = True
        self.processes = {}
        self._files = []
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._commands = {name: role["run"].split() for name, role in roles.items()}

    def add_endpoint(self, service, zone, **fields):
        """Start an endpoint that the list names from now on."""
        number = len(self.endpoints) + 1
        address = (f"{self._net}.{100 + number}", self.port["endpoint"])
        name = f"i-{service}-{number}"
        endpoint = Endpoint(name, service, zone, address, self.record, **fields)
        self.endpoints.append(endpoint)
        return self.endpoints[-1]

    def add_control(self, zone):
        """Start one more control replica, with an empty disk; returns its name."""
        number = len(self.names("control")) + 1
        name = f"core-{number}"
        self.machines[name] = Machine("control", f"{self._net}.{9 + number}", zone)
        self.start(name)
        return name

    def wipe(self, name):
        """Remove what the disk of a machine holds; its process must have ended."""
        self.processes[name].wait()
        shutil.rmtree(self._folder / name / "data")
        self.record.write(f"the disk of {name} is lost")

    def leader(self):
        """Return the name of the control replica that leads, None if none says so."""
        for name in self.names("control"):
            try:
                text = self.call(name, "control", "GET", "/metrics")[2].decode()
            except OSError:
                continue
            if "oriolelock_control_is_leader 1" in text:
                return name
        return None

    def names(self, role):
        """Return the names of the machines with a role."""
        return [name for name, machine in self.machines.items() if machine.role == role]

    def _settings(self, name):
        machine, port = self.machines[name], self.port
        is_control = machine.role == "control"
        if is_control:
            own = {
                "listen.control": f"{machine.ip}:{port['control']}",
                "dataDir": f"{self._folder}/{name}/data",
            }
        else:
            own = {
                f"listen.{what}": f"{machine.ip}:{port[what]}"
                for what in ("front", "ready", "directory")
            }
        values = {
            "nodeName": name,
            "role": machine.role,
            "machineClass": "core" if is_control else "front",
            "serves": "control" if is_control else "front,directory",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": machine.zone.partition("-")[0],
            **{f"zones.{zone}": zone.partition("-")[0] for zone in ZONES},
            **own,
            "internalPortRange": f"{port['inner']},{port['inner'] + 15}",
            "seeds": ",".join(f"{ip}:{port['control']}" for ip in self.seeds),
            "firstStart": str(self.is_first_start).lower(),
            "countsTowardTolerance": str(is_control).lower(),
            "limits.cpuShare": "0.645" if is_control else "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "296" if is_control else "300",
            "limits.maxFds": "4096",
            "discovery": "cloud",
            "entry": "directory",
            "heartbeat": "1500ms",
            "contracts": "base,drain,config,cost,retry,recover,places",
            "faultTolerance.machines": "1",
            "faultTolerance.zones": "1",
            "faultTolerance.regions": "1",
            "bounds": BOUNDS,
            "cloud.address": f"{self._net}.250:{port['list']}",
            "cloud.ratePerS": "50.0",
            "cloud.duties": "",
            "cloud.maxLag": "800ms",
        }
        return "".join(f"{key}={value}\n" for key, value in values.items())

    def write_settings(self, name):
        """Place the settings file of a machine; returns its path."""
        folder = self._folder / name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        path = folder / "local.conf"
        path.with_suffix(".new").write_text(self._settings(name))
        path.with_suffix(".new").rename(path)
        return path

    def start(self, name):
        """Start the process of a machine."""
        path = self.write_settings(name)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target/deps"), "ORIOLELOCK_SETTINGS": str(path)}
        output = open(path.parent / "log", "ab")
        self._files.append(output)
        self.processes[name] = subprocess.Popen(
            self._commands[self.machines[name].role],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        self.record.write(f"started {name} in {self.machines[name].zone}")

    def start_all(self):
        """Start all machines for the first time."""
        for name in self.machines:
            self.start(name)
        self.is_first_start = False

    def signal(self, name, number):
        """Send a signal to the process of a machine."""
        self.processes[name].send_signal(number)
        self.record.write(f"{signal.Signals(number).name} to {name}")

    def log_path(self, name):
        """Return the path of the log of a machine."""
        return self._folder / name / "log"

    def close(self):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for output in self._files:
            output.close()
        shutil.rmtree(self._folder, ignore_errors=True)

    def call(self, name, what, method, path, headers=None, body=None, timeout_s=1.0):
        """Return status, headers and body of a call over a new connection; raises OSError."""
        address = self.machines[name].ip, self.port[what]
        conn = http.client.HTTPConnection(*address, timeout=timeout_s)
        try:
            conn.request(method, path, body, headers or {})
            found = conn.getresponse()
            return found.status, {k.lower(): v for k, v in found.getheaders()}, found.read()
        except http.client.HTTPException as exc:
            raise OSError(f"{type(exc).__name__}: {exc}") from exc
        finally:
            conn.close()

    def order(self, path, headers=None, body=None, within_s=12.0):
        """Send an operator's order until it is answered; returns the final status or None."""
        controls, deadline_s = self.names("control"), time.monotonic() + within_s
        for attempt in range(1000):
            name = controls[attempt % len(controls)]
            try:
                status = self.call(name, "control", "POST", path, headers, body)[0]
            except OSError as exc:
                status = type(exc).__name__
            self.record.write(f"order {path} at {name}: {status}")
            if status == 200 or status in FINAL:
                return status
            if time.monotonic() > deadline_s:
                return None
            time.sleep(0.2)
        return None

    def replace_config(self, version, base, routes):
        """Send a complete config; returns the final status or None."""
        service = {
            "healthPath": "/health",
            "maxConnections": 360,
            "protocol": "h1",
            "tls": False,
            "coldStart": "3s",
            "coldPerS": 4.2,
        }
        data = {
            "version": f"r{version}",
            "routes": routes,
            "services": {name: service for name in sorted({e.service for e in self.endpoints})},
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeout": "3000ms",
                "idleTimeout": "15000ms",
            },
        }
        headers = {"X-Base-Version": f"r{base}", "Content-Type": "application/json"}
        return self.order("/oriolelock/Config.Replace", headers, json.dumps(data))

    def wait_ready(self, within_s=15.0):
        """Wait until all entries say that they are ready; returns whether they do."""
        deadline_s = time.monotonic() + within_s
        waiting = set(self.names("entry"))
        while waiting and time.monotonic() < deadline_s:
            for name in sorted(waiting):
                try:
                    if self.call(name, "ready", "GET", "/oriolelock/ready")[0] == 200:
                        waiting.discard(name)
                except OSError:
                    pass
            time.sleep(0.1)
        return not waiting


def run(main):
    """Exit with the result of ``main()``, with 2 if it fails or is ended by SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)


def route(service, prefix, kind="safe", timeout="1200ms", attempts=2):
    """Return a route of the config."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "targetLatency": "600ms",
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "stickySessions": True,
        "allowedRegions": [],
    }


def _free_net():
    """Return three bytes of a loopback address and the first of 25 ports that are free there."""
    for _ in range(100):
        net = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        base = random.randint(21_000, 29_000)
        try:
            for port in range(base, base + 25):
                with socket.socket() as probe:
                    probe.bind((f"{net}.10", port))
        except OSError:
            continue
        return net, base
    raise OSError("no free ports")

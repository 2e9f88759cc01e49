"""Callers that keep their connections until these end, and an operator that changes routes."""

import hashlib
import json
import random
import socket
import threading
import time

import h11

from tests.soak import fleet, ledger

__all__ = ["Caller", "Operator"]

DEADLINE_S = 2.0
RECV_BYTES = 65536
PAUSE_S = 0.03
OPERATOR_PAUSE_S = 0.7
OPERATOR_LIMIT_S = 1.0
ORDER_LIMIT_S = 10.0


def _read(sock, http):
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(sock.recv(RECV_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError("closed")


class Caller:
    """One connection after the other; every request is noted in the ledger."""

    def __init__(self, number: int, hosts: list[str], book: ledger.Ledger, seed: int):
        self._number = number
        self._hosts = hosts
        self._book = book
        self._rng = random.Random(seed)
        self._stopping = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """End after the present request."""
        self._stopping.set()

    def _run(self):
        sock = http = None
        count = 0
        while not self._stopping.wait(PAUSE_S * self._rng.random() * 2):
            count += 1
            if sock is None:
                try:
                    host = self._rng.choice(self._hosts)
                    sock = socket.create_connection((host, fleet.PORT_FRONT), 0.5)
                    http = h11.Connection(h11.CLIENT)
                except OSError:
                    # The entry is away; another one may do.
                    sock = None
                    continue
            if not self._ask(sock, http, f"c{self._number}-{count}"):
                sock.close()
                sock = None

    def _ask(self, sock, http, name):
        idempotent = self._rng.random() < 0.5
        method = "GET" if idempotent else "POST"
        target = f"/{'view' if idempotent else 'order'}/{self._rng.randrange(20)}"
        body = b"" if idempotent else self._rng.randbytes(self._rng.randrange(1, 3000))
        sent_hash = hashlib.sha256(method.encode() + target.encode() + body).hexdigest()
        headers = [
            ("Host", "soak.example"),
            ("X-Request-Id", name),
            ("X-Affinity-Key", target),
            ("X-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            ("Content-Length", str(len(body))),
        ]
        began_s = time.monotonic()
        status, answer, stamp, keeps = 0, b"", "", False
        try:
            data = http.send(h11.Request(method=method, target=target, headers=headers))
            data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
            sock.settimeout(DEADLINE_S + ledger.ANSWER_SLACK_S)
            sock.sendall(data)
            head, answer = _read(sock, http)
            status = head.status_code
            stamp = dict(head.headers).get(b"x-server-stamp", b"").decode()
            keeps = http.their_state is h11.DONE and http.our_state is h11.DONE
            if keeps:
                http.start_next_cycle()
        except TimeoutError:
            status = -1
        except (OSError, h11.ProtocolError):
            status = 0
        took_s = time.monotonic() - began_s
        self._book.add_answer(
            ledger.Answer(
                name,
                idempotent,
                status,
                answer,
                stamp,
                took_s,
                DEADLINE_S,
                sent_hash,
                sock.getpeername()[0] if status == -1 else "",
                began_s,
            )
        )
        return keeps


class Operator:
    """Puts one revision after the other and reads back, at any replica."""

    def __init__(self, hosts: list[str], book: ledger.Ledger, seed: int):
        self._hosts = hosts
        self._book = book
        self._rng = random.Random(seed)
        self._stopping = threading.Event()
        self._revision = 0
        self.thread = threading.Thread(target=self._run, daemon=True)

    def stop(self) -> None:
        """End after the present call."""
        self._stopping.set()

    def _call(self, method, path, body=b"", base="", host=""):
        host = host or self._rng.choice(tuple(self._hosts))
        headers = [("Host", host), ("Connection", "close"), ("Content-Length", str(len(body)))]
        if base:
            headers.append(("X-Base-Version", base))
        http = h11.Connection(h11.CLIENT)
        try:
            with socket.create_connection((host, fleet.PORT_CONTROL), 0.5) as sock:
                sock.settimeout(OPERATOR_LIMIT_S)
                data = http.send(h11.Request(method=method, target=path, headers=headers))
                data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
                sock.sendall(data)
                head, answer = _read(sock, http)
                return head.status_code, answer
        except (OSError, h11.ProtocolError):
            return 0, b""

    def _document(self, revision):
        def route(prefix, kind):
            return {
                "host": "soak.example",
                "pathPrefix": prefix,
                "kind": kind,
                "timeout": "1500ms",
                "targetLatency": "500ms",
                "priority": 1,
                "service": "s",
                "maxAttempts": 2,
                "stickySessions": True,
                "allowedRegions": [],
            }

        idle = {f"idle-{revision}": route(f"/idle{revision}/", "safe")}
        service = {"healthPath": "/health", "maxConnections": 100, "coldStart": "1s", "coldPerS": 9}
        return {
            "version": f"r{revision}",
            "routes": {
                "view": route("/view/", "safe"),
                "order": route("/order/", "unsafe"),
                **idle,
            },
            "services": {"s": service},
        }

    def put_next(self, limit_s: float) -> bool:
        """Put the next revision, again and again until it is acknowledged or time is up."""
        following = self._revision + 1
        body = json.dumps(self._document(following)).encode()
        end_s = time.monotonic() + limit_s
        path = "/oriolelock/Config.Replace"
        while time.monotonic() < end_s:
            status, _ = self._call("POST", path, body, f"r{self._revision}")
            if status == 200:
                self._revision = following
                self._book.acknowledged.append((time.monotonic(), following))
                return True
            if 400 <= status < 500:
                self._book.reads.append((time.monotonic(), -status))
                return False
            time.sleep(0.1)
        return False

    def read(self, host: str = "") -> int | None:
        """Return the revision that a replica tells, None when it tells none."""
        status, body = self._call("GET", "/oriolelock/Config.Get", host=host)
        return int(json.loads(body)["version"][1:]) if status == 200 else None

    def metrics(self, host: str) -> str:
        """Return the metrics of a replica, empty if it doesn't answer."""
        status, body = self._call("GET", "/metrics", host=host)
        return body.decode() if status == 200 else ""

    def evacuate(self, zone: str, start: bool) -> None:
        """Evacuate a failure domain, or take it back."""
        word = "Start" if start else "Stop"
        for _ in range(20):
            if self._call("POST", f"/oriolelock/Evacuations.{word}/{zone}")[0] == 200:
                return
            time.sleep(0.2)

    def _run(self):
        while not self._stopping.wait(OPERATOR_PAUSE_S * self._rng.random() * 2):
            began_s = time.monotonic()
            if not self.put_next(ORDER_LIMIT_S):
                self._book.unacknowledged.append((began_s, self._revision + 1))
            began_s = time.monotonic()
            revision = self.read()
            if revision is not None:
                self._book.reads.append((began_s, revision))

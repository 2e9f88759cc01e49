"""Guards against input that is served although it is wrong, or that ends or blocks a process."""

import socket

import cbor2
import websockets.sync.client
from pytest_bdd import given, parsers, scenarios, then, when

from oriolelock.bench import http, waiting
from oriolelock.wire import channel, errors, hello
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_input.feature")

THREADS = 64
GOOD = {
    "Oriolelock-Service": "s",
    "Oriolelock-Operation": "read",
    "Oriolelock-Deadline-Ms": "2000",
}


def make_fleet(folder):
    return request_plan.make(folder, entry_threads=THREADS)


def address(w, name):
    host, port = w.fleet.address_of(name).split(":")
    return host, int(port)


def raw(data):
    """Return a way to send these bytes and read status and headers of the answer."""

    def send(w, entry):
        with socket.create_connection(address(w, entry), 10) as sock:
            sock.sendall(data)
            head = sock.makefile("rb").read().split(b"\r\n\r\n")[0].decode("latin-1")
        lines = head.split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        return int(lines[0].split()[1]), fields

    return send


def changed(body=b"x", **fields):
    """Return a way to send a good request with these headers changed, None to leave out."""
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    headers = {k: v for k, v in {**GOOD, **named}.items() if v is not None}

    def send(w, entry):
        found = w.post(entry, "read", body, headers)
        return found.status, {
            "oriolelock-outcome": found.outcome,
            "oriolelock-reason": found.reason,
        }

    return send


INPUTS = {
    "a request line of garbage": raw(b"\x00\xff garbage\r\n\r\n"),
    "a header without a colon": raw(b"GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n"),
    "100 KB of headers": raw(
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * 100_000 + b"\r\n\r\n"
    ),
    "a body of 2 MB": changed(b"x" * 2_000_000),
    "an unknown service": changed(Oriolelock_Service="nobody"),
    "an unknown operation": changed(Oriolelock_Operation="nothing"),
    "no deadline": changed(Oriolelock_Deadline_Ms=None),
    "a deadline of 0": changed(Oriolelock_Deadline_Ms="0"),
    "a deadline of x": changed(Oriolelock_Deadline_Ms="x"),
    "no key for keyed work": changed(Oriolelock_Operation="pay"),
    "an expired key": changed(Oriolelock_Operation="pay", Idempotency_Key="1000-old"),
}


@when(parsers.parse("{what} is sent to {entry}"))
def _(w, entry, what):
    w.notes["answer"] = INPUTS[what](w, entry)


@then(parsers.parse("it answers status {status:d}, not-run because of {reason}"))
def _(w, status, reason):
    found, fields = w.notes["answer"]
    assert (found, fields["oriolelock-outcome"]) == (status, "not-run")
    assert fields["oriolelock-reason"] == reason


@then(parsers.parse("{entry} still serves"))
def _(w, entry):
    assert w.send(entry).outcome == "complete"
    assert all(item.is_running() for item in w.fleet.processes())


@given(parsers.parse("{count:d} callers of {entry} that send half a request"))
def _(w, count, entry):
    for _ in range(count):
        sock = socket.create_connection(address(w, entry), 10)
        w.cleanups.append(sock.close)
        sock.sendall(b"POST /work HTTP/1.1\r\nHost: x\r\nOriolelock-Service: s\r\n")


@then(parsers.parse("{count:d} read requests to {entry} complete within {limit:d} seconds each"))
def _(w, count, entry, limit):
    for _ in range(count):
        found = w.send(entry)
        assert found.outcome == "complete" and found.end_s - found.start_s < limit


def link_address(w, name):
    return w.fleet.settings.link_addresses[name]


@when(parsers.parse("{name} receives bytes that are not CBOR on its link port"))
def _(w, name):
    w.notes["before"] = counted(w, name)
    with websockets.sync.client.connect(f"ws://{link_address(w, name)}/", proxy=None) as conn:
        conn.send(b"\xff\x00 not cbor")
        w.notes["error"] = cbor2.loads(conn.recv(10))


@when(parsers.parse("{name} receives another protocol version on its link port"))
def _(w, name):
    w.notes["before"] = counted(w, name)
    host, port = link_address(w, name).split(":")
    token = w.fleet.settings.cluster_token
    greeting = hello.Hello(hello.PROTOCOL_VERSION + 1, "scenario", token, "x", "entry", "i")
    try:
        channel.connect((host, int(port)), greeting, 10.0)
    except errors.HandshakeRefused as exc:
        w.notes["error"] = str(exc)


def counted(w, name):
    data = http.get_json(w.fleet.address_of(name), "/oriolelock/state")
    return data["metrics"].get("wire.refused", 0)


@then("the link connection is refused")
def _(w):
    assert w.notes["error"]


@then(parsers.parse("{name} counts it"))
def _(w, name):
    waiting.until(lambda: counted(w, name) == w.notes["before"] + 1, 10.0)

"""An entry that is stopped answers each request that it has read."""

import threading
import time
import types

import pytest

from oriolelock.gateway import daemon
from oriolelock.settings import gateway as settings
from tests import waiting
from tests.gateway import conftest
from tests.http1 import raw_endpoint

GRACE_S = 1.0
LOOPBACK = ("127.0.0.1", 0)
# Longer than the rest of the grace period.
WORK_S = 3.0


@pytest.fixture
def endpoint():
    def respond(conn, head, body):
        if not head.startswith(b"GET /health"):
            time.sleep(WORK_S)
        conn.sendall(conftest.make_response(head))

    raw = raw_endpoint.RawEndpoint(respond)
    yield raw
    raw.close()


@pytest.fixture
def entry(endpoint):
    cfg = settings.GatewaySettings(
        name="e1",
        cluster="c",
        region="a",
        failure_domain="a1",
        listen=LOOPBACK,
        ready_listen=LOOPBACK,
        lookup_listen=None,
        link_listen=LOOPBACK,
        peer_listen=LOOPBACK,
        metrics_listen=None,
        control=(("127.0.0.1", 9),),
        cluster_token="token",
        retry_ratio=0.2,
        retry_allowance=60.0,
        retry_window_s=10.0,
        shift_speed=0.04,
        grace_s=GRACE_S,
        log_level="INFO",
    )
    item = daemon.Gateway(cfg, conftest.DIALECT, types.SimpleNamespace())
    thread = threading.Thread(target=item.run, daemon=True)
    thread.start()
    configure(item, endpoint)
    yield item
    item.loop.call_soon(item.leave)
    thread.join(5)
    item._relay.stop()
    item._uplink.stop()


def configure(entry, endpoint):
    cfg = conftest.make_configuration({"x": endpoint.address}, timeout_ms=10000.0)
    entry.loop.call_soon(lambda: entry.core.configure(cfg))
    waiting.until(lambda: entry.core.is_ready, 2)


def open_request(entry, kind):
    sock = conftest.connect(entry._servers[0]._sock.getsockname())
    sock.sendall(conftest.make_request(b"/%s/1" % kind))
    return sock


def read_all(sock):
    data = b""
    while received := sock.recv(65536):
        data += received
    return data


@pytest.mark.parametrize("kind", [b"once", b"safe"])
def test_request_in_progress_at_the_end_of_the_grace_period_is_answered(entry, endpoint, kind):
    with open_request(entry, kind) as sock:
        waiting.until(lambda: endpoint.requests, 2)
        entry.loop.call_soon(entry.leave)
        assert read_all(sock).startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("kind", [b"once", b"safe"])
def test_request_that_would_outlast_the_grace_period_is_not_passed_on(entry, endpoint, kind):
    entry.loop.call_soon(entry.leave)
    waiting.until(entry._is_leaving, 2)
    # As a response of the route was seen to take so long.
    times = entry.core.chooser.service_times_of(entry.core.route_named(kind.decode()))
    times.warm_s = times.cold_s = WORK_S
    with open_request(entry, kind) as sock:
        found = read_all(sock)
    assert found.startswith(b"HTTP/1.1 503")
    assert b"connection: close" in found.lower()
    assert not endpoint.requests

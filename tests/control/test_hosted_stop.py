"""A replica that stops answers the calls that it has accepted."""

import socket
import threading
import time

from oriolelock.control import hosted
from oriolelock.http1 import messages as http
from tests import waiting
from tests.control import cluster, test_seeds

CALL = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


def start_replica(folder, handle):
    port, http_port = cluster.free_ports(2)
    cfg = test_seeds.make_settings(folder, port, http_port, (port,), min_voters=1)
    hosted.form_if_first(cfg, True)
    replica = hosted.Hosted(cfg, [cfg.listen], lambda text: None, dict, lambda _: handle)
    replica.start()
    return replica, cfg.listen


def test_call_in_progress_is_answered_during_a_stop(tmp_path):
    exchanges = []
    replica, address = start_replica(tmp_path, exchanges.append)
    sock = socket.create_connection(address, 5)
    sock.settimeout(5)
    sock.sendall(CALL)
    waiting.until(lambda: exchanges)
    stopping = threading.Thread(target=replica.stop)
    stopping.start()
    waiting.until(lambda: not replica._servers[0].is_listening)
    # The result comes while the replica is stopping.
    time.sleep(0.1)
    replica.loop.call_soon(lambda: exchanges[0].reply(http.Response(200, (), b"done")))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    stopping.join(10)
    assert not stopping.is_alive()


def test_stop_does_not_wait_long_for_a_call_without_a_result(tmp_path):
    exchanges = []
    replica, address = start_replica(tmp_path, exchanges.append)
    with socket.create_connection(address, 5) as sock:
        sock.sendall(CALL)
        waiting.until(lambda: exchanges)
        started_s = time.monotonic()
        replica.stop()
    assert time.monotonic() - started_s < hosted.STOP_TIMEOUT_S + 2.0

"""Timeouts of connections whose peer does not acknowledge packets."""

import socket

from tests import waiting
from tests.http1 import test_planned_stop

PROBE_LOST = 1


def test_connection_of_a_caller_outlives_a_lost_keep_alive_probe(running):
    http_server, _ = test_planned_stop.make_server(running)
    with socket.create_connection(http_server._sock.getsockname(), 5):
        waiting.until(lambda: running.call(lambda: len(http_server)) == 1)
        (conn,) = http_server._connections
        idle_s, interval_s, timeout_ms = (
            conn._sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_USER_TIMEOUT)
        )
    # Whatever the number of probes, Linux gives up at the first that is due after the user timeout.
    assert timeout_ms > 1000 * (idle_s + interval_s * PROBE_LOST)

"""
oriolelock.http1.sockets
~~~~~~~~~~~~~~~~~~~~~~~~

    TCP socket options: no delay, and timeouts for an unresponsive peer.
"""

import socket

__all__ = ["BACKLOG", "CALLER_TIMEOUT_MS", "ENDPOINT_TIMEOUT_MS", "listen", "set_options"]

# A connection to an endpoint ends when data is unacknowledged for this long. Covers six round trips
# between distant regions (70 ms) and two kernel retransmissions (0.2 and 0.4 s).
ENDPOINT_TIMEOUT_MS = 1200
# The same for callers. Their connections outlive lost packets and a congested link, as nothing can
# be answered once they have ended.
CALLER_TIMEOUT_MS = 5000
# Keep-alive probes detect a peer that lost an idle connection. The timeouts above also decide how
# long probes may be unanswered.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# Connections that wait to be accepted.
BACKLOG = 512


def set_options(sock: socket.socket, timeout_ms: int) -> None:
    """Make a TCP socket non-blocking, disable Nagle's algorithm and set the peer timeouts.

    ``timeout_ms``: how long data or keep-alive probes may be unacknowledged.
    """
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking listening socket; raises OSError if the port is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock

"""
oriolelock.http1.sockets
~~~~~~~~~~~~~~~~~~~~~~~~

    TCP socket options: no delay, and timeouts for an unresponsive peer.
"""

import fcntl
import socket
import struct
import termios

__all__ = [
    "BACKLOG",
    "CALLER_TIMEOUT_MS",
    "ENDPOINT_TIMEOUT_MS",
    "LARGE_REQUEST_TIMEOUT_MS",
    "MIN_WINDOW_BYTES",
    "has_unacknowledged_bytes",
    "listen",
    "set_options",
    "set_timeout",
]

# A connection to an endpoint ends when data is unacknowledged for this long. Covers six round trips
# between distant regions (70 ms) and two kernel retransmissions (0.2 and 0.4 s).
ENDPOINT_TIMEOUT_MS = 1200
# Linux counts the time in which the peer does not read and its window is closed as well, although
# it acknowledges the probes. So an endpoint gets longer for a request that its window may not hold;
# the request itself ends at its deadline.
LARGE_REQUEST_TIMEOUT_MS = 20_000
# What any receive buffer holds (tcp(7): its smallest default is a page).
MIN_WINDOW_BYTES = 4096
# The same for callers, for longer than they may stay idle. Nothing can be answered once their
# connections have ended.
CALLER_TIMEOUT_MS = 20_000
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
    set_timeout(sock, timeout_ms)


def set_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set how long data or keep-alive probes may be unacknowledged, or data unread."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def has_unacknowledged_bytes(sock: socket.socket) -> bool:
    """Return whether the peer has not acknowledged all that was sent, or this can't be told."""
    try:
        data = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return True
    return struct.unpack("i", data)[0] > 0


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking listening socket; raises OSError if the port is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock

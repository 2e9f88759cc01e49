"""
oriolelock.http1.sockets
~~~~~~~~~~~~~~~~~~~~~~~~

    Options of sockets: no delay, and limits on the silence of the other end.
"""

import socket

__all__ = ["SILENCE_LIMIT_MS", "listen", "set_options"]

# Data that the other end does not acknowledge for this long ends the connection. Six round trips
# between far regions (70 ms) and two retransmissions of the kernel (0.2 and 0.4 s).
SILENCE_LIMIT_MS = 1200
# Keep-alive probes find an end that lost track of an idle connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
BACKLOG = 512


def set_options(sock: socket.socket) -> None:
    """Make a TCP socket non-blocking, without delay, and end it when the other end is silent."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking listening socket; raises OSError when the port is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock

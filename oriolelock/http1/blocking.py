"""
oriolelock.http1.blocking
~~~~~~~~~~~~~~~~~~~~~~~~~

    One GET request from a thread of its own.
"""

import socket

import h11

from oriolelock import clock
from oriolelock.http1 import messages

__all__ = ["RequestFailed", "get"]

RECV_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024


class RequestFailed(Exception):
    """No whole answer came in time."""


def get(address: tuple[str, int], target: str, timeout_s: float) -> messages.Response:
    """Return the answer to ``GET target``; raises RequestFailed."""
    http = h11.Connection(h11.CLIENT)
    end_s = clock.monotonic_s() + timeout_s
    headers = [("host", f"{address[0]}:{address[1]}"), ("connection", "close")]
    try:
        data = http.send(h11.Request(method="GET", target=target, headers=headers))
        data += http.send(h11.EndOfMessage())
        with socket.create_connection(address, timeout_s) as sock:
            sock.sendall(data)
            return _read(http, sock, end_s)
    except (OSError, h11.ProtocolError) as exc:
        raise RequestFailed(f"{address[0]}:{address[1]}{target}: {exc}") from exc


def _read(http, sock, end_s):
    head, body = None, bytearray()
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            sock.settimeout(max(0.001, end_s - clock.monotonic_s()))
            http.receive_data(sock.recv(RECV_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise RequestFailed("the answer is too large")
        elif isinstance(event, h11.EndOfMessage):
            pairs = tuple((bytes(name), bytes(value)) for name, value in head.headers)
            return messages.Response(head.status_code, pairs, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise RequestFailed("closed without an answer")

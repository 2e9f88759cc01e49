"""
oriolelock.http1.blocking
~~~~~~~~~~~~~~~~~~~~~~~~~

    Blocking GET requests, for threads other than the event loop's.
"""

import socket

import h11

from oriolelock import clock, events
from oriolelock.http1 import messages

__all__ = ["Client", "RequestFailed"]

RECV_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# Of a response; an event is a piece of the body or an informational response.
MAX_SMALL_EVENTS = 4096
MIN_EVENT_BYTES = 16
# An open connection may fall silent for good. Several round trips between distant regions.
KEPT_TIMEOUT_S = 0.6
# Of a socket operation: 0 would stand for a socket that does not block.
MIN_TIMEOUT_S = 0.001

log = events.Events("http-client")


class RequestFailed(Exception):
    """No complete response arrived in time."""


class Client:
    """Sends GET requests to one address over a connection that is kept; not thread-safe."""

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._sock: socket.socket | None = None
        self._protocol: h11.Connection | None = None

    def get(
        self, target: str, timeout_s: float, max_body_bytes: int = MAX_BODY_BYTES
    ) -> messages.Response:
        """Return the response to ``GET target``; raises RequestFailed.

        A kept connection may have ended unnoticed. The request is then sent once more.
        """
        deadline_s = clock.monotonic_s() + timeout_s
        if self._sock is not None:
            kept_deadline_s = min(deadline_s, clock.monotonic_s() + KEPT_TIMEOUT_S)
            try:
                return self._exchange(target, kept_deadline_s, max_body_bytes)
            except RequestFailed as exc:
                log.usual("kept-connection-failed", reason=str(exc))
        return self._exchange(target, deadline_s, max_body_bytes)

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._sock is not None:
            self._sock.close()
        self._sock = self._protocol = None

    def _exchange(self, target, deadline_s, max_body_bytes):
        host, port = self._address
        is_complete = False
        try:
            if self._sock is None:
                left_s = max(MIN_TIMEOUT_S, deadline_s - clock.monotonic_s())
                self._sock = socket.create_connection(self._address, left_s)
                self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._protocol = h11.Connection(h11.CLIENT)
            protocol = self._protocol
            head = h11.Request(method="GET", target=target, headers=[("host", f"{host}:{port}")])
            self._sock.settimeout(max(MIN_TIMEOUT_S, deadline_s - clock.monotonic_s()))
            self._sock.sendall(protocol.send(head) + protocol.send(h11.EndOfMessage()))
            response = _read_response(protocol, self._sock, deadline_s, max_body_bytes)
            is_complete = True
            return response
        except (OSError, h11.ProtocolError) as exc:
            raise RequestFailed(f"{host}:{port}{target}: {exc}") from exc
        finally:
            if is_complete and _is_reusable(self._protocol):
                self._protocol.start_next_cycle()
            else:
                self.close()


def _is_reusable(protocol):
    is_done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
    return is_done and not protocol.trailing_data[0]


def _read_response(protocol, sock, deadline_s, max_body_bytes):
    head, body, count = None, bytearray(), 0
    while True:
        event = protocol.next_event()
        count += event is not h11.NEED_DATA
        if count > MAX_SMALL_EVENTS + len(body) // MIN_EVENT_BYTES:
            raise RequestFailed("response in too many pieces")
        if event is h11.NEED_DATA:
            left_s = deadline_s - clock.monotonic_s()
            if left_s <= 0.0:
                raise RequestFailed("no complete response within the timeout")
            sock.settimeout(left_s)
            protocol.receive_data(sock.recv(RECV_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise RequestFailed("response too large")
        elif isinstance(event, h11.EndOfMessage):
            headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
            return messages.Response(head.status_code, headers, bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            raise RequestFailed("connection closed before the response was complete")

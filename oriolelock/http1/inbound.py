"""
oriolelock.http1.inbound
~~~~~~~~~~~~~~~~~~~~~~~~

    Server side of a caller's connection: requests are read and answered one at a time.
"""

import selectors
import socket

import h11

from oriolelock import clock, events
from oriolelock.http1 import exchange as exchanges
from oriolelock.http1 import loop as loops
from oriolelock.http1 import messages, read_pacer, send_buffer, server_rules, sockets

__all__ = ["Inbound"]

# Pipelined bytes that are buffered while a request is in progress.
MAX_PIPELINED_BYTES = 256 * 1024
# Callers count the time for which they are idle from the end of the response, which may reach them
# this late over a congested link.
DELIVERY_S = 5.0
# After the last response, time for the caller to close its side of the connection.
LINGER_S = 1.0
# A caller that has just connected sends its request within a trip between distant regions.
FIRST_REQUEST_WAIT_S = 0.3
REASON_PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}
# Suggested delay to callers whose body finds no room: the bodies held are sent on meanwhile.
NO_ROOM_RETRY_AFTER_S = 0.5

log = events.Events("http1")


class Inbound:
    """One caller's connection. Not thread-safe; ``rules``: limits and the request handler."""

    def __init__(self, loop: loops.Loop, sock: socket.socket, rules: server_rules.ServerRules):
        self._loop = loop
        self._sock = sock
        self._rules = rules
        self._limits = rules.limits()
        self._protocol = self._new_protocol()
        self._send_buffer = send_buffer.SendBuffer()
        self._reads = read_pacer.PacedReads(loop, self._watch)
        self._new_pieces = 0
        self._exchange: exchanges.Exchange | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        # Of the request's head, and the larger of its body and the announced length.
        self._head_bytes = 0
        self._body_bytes = 0
        self._closing = False
        self._lingering = False
        self._had_request = False
        # Kept open during a planned stop until its first request has come or is overdue.
        self._awaits_first_request = False
        self._pipelined_bytes = 0
        self._timer: loops.Timer | None = None
        self._request_started_s: float | None = None
        self.is_open = True
        sockets.set_options(sock, sockets.CALLER_TIMEOUT_MS)
        loop.watch(sock, selectors.EVENT_READ, self._on_event)
        self._set_timer(self._limits.head_ms / 1000.0, self._request_expired)

    def _new_protocol(self):
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)

    @property
    def is_busy(self) -> bool:
        """True while a request is being read or answered."""
        return (
            self._exchange is not None
            or self._request_started_s is not None
            or bool(self._send_buffer)
            or self._awaits_first_request
        )

    def close(self) -> None:
        """Close the connection immediately."""
        if not self.is_open:
            return
        self.is_open = False
        self._cancel_timer()
        self._loop.watch(self._sock, 0, self._on_event)
        self._sock.close()
        self._rules.closed(self)
        self._rules.bodies.release(self)
        self._rules.bodies.release_unsent(self)
        if self._exchange:
            exchange, self._exchange = self._exchange, None
            exchange.gone()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered, or has arrived."""
        if self.is_busy or self._lingering:
            return
        self._on_readable()
        if not self.is_open or self.is_busy:
            return
        if self._had_request:
            self._linger()
        else:
            self._awaits_first_request = True
            self._set_timer(FIRST_REQUEST_WAIT_S, self._linger)

    def _set_timer(self, delay_s, callback):
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self):
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _request_expired(self):
        # What is overdue may have arrived while the process was busy, and set another timer.
        self._timer = None
        self._on_readable()
        if not self.is_open or self._exchange is not None or self._timer is not None:
            return
        if self._request_started_s is None:
            self._linger()
        else:
            self._refuse(408, b"the request did not arrive in time")

    def _idle_expired(self):
        self.close_if_idle()
        if self.is_open and self._send_buffer and self._exchange is None:
            # The response is still being sent.
            self._wait_for_next_request()

    def _lose(self, exc):
        """Close a connection that was reset, or whose caller has fallen silent."""
        log.usual("caller-lost", reason=type(exc).__name__, busy=self.is_busy)
        self.close()

    def _on_event(self, mask):
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and self.is_open:
            self._on_readable()

    def _on_readable(self):
        try:
            received = self._sock.recv(self._reads.size)
        except BlockingIOError:
            return
        except OSError as exc:
            self._lose(exc)
            return
        if not received:
            self.close()
            return
        if self._lingering:
            return
        if self._exchange is not None:
            self._pipelined_bytes += len(received)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES or not self._has_room():
                self.close()
                return
        try:
            self._protocol.receive_data(received)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc).encode())
            return
        if self._exchange is None and not self._closing:
            self._new_pieces = 0
            self._read_request()
            self._reads.record(self._new_pieces, clock.monotonic_s())

    def _watch(self):
        if self.is_open:
            mask = 0 if self._reads.is_paused else selectors.EVENT_READ
            mask |= selectors.EVENT_WRITE if self._send_buffer else 0
            self._loop.watch(self._sock, mask, self._on_event)

    def _read_request(self):
        if self._request_started_s is None:
            self._had_request = True
            self._awaits_first_request = False
            self._request_started_s = clock.monotonic_s()
            self._set_timer(self._limits.head_ms / 1000.0, self._request_expired)
        try:
            while self.is_open and self._exchange is None and not self._closing:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    if self._protocol.they_are_waiting_for_100_continue:
                        proceed = h11.InformationalResponse(status_code=100, headers=[])
                        self._write(self._protocol.send(proceed))
                    if not self._head and not self._protocol.trailing_data[0]:
                        self._wait_for_next_request()
                    return
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return
                self._new_pieces += 1
                self._handle_event(event)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc).encode())

    def _wait_for_next_request(self):
        self._request_started_s = None
        self._set_timer(self._limits.idle_ms / 1000.0 + DELIVERY_S, self._idle_expired)

    def _handle_event(self, event):
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._refuse(413, b"the body is too large")
            elif len(self._body) > self._body_bytes:
                self._body_bytes = len(self._body)
                self._refuse_without_room()
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _handle_head(self, event):
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Two body lengths make the start of the next request ambiguous (request smuggling).
            self._refuse(400, b"both a length and a transfer encoding")
            return
        self._head_bytes = len(event.target) + sum(
            len(name) + len(value) + 4 for name, value in event.headers
        )
        if self._head_bytes > self._limits.head_bytes:
            # h11 only limits the size of an incomplete head.
            self._refuse(431, b"the head is too large")
            return
        content_length = next(
            (value for name, value in event.headers if name == b"content-length"), b"0"
        )
        self._body_bytes = int(content_length)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(413, b"the body is too large")
            return
        self._head, self._body = event, bytearray()
        self._refuse_without_room()
        if self._closing:
            return
        # A body may take longer than a head, but its time is limited too.
        self._set_timer(self._limits.idle_ms / 1000.0, self._request_expired)

    def _has_room(self):
        """Reserve memory for the request; returns False if there is none."""
        size = self._head_bytes + self._body_bytes + self._pipelined_bytes
        return self._rules.bodies.hold(self, size)

    def _refuse_without_room(self):
        if not self._has_room():
            self._refuse(503, b"no room for the body now", NO_ROOM_RETRY_AFTER_S)

    def _dispatch(self):
        self._cancel_timer()
        head, self._head = self._head, None
        headers = tuple((bytes(k), bytes(v)) for k, v in head.headers)
        target = bytes(head.target)
        if not target.startswith(b"/") and b"://" in target:
            target = b"/" + target.partition(b"://")[2].partition(b"/")[2]
        req = messages.Request(
            bytes(head.method),
            target,
            headers,
            messages.make_body(self._body),
            clock.monotonic_s(),
        )
        self._body, self._request_started_s, self._pipelined_bytes = bytearray(), None, 0
        self._method = req.method
        self._exchange = exchanges.Exchange(self, req)
        self._rules.handle(self._exchange)

    def answer(self, exchange: exchanges.Exchange, response: messages.Response) -> None:
        """Send the response to the request of ``exchange``."""
        if not self.is_open or exchange is not self._exchange:
            return
        closes = response.closes or self._rules.is_leaving()
        headers = [pair for pair in response.headers if pair[0] != b"connection"]
        if closes:
            headers.append((b"connection", b"close"))
        bodiless = self._method == b"HEAD" or response.status in messages.BODILESS_STATUSES
        if response.status not in messages.BODILESS_STATUSES and not (
            self._method == b"HEAD" and _has_length(headers)
        ):
            headers = [pair for pair in headers if pair[0] != b"content-length"]
            headers.append((b"content-length", str(len(response.body)).encode()))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._protocol.send(head)]
        if not bodiless and response.body:
            data = h11.Data(data=response.body)
            parts.extend(self._protocol.send_with_data_passthrough(data))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self._exchange = None
        self._rules.bodies.release(self)
        self._write(*parts)
        if not self.is_open:
            return
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            self._linger_after_flush()
            return
        self._protocol.start_next_cycle()
        self._limits = self._rules.limits()
        self._loop.call_soon(self._read_next_request)

    def _read_next_request(self):
        if self.is_open and self._exchange is None and not self._closing:
            self._read_request()

    def _refuse(self, status, text, retry_after_s=None):
        """Answer a request that can't be processed with an error and close the connection."""
        self._cancel_timer()
        self._closing = True
        self._body = bytearray()
        self._rules.bodies.release(self)
        body = text[:200] + b"\n"
        reason = REASON_PHRASES.get(status, b"Error")
        head = (
            b"HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n" % (status, reason, len(body))
        )
        if retry_after_s is not None:
            head += b"Retry-After: %.2f\r\n" % retry_after_s
        self._rules.refused(status, text.decode("latin-1"))
        self._request_started_s = None
        self._write(head + b"\r\n" + body)
        self._linger_after_flush()

    def _write(self, *parts):
        self._send_buffer.append(*parts)
        self._flush()
        if self.is_open and self._send_buffer:
            size = min(len(self._send_buffer), sum(map(len, parts)))
            self._rules.bodies.add_unsent(self, size, self._give_up)

    def _give_up(self):
        """Close a connection whose caller takes too little of too large responses."""
        log.notable("caller-too-slow", unsent_bytes=len(self._send_buffer))
        self.close()

    def _flush(self):
        try:
            self._send_buffer.send_to(self._sock)
        except BlockingIOError:
            pass
        except OSError as exc:
            self._lose(exc)
            return
        if not self._send_buffer:
            self._rules.bodies.release_unsent(self)
        if self._closing and not self._send_buffer:
            self._linger()
            return
        self._watch()

    def _linger_after_flush(self):
        self._closing = True
        if self.is_open and not self._send_buffer:
            self._linger()

    def _linger(self):
        """Shut down the sending side, then wait for the caller to close.

        Closing with unread bytes would reset the connection and could destroy the response.
        """
        if not self.is_open or self._lingering:
            return
        self._closing = self._lingering = True
        self._awaits_first_request = False
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_event)
        self._set_timer(LINGER_S, self.close)


def _has_length(headers):
    return any(name == b"content-length" for name, _ in headers)

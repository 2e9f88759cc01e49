"""
oriolelock.http1.outbound
~~~~~~~~~~~~~~~~~~~~~~~~~

    Client side of a connection to an endpoint, with one request at a time.

    Requests are never resent here. A response whose id differs from the request's belongs to an
    earlier request and is skipped. On a reused connection, one without an id may be an extra
    response to an earlier request and is not accepted.
"""

import collections
import collections.abc
import selectors
import socket

import h11
import xxhash

from oriolelock import clock
from oriolelock.http1 import (
    buffer_budget,
    messages,
    read_pacer,
    send_buffer,
    sockets,
    transfers,
)
from oriolelock.http1 import loop as loops

__all__ = ["MAX_HEALTH_BODY_BYTES", "Outbound"]

# Of all heads until the final one, including informational responses.
MAX_HEAD_BYTES = 64 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_HEALTH_BODY_BYTES = 64 * 1024
# A body in more pieces than this must have pieces of MIN_PIECE_BYTES or more on average.
MAX_SMALL_PIECES = 4096
MIN_PIECE_BYTES = 16
# Responses to earlier requests that are skipped before the connection is closed.
MAX_STALE_RESPONSES = 2
MAX_CARRIED_IDS = 64
# Share of the endpoint's keep-alive timeout during which a connection is reused.
KEEP_ALIVE_RATIO = 0.7
# Longer timeouts are not used up; they could overflow.
MAX_KEEP_ALIVE_DIGITS = 6
# Reuse period of connections to endpoints that announce no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 4.0


class Outbound:
    """Not thread-safe. ``on_idle_end(self)`` is called when an idle connection ends.

    ``budget``: of the bytes that all connections of the process buffer.
    """

    def __init__(
        self,
        loop: loops.Loop,
        address: tuple[str, int],
        id_header: bytes,
        on_idle_end: collections.abc.Callable[["Outbound"], None],
        budget: buffer_budget.BufferBudget,
    ):
        self._loop = loop
        self._id_header = id_header
        self._on_idle_end = on_idle_end
        self._budget = budget
        self.address = address
        self.usable_until_s = 0.0
        self.idle_since_s = 0.0
        self.is_open = True
        # Called once a new connection is established.
        self.on_connected: collections.abc.Callable[[], None] = lambda: None
        # Asked before the first byte of a request is written, which may be a connect timeout after
        # the decision to send it.
        self.is_wanted: collections.abc.Callable[[], bool] = lambda: True
        # Called once when an established connection is closed, by either side.
        self.on_closed: collections.abc.Callable[[Outbound], None] = lambda conn: None
        # Whether the peer closed it in place of a response or while it was idle.
        self.was_ended_by_peer = False
        self.was_in_use = False
        self.was_reset = False
        self.connected_s = 0.0
        self._connected = False
        self._send_buffer = send_buffer.SendBuffer()
        self._reads = read_pacer.PacedReads(loop, self._watch)
        self._new_pieces = 0
        # Whether a part of the latest request was written, and when it was first tried.
        self.has_sent_bytes = False
        self.first_write_s: float | None = None
        self._on_result: collections.abc.Callable[[transfers.Transfer], None] | None = None
        self._timer: loops.Timer | None = None
        self._protocol: h11.Connection | None = None
        self._request: messages.Request | None = None
        # Digests of the ids of the latest requests. A copy of an earlier response can't be told
        # from the response to a request with the same id.
        self._carried_ids: collections.deque[int] = collections.deque(maxlen=MAX_CARRIED_IDS)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._timeout_ms = sockets.ENDPOINT_TIMEOUT_MS
        sockets.set_options(self._sock, self._timeout_ms)

    def send(
        self,
        req: messages.Request,
        connect_limit_s: float,
        on_result: collections.abc.Callable[[transfers.Transfer], None],
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Send ``req``; ``on_result`` is called once, after this method has returned.

        ``connect_limit_s``: connect timeout in seconds; ``max_body_bytes``: a larger response is
        lost.
        """
        self._on_result, self._request = on_result, req
        request_id = req.header(self._id_header)
        if request_id:
            self._carried_ids.append(xxhash.xxh3_64_intdigest(request_id))
        self._max_body_bytes = max_body_bytes
        self.has_sent_bytes = False
        self.first_write_s = None
        self._is_reused = self._connected
        self._stale_responses = 0
        self._start_exchange()
        self._adapt_timeout()
        if self._connected:
            self._loop.call_soon(self._flush)
            return
        self._timer = self._loop.call_later(connect_limit_s, self._connect_expired)
        try:
            code = self._sock.connect_ex(self.address)
        except (OSError, OverflowError) as exc:
            # A port out of range is no OSError.
            code = getattr(exc, "errno", None) or -1
        if code in (0, 115):  # 115: EINPROGRESS
            self._loop.watch(self._sock, selectors.EVENT_WRITE, self._on_connect_result)
        else:
            self._loop.call_soon(lambda: self._finish(transfers.NotSent("connect-failed", True)))

    def _adapt_timeout(self):
        """Set the timeout for the request to send, and for what is unread of earlier ones."""
        is_large = len(self._send_buffer) > sockets.MIN_WINDOW_BYTES
        if self._timeout_ms == sockets.ENDPOINT_TIMEOUT_MS:
            is_changed = is_large
        else:
            is_changed = not is_large and not sockets.has_unacknowledged_bytes(self._sock)
        if is_changed:
            self._timeout_ms = (
                sockets.LARGE_REQUEST_TIMEOUT_MS if is_large else sockets.ENDPOINT_TIMEOUT_MS
            )
            sockets.set_timeout(self._sock, self._timeout_ms)

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether one of the latest requests had this id."""
        return xxhash.xxh3_64_intdigest(request_id) in self._carried_ids

    def _start_exchange(self):
        """Reset the parser for one response; the request is only queued on the first call."""
        req = self._request
        self._protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._is_size_known = False
        self._head_bytes = 0
        self._informational_responses = 0
        self._budget.release(self)
        self._body = bytearray()
        self._pieces = 0
        head = h11.Request(method=req.method, target=req.target, headers=list(req.headers))
        parts = [self._protocol.send(head)]
        if req.body:
            parts.extend(self._protocol.send_with_data_passthrough(h11.Data(data=req.body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        if not self.has_sent_bytes:
            self._send_buffer.append(*parts)

    def abort(self) -> None:
        """Close the connection; the request's ``on_result`` is no longer called."""
        self._on_result = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._timer:
            self._timer.cancel()
        self._budget.release(self)
        if self.is_open:
            self.is_open = False
            self._loop.watch(self._sock, 0, self._on_event)
            self._sock.close()
            if self._connected:
                self.on_closed(self)

    def _connect_expired(self):
        if not self._connected:
            self._finish(transfers.NotSent("connect-timeout"))

    def _on_connect_result(self, events):
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._finish(transfers.NotSent("connect-failed", True))
            return
        self._connected, self.connected_s = True, clock.monotonic_s()
        if self._timer:
            self._timer.cancel()
        self.on_connected()
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_event)
        # The ends of other connections, which may have arrived before, are noticed first.
        self._loop.call_soon(self._flush)

    def _flush(self):
        if not self.is_open or self._on_result is None:
            return
        if self.first_write_s is None:
            if not self.is_wanted():
                self._finish(transfers.NotSent("not-wanted"))
                return
            self.first_write_s = clock.monotonic_s()
        size = len(self._send_buffer)
        try:
            self._send_buffer.send_to(self._sock)
        except BlockingIOError:
            pass
        except OSError as exc:
            self.has_sent_bytes = self.has_sent_bytes or len(self._send_buffer) < size
            self._on_socket_error(exc)
            return
        self.has_sent_bytes = self.has_sent_bytes or len(self._send_buffer) < size
        self._watch()

    def _watch(self):
        if self.is_open:
            events = 0 if self._reads.is_paused else selectors.EVENT_READ
            events |= selectors.EVENT_WRITE if self._send_buffer else 0
            self._loop.watch(self._sock, events, self._on_event)

    def _on_socket_error(self, exc):
        self.was_ended_by_peer = self.was_reset = True
        if self.has_sent_bytes:
            self._finish(transfers.Lost(type(exc).__name__))
        else:
            self._finish(transfers.NotSent("connection-ended"))

    def _on_event(self, events):
        if events & selectors.EVENT_READ:
            self._on_readable()
        if events & selectors.EVENT_WRITE and self.is_open:
            self._flush()

    def _on_readable(self):
        try:
            data = self._sock.recv(self._reads.size)
        except BlockingIOError:
            return
        except OSError as exc:
            self.was_ended_by_peer = self.was_reset = True
            if self._on_result is None:
                self._end_idle()
            else:
                self._on_socket_error(exc)
            return
        self.was_ended_by_peer = self.was_ended_by_peer or not data
        if self._on_result is None:
            # The endpoint closed an idle connection or sent unsolicited bytes.
            self._end_idle()
            return
        if data and not self.has_sent_bytes:
            # An extra response to an earlier request: it came before this one was sent.
            self._finish(transfers.NotSent("connection-ended"))
            return
        self._new_pieces = 0
        try:
            self._protocol.receive_data(data)
            self._read_events()
            self._check_head_size(len(data))
            if self._on_result is not None:
                self._reads.record(self._new_pieces, clock.monotonic_s())
        except h11.RemoteProtocolError as exc:
            if not data and self._head is None and not self.has_sent_bytes:
                self._finish(transfers.NotSent("connection-ended"))
            else:
                self._finish(transfers.Lost(f"malformed response: {exc}"))

    def _end_idle(self):
        self.close()
        self._on_idle_end(self)

    def _check_head_size(self, received_bytes):
        if self._on_result is None or self._head is not None:
            return
        # The parser limits single heads, but not the number of informational responses.
        self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._finish(transfers.Lost("response head too large"))

    def _read_events(self):
        while self._on_result is not None:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._new_pieces += 1
            if isinstance(event, h11.InformationalResponse):
                self._informational_responses += 1
                if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                    self._finish(transfers.Lost("too many informational responses"))
                    return
            elif isinstance(event, h11.Response):
                self._head = event
                names = [name for name, _ in event.headers]
                # An encoding overrides the length (RFC 9112, section 6.3).
                self._is_size_known = (
                    b"content-length" in names and b"transfer-encoding" not in names
                )
                if self._announced_body_bytes() > self._max_body_bytes:
                    self._finish(transfers.Lost("response too large"))
                    return
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._pieces += 1
                if len(self._body) > self._max_body_bytes:
                    self._finish(transfers.Lost("response too large"))
                    return
                if self._pieces > MAX_SMALL_PIECES + len(self._body) // MIN_PIECE_BYTES:
                    self._finish(transfers.Lost("response in too many pieces"))
                    return
                self._budget.add(self, len(event.data), self._give_up, self._is_size_known)
            elif isinstance(event, h11.EndOfMessage):
                self._complete_response()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._finish(transfers.Lost("connection closed before the response was complete"))
                return

    def _announced_body_bytes(self):
        if self._request.method == b"HEAD" or self._head.status_code in messages.BODILESS_STATUSES:
            return 0
        # h11 accepts only valid lengths.
        return int(messages.find(self._head.headers, b"content-length") or 0)

    def _give_up(self):
        self._finish(transfers.Lost("response buffers are full"))

    def _complete_response(self):
        headers = tuple((bytes(k), bytes(v)) for k, v in self._head.headers)
        trailing_bytes = self._protocol.trailing_data[0]
        expected_id = messages.find(self._request.headers, self._id_header)
        response_id = messages.find(headers, self._id_header)
        reusable = self._protocol.their_state is h11.DONE and self._protocol.our_state is h11.DONE
        if response_id is not None and expected_id is not None and response_id != expected_id:
            self._skip_stale_response(trailing_bytes, reusable)
            return
        if response_id is None and expected_id is not None and self._is_reused:
            self._finish(transfers.Lost("response without a request id"))
            return
        if self._head.status_code not in messages.FINAL_STATUSES:
            self._finish(transfers.Lost(f"invalid status {self._head.status_code}"))
            return
        if not self._head.http_version.startswith(b"1."):
            # Other major versions have other rules of framing (RFC 9110, section 2.5).
            self._finish(transfers.Lost("not a version of HTTP/1"))
            return
        body = messages.make_body(self._body)
        response = messages.Response(self._head.status_code, headers, body)
        reusable = reusable and not trailing_bytes and not self._send_buffer
        self._finish(transfers.Answered(response), reusable, headers)

    def _skip_stale_response(self, trailing_bytes, reusable):
        """Discard a response to an earlier request and read the next one."""
        self._stale_responses += 1
        if not reusable or self._stale_responses > MAX_STALE_RESPONSES:
            self._finish(transfers.Lost("response to another request"))
            return
        self.has_sent_bytes = True
        self._start_exchange()
        if trailing_bytes:
            self._protocol.receive_data(trailing_bytes)
            self._read_events()

    def _finish(self, result, reusable=False, headers=()):
        on_result, self._on_result = self._on_result, None
        if self._timer:
            self._timer.cancel()
        self._body = bytearray()
        self._budget.release(self)
        self._reads.end_pause()
        if reusable and self.is_open:
            now = clock.monotonic_s()
            self.idle_since_s = now
            self.usable_until_s = now + _keep_alive_s(headers)
            self._loop.watch(self._sock, selectors.EVENT_READ, self._on_event)
        else:
            self.was_in_use = True
            if isinstance(result, transfers.Answered):
                self.was_ended_by_peer = False
            self.close()
        if on_result is not None:
            on_result(result)


def _keep_alive_s(headers):
    header = messages.find(headers, b"keep-alive") or b""
    for parameter in header.split(b","):
        name, _, timeout = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and timeout.isdigit():
            return KEEP_ALIVE_RATIO * int(timeout[:MAX_KEEP_ALIVE_DIGITS])
    return DEFAULT_KEEP_ALIVE_S

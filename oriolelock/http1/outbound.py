"""
oriolelock.http1.outbound
~~~~~~~~~~~~~~~~~~~~~~~~~

    A connection to an endpoint that carries one request at a time.

    Nothing is ever sent twice here. An answer whose id is not that of the request belongs to an
    earlier one and is skipped.
"""

import collections.abc
import selectors
import socket

import h11

from oriolelock import clock
from oriolelock.http1 import loop as loops
from oriolelock.http1 import messages, sockets, transfers

__all__ = ["Outbound"]

RECV_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
# Answers of earlier requests that are skipped before the connection is given up.
MAX_SKIPPED = 2
# Part of the announced idle time during which a connection is used again.
KEPT_PART = 0.7
# Idle connections of endpoints that announce nothing are used again for this long.
DEFAULT_KEPT_S = 4.0


class Outbound:
    """Not thread-safe. ``on_idle_end(self)`` is told when an idle connection ends."""

    def __init__(
        self,
        loop: loops.Loop,
        address: tuple[str, int],
        id_header: bytes,
        on_idle_end: collections.abc.Callable[["Outbound"], None],
    ):
        self._loop = loop
        self._id_header = id_header
        self._on_idle_end = on_idle_end
        self.address = address
        self.usable_until_s = 0.0
        self.idle_since_s = 0.0
        self.is_open = True
        self._connected = False
        self._out = bytearray()
        self._sent_any = False
        self._done: collections.abc.Callable[[transfers.Transfer], None] | None = None
        self._timer: loops.Timer | None = None
        self._http: h11.Connection | None = None
        self._request: messages.Request | None = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sockets.set_options(self._sock)

    def send(
        self,
        req: messages.Request,
        connect_limit_s: float,
        done: collections.abc.Callable[[transfers.Transfer], None],
    ) -> None:
        """Send ``req``; ``done`` is called once, not before this returns.

        ``connect_limit_s``: how long a new connection may take to open.
        """
        self._done, self._request = done, req
        self._sent_any = False
        self._skipped = 0
        self._begin()
        if self._connected:
            self._loop.call_soon(self._flush)
            return
        self._timer = self._loop.call_later(connect_limit_s, self._connect_expired)
        try:
            code = self._sock.connect_ex(self.address)
        except OSError as exc:
            code = exc.errno or -1
        if code in (0, 115):  # 115: EINPROGRESS
            self._loop.watch(self._sock, selectors.EVENT_WRITE, self._on_connect)
        else:
            self._loop.call_soon(lambda: self._finish(transfers.NotSent("connect-failed", True)))

    def _begin(self):
        """Start the protocol for one answer; the first time, the request goes out."""
        req = self._request
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        data = self._http.send(
            h11.Request(method=req.method, target=req.target, headers=list(req.headers))
        )
        if req.body:
            data += self._http.send(h11.Data(data=req.body))
        data += self._http.send(h11.EndOfMessage())
        if not self._sent_any:
            self._out.extend(data)

    def abort(self) -> None:
        """Close the connection; the request's ``done`` is not called any more."""
        self._done = None
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._timer:
            self._timer.cancel()
        if self.is_open:
            self.is_open = False
            self._loop.watch(self._sock, 0, self._on_event)
            self._sock.close()

    def _connect_expired(self):
        if not self._connected:
            self._finish(transfers.NotSent("connect-timeout"))

    def _on_connect(self, events):
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._finish(transfers.NotSent("connect-failed", True))
            return
        self._connected = True
        if self._timer:
            self._timer.cancel()
        self._flush()

    def _flush(self):
        if not self.is_open or self._done is None:
            return
        try:
            while self._out:
                count = self._sock.send(self._out)
                self._sent_any = True
                del self._out[:count]
        except BlockingIOError:
            pass
        except OSError as exc:
            self._broken(exc)
            return
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if self._out else 0)
        self._loop.watch(self._sock, events, self._on_event)

    def _broken(self, exc):
        if self._sent_any:
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
            data = self._sock.recv(RECV_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            if self._done is None:
                self._idle_ended()
            else:
                self._broken(exc)
            return
        if self._done is None:
            # The end of an idle connection, or bytes that answer nothing.
            self._idle_ended()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            if not data and self._head is None and not self._sent_any:
                self._finish(transfers.NotSent("connection-ended"))
            else:
                self._finish(transfers.Lost(f"bad answer: {exc}"))

    def _idle_ended(self):
        self.close()
        self._on_idle_end(self)

    def _read_events(self):
        while self._done is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_BODY_BYTES:
                    self._finish(transfers.Lost("answer too large"))
                    return
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
                return
            elif isinstance(event, h11.ConnectionClosed):
                self._finish(transfers.Lost("closed without an answer"))
                return

    def _complete(self):
        headers = tuple((bytes(k), bytes(v)) for k, v in self._head.headers)
        extra = self._http.trailing_data[0]
        asked = messages.find(self._request.headers, self._id_header)
        got = messages.find(headers, self._id_header)
        keeps = self._http.their_state is h11.DONE and self._http.our_state is h11.DONE
        if got is not None and asked is not None and got != asked:
            self._skip(extra, keeps)
            return
        response = messages.Response(self._head.status_code, headers, b"".join(self._body))
        keeps = keeps and not extra and not self._out
        self._finish(transfers.Answered(response), keeps, headers)

    def _skip(self, extra, keeps):
        """Go on to the next answer: this one belongs to an earlier request."""
        self._skipped += 1
        if not keeps or self._skipped > MAX_SKIPPED:
            self._finish(transfers.Lost("another request's answer"))
            return
        self._sent_any = True
        self._begin()
        if extra:
            self._http.receive_data(extra)
            self._read_events()

    def _finish(self, result, keeps=False, headers=()):
        done, self._done = self._done, None
        if self._timer:
            self._timer.cancel()
        if keeps and self.is_open:
            now = clock.monotonic_s()
            self.idle_since_s = now
            self.usable_until_s = now + _kept_s(headers)
            self._loop.watch(self._sock, selectors.EVENT_READ, self._on_event)
        else:
            self.close()
        if done is not None:
            done(result)


def _kept_s(headers):
    value = messages.find(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return KEPT_PART * int(number)
    return DEFAULT_KEPT_S

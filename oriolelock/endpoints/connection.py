"""
oriolelock.endpoints.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    At most one TCP connection to an endpoint, and request transfers over it.
"""

import dataclasses
import re
import select

import pycurl

from oriolelock import clock
from oriolelock.endpoints import response_budget

__all__ = ["Connection", "Transfer"]

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_RESPONSE_HEADER_BYTES = 64 * 1024
CONTENT_LENGTH = re.compile(rb"content-length\s*:", re.IGNORECASE)
TRANSFER_ENCODING = re.compile(rb"transfer-encoding\s*:", re.IGNORECASE)
# No request asks for another protocol. libcurl would take what follows for a body without an end.
PROTOCOL_SWITCH = re.compile(rb"HTTP/\S*\s+101")
# Upper bound for one poll, so that libcurl's timers are checked even if a callback was missed.
MAX_POLL_INTERVAL_S = 0.5


@dataclasses.dataclass
class Transfer:
    """State of a transfer: the data received so far and how it ended.

    ``error`` is a libcurl code, 0 for none; ``first_byte_timeout``: no first byte came in time;
    ``reconnected``: the reused connection failed and libcurl opened a new one, so the request
    may have been sent on both.
    """

    header_lines: list[bytes] = dataclasses.field(default_factory=list)
    header_bytes: int = 0
    headers_end: bool = False
    is_size_known: bool = False
    body: bytearray = dataclasses.field(default_factory=bytearray)
    budget: response_budget.ResponseBudget = response_budget.SHARED
    error: int = 0
    first_byte_timeout: bool = False
    too_large: bool = False
    timed_out: bool = False
    sent: bool = False
    reconnected: bool = False
    status: int = 0

    def add_header(self, line: bytes) -> int:
        """Add a header line; a new status line discards earlier ones, as after ``100 Continue``.

        Returns its length; anything less ends the transfer.
        """
        if PROTOCOL_SWITCH.match(line):
            return 0
        if line.startswith(b"HTTP/"):
            self.header_lines.clear()
            self.headers_end = False
        self.header_bytes += len(line)
        if self.header_bytes > MAX_RESPONSE_HEADER_BYTES:
            self.too_large = True
            return 0
        if not self.headers_end:  # otherwise a trailer after the body
            self.header_lines.append(line)
            self.headers_end = line in (b"\r\n", b"\n")
            if self.headers_end:
                # An encoding overrides the length (RFC 9112, section 6.3).
                self.is_size_known = any(map(CONTENT_LENGTH.match, self.header_lines)) and not any(
                    map(TRANSFER_ENCODING.match, self.header_lines)
                )
        return len(line)

    def add_body(self, data: bytes) -> int:
        """Add a part of the body, up to the limits of one and of all responses."""
        size = len(self.body) + len(data)
        is_allowed = size <= MAX_RESPONSE_BYTES and self.budget.resize(
            id(self), size, self.is_size_known
        )
        if not is_allowed:
            self.too_large = True
            return 0
        self.body += data
        return len(data)


class Connection:
    """Persistent connection, driven by libcurl.

    Not thread-safe: runs one transfer at a time, in the thread that acquired it from the pool.
    """

    def __init__(self):
        self._multi = None
        self._sockets: dict[int, int] = {}
        self._timer_deadline_s: float | None = None
        self._idle_fd = -1
        self.last_used_s = 0.0
        self.opened_s = float("inf")
        self.was_reused = False
        self.generation = 0

    @property
    def is_open(self) -> bool:
        """Whether a connection from an earlier transfer is still open."""
        return self._multi is not None and self._idle_fd >= 0

    def close_if_stale(self) -> bool:
        """Close an idle connection that the peer closed or sent unsolicited data on.

        Returns whether it was closed.
        """
        if self.is_open:
            poller = select.poll()
            poller.register(self._idle_fd, select.POLLIN)
            if poller.poll(0):
                self.close()
                return True
        return False

    def close(self) -> None:
        """Close the TCP connection, if any."""
        if self._multi is not None:
            self._multi.close()
        self._multi = None
        self._idle_fd = -1
        self._sockets.clear()
        self._timer_deadline_s = None

    def _open(self):
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, 1)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)

    def _on_socket(self, poll_events, sock, multi, data):
        if poll_events == pycurl.POLL_REMOVE:
            self._sockets.pop(sock, None)
        else:
            self._sockets[sock] = poll_events

    def _on_timer(self, timeout_ms):
        self._timer_deadline_s = None if timeout_ms < 0 else clock.monotonic_s() + timeout_ms / 1000

    def transfer(
        self,
        handle: pycurl.Curl,
        state: Transfer,
        deadline_s: float,
        first_byte_deadline_s: float | None,
    ) -> None:
        """Run ``handle`` until it finishes or a deadline passes; store the outcome in ``state``.

        ``deadline_s`` bounds the whole transfer, ``first_byte_deadline_s`` the wait for the first
        byte (None: no bound); both are monotonic times. The caller closes the connection after a
        failure.
        """
        reused = self.is_open
        if not reused:
            self.opened_s, self.was_reused = clock.monotonic_s(), False
        if self._multi is None:
            self._open()
        handle.setopt(pycurl.HEADERFUNCTION, state.add_header)
        handle.setopt(pycurl.WRITEFUNCTION, state.add_body)
        self._multi.add_handle(handle)
        try:
            self._run_event_loop(state, deadline_s, first_byte_deadline_s)
            state.reconnected = reused and handle.getinfo(pycurl.NUM_CONNECTS) > 0
            self._idle_fd = handle.getinfo(pycurl.ACTIVESOCKET)
            state.status = handle.getinfo(pycurl.RESPONSE_CODE)
            # The request size alone may lag behind what the kernel has accepted. PRETRANSFER_TIME
            # cannot be used, because libcurl sets it for failed connections too.
            state.sent = (
                reused
                or handle.getinfo(pycurl.REQUEST_SIZE) > 0
                or handle.getinfo(pycurl.CONNECT_TIME) > 0
            )
            if reused and not state.reconnected and not state.error:
                self.was_reused = True
        finally:
            state.budget.release(id(state))
            self._multi.remove_handle(handle)
            self.last_used_s = clock.monotonic_s()

    def _run_event_loop(self, state, deadline_s, first_byte_deadline_s):
        _, running = self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        while running:
            now = clock.monotonic_s()
            awaiting_first_byte = first_byte_deadline_s is not None and not state.header_lines
            if now >= deadline_s:
                state.timed_out = True
                return
            if awaiting_first_byte and now >= first_byte_deadline_s:
                state.first_byte_timeout = True
                return
            running = self._poll_sockets(
                min(deadline_s, first_byte_deadline_s) if awaiting_first_byte else deadline_s, now
            )
        _, _, messages = self._multi.info_read()
        state.error = messages[0][1] if messages else 0

    def _poll_sockets(self, wait_until_s, now):
        poller = select.poll()
        for sock, poll_events in self._sockets.items():
            events = select.POLLIN if poll_events in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
            events |= select.POLLOUT if poll_events in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
            poller.register(sock, events)
        wake_up_s = (
            wait_until_s
            if self._timer_deadline_s is None
            else min(wait_until_s, self._timer_deadline_s)
        )
        wait_s = max(0.0, min(wake_up_s - now, MAX_POLL_INTERVAL_S))
        ready = poller.poll(int(wait_s * 1000 + 0.999))
        if not ready:
            return self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)[1]
        running = 1
        for sock, events in ready:
            mask = pycurl.CSELECT_IN if events & (select.POLLIN | select.POLLHUP) else 0
            mask |= pycurl.CSELECT_OUT if events & select.POLLOUT else 0
            mask |= pycurl.CSELECT_ERR if events & (select.POLLERR | select.POLLNVAL) else 0
            _, running = self._multi.socket_action(sock, mask)
        return running

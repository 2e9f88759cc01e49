"""
oriolelock.endpoints.connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    At most one TCP connection to one endpoint, and the transfer of one request over it.
"""

import dataclasses
import select

import pycurl

from oriolelock import clock

__all__ = ["Connection", "Transfer"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_ANSWER_HEADER_BYTES = 64 * 1024
# libcurl's timers are polled at least this often, in case one was missed.
MAX_POLL_S = 0.5


@dataclasses.dataclass
class Transfer:
    """What a transfer has received so far, and how it ended.

    ``error`` is a libcurl code, 0 for none; ``silent``: no first byte came in time;
    ``reconnected``: the kept connection failed and libcurl used a new one, so that the request
    may have been sent on both.
    """

    header_lines: list[bytes] = dataclasses.field(default_factory=list)
    header_bytes: int = 0
    headers_end: bool = False
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    body_bytes: int = 0
    error: int = 0
    silent: bool = False
    too_large: bool = False
    expired: bool = False
    sent: bool = False
    reconnected: bool = False
    status: int = 0

    def add_header(self, line: bytes) -> int:
        """Keep one header line; a new status line starts over, as after ``100 Continue``."""
        if line.startswith(b"HTTP/"):
            self.header_lines.clear()
            self.headers_end = False
        self.header_bytes += len(line)
        if self.header_bytes > MAX_ANSWER_HEADER_BYTES:
            self.too_large = True
            return 0
        if not self.headers_end:  # else a trailer, after the body
            self.header_lines.append(line)
            self.headers_end = line in (b"\r\n", b"\n")
        return len(line)

    def add_body(self, data: bytes) -> int:
        """Keep one piece of the body, up to the limit."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_ANSWER_BYTES:
            self.too_large = True
            return 0
        self.chunks.append(data)
        return len(data)


class Connection:
    """Not thread-safe: one transfer at a time, by the thread that took it from the pool."""

    def __init__(self):
        self._multi = None
        self._sockets: dict[int, int] = {}
        self._timer_s: float | None = None
        self._kept_fd = -1
        self.used_s = 0.0
        self.generation = 0

    @property
    def is_open(self) -> bool:
        """True if a connection is kept from an earlier transfer."""
        return self._multi is not None and self._kept_fd >= 0

    def close_if_ended(self) -> None:
        """Close a kept connection that the peer ended or sent unasked data on."""
        if self.is_open:
            poller = select.poll()
            poller.register(self._kept_fd, select.POLLIN)
            if poller.poll(0):
                self.close()

    def close(self) -> None:
        """Close the TCP connection, if there is one."""
        if self._multi is not None:
            self._multi.close()
        self._multi = None
        self._kept_fd = -1
        self._sockets.clear()
        self._timer_s = None

    def _open(self):
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, 1)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)

    def _on_socket(self, what, sock, multi, data):
        if what == pycurl.POLL_REMOVE:
            self._sockets.pop(sock, None)
        else:
            self._sockets[sock] = what

    def _on_timer(self, timeout_ms):
        self._timer_s = None if timeout_ms < 0 else clock.monotonic_s() + timeout_ms / 1000

    def transfer(
        self, handle: pycurl.Curl, into: Transfer, end_s: float, first_byte_end_s: float | None
    ) -> None:
        """Run ``handle`` until it is done, ``end_s``, or silence until ``first_byte_end_s``.

        Times are of the monotonic clock. The caller closes the connection after a failure.
        """
        reused = self.is_open
        if self._multi is None:
            self._open()
        handle.setopt(pycurl.HEADERFUNCTION, into.add_header)
        handle.setopt(pycurl.WRITEFUNCTION, into.add_body)
        self._multi.add_handle(handle)
        try:
            self._drive(into, end_s, first_byte_end_s)
            into.reconnected = reused and handle.getinfo(pycurl.NUM_CONNECTS) > 0
            self._kept_fd = handle.getinfo(pycurl.ACTIVESOCKET)
            into.status = handle.getinfo(pycurl.RESPONSE_CODE)
            # The request size alone could lag behind what the kernel has accepted. The time
            # before the transfer is no use: libcurl sets it for failed connections too.
            into.sent = (
                reused
                or handle.getinfo(pycurl.REQUEST_SIZE) > 0
                or handle.getinfo(pycurl.CONNECT_TIME) > 0
            )
        finally:
            self._multi.remove_handle(handle)
            self.used_s = clock.monotonic_s()

    def _drive(self, into, end_s, first_byte_end_s):
        _, running = self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        while running:
            now = clock.monotonic_s()
            quiet = first_byte_end_s is not None and not into.header_lines
            if now >= end_s:
                into.expired = True
                return
            if quiet and now >= first_byte_end_s:
                into.silent = True
                return
            running = self._step(min(end_s, first_byte_end_s) if quiet else end_s, now)
        _, _, failed = self._multi.info_read()
        into.error = failed[0][1] if failed else 0

    def _step(self, until_s, now):
        poller = select.poll()
        for sock, what in self._sockets.items():
            events = select.POLLIN if what in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
            events |= select.POLLOUT if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
            poller.register(sock, events)
        timer_s = until_s if self._timer_s is None else min(until_s, self._timer_s)
        wait_s = max(0.0, min(timer_s - now, MAX_POLL_S))
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

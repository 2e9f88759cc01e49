"""
oriolelock.http1.loop
~~~~~~~~~~~~~~~~~~~~~

    One thread that waits for sockets, timers and calls from other threads.
"""

import collections
import collections.abc
import heapq
import itertools
import selectors
import socket

from oriolelock import clock, logs

__all__ = ["Loop", "Timer"]

# The longest wait without any timer, so that a lost wake-up can't stop the process for good.
MAX_WAIT_S = 1.0

log = logs.get_logger("loop")


class Timer:
    """A call at a later time; ``cancel`` prevents it."""

    __slots__ = ("at_s", "callback")

    def __init__(self, at_s: float, callback: collections.abc.Callable[[], None]):
        self.at_s = at_s
        self.callback: collections.abc.Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not make the call."""
        self.callback = None


class Loop:
    """Callbacks run in the thread of ``run``; only ``call_soon`` may come from others."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._ids = itertools.count()
        self._soon: collections.deque = collections.deque()
        self._running = True
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._selector.register(self._wake_in, selectors.EVENT_READ, self._on_wake)

    def watch(self, sock: socket.socket, events: int, callback: collections.abc.Callable) -> None:
        """Call ``callback(events)`` when the socket is ready; replaces an earlier watch.

        ``events``: of ``selectors``; 0 ends the watch.
        """
        known = sock.fileno() in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(sock)
        elif known:
            self._selector.modify(sock, events, callback)
        else:
            self._selector.register(sock, events, callback)

    def call_at(self, at_s: float, callback: collections.abc.Callable[[], None]) -> Timer:
        """Call ``callback()`` at ``at_s`` of the monotonic clock."""
        timer = Timer(at_s, callback)
        heapq.heappush(self._timers, (at_s, next(self._ids), timer))
        return timer

    def call_later(self, delay_s: float, callback: collections.abc.Callable[[], None]) -> Timer:
        """Call ``callback()`` after ``delay_s`` seconds."""
        return self.call_at(clock.monotonic_s() + delay_s, callback)

    def call_each(self, interval_s: float, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback()`` again and again."""

        def again():
            self.call_later(interval_s, again)
            callback()

        self.call_later(interval_s, again)

    def call_soon(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback()`` in the loop's thread; safe from any thread and signal handler."""
        self._soon.append(callback)
        try:
            self._wake_out.send(b"\0")
        except BlockingIOError:
            # The pipe is full of wake-ups already.
            pass

    def stop(self) -> None:
        """End ``run`` after the present round."""
        self._running = False

    def run(self) -> None:
        """Serve until ``stop``."""
        while self._running:
            for key, events in self._selector.select(self._wait_s()):
                self._guard(key.data, events)
            self._run_timers()
            for _ in range(len(self._soon)):
                self._guard(self._soon.popleft())

    def _wait_s(self):
        if self._soon:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(0.0, self._timers[0][0] - clock.monotonic_s()))

    def _run_timers(self):
        now = clock.monotonic_s()
        while self._timers and self._timers[0][0] <= now:
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                self._guard(callback)

    def _guard(self, callback, *args):
        try:
            callback(*args)
        except Exception:
            # A fault in one connection must not end the others.
            log.exception("A callback failed.")

    def _on_wake(self, events):
        try:
            while self._wake_in.recv(4096):
                pass
        except BlockingIOError:
            pass

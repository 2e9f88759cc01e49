"""
oriolelock.http1.loop
~~~~~~~~~~~~~~~~~~~~~

    A single-threaded event loop: sockets, timers and calls from other threads.
"""

import collections
import collections.abc
import heapq
import itertools
import selectors
import socket

from oriolelock import clock, logs
from oriolelock.http1 import read_pacer

__all__ = ["Loop", "Timer"]

# Longest wait without a timer, so that a lost wake-up cannot block the loop forever.
MAX_WAIT_S = 1.0

log = logs.get_logger("loop")


class Timer:
    """A scheduled call; ``at_s``: monotonic seconds."""

    __slots__ = ("at_s", "callback")

    def __init__(self, at_s: float, callback: collections.abc.Callable[[], None]):
        self.at_s = at_s
        self.callback: collections.abc.Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None


class Loop:
    """Callbacks run in the thread of ``run``; only ``call_soon`` is thread-safe."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_ids = itertools.count()
        self._pending_calls: collections.deque = collections.deque()
        self._running = True
        self.read_pacer = read_pacer.ReadPacer()
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._wakeup_receiver.setblocking(False)
        self._wakeup_sender.setblocking(False)
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ, self._on_wakeup)

    def watch(self, sock: socket.socket, events: int, callback: collections.abc.Callable) -> None:
        """Call ``callback(events)`` when the socket is ready; replaces an earlier registration.

        ``events``: mask of ``selectors`` events; 0 removes the registration.
        """
        is_registered = sock.fileno() in self._selector.get_map()
        if not events:
            if is_registered:
                self._selector.unregister(sock)
        elif is_registered:
            self._selector.modify(sock, events, callback)
        else:
            self._selector.register(sock, events, callback)

    def call_at(self, at_s: float, callback: collections.abc.Callable[[], None]) -> Timer:
        """Call ``callback()`` at ``at_s`` of the monotonic clock."""
        timer = Timer(at_s, callback)
        heapq.heappush(self._timers, (at_s, next(self._timer_ids), timer))
        return timer

    def call_later(self, delay_s: float, callback: collections.abc.Callable[[], None]) -> Timer:
        """Call ``callback()`` after ``delay_s`` seconds."""
        return self.call_at(clock.monotonic_s() + delay_s, callback)

    def call_each(self, interval_s: float, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback()`` every ``interval_s`` seconds."""

        def repeat():
            self.call_later(interval_s, repeat)
            callback()

        self.call_later(interval_s, repeat)

    def call_soon(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback()`` in the loop's thread; safe from any thread and signal handler."""
        self._pending_calls.append(callback)
        try:
            self._wakeup_sender.send(b"\0")
        except BlockingIOError:
            # The socket buffer already holds wake-ups.
            pass

    def stop(self) -> None:
        """End ``run`` after the current iteration."""
        self._running = False

    def run(self) -> None:
        """Run callbacks until ``stop``."""
        while self._running:
            ready = self._selector.select(self._next_timeout_s())
            # Timers that expire during the callbacks wait until sockets have been looked at again:
            # what they limit may have happened.
            now = clock.monotonic_s()
            for key, events in ready:
                if self._is_watched(key):
                    self._run_callback(key.data, events)
            self._run_timers(now)
            for _ in range(len(self._pending_calls)):
                self._run_callback(self._pending_calls.popleft())

    def _is_watched(self, key):
        """Return whether an earlier callback has not closed the socket, or watches it otherwise."""
        current = self._selector.get_map().get(key.fd)
        return current is not None and current.fileobj is key.fileobj and current.data == key.data

    def _next_timeout_s(self):
        if self._pending_calls:
            return 0.0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(0.0, self._timers[0][0] - clock.monotonic_s()))

    def _run_timers(self, now):
        while self._timers and self._timers[0][0] <= now:
            callback = heapq.heappop(self._timers)[2].callback
            if callback is not None:
                self._run_callback(callback)

    def _run_callback(self, callback, *args):
        try:
            callback(*args)
        except Exception:
            # An error in one connection must not affect the others.
            log.exception("A callback failed.")

    def _on_wakeup(self, events):
        try:
            while self._wakeup_receiver.recv(4096):
                pass
        except BlockingIOError:
            pass

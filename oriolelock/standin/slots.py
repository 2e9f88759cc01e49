"""
oriolelock.standin.slots
~~~~~~~~~~~~~~~~~~~~~~~~

    The slots of an endpoint and its short queue, first come first served.
"""

import collections
import threading

from oriolelock import clock

__all__ = ["Slots"]


class Slots:
    """At most ``slots`` holders at once and ``queue`` waiting. Thread-safe."""

    def __init__(self, slots: int, queue: int):
        self.slots = slots
        self._queue_limit = queue
        self._changed = threading.Condition()
        self._waiting: collections.deque = collections.deque()
        self._in_flight = 0
        # Past figures (time, in flight, queued), so that reports can lag.
        self._history: collections.deque = collections.deque([(0.0, 0, 0)], maxlen=10_000)

    def enter(self, work_s: float, end_s: float, is_cancelled) -> str:
        """Wait for a slot; return the empty string, or why there is none.

        ``end_s`` is the time on the monotonic clock by which ``work_s`` of work must be done.
        """
        with self._changed:
            if clock.monotonic_s() + work_s > end_s:
                return "deadline"
            if self._in_flight >= self.slots and len(self._waiting) >= self._queue_limit:
                return "shed"
            ticket = object()
            self._waiting.append(ticket)
            self._note()
            reason = self._wait(ticket, end_s - work_s, is_cancelled)
            self._waiting.remove(ticket)
            if not reason:
                self._in_flight += 1
            self._note()
            self._changed.notify_all()
            return reason

    def _wait(self, ticket, latest_s, is_cancelled):
        while self._in_flight >= self.slots or self._waiting[0] is not ticket:
            left_s = latest_s - clock.monotonic_s()
            if left_s <= 0:
                return "deadline"
            if is_cancelled():
                return "shed"
            self._changed.wait(left_s)
        # A slot may become free between the cancellation and this thread's turn.
        return "shed" if is_cancelled() else ""

    def wake(self) -> None:
        """Let the waiting threads look at their cancellation again."""
        with self._changed:
            self._changed.notify_all()

    def leave(self) -> None:
        """Give a slot back."""
        with self._changed:
            self._in_flight -= 1
            self._note()
            self._changed.notify_all()

    def _note(self):
        self._history.append((clock.monotonic_s(), self._in_flight, len(self._waiting)))

    def figures(self, lag_s: float = 0.0) -> tuple[int, int]:
        """Return (in flight, queued) as of ``lag_s`` seconds ago."""
        as_of_s = clock.monotonic_s() - lag_s
        with self._changed:
            for when_s, in_flight, queued in reversed(self._history):
                if when_s <= as_of_s:
                    return in_flight, queued
            return 0, 0

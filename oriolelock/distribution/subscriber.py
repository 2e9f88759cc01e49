"""
oriolelock.distribution.subscriber
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One subscription, as the publisher sees it.
"""

import threading

from oriolelock.wire import channel, errors, send_queue

__all__ = ["Subscriber"]

# Deltas and replies to calls share the queue. A subscriber with more unsent messages is
# disconnected.
MAX_QUEUED_MESSAGES = 4096
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# A subscriber with a longer backlog gets one larger delta later.
MAX_DELTA_BACKLOG = 2


class Subscriber:
    """A subscriber's connection, with a send queue and the thread that empties it."""

    def __init__(self, conn: channel.Channel):
        self._conn = conn
        self._queue = send_queue.SendQueue(MAX_QUEUED_MESSAGES, MAX_QUEUED_BYTES)
        self._lock = threading.Lock()
        self._admitted = False
        self._is_first_due = False
        self._confirmed = False
        self._confirming = False
        self.name = conn.peer.name
        self.index = 0
        # Its latest ping, and when that arrived.
        self._ping: tuple[float, float] | None = None
        self._thread = threading.Thread(target=self._run, name=f"to-{self.name}", daemon=True)
        self._thread.start()

    @property
    def was_confirmed(self) -> bool:
        """Whether a confirmation that started after the subscription has succeeded."""
        return self._confirmed

    @property
    def sends_pings(self) -> bool:
        """Whether it can tell how old a confirmation is."""
        return self._ping is not None

    def take_ping(self, sent_s: float, now: float) -> None:
        """Keep a ping, to be returned in the next delta."""
        self._ping = sent_s, now

    def make_echo(self, now: float) -> tuple[float, float]:
        """Return ``echo_s`` and ``held_s`` of a delta that is made now."""
        if self._ping is None:
            return 0.0, 0.0
        sent_s, arrived_s = self._ping
        return sent_s, max(0.0, now - arrived_s)

    def admit(self, index: int, confirmed: bool) -> None:
        """Start publishing the changes after ``index``."""
        with self._lock:
            self.index = index
            self._is_first_due = True
            self._confirmed = confirmed
            self._confirming = False
            self._admitted = True

    def end_confirmation(self, confirmed: bool) -> None:
        """Note the result of a confirmation that started after the subscription."""
        with self._lock:
            self._confirmed = self._confirmed or confirmed
            self._confirming = False

    def begin_confirmation(self) -> bool:
        """Return whether the caller must start a confirmation, and note it as started."""
        with self._lock:
            if not self._admitted or self._confirmed or self._confirming:
                return False
            self._confirming = True
            return True

    def is_due(self, is_heartbeat_due: bool, index: int) -> bool:
        """Return whether there is something to publish and the queue has room."""
        if not self._admitted or len(self._queue) > MAX_DELTA_BACKLOG:
            return False
        return is_heartbeat_due or self._is_first_due or index > self.index

    def next_position(self, confirmed: bool) -> tuple[int, bool]:
        """Return the index to publish from, and whether to mark the message as confirmed."""
        with self._lock:
            is_first, self._is_first_due = self._is_first_due, False
            # Before a confirmation that started after the subscription has succeeded, the
            # subscriber may have received a newer configuration from another replica.
            return self.index, self._confirmed and (confirmed or is_first)

    def publish(self, from_index: int, to_index: int, data: bytes) -> None:
        """Queue an encoded snapshot or delta that leads to ``to_index``."""
        with self._lock:
            if self.index != from_index:
                # The subscriber has subscribed again in the meantime.
                return
            self.index = to_index
        self.enqueue(data)

    def enqueue(self, data: bytes) -> None:
        """Queue an encoded message; disconnect the subscriber if its queue is full."""
        if not self._queue.put(data):
            self.close()

    def close(self) -> None:
        """Close the connection and stop the thread."""
        self._queue.close()
        self._conn.close()

    def _run(self):
        while (data := self._queue.get()) is not None:
            try:
                self._conn.send_bytes(data)
            except errors.ChannelClosed:
                self._conn.close()
                return

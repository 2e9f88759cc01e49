"""
oriolelock.distribution.subscriber
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The publisher's end of one subscription.
"""

import queue
import threading

from oriolelock.wire import channel, errors

__all__ = ["Subscriber"]

# Replies to calls share the queue with deltas; a subscriber that leaves this many unread is
# disconnected.
MAX_QUEUED = 4096
# A subscriber that is behind gets one larger delta later instead of a backlog.
MAX_BACKLOG = 2


class Subscriber:
    """A connection with a queue and a thread that sends from it."""

    def __init__(self, conn: channel.Channel):
        self._conn = conn
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED)
        self._lock = threading.Lock()
        self._admitted = False
        self._is_first_due = False
        self._vouched = False
        self._vouching = False
        self._closed = False
        self.name = conn.peer.name
        self.index = 0
        self._thread = threading.Thread(target=self._run, name=f"to-{self.name}", daemon=True)
        self._thread.start()

    @property
    def was_vouched(self) -> bool:
        """Whether it has ever got a configuration that was confirmed."""
        return self._vouched

    def admit(self, index: int, confirmed: bool) -> None:
        """Start to publish to it from ``index`` on."""
        with self._lock:
            self.index = index
            self._is_first_due = True
            self._vouched = confirmed
            self._vouching = False
            self._admitted = True

    def vouch(self, confirmed: bool) -> None:
        """End an attempt at a confirmation that started after the subscription."""
        with self._lock:
            self._vouched = self._vouched or confirmed
            self._vouching = False

    def begin_vouching(self) -> bool:
        """Return whether a confirmation is needed now, and count it as started."""
        with self._lock:
            if not self._admitted or self._vouched or self._vouching:
                return False
            self._vouching = True
            return True

    def is_due(self, beat: bool, index: int) -> bool:
        """Return whether there is something to publish and room for it."""
        if not self._admitted or self._queue.qsize() > MAX_BACKLOG:
            return False
        return beat or self._is_first_due or index > self.index

    def take_position(self, confirmed: bool) -> tuple[int, bool]:
        """Return the index to publish from and whether that may be called confirmed."""
        with self._lock:
            is_first, self._is_first_due = self._is_first_due, False
            # Until a confirmation that started after the subscription has succeeded, nothing
            # covers what the subscriber may have had from another replica before.
            return self.index, self._vouched and (confirmed or is_first)

    def publish(self, from_index: int, to_index: int, data: bytes) -> None:
        """Queue an encoded snapshot or delta that leads to ``to_index``."""
        with self._lock:
            if self.index != from_index:
                # It has subscribed again meanwhile.
                return
            self.index = to_index
        self.offer(data)

    def offer(self, data: bytes) -> None:
        """Queue an encoded message; a subscriber that does not read is disconnected."""
        try:
            self._queue.put_nowait(data)
        except queue.Full:
            self.close()

    def close(self) -> None:
        """Close the connection and end the thread."""
        self._closed = True
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            pass
        self._conn.close()

    def _run(self):
        while not self._closed:
            data = self._queue.get()
            if data is None:
                return
            try:
                self._conn.send_bytes(data)
            except errors.ChannelClosed:
                self._conn.close()
                return

"""
oriolelock.control.peer_link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The outgoing connection to one other replica.
"""

import collections.abc
import queue
import random
import threading

from oriolelock import logs
from oriolelock.settings import control as settings
from oriolelock.wire import channel, codec, errors, hello

__all__ = ["PeerLink"]

BACKOFF_MIN_S = 0.1
# A replica that returns must be reached well within one election timeout.
BACKOFF_MAX_S = 0.4
# Consensus repeats what is lost; a longer queue would only deliver stale messages.
MAX_QUEUED = 2000

log = logs.get_logger("control.peer")


class PeerLink:
    """Sends messages to one replica and reconnects when the connection fails.

    The other replica sends over its own connection; this one carries one direction only,
    besides heartbeats.
    """

    def __init__(self, peer: settings.PeerSettings, greet: collections.abc.Callable):
        self._peer = peer
        self._greet = greet
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED)
        self._channel: channel.Channel | None = None
        self._stopping = threading.Event()
        self._last_error = ""
        self._rng = random.Random(peer.name)
        self._threads = [
            threading.Thread(target=run, name=f"{part}-{peer.name}", daemon=True)
            for part, run in (("connect", self._run_connection), ("send", self._run_sender))
        ]

    def start(self) -> None:
        """Start to connect."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Close the connection."""
        self._stopping.set()
        conn = self._channel
        if conn:
            conn.close()

    @property
    def connected(self) -> bool:
        """True while there is a connection."""
        return self._channel is not None

    def send(self, msg: object) -> bool:
        """Queue a message; returns False when it is dropped."""
        if self._channel is None:
            return False
        try:
            self._queue.put_nowait(codec.encode(msg))
        except queue.Full:
            return False
        return True

    def _run_sender(self):
        while not self._stopping.is_set():
            data = self._queue.get()
            conn = self._channel
            if conn is None:
                continue
            try:
                conn.send_bytes(data)
            except errors.ChannelClosed:
                conn.close()

    def _run_connection(self):
        backoff_s = BACKOFF_MIN_S
        while not self._stopping.is_set():
            try:
                conn = channel.connect(self._peer.link_address, self._greet())
            except errors.WireError as exc:
                self._report(str(exc))
                self._stopping.wait(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)
                continue
            backoff_s = BACKOFF_MIN_S
            self._last_error = ""
            log.info("Connected to {}.", self._peer.name)
            self._channel = conn
            self._watch(conn)
            self._channel = None

    def _watch(self, conn):
        """Read heartbeats until the connection fails."""
        try:
            while not self._stopping.is_set():
                conn.recv(channel.HEARTBEAT_INTERVAL_S)
        except errors.WireError as exc:
            self._report(str(exc))
        conn.close()

    def _report(self, text):
        if text != self._last_error and not self._stopping.is_set():
            log.warning("No connection to {}: {}.", self._peer.name, text)
        self._last_error = text


def make_greeting(
    cfg: settings.ControlSettings, incarnation: str
) -> collections.abc.Callable[[], hello.Hello]:
    """Return a function that makes the greeting of this replica."""

    def greet() -> hello.Hello:
        return hello.Hello(
            hello.PROTOCOL_VERSION, cfg.cluster, cfg.cluster_token, cfg.name, "control", incarnation
        )

    return greet

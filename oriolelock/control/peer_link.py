"""
oriolelock.control.peer_link
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Outgoing connection to another replica.
"""

import collections.abc
import random
import threading

from oriolelock import logs
from oriolelock.control import messages
from oriolelock.settings import control as settings
from oriolelock.wire import channel, codec, errors, hello, send_queue

__all__ = ["PeerLink"]

BACKOFF_MIN_S = 0.1
# Well below one election timeout, so that a replica that comes back is reached in time.
BACKOFF_MAX_S = 0.4
# Packets to a replica whose machine is still starting are lost, and the kernel sends the next one
# after a second. The time grows for replicas that are slow to answer.
CONNECT_MIN_S = 0.5
CONNECT_MAX_S = 2.0
# The consensus protocol resends lost messages; a longer queue would only deliver stale ones.
MAX_QUEUED = 2000
# Twice what the leader sends a replica before it waits for a reply.
MAX_QUEUED_BYTES = 4 * 1024 * 1024

log = logs.get_logger("control.peer")


class PeerLink:
    """Sends messages to one replica and reconnects when the connection fails.

    Apart from heartbeats the connection carries messages in one direction only: the other replica
    sends over a connection of its own.
    """

    def __init__(self, peer: settings.PeerSettings, make_hello: collections.abc.Callable):
        self._peer = peer
        self._make_hello = make_hello
        self._queue = send_queue.SendQueue(MAX_QUEUED, MAX_QUEUED_BYTES)
        self._channel: channel.Channel | None = None
        self._last_heard_s: float | None = None
        # Whether the peer's build knows joint memberships, as of the last connection.
        self.knows_joint: bool | None = None
        self._stopping = threading.Event()
        self._last_error = ""
        self._rng = random.Random(peer.name)
        self._threads = [
            threading.Thread(target=run, name=f"{task}-{peer.name}", daemon=True)
            for task, run in (("connect", self._run_connection), ("send", self._run_sender))
        ]

    def start(self) -> None:
        """Start the connecting and sending threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Close the connection and stop reconnecting."""
        self._stopping.set()
        self._queue.close()
        conn = self._channel
        if conn:
            conn.close()

    @property
    def connected(self) -> bool:
        """True while there is a connection."""
        return self._channel is not None

    @property
    def last_heard_s(self) -> float | None:
        """Monotonic time at which the peer last sent anything, heartbeats included.

        Outlives the connection; None if there never was one.
        """
        conn = self._channel
        return conn.last_received_s if conn else self._last_heard_s

    def send(self, msg: object) -> bool:
        """Queue a message; returns False if it was dropped or the peer doesn't know it."""
        conn = self._channel
        if conn is None or (isinstance(msg, messages.SilentEntries) and not conn.knows_silence):
            return False
        return self._queue.put(codec.encode(msg))

    def _run_sender(self):
        while (data := self._queue.get()) is not None:
            conn = self._channel
            if conn is None:
                continue
            try:
                conn.send_bytes(data)
            except errors.ChannelClosed:
                conn.close()

    def _run_connection(self):
        backoff_s, limit_s = BACKOFF_MIN_S, CONNECT_MIN_S
        while not self._stopping.is_set():
            conn = self._connect(limit_s)
            if conn is None:
                self._stopping.wait(backoff_s * self._rng.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, BACKOFF_MAX_S)
                limit_s = min(2 * limit_s, CONNECT_MAX_S)
                continue
            backoff_s, limit_s = BACKOFF_MIN_S, CONNECT_MIN_S
            self._last_error = ""
            log.info("Connected to {}.", self._peer.name)
            # What was queued for the connection before may be outdated.
            self._queue.clear()
            self.knows_joint = conn.knows_joint
            self._channel = conn
            self._receive_heartbeats(conn)
            self._last_heard_s = conn.last_received_s
            self._channel = None

    def _connect(self, limit_s):
        """Return a new connection, or None if there is none."""
        try:
            return channel.connect(self._peer.link_address, self._make_hello(), limit_s)
        except errors.WireError as exc:
            self._log_error(str(exc))
        except Exception:
            # If the thread ended, the peer would get no further messages.
            log.exception("no connection to {}", self._peer.name)
        return None

    def _receive_heartbeats(self, conn):
        """Receive heartbeats until the connection fails."""
        try:
            while not self._stopping.is_set():
                conn.recv(channel.HEARTBEAT_INTERVAL_S)
        except errors.WireError as exc:
            self._log_error(str(exc))
        conn.close()

    def _log_error(self, text):
        if text != self._last_error and not self._stopping.is_set():
            log.warning("No connection to {}: {}.", self._peer.name, text)
        self._last_error = text


def hello_factory(
    cfg: settings.ControlSettings, incarnation: str
) -> collections.abc.Callable[[], hello.Hello]:
    """Return a function that makes this replica's ``Hello`` message."""

    def make_hello() -> hello.Hello:
        return hello.Hello(
            hello.PROTOCOL_VERSION, cfg.cluster, cfg.cluster_token, cfg.name, "control", incarnation
        )

    return make_hello

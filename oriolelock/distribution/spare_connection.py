"""
oriolelock.distribution.spare_connection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An open connection to a further parent, without a subscription, for the loss of the current one.

    To subscribe over it takes one round trip, over a new connection three. It also spares both ends
    the handshakes when many entries lose their parents at once.
"""

import collections.abc
import dataclasses
import random
import threading

from oriolelock import clock, events, logs
from oriolelock.wire import channel
from oriolelock.wire import errors as wire_errors

__all__ = ["Spare", "SpareConnection"]

# Nothing waits for the connection, so that the attempt can outlast two round trips over a link on
# which packets wait for half a second.
CONNECT_LIMIT_S = 2.4
# After a new parent was found.
MIN_DELAY_S = 0.3
MAX_DELAY_S = 1.0
# After the first one: a fleet that starts must first find its parents and load its configurations.
FIRST_DELAY_S = 3.0
# After failed attempts, and connections that ended; doubles with each of them.
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
# A connection that lasts so long doesn't count as a failed attempt.
STABLE_S = 10.0
# A peer that has just sent something sends the next heartbeat after up to two intervals.
SILENT_AFTER_S = 2.5 * channel.HEARTBEAT_INTERVAL_S

log = logs.get_logger("uplink")
uplink_events = events.Events("uplink")


@dataclasses.dataclass(frozen=True)
class Spare:
    """A connection that both ends have greeted each other over, open since ``opened_s``."""

    address: channel.Address
    link: channel.Channel
    opened_s: float


class SpareConnection:
    """Keeps one connection and replaces it when it ends.

    ``connect(address)`` returns a channel or raises WireError; it is called in a thread of its own.
    ``on_message`` is called with what arrives, but for heartbeats. ``take`` and ``close`` may be
    called from any thread.
    """

    def __init__(
        self,
        connect: collections.abc.Callable[[channel.Address], channel.Channel],
        rng: random.Random,
        on_message: collections.abc.Callable[[object], None] = lambda msg: None,
    ):
        self._connect = connect
        self._on_message = on_message
        self._rng = rng
        self._lock = threading.Lock()
        self._spare: Spare | None = None
        self._is_connecting = False
        self._is_closed = False
        self._failures = 0
        self._due_s = 0.0
        self._had_parent = False
        # Addresses that failed since they were last asked for.
        self._failed: list[channel.Address] = []

    @property
    def address(self) -> channel.Address | None:
        """The address of the connection that is open, or None."""
        spare = self._spare
        return spare.address if spare else None

    def parent_changed(self, now: float) -> None:
        """Wait for a moment before the next attempt, for longer after the first parent."""
        self._wait(now, MAX_DELAY_S if self._had_parent else FIRST_DELAY_S)
        self._had_parent = True

    def _wait(self, now, max_delay_s):
        self._due_s = now + self._rng.uniform(MIN_DELAY_S, max_delay_s)

    def maintain(
        self,
        parent: channel.Address,
        choose: collections.abc.Callable[[], channel.Address | None],
        now: float,
    ) -> list[channel.Address]:
        """Keep the connection alive, or begin to open one; return addresses that failed meanwhile.

        To be called several times a second. ``parent``: the address in use; ``choose()`` returns
        another one, or None if there is none.
        """
        self._keep_alive(parent, now)
        with self._lock:
            failed, self._failed = self._failed, []
            is_due = self._spare is None and not self._is_connecting and now >= self._due_s
            self._is_connecting = self._is_connecting or is_due
        if is_due:
            address = choose()
            if address is None:
                self._is_connecting, self._due_s = False, now + RETRY_MAX_S
            else:
                threading.Thread(
                    target=self._open, args=(address,), name="uplink-spare", daemon=True
                ).start()
        return failed

    def _keep_alive(self, parent, now):
        with self._lock:
            spare = self._spare
            if spare is None:
                return
            is_alive = self._is_alive(spare, now)
            if is_alive and spare.address != parent:
                return
            self._spare = None
            if is_alive:
                self._wait(now, MAX_DELAY_S)
            else:
                self._failures = 0 if now - spare.opened_s >= STABLE_S else self._failures
                self._record_failure(spare.address, now)
        channel.close_soon(spare.link)

    def _is_alive(self, spare, now):
        try:
            msg = spare.link.recv(0.0)
            if msg is not None:
                self._on_message(msg)
        except wire_errors.WireError as exc:
            _log_lost(spare, str(exc), now)
            return False
        if now - spare.link.last_received_s > SILENT_AFTER_S:
            _log_lost(spare, "silent", now)
            return False
        return True

    def _open(self, address):
        link = None
        try:
            link = self._connect(address)
        except wire_errors.WireError as exc:
            log.warning("no spare connection: {}", exc)
        except Exception:
            # Further attempts must not depend on this one.
            log.exception("no spare connection to {}:{}", *address)
        now = clock.monotonic_s()
        with self._lock:
            self._is_connecting = False
            if link is None:
                self._record_failure(address, now)
            elif not self._is_closed:
                self._spare = Spare(address, link, now)
                return
        if link is not None:
            link.close()

    def _record_failure(self, address, now):
        self._failed.append(address)
        delay_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures, 10))
        self._due_s = now + self._rng.uniform(delay_s / 2, delay_s)
        self._failures += 1

    def send(self, msg: object) -> bool:
        """Send a message; returns False if there is no connection that works."""
        spare = self._spare
        if spare is None:
            return False
        try:
            spare.link.send(msg)
        except wire_errors.WireError:
            return False
        return True

    def take(self, now: float) -> Spare | None:
        """Return the connection, which now belongs to the caller, or None if there is none."""
        self._wait(now, MAX_DELAY_S)
        with self._lock:
            spare, self._spare = self._spare, None
        return spare

    def close(self) -> None:
        """Close the connection and open no other."""
        with self._lock:
            self._is_closed = True
            spare, self._spare = self._spare, None
        if spare is not None:
            spare.link.close()


def _log_lost(spare, reason, now):
    uplink_events.notable(
        "spare-lost",
        spare="{}:{}".format(*spare.address),
        reason=reason,
        after_s=now - spare.opened_s,
    )

"""
oriolelock.distribution.publisher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends the configuration to subscribers as a snapshot and then as deltas, and takes their
    reports and calls. Each delta is encoded once for all subscribers at the same index.
"""

import collections.abc
import concurrent.futures
import dataclasses
import threading

from oriolelock import clock, logs
from oriolelock.distribution import messages, report_packing, subscriber
from oriolelock.wire import channel, codec, errors

__all__ = ["Publisher", "Source"]

# Subscribers hear from the publisher at least each second, also without changes.
CONFIRM_INTERVAL_S = 0.5
CONFIRM_TIMEOUT_S = 0.7
# Deltas between two read confirmations count as confirmed for this long after the start of
# the last one: an interval, a round trip between far regions, and some reserve.
CONFIRMED_MAX_AGE_S = 1.2
# Two heads for each of 57 failure domains need 114; entries that start connect here first.
MAX_SUBSCRIBERS = 1000

log = logs.get_logger("distribution.publisher")


@dataclasses.dataclass(frozen=True)
class Source:
    """What the publisher needs of the replica, or of the entry that relays.

    ``index()`` returns the index of the configuration;
    ``changes_since(index)`` returns the configuration and the changes that lead to it, or
    None for them; ``confirm(timeout_s)`` returns a future that is true when the configuration is
    current and always ends; ``call(payload)`` returns a future of (result, error text);
    ``take_reports(batch)`` takes status reports; ``renew``, used between deltas in place of
    ``confirm``, may rely on what was confirmed a moment ago.
    """

    index: collections.abc.Callable[[], int]
    changes_since: collections.abc.Callable
    confirm: collections.abc.Callable[[float], concurrent.futures.Future]
    call: collections.abc.Callable[[object], concurrent.futures.Future]
    take_reports: collections.abc.Callable[[messages.StatusBatch], None]
    renew: collections.abc.Callable[[float], concurrent.futures.Future] | None = None


class Publisher:
    """Serves all subscribers of one replica."""

    def __init__(self, source: Source, max_subscribers: int = MAX_SUBSCRIBERS):
        self._source = source
        self._max_subscribers = max_subscribers
        self._lock = threading.Lock()
        self._subscribers: set[subscriber.Subscriber] = set()
        self._wake = threading.Event()
        self._stopping = False
        self._confirmed_s: float | None = None
        self._confirming = False
        self._beat_due = False
        self._last_snapshot: tuple[tuple[int, bool], bytes] = ((0, False), b"")
        self._thread = threading.Thread(target=self._run, name="publisher", daemon=True)

    def start(self) -> None:
        """Start to publish."""
        self._thread.start()

    def stop(self) -> None:
        """Close all connections."""
        self._stopping = True
        self._wake.set()
        with self._lock:
            subscribers = list(self._subscribers)
        for sub in subscribers:
            sub.close()

    def wake(self) -> None:
        """Publish soon, because the configuration may have changed."""
        self._wake.set()

    def subscriber_names(self) -> list[str]:
        """Return the names of the subscribers."""
        with self._lock:
            return sorted(sub.name for sub in self._subscribers)

    def confirmed(self, now: float) -> bool:
        """Return whether the leader has confirmed the configuration lately."""
        started_s = self._confirmed_s
        return started_s is not None and now - started_s <= CONFIRMED_MAX_AGE_S

    def serve(self, conn: channel.Channel) -> None:
        """Serve one connection until it ends."""
        sub = subscriber.Subscriber(conn)
        try:
            while not self._stopping:
                msg = conn.recv(channel.HEARTBEAT_INTERVAL_S)
                if msg is not None:
                    self._take(sub, msg)
        except errors.ChannelClosed:
            pass
        except errors.DecodeError as exc:
            log.warning("Bad message from {}: {}.", sub.name, exc)
        finally:
            with self._lock:
                self._subscribers.discard(sub)
            sub.close()

    def _take(self, sub, msg):
        if isinstance(msg, messages.Subscribe):
            self._subscribe(sub, msg)
        elif isinstance(msg, messages.StatusReport):
            self._source.take_reports(messages.StatusBatch((msg,)))
        elif isinstance(msg, messages.StatusBatch):
            self._source.take_reports(msg)
        elif isinstance(msg, report_packing.PackedReports):
            self._source.take_reports(report_packing.unpack(msg))
        elif isinstance(msg, messages.UplinkCall):
            self._forward(sub, msg)

    def _subscribe(self, sub, msg):
        sub.name = msg.name

        def admitted(fut):
            # Only a confirmation that starts after the subscription covers everything that
            # the subscriber may have had from another replica before.
            confirmed = fut.result()
            if confirmed:
                self._note_confirmed(started_s)
            sub.admit(msg.index, confirmed)
            self._wake.set()

        started_s = clock.monotonic_s()
        with self._lock:
            is_known = sub in self._subscribers
            if is_known or len(self._subscribers) < self._max_subscribers:
                self._subscribers.add(sub)
                is_known = True
        if not is_known:
            log.warning("Refused {}: {} subscribers already.", sub.name, self._max_subscribers)
            sub.close()
            return
        self._source.confirm(CONFIRM_TIMEOUT_S).add_done_callback(admitted)

    def _vouch(self, sub):
        def answered(fut):
            sub.vouch(fut.result())
            self._beat_due = True
            self._wake.set()

        self._source.confirm(CONFIRM_TIMEOUT_S).add_done_callback(answered)

    def _forward(self, sub, msg):
        def answered(fut):
            payload, error = fut.result()
            sub.offer(codec.encode(messages.UplinkReply(msg.call_id, payload, error)))

        self._source.call(msg.payload).add_done_callback(answered)

    def _run(self):
        next_confirm_s = 0.0
        while not self._stopping:
            self._wake.wait(max(0.0, next_confirm_s - clock.monotonic_s()))
            self._wake.clear()
            now = clock.monotonic_s()
            if now >= next_confirm_s:
                next_confirm_s = now + CONFIRM_INTERVAL_S
                self._start_confirm(now)
            try:
                self._publish(now)
            except Exception:
                # Publishing goes on with the next round; the fault is in the log.
                log.exception("A round failed.")

    def _start_confirm(self, now):
        if self._confirming:
            return
        self._confirming = True

        def answered(fut):
            if fut.result():
                self._note_confirmed(now)
            self._confirming = False
            self._beat_due = True
            self._wake.set()

        renew = self._source.renew or self._source.confirm
        renew(CONFIRM_TIMEOUT_S).add_done_callback(answered)

    def _note_confirmed(self, started_s):
        # A confirmation that started during an election may fail after a later one succeeds.
        with self._lock:
            self._confirmed_s = max(started_s, self._confirmed_s or started_s)

    def _publish(self, now):
        beat, self._beat_due = self._beat_due, False
        confirmed = self.confirmed(now)
        with self._lock:
            subscribers = list(self._subscribers)
        if not confirmed and self._confirmed_s is not None:
            for sub in subscribers:
                if sub.was_vouched:
                    sub.close()
        encoded: dict[tuple[int, bool], tuple[int, bytes]] = {}
        current = self._source.index() if subscribers else 0
        for sub in subscribers:
            if beat and sub.begin_vouching():
                self._vouch(sub)
            if not sub.is_due(beat, current):
                continue
            position = sub.take_position(confirmed)
            if position not in encoded:
                encoded[position] = self._encode(*position)
            sub.publish(position[0], *encoded[position])

    def _encode(self, index, confirmed):
        cfg, changes = self._source.changes_since(index)
        if index == 0 or changes is None:
            return cfg.index, self._encode_snapshot(cfg, confirmed)
        # A subscriber ahead of this replica keeps its index; it never goes back.
        to_index = max(index, cfg.index)
        return to_index, codec.encode(messages.Delta(index, to_index, changes, confirmed))

    def _encode_snapshot(self, cfg, confirmed):
        key = (cfg.index, confirmed)
        if not self._last_snapshot[1] or self._last_snapshot[0] != key:
            self._last_snapshot = key, codec.encode(messages.Snapshot(cfg, confirmed))
        return self._last_snapshot[1]

"""
oriolelock.distribution.publisher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Sends the configuration to subscribers, first as a snapshot and then as deltas, and receives
    their reports and calls. Each delta is encoded once for all subscribers at the same index.
"""

import collections.abc
import concurrent.futures
import dataclasses
import threading

from oriolelock import clock, events, logs, pauses
from oriolelock.distribution import messages, report_packing, reports, subscriber
from oriolelock.wire import channel, codec, errors

__all__ = ["Publisher", "Source"]

# Subscribers doubt a parent that has not confirmed for about twice as long.
CONFIRM_INTERVAL_S = 0.4
CONFIRM_TIMEOUT_S = 0.7
# So that one lost reply does not delay the next confirmation.
MAX_PENDING_CONFIRMATIONS = 3
# A delta counts as confirmed for this long after the start of the last read confirmation: one
# interval, a round trip between distant regions, and a reserve. It holds over all hops.
CONFIRMED_MAX_AGE_S = 1.2
# Two head entries in each of 57 failure domains need 114. Starting entries connect here first.
MAX_SUBSCRIBERS = 1000

log = logs.get_logger("distribution.publisher")
publish_events = events.Events("publisher")


@dataclasses.dataclass(frozen=True)
class Source:
    """The functions of a replica, or of a relaying entry, that the publisher calls.

    ``index()`` returns the index of the configuration;
    ``changes_since(index)`` returns the configuration and the changes that lead to it, or None
    in place of the changes if they are no longer kept; ``confirm(timeout_s)`` returns a future
    that always completes, with True if the configuration is current; ``call(payload)`` returns a
    future of (result, error text); ``take_reports(batch)`` receives status reports.
    ``is_relay``: confirmations arrive by ``Publisher.pass_on``, and only those of new subscribers
    are asked for.
    """

    index: collections.abc.Callable[[], int]
    changes_since: collections.abc.Callable
    confirm: collections.abc.Callable[[float], concurrent.futures.Future]
    call: collections.abc.Callable[[object], concurrent.futures.Future]
    take_reports: collections.abc.Callable[[messages.StatusBatch], None]
    is_relay: bool = False


class Publisher:
    """Serves all subscribers of one replica or relaying entry."""

    def __init__(self, source: Source, max_subscribers: int = MAX_SUBSCRIBERS):
        self._source = source
        self._max_subscribers = max_subscribers
        self._lock = threading.Lock()
        self._subscribers: set[subscriber.Subscriber] = set()
        # Spare connections, oldest first, and others until they subscribe.
        self._unsubscribed: dict[subscriber.Subscriber, None] = {}
        self._wakeup = threading.Event()
        self.pauses = pauses.PauseDetector(clock.monotonic_s())
        self._stopping = False
        self._confirmed_s: float | None = None
        self._pending_confirmations = 0
        self._heartbeat = threading.Event()
        self._last_snapshot: tuple[tuple[int, bool], bytes] = ((0, False), b"")
        self._thread = threading.Thread(target=self._run, name="publisher", daemon=True)

    def start(self) -> None:
        """Start the publishing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop publishing and close all connections."""
        self._stopping = True
        self._wakeup.set()
        with self._lock:
            connected = [*self._subscribers, *self._unsubscribed]
        for sub in connected:
            sub.close()

    def wake(self) -> None:
        """Publish now, because the configuration may have changed."""
        self._wakeup.set()

    def subscriber_names(self) -> list[str]:
        """Return the sorted names of the subscribers."""
        with self._lock:
            return sorted(sub.name for sub in self._subscribers)

    def pass_on(self, confirmed_s: float) -> None:
        """Tell the subscribers of a confirmation that a parent has sent.

        ``confirmed_s``: monotonic time at which the read began that confirms the configuration.
        """
        self._record_confirmation(confirmed_s)
        self._publish_confirmation()

    def confirmed(self, now: float) -> bool:
        """Return whether the leader has confirmed the configuration recently.

        ``now`` is of the monotonic clock.
        """
        return _is_recent(self._control_age_s(now))

    def _control_age_s(self, now):
        started_s = self._confirmed_s
        return None if started_s is None else now - started_s

    def serve(self, conn: channel.Channel) -> None:
        """Serve the subscriber at ``conn`` until the connection ends."""
        sub = subscriber.Subscriber(conn)
        self._make_room_for(sub)
        try:
            while not self._stopping:
                msg = conn.recv(channel.HEARTBEAT_INTERVAL_S)
                if msg is not None:
                    self._handle(sub, msg)
        except errors.ChannelClosed:
            pass
        except errors.DecodeError as exc:
            log.warning("Bad message from {}: {}.", sub.name, exc)
        finally:
            with self._lock:
                self._subscribers.discard(sub)
                self._unsubscribed.pop(sub, None)
            sub.close()

    def _make_room_for(self, sub):
        """Add a connection, and close the oldest if too many are open without a subscription."""
        with self._lock:
            is_full = len(self._unsubscribed) >= self._max_subscribers
            oldest = next(iter(self._unsubscribed)) if is_full else None
            self._unsubscribed.pop(oldest, None)
            self._unsubscribed[sub] = None
        if oldest is not None:
            log.warning("Closed the spare connection of {}: too many are open.", oldest.name)
            oldest.close()

    def _handle(self, sub, msg):
        if isinstance(msg, messages.Ping):
            sub.take_ping(msg.sent_s, clock.monotonic_s())
        elif isinstance(msg, messages.Subscribe):
            self._subscribe(sub, msg)
        elif isinstance(msg, messages.StatusReport):
            self._take_reports(messages.StatusBatch((msg,)))
        elif isinstance(msg, messages.StatusBatch):
            self._take_reports(msg)
        elif isinstance(msg, report_packing.PackedReports):
            self._take_reports(report_packing.unpack(msg))
        elif isinstance(msg, messages.UplinkCall):
            self._forward(sub, msg)

    def _take_reports(self, batch):
        self._source.take_reports(reports.aged(batch, self.pauses.lag_s(clock.monotonic_s())))

    def _subscribe(self, sub, msg):
        sub.name = msg.name

        def admitted(fut):
            # Only a confirmation that starts after the subscription covers everything that
            # the subscriber may already have received from another replica.
            confirmed = fut.result()
            if confirmed:
                self._record_confirmation(started_s)
            sub.admit(msg.index, confirmed)
            self._wakeup.set()

        started_s = clock.monotonic_s()
        with self._lock:
            self._unsubscribed.pop(sub, None)
            is_accepted = sub in self._subscribers
            if is_accepted or len(self._subscribers) < self._max_subscribers:
                self._subscribers.add(sub)
                is_accepted = True
        if not is_accepted:
            log.warning("Refused {}: {} subscribers already.", sub.name, self._max_subscribers)
            sub.close()
            return
        self._source.confirm(CONFIRM_TIMEOUT_S).add_done_callback(admitted)

    def _confirm_subscriber(self, sub):
        def answered(fut):
            sub.end_confirmation(fut.result())
            self._publish_confirmation()

        self._source.confirm(CONFIRM_TIMEOUT_S).add_done_callback(answered)

    def _forward(self, sub, msg):
        def reply(payload, error):
            sub.enqueue(codec.encode(messages.UplinkReply(msg.call_id, payload, error)))

        def answered(fut):
            reply(*fut.result())

        lag_s = self.pauses.lag_s(clock.monotonic_s())
        if lag_s:
            # Its caller has given up or will soon, and may have sent it elsewhere.
            log.warning("A call of {} may have waited {:.1f} s and is refused.", sub.name, lag_s)
            reply(None, "the call may be outdated")
            return
        self._source.call(msg.payload).add_done_callback(answered)

    def _run(self):
        next_confirm_s = 0.0
        while not self._stopping:
            self._wakeup.wait(max(0.0, next_confirm_s - clock.monotonic_s()))
            self._wakeup.clear()
            now = clock.monotonic_s()
            self.pauses.tick(now)
            if now >= next_confirm_s:
                next_confirm_s = now + CONFIRM_INTERVAL_S
                if not self._source.is_relay:
                    self._start_confirm(now)
            try:
                self._publish(now)
            except Exception:
                # Publishing continues with the next round.
                log.exception("Publishing to subscribers failed.")

    def _start_confirm(self, now):
        if self._pending_confirmations >= MAX_PENDING_CONFIRMATIONS:
            return
        self._count_pending(1)

        def answered(fut):
            self._count_pending(-1)
            if fut.result():
                self._record_confirmation(now)
            self._publish_confirmation()

        self._source.confirm(CONFIRM_TIMEOUT_S).add_done_callback(answered)

    def _count_pending(self, change):
        with self._lock:
            self._pending_confirmations += change

    def _publish_confirmation(self):
        self._heartbeat.set()
        self._wakeup.set()

    def _record_confirmation(self, started_s):
        # A confirmation that started during an election may end after a later one, so that the
        # time must not go back.
        with self._lock:
            self._confirmed_s = max(started_s, self._confirmed_s or started_s)

    def _publish(self, now):
        is_heartbeat_due = self._heartbeat.is_set()
        self._heartbeat.clear()
        # Read before the index: a later index is as current, an earlier one need not be.
        age_s = self._control_age_s(now)
        is_confirmed = _is_recent(age_s)
        with self._lock:
            subscribers = list(self._subscribers)
        if age_s is not None and not is_confirmed:
            self._close_unconfirmed(subscribers, age_s)
        encoded_by_position: dict[tuple[int, bool], tuple[int, bytes]] = {}
        current_index = self._source.index() if subscribers else 0
        for sub in subscribers:
            if is_heartbeat_due and sub.begin_confirmation():
                self._confirm_subscriber(sub)
            if not sub.is_due(is_heartbeat_due, current_index):
                continue
            position = sub.next_position(is_confirmed)
            if is_heartbeat_due and sub.sends_pings:
                echo = sub.make_echo(now)
                sub.publish(position[0], *self._encode(*position, (age_s or 0.0, *echo)))
                continue
            if position not in encoded_by_position:
                encoded_by_position[position] = self._encode(*position)
            sub.publish(position[0], *encoded_by_position[position])

    def _close_unconfirmed(self, subscribers, age_s):
        """Disconnect those that would count the next message as a new confirmation."""
        closed = [sub for sub in subscribers if sub.was_confirmed and not sub.sends_pings]
        for sub in closed:
            sub.close()
        if closed:
            publish_events.notable("subscribers-closed", count=len(closed), control_age_s=age_s)

    def _encode(self, index, confirmed, ages=None):
        """Return the index that the message leads to and its bytes.

        ``ages``: of an aged delta, None for a message to several subscribers.
        """
        cfg, changes = self._source.changes_since(index)
        if index == 0 or changes is None:
            return cfg.index, self._encode_snapshot(cfg, confirmed)
        # A subscriber that is ahead of this replica keeps its index, which never decreases.
        to_index = max(index, cfg.index)
        msg = messages.Delta(index, to_index, changes, confirmed)
        return to_index, codec.encode(messages.AgedDelta(msg, *ages) if ages else msg)

    def _encode_snapshot(self, cfg, confirmed):
        key = (cfg.index, confirmed)
        if not self._last_snapshot[1] or self._last_snapshot[0] != key:
            self._last_snapshot = key, codec.encode(messages.Snapshot(cfg, confirmed))
        return self._last_snapshot[1]


def _is_recent(control_age_s):
    return control_age_s is not None and control_age_s <= CONFIRMED_MAX_AGE_S

"""
oriolelock.distribution.uplink
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An entry's connection to its parent: receives the configuration, sends reports and calls.
"""

import collections.abc
import random
import threading

from oriolelock import clock, events, logs
from oriolelock.distribution import (
    errors,
    held_configuration,
    leader_query,
    messages,
    parent_finder,
    parent_search,
    pending_calls,
    pings,
    recent_changes,
    report_packing,
    report_schedule,
    stored_copy,
)
from oriolelock.model import configuration
from oriolelock.wire import channel, codec, hello, send_queue
from oriolelock.wire import errors as wire_errors

__all__ = ["Uplink"]

# Age of the leader's last word, over all hops, from which on another parent is searched beside the
# current one: a change must be in use 2.5 s after its acknowledgement, however the parents fail.
SUSPECT_AFTER_S = 0.9
# Below another entry, which has so much time to find a parent of its own.
SUSPECT_RELAY_AFTER_S = 1.1
# Age from which on the leader is asked over the spare connection whether anything has changed, so
# that a parent that is only slow need not be replaced.
ASK_AFTER_S = 0.7
# Added to the limits above for the parent's own word, while the leader has answered: reports wait
# for as long at a parent that is lost.
SLOW_PARENT_GRACE_S = 0.1
RECV_TIMEOUT_S = 0.2
# While another parent is searched.
SEARCH_POLL_S = 0.03
# A connection that ends sooner is followed by a pause, so that no parent is asked without end.
SHORT_CONNECTION_S = 3.0
# When so much is queued, further calls fail at once.
MAX_QUEUED_SENDS = 4096
MAX_QUEUED_BYTES = 4 * 1024 * 1024

# A starting entry connects to control first, and later moves to its parent in the tree.
REBALANCE_INTERVAL_S = 5.0
# Fewest and most of these intervals until the first move. Over a spare connection no other parent
# has been asked, and control may serve all children of a lost one.
FIRST_MOVE_AFTER = (1.0, 2.0)
MOVE_AFTER_SPARE = (0.4, 1.0)
# For a parent that may only have been busy.
SUSPECT_PENALTY_S = 5.0

log = logs.get_logger("uplink")
config_events = events.Events("uplink")


class Uplink:
    """The connection to the current parent, renewed after each failure; thread-safe.

    ``report`` returns the entry's current StatusReport, or None to send none;
    ``descendant_reports`` returns the reports that descendants have sent since its last call.

    ``parents`` returns the addresses to try for a configuration, best first. An entry whose
    parent is not the best one moves to the best after ``REBALANCE_INTERVAL_S``.

    ``on_config`` runs in the uplink's thread after each change of the configuration in use.

    A parent that starts again passes through old states while it applies its log. So the first
    configuration is used only once a parent has confirmed it as current; until then it is held,
    which names further parents and saves receiving it twice.
    """

    def __init__(
        self,
        parents: parent_finder.Parents,
        greeting: hello.Hello,
        report: collections.abc.Callable[[], messages.StatusReport | None],
        store: stored_copy.StoredCopy | None = None,
        on_config: collections.abc.Callable[[configuration.Configuration], None] | None = None,
        rng: random.Random | None = None,
        descendant_reports: collections.abc.Callable[[], tuple[messages.StatusReport, ...]] = tuple,
    ):
        self._hello = greeting
        self._make_report = report
        self._take_descendant_reports = descendant_reports
        self._store = store
        self._on_config = on_config or (lambda cfg: None)
        self._rng = rng or random.Random()
        self._pending_calls = pending_calls.PendingCalls()
        self._holder = held_configuration.HeldConfiguration()
        self.recent = recent_changes.RecentChanges()
        self._finder = parent_finder.ParentFinder(
            greeting, parents, lambda: self._holder.cfg, self._rng, self._take_spare_message
        )
        self._loaded_stored_copy = False
        self._is_applied = False
        self._is_resyncing = False
        self._confirmed_s: float | None = None
        # The same, of the parent's latest confirmation.
        self._parent_confirmed_s = 0.0
        # Called in the uplink's thread with the time of each new confirmation, as ``_confirmed_s``.
        self.on_confirmed: collections.abc.Callable[[float], None] = lambda confirmed_s: None
        self._parentless_s = clock.monotonic_s()
        # For any parent that confirms, and for the best one beside a connection that works.
        self._search: parent_search.ParentSearch | None = None
        self._move: parent_search.ParentSearch | None = None
        self._parent: channel.Address | None = None
        self._outbox: send_queue.SendQueue | None = None
        self._link: channel.Channel | None = None
        self._closed_link_bytes = (0, 0)
        self._closed_link_messages = (0, 0)
        self._stopping = threading.Event()
        # Ends a search for a parent and the wait for the next one.
        self._interrupted = threading.Event()
        self._thread = threading.Thread(target=self._run, name="uplink", daemon=True)

    @property
    def held_configuration(self) -> configuration.Configuration:
        """The latest configuration received, which may not be confirmed and in use yet."""
        return self._holder.cfg

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration in use, empty before the first.

        Neither its index nor its version ever decreases.
        """
        return self._holder.cfg if self._is_usable else configuration.EMPTY

    @property
    def _is_usable(self):
        return self._confirmed_s is not None or self._loaded_stored_copy

    @property
    def is_ready(self) -> bool:
        """True once ``on_config`` has returned for a configuration in use, the first one.

        It has been confirmed, or loaded from the stored copy.
        """
        return self._is_applied

    @property
    def parent(self) -> channel.Address | None:
        """The address of the connected parent, or None."""
        return self._parent

    def control_age_s(self, now: float) -> float | None:
        """Return the seconds since the leader last confirmed the configuration, or None.

        It is counted from the begin of the leader's read, however many parents are between.
        ``now`` is of the monotonic clock. While the age is large or None, no traffic shift starts.
        """
        return None if self._confirmed_s is None else max(0.0, now - self._confirmed_s)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes of all messages received and sent, over all subscriptions so far."""
        received, sent = self._closed_link_bytes
        link = self._link
        return (
            (received + link.bytes_received, sent + link.bytes_sent) if link else (received, sent)
        )

    def messages(self) -> tuple[int, int]:
        """Return the numbers of messages received and sent, over all subscriptions so far."""
        received, sent = self._closed_link_messages
        link = self._link
        return (
            (received + link.messages_received, sent + link.messages_sent)
            if link
            else (received, sent)
        )

    def start(self) -> None:
        """Load the stored copy, if any, and connect in the background."""
        cfg = self._store.load() if self._store else None
        if cfg is not None:
            self._holder.cfg = cfg
            self._loaded_stored_copy = True
            self.recent.reset(cfg)
            self._apply(cfg)
        self._thread.start()

    def stop(self) -> None:
        """Close the connection; pending calls raise Disconnected."""
        self._stopping.set()
        self._interrupted.set()
        self._thread.join()

    def search_anew(self) -> None:
        """Start a search for a parent that is in progress again, as ``parents`` has changed."""
        self._interrupted.set()

    def send_report(self) -> None:
        """Send a status report at once, for example after a change of state."""
        own_report = self._make_report()
        if own_report is not None:
            self._enqueue(own_report)

    def call(self, payload: object, timeout_s: float) -> object:
        """Return control's reply to ``payload``, a registered message.

        Raises Disconnected, CallTimeout or CallRefused.
        """
        call_id, fut = self._pending_calls.add()
        try:
            if not self._enqueue(messages.UplinkCall(call_id, payload)):
                raise errors.Disconnected("no connection to a parent")
            return fut.result(timeout_s)
        except TimeoutError as exc:
            raise errors.CallTimeout(f"no reply within {timeout_s:.3f} s") from exc
        finally:
            self._pending_calls.discard(call_id)

    def _enqueue(self, msg):
        outbox = self._outbox
        return outbox is not None and outbox.put(codec.encode(msg))

    def _run(self):
        connected, short_connections = None, 0
        while not self._stopping.is_set():
            started_s = clock.monotonic_s()
            try:
                connected = connected or self._await_parent()
                current, connected = connected, None
                if current is not None:
                    started_s = clock.monotonic_s()
                    connected = self._serve_connection(current)
                    continue
            except (wire_errors.WireError, errors.DistributionError) as exc:
                log.warning("disconnected from control: {}", exc)
            except Exception:
                # If this thread ended, the entry would receive no further changes.
                log.exception("uplink failed, reconnecting")
            is_short = clock.monotonic_s() - started_s < SHORT_CONNECTION_S
            short_connections = short_connections + 1 if is_short else 0
            if short_connections > 1:
                self._stopping.wait(self._finder.pause_s(short_connections))
        self._end_search()
        self._finder.spare.close()

    def _await_parent(self):
        """Return a connection to a parent that confirms, or None when the uplink stops."""
        while not self._stopping.is_set():
            if self._interrupted.is_set():
                self._interrupted.clear()
                self._end_search()
            self._search = self._search or self._start_search()
            found = self._take_found(RECV_TIMEOUT_S)
            if found is not None:
                return found
        return None

    def _start_search(self):
        # The search asks the current addresses, so that earlier changes of them need not end it.
        self._interrupted.clear()
        return self._finder.search(lambda: self._parent)

    def _end_search(self):
        for search in (self._search, self._move):
            if search is not None:
                search.cancel()
        self._search = self._move = None

    def _take_found(self, timeout_s=0.0):
        """Return the connection that the search has found, if any; process what it learned."""
        search = self._search or self._move
        result = search.take(timeout_s) if search else None
        if result is None:
            return None
        now = clock.monotonic_s()
        for address in result.unfit:
            self._finder.avoid(address, parent_finder.FAILED_PARENT_PENALTY_S, now)
        # Changes that a parent holds are committed, whether it can confirm them or not.
        for msg in result.unconfirmed:
            self._handle(msg, None)
        if search.is_over:
            self._search = self._move = None
        return result.connected

    def _serve_connection(self, connected):
        """Use a connection until another one is found, which is returned, or until it ends.

        Returns None when the uplink stops.
        """
        address, link = connected.address, connected.link
        self._link = link
        outbox = send_queue.SendQueue(MAX_QUEUED_SENDS, MAX_QUEUED_BYTES)
        # Callers only queue messages: sending to a peer that does not read would block them.
        writer = threading.Thread(
            target=_send_queued, args=(link, outbox), name="uplink-writer", daemon=True
        )
        writer.start()
        try:
            self._parent, self._outbox = address, outbox
            self._log_parent(connected)
            self._is_resyncing = False
            return self._receive_until_disconnected(connected)
        except (wire_errors.WireError, errors.DistributionError) as exc:
            penalty_s = parent_finder.FAILED_PARENT_PENALTY_S
            self._finder.avoid(address, penalty_s, clock.monotonic_s())
            self._log_lost_parent(address, str(exc))
            raise
        finally:
            self._parent = self._outbox = None
            self._parentless_s = clock.monotonic_s()
            closed_totals = self.traffic(), self.messages()
            (self._closed_link_bytes, self._closed_link_messages), self._link = closed_totals, None
            self._pending_calls.fail_all("connection to the parent ended")
            outbox.close()
            if self._stopping.is_set():
                link.close()
                writer.join()
            else:
                # The next connection may have brought changes.
                channel.close_soon(link)

    def _log_parent(self, connected):
        now = clock.monotonic_s()
        config_events.notable(
            "parent",
            parent=_text(connected.address),
            was_spare=connected.was_spare,
            asked=[_text(address) for address in connected.asked],
            index=self._holder.cfg.index,
            without_s=now - self._parentless_s,
            control_age_s=self.control_age_s(now),
        )

    def _log_lost_parent(self, address, reason):
        config_events.notable(
            "parent-lost",
            parent=_text(address),
            reason=reason,
            control_age_s=self.control_age_s(clock.monotonic_s()),
        )

    def _subscribe(self):
        self._enqueue(messages.Subscribe(self._hello.name, self._holder.cfg.index))

    def _receive_until_disconnected(self, connected):
        link = connected.link
        for msg in connected.received:
            self._handle(msg, connected.subscribed_s)
        self._finder.spare.parent_changed(clock.monotonic_s())
        first = MOVE_AFTER_SPARE if connected.was_spare else FIRST_MOVE_AFTER
        rebalance_s = clock.monotonic_s() + self._rng.uniform(*first) * REBALANCE_INTERVAL_S
        schedule = report_schedule.ReportSchedule()
        pinged = pings.Pings(connected.subscribed_s)
        self._parent_confirmed_s = connected.subscribed_s
        query = leader_query.LeaderQuery(self._pending_calls, self._enqueue)
        spare_query = leader_query.LeaderQuery(self._pending_calls, self._finder.spare.send)
        while not self._stopping.is_set():
            now = clock.monotonic_s()
            is_report_due, is_own_due = schedule.take_due(now)
            if is_report_due:
                self._queue_reports(is_own_due)
            if link.knows_ages and pinged.take_due(now):
                self._enqueue(messages.Ping(now))
            if not link.knows_ages:
                self._record_parent(self._confirm_by_leader(query, now))
            if self._search is None and (self.control_age_s(now) or 0.0) >= ASK_AFTER_S:
                self._confirm_by_leader(spare_query, now)
            if now >= rebalance_s:
                rebalance_s = now + REBALANCE_INTERVAL_S
                self._search_better(now)
            suspect_s = self._search_if_suspect(now, connected.subscribed_s)
            is_suspect = now >= suspect_s
            found = self._take_found()
            if found is not None:
                if is_suspect:
                    log.info("another parent confirms, {}:{} does not", *self._parent)
                    self._finder.avoid(self._parent, SUSPECT_PENALTY_S, now)
                return found
            if self._search is None:
                self._finder.maintain_spare(self._parent, now)
            due_s = schedule.due_s if is_suspect else min(schedule.due_s, suspect_s)
            msg = link.recv(max(0.0, min(self._poll_s(now), due_s - now)))
            if msg is not None:
                confirmed_s = _confirmation_time(msg, pinged, clock.monotonic_s())
                if isinstance(msg, messages.AgedDelta):
                    msg = msg.content
                    self._record_parent(confirmed_s if msg.confirmed else None)
                self._handle(msg, confirmed_s)
        return None

    def _poll_s(self, now):
        """Return how long to wait for the parent before the other connections are looked at."""
        until_asked_s = ASK_AFTER_S - (self.control_age_s(now) or 0.0)
        if self._search or self._move or until_asked_s <= 0.0:
            return SEARCH_POLL_S
        return min(RECV_TIMEOUT_S, until_asked_s)

    def _confirm_by_leader(self, query, now):
        """Return the time since which the leader's answers confirm the configuration, or None."""
        confirmed_s = query.poll(self._holder.cfg.index, now)
        if confirmed_s is not None:
            self._install(self._holder.cfg, None, confirmed_s)
        return confirmed_s

    def _record_parent(self, confirmed_s):
        """Record a confirmation by the parent, if there is one."""
        if confirmed_s is not None:
            self._parent_confirmed_s = max(confirmed_s, self._parent_confirmed_s)

    def _take_spare_message(self, msg):
        if isinstance(msg, messages.UplinkReply):
            self._pending_calls.resolve(msg)

    def _search_if_suspect(self, now, subscribed_s):
        """Begin or end a search as is necessary; return when the parent becomes suspect."""
        # None while only a stored copy is in use that the parent's first messages don't follow.
        confirmed_s = subscribed_s if self._confirmed_s is None else self._confirmed_s
        is_replica = self._finder.is_replica(self._parent)
        limit_s = SUSPECT_AFTER_S if is_replica else SUSPECT_RELAY_AFTER_S
        by_parent_s = self._parent_confirmed_s + SLOW_PARENT_GRACE_S
        suspect_s = min(confirmed_s, by_parent_s) + limit_s
        if now < suspect_s:
            if self._search is not None:
                self._search.cancel()
                self._search = None
        elif self._search is None:
            self._end_search()
            config_events.notable(
                "parent-suspect",
                parent=_text(self._parent),
                control_age_s=now - confirmed_s,
                parent_age_s=now - self._parent_confirmed_s,
                spare=_text(self._finder.spare.address),
            )
            self._search = self._start_search()
        return suspect_s

    def _search_better(self, now):
        """Connect to the best parent, if it is another one, beside the current connection."""
        best = self._finder.order(now)[0]
        if self._search or self._move or best == self._parent:
            return
        log.info("a better parent is tried")
        self._move = self._finder.try_one(best)

    def _queue_reports(self, include_own):
        own_report = self._make_report() if include_own else None
        descendant_reports = self._take_descendant_reports()
        reports = descendant_reports if own_report is None else (own_report, *descendant_reports)
        if own_report is not None and not descendant_reports:
            self._enqueue(own_report)
        elif reports:
            self._enqueue(report_packing.pack(reports))

    def _handle(self, msg, confirmed_s):
        """Process a message; ``confirmed_s``: see ``_confirmation_time``."""
        if isinstance(msg, messages.UplinkReply):
            self._pending_calls.resolve(msg)
            return
        if not isinstance(msg, messages.Snapshot | messages.Delta):
            log.info("unexpected message from the parent: {}", type(msg).__name__)
            return
        verdict, cfg = self._holder.evaluate(msg)
        if verdict is held_configuration.Verdict.APPLIED:
            self._is_resyncing = False
            self._install(cfg, msg, confirmed_s if msg.confirmed else None)
        else:
            self._resync(verdict, msg)

    def _install(self, cfg, msg, confirmed_s):
        was_usable, held = self._is_usable, self._holder.cfg
        is_changed = (cfg.index, cfg.version) != (held.index, held.version)
        is_used = confirmed_s is not None or was_usable
        is_new = is_used and (is_changed or not was_usable)
        if is_new and self._store:
            # Stored before use, so that a restart never returns to an older configuration.
            self._store.save(cfg)
        if is_changed:
            self._hold(cfg, msg)
            self._log_received(cfg, msg)
        if confirmed_s is not None:
            self._confirmed_s = max(confirmed_s, self._confirmed_s or confirmed_s)
            # Before the change is published, so that one message carries both.
            self.on_confirmed(self._confirmed_s)
        if is_new:
            self._apply(cfg)
        elif is_changed:
            log.info("configuration at index {} is held until a parent confirms it", cfg.index)

    def _apply(self, cfg):
        # Whoever finds this entry ready must find all its parts configured.
        self._on_config(cfg)
        self._is_applied = True

    def _hold(self, cfg, msg):
        self._holder.cfg = cfg
        if isinstance(msg, messages.Delta):
            self.recent.advance(cfg, msg.changes)
        else:
            self.recent.reset(cfg)

    def _log_received(self, cfg, msg):
        committed = msg.changes if isinstance(msg, messages.Delta) else ()
        config_events.notable(
            "configuration",
            index=cfg.index,
            parent=_text(self._parent),
            changes=len(committed),
            # By the leader's clock, which may differ.
            age_s=clock.wall_s() - committed[-1].wall_s if committed else None,
            confirmed=msg.confirmed,
        )

    def _resync(self, verdict, msg):
        log.warning("{} {} at index {}", verdict.value, msg.wire_name, self._holder.cfg.index)
        if verdict is held_configuration.Verdict.BROKEN:
            self._enqueue(messages.Subscribe(self._hello.name, 0))
        elif verdict is held_configuration.Verdict.GAP and not self._is_resyncing:
            # More deltas with a gap may arrive before the missing changes; one request is enough.
            self._is_resyncing = True
            self._subscribe()


def _text(address):
    """Return an address for the log, empty for None."""
    return f"{address[0]}:{address[1]}" if address else ""


def _confirmation_time(msg, pinged, now):
    """Return the time at which the read began that ``msg`` confirms, None if it isn't known."""
    if not isinstance(msg, messages.AgedDelta):
        return None
    return pinged.made_s(msg.echo_s, msg.held_s, now) - msg.control_age_s


def _send_queued(link, outbox):
    """Send queued messages until the queue is closed or the connection ends."""
    while (data := outbox.get()) is not None:
        try:
            link.send_bytes(data)
        except wire_errors.ChannelClosed:
            return

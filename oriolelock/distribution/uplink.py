"""
oriolelock.distribution.uplink
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An entry's connection to its parent: receives the configuration, sends reports and calls.
"""

import collections.abc
import dataclasses
import random
import threading

from oriolelock import clock, events, logs
from oriolelock.distribution import (
    errors,
    held_configuration,
    messages,
    parent_race,
    parent_search,
    pending_calls,
    recent_changes,
    report_packing,
    stored_copy,
)
from oriolelock.model import configuration
from oriolelock.wire import channel, codec, hello, send_queue
from oriolelock.wire import errors as wire_errors

__all__ = ["Uplink"]

REPORT_INTERVAL_S = 1.0
# Descendants' reports wait at most this long at each hop. When they waited for the entry's next
# own report, they were 3.2 s old after three hops, over control's limit for live entries.
FORWARD_INTERVAL_S = 0.25
UNCONFIRMED_LIMIT_S = 1.5
# Parents confirm every half a second. Another one is searched meanwhile, since a change must be in
# use 2.5 s after its acknowledgement, however the parent fails.
SUSPECT_AFTER_S = 0.9
# A parent that reaches the leader confirms a new subscription within a few round trips.
FIRST_CONFIRMATION_LIMIT_S = 1.2
# The limit once a configuration is held. It is shorter, so that parents that can't confirm delay
# a change less; a parent knows after 0.7 s whether it can confirm.
NEXT_CONFIRMATION_LIMIT_S = 0.8
# Until the next parent is tried as well. A starting fleet must not connect several times over.
FIRST_RACE_INTERVAL_S = 0.6
NEXT_RACE_INTERVAL_S = 0.25
RECV_TIMEOUT_S = 0.2
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6
# When so much is queued, further calls fail at once.
MAX_QUEUED_SENDS = 4096
MAX_QUEUED_BYTES = 4 * 1024 * 1024

# A starting entry connects to control first, and later moves to its parent in the tree.
REBALANCE_INTERVAL_S = 5.0
FAILED_PARENT_PENALTY_S = 30.0
# Entries that are asked for their configuration when no parent answers.
MAX_ASKED_ENTRIES = 3
# For a parent that may only have been busy.
SUSPECT_PENALTY_S = 5.0

Address = tuple[str, int]
Parents = collections.abc.Callable[[configuration.Configuration], collections.abc.Sequence[Address]]
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
        parents: Parents,
        greeting: hello.Hello,
        report: collections.abc.Callable[[], messages.StatusReport | None],
        store: stored_copy.StoredCopy | None = None,
        on_config: collections.abc.Callable[[configuration.Configuration], None] | None = None,
        rng: random.Random | None = None,
        descendant_reports: collections.abc.Callable[[], tuple[messages.StatusReport, ...]] = tuple,
    ):
        self._parents = parents
        self._hello = greeting
        self._make_report = report
        self._take_descendant_reports = descendant_reports
        self._store = store
        self._on_config = on_config or (lambda cfg: None)
        self._rng = rng or random.Random()
        self._pending_calls = pending_calls.PendingCalls()
        self._holder = held_configuration.HeldConfiguration()
        self.recent = recent_changes.RecentChanges()
        # The monotonic time until which other addresses are preferred to one that failed.
        self._avoid_until_s: dict[Address, float] = {}
        self._loaded_stored_copy = False
        self._is_resyncing = False
        self._confirmed_s: float | None = None
        self._parentless_s = clock.monotonic_s()
        self._parent: Address | None = None
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
        return self._holder.cfg if self.is_ready else configuration.EMPTY

    @property
    def is_ready(self) -> bool:
        """True once the configuration has been confirmed, or loaded from the stored copy."""
        return self._confirmed_s is not None or self._loaded_stored_copy

    @property
    def parent(self) -> Address | None:
        """The address of the connected parent, or None."""
        return self._parent

    def control_age_s(self, now: float) -> float | None:
        """Return the seconds since the leader last confirmed the configuration, or None.

        ``now`` is of the monotonic clock. While the age is large or None, no traffic shift starts.
        """
        return None if self._confirmed_s is None else max(0.0, now - self._confirmed_s)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes of all messages received and sent, over all connections so far."""
        received, sent = self._closed_link_bytes
        link = self._link
        return (
            (received + link.bytes_received, sent + link.bytes_sent) if link else (received, sent)
        )

    def messages(self) -> tuple[int, int]:
        """Return the numbers of messages received and sent, over all connections so far."""
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
            self._on_config(cfg)
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
        failures, connected = 0, None
        while True:
            # Cleared before the check, since ``stop`` sets them in the other order.
            self._interrupted.clear()
            if self._stopping.is_set():
                return
            started_s = clock.monotonic_s()
            try:
                connected = connected or self._find_parent(started_s)
                current, connected = connected, None
                connected = self._serve_connection(current)
                if connected is not None:
                    continue
            except (wire_errors.WireError, errors.DistributionError) as exc:
                log.warning("disconnected from control: {}", exc)
            except Exception:
                # If this thread ended, the entry would receive no further changes.
                log.exception("uplink failed, reconnecting")
            if clock.monotonic_s() - started_s > 2 * UNCONFIRMED_LIMIT_S:
                failures = 0
            failures += 1
            max_delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(failures, 10))
            self._interrupted.wait(self._rng.uniform(BACKOFF_MIN_S / 2, max_delay_s))

    def _order_parents(self, now):
        """Return the parents that have not failed recently, then the others, earliest first."""
        addresses = list(self._parents(self._holder.cfg))
        return sorted(addresses, key=lambda a: max(now, self._avoid_until_s.get(a, 0.0)))

    def _search_order(self, now):
        replicas = {
            address
            for peer in self._holder.cfg.members.values()
            if peer.role == "control"
            for address in _link_addresses(peer)
        }
        return parent_search.interleave(self._order_parents(now), replicas)

    def _make_race(self):
        index = self._holder.cfg.index
        limits = (
            (NEXT_CONFIRMATION_LIMIT_S, NEXT_RACE_INTERVAL_S)
            if index
            else (FIRST_CONFIRMATION_LIMIT_S, FIRST_RACE_INTERVAL_S)
        )
        return parent_race.ParentRace(self._hello, index, *limits)

    def _find_parent(self, now):
        """Return a connection to a parent that confirms the configuration."""
        race = self._make_race()
        try:
            return race.run(self._search_order(now), self._interrupted)
        except errors.Disconnected:
            # Changes that a parent holds are committed, whether it can confirm them or not.
            for msg in race.unconfirmed:
                self._handle(msg)
            if not race.unconfirmed:
                self._ask_other_entries()
            raise
        finally:
            for address in race.unfit:
                self._avoid(address)

    def _ask_other_entries(self):
        """Take over the configuration of another entry, which may name replicas unknown here.

        It is not kept as a parent, whose place in the tree it may not have: entries that subscribe
        to each other would confirm their configurations in a circle.
        """
        others = [
            address
            for peer in self._holder.cfg.members.values()
            if peer.role == "entry" and peer.state == "live" and peer.name != self._hello.name
            for address in _link_addresses(peer)
        ]
        asked = self._rng.sample(others, min(MAX_ASKED_ENTRIES, len(others)))
        race = self._make_race()
        try:
            found = race.run(asked, self._interrupted)
        except errors.Disconnected:
            received = race.unconfirmed
        else:
            found.link.close()
            received = found.received
        for msg in received:
            if isinstance(msg, messages.Snapshot | messages.Delta):
                self._handle(dataclasses.replace(msg, confirmed=False))

    def _avoid(self, address, penalty_s=FAILED_PARENT_PENALTY_S):
        now = clock.monotonic_s()
        self._avoid_until_s = {a: t for a, t in self._avoid_until_s.items() if t > now}
        self._avoid_until_s[address] = now + penalty_s

    def _serve_connection(self, connected):
        """Use a connection until it ends. Returns the one to use next if there is one already."""
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
            self._log_parent(address)
            self._is_resyncing = False
            return self._receive_until_disconnected(link, connected.received)
        except (wire_errors.WireError, errors.DistributionError) as exc:
            self._avoid(address)
            self._log_lost_parent(address, str(exc))
            raise
        finally:
            self._parent = self._outbox = None
            self._parentless_s = clock.monotonic_s()
            closed_totals = self.traffic(), self.messages()
            (self._closed_link_bytes, self._closed_link_messages), self._link = closed_totals, None
            self._pending_calls.fail_all("connection to the parent ended")
            link.close()
            outbox.close()
            writer.join()

    def _log_parent(self, address):
        now = clock.monotonic_s()
        config_events.notable(
            "parent",
            parent=f"{address[0]}:{address[1]}",
            index=self._holder.cfg.index,
            without_s=now - self._parentless_s,
            control_age_s=self.control_age_s(now),
        )

    def _log_lost_parent(self, address, reason):
        config_events.notable(
            "parent-lost",
            parent=f"{address[0]}:{address[1]}",
            reason=reason,
            control_age_s=self.control_age_s(clock.monotonic_s()),
        )

    def _subscribe(self):
        self._enqueue(messages.Subscribe(self._hello.name, self._holder.cfg.index))

    def _receive_until_disconnected(self, link, received):
        """Return a connection to another parent, or None if the parent must be chosen again."""
        confirmed_s = clock.monotonic_s()
        for msg in received:
            self._handle(msg)
        rebalance_s = confirmed_s + self._rng.uniform(1.0, 2.0) * REBALANCE_INTERVAL_S
        report_due_s = forward_due_s = 0.0
        search = None
        try:
            while not self._stopping.is_set():
                now = clock.monotonic_s()
                if now >= min(report_due_s, forward_due_s):
                    is_report_due = now >= report_due_s
                    self._queue_reports(is_report_due)
                    forward_due_s = now + FORWARD_INTERVAL_S
                    report_due_s = now + REPORT_INTERVAL_S if is_report_due else report_due_s
                search = self._search_if_suspect(search, now - confirmed_s)
                found = search.take() if search else None
                if found is not None:
                    log.info("another parent confirms, {}:{} does not", *self._parent)
                    self._avoid(self._parent, SUSPECT_PENALTY_S)
                    return found
                if now - confirmed_s > UNCONFIRMED_LIMIT_S:
                    raise errors.Disconnected(f"not confirmed for {UNCONFIRMED_LIMIT_S} s")
                if now >= rebalance_s:
                    rebalance_s = now + REBALANCE_INTERVAL_S
                    if self._order_parents(now)[0] != self._parent:
                        log.info("moving to a better parent")
                        return None
                wait_s = min(report_due_s, forward_due_s) - now
                msg = link.recv(max(0.0, min(RECV_TIMEOUT_S, wait_s)))
                if msg is not None and self._handle(msg):
                    confirmed_s = clock.monotonic_s()
        finally:
            if search is not None:
                search.cancel()
        return None

    def _search_if_suspect(self, search, unconfirmed_s):
        """Return the search beside the current connection, begun or ended as is necessary."""
        if unconfirmed_s <= SUSPECT_AFTER_S:
            if search is not None:
                search.cancel()
            return None
        if search is None:
            config_events.notable(
                "parent-suspect",
                parent=f"{self._parent[0]}:{self._parent[1]}",
                control_age_s=unconfirmed_s,
            )
            others = [a for a in self._search_order(clock.monotonic_s()) if a != self._parent]
            search = parent_search.ParentSearch(self._make_race(), others)
        return search

    def _queue_reports(self, include_own):
        own_report = self._make_report() if include_own else None
        descendant_reports = self._take_descendant_reports()
        reports = descendant_reports if own_report is None else (own_report, *descendant_reports)
        if own_report is not None and not descendant_reports:
            self._enqueue(own_report)
        elif reports:
            self._enqueue(report_packing.pack(reports))

    def _handle(self, msg):
        """Process a message; return True if it confirms the held configuration."""
        if isinstance(msg, messages.UplinkReply):
            self._pending_calls.resolve(msg)
            return False
        if not isinstance(msg, messages.Snapshot | messages.Delta):
            log.info("unexpected message from the parent: {}", type(msg).__name__)
            return False
        verdict, cfg = self._holder.evaluate(msg)
        if verdict is held_configuration.Verdict.APPLIED:
            self._is_resyncing = False
            self._install(cfg, msg)
            return msg.confirmed
        self._resync(verdict, msg)
        return False

    def _install(self, cfg, msg):
        was_ready, held = self.is_ready, self._holder.cfg
        is_changed = (cfg.index, cfg.version) != (held.index, held.version)
        is_used = msg.confirmed or was_ready
        is_new = is_used and (is_changed or not was_ready)
        if is_new and self._store:
            # Stored before use, so that a restart never returns to an older configuration.
            self._store.save(cfg)
        if is_changed:
            self._hold(cfg, msg)
            self._log_received(cfg, msg)
        if msg.confirmed:
            self._confirmed_s = clock.monotonic_s()
        if is_new:
            self._on_config(cfg)
        elif is_changed:
            log.info("configuration at index {} is held until a parent confirms it", cfg.index)

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
            parent=f"{self._parent[0]}:{self._parent[1]}" if self._parent else "",
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


def _link_addresses(peer):
    """Return the link address of a member in a tuple, which is empty if it has none."""
    host, _, port = peer.link_address.rpartition(":")
    return ((host, int(port)),) if host and port.isdigit() else ()


def _send_queued(link, outbox):
    """Send queued messages until the queue is closed or the connection ends."""
    while (data := outbox.get()) is not None:
        try:
            link.send_bytes(data)
        except wire_errors.ChannelClosed:
            return

"""
oriolelock.distribution.uplink
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An entry's connection to its parent: configuration down, reports and calls up.
"""

import collections.abc
import queue
import random
import threading

from oriolelock import clock, logs
from oriolelock.distribution import (
    calls,
    errors,
    held,
    messages,
    recent_changes,
    report_packing,
    stored_copy,
)
from oriolelock.distribution import outbox as outboxes
from oriolelock.model import configuration
from oriolelock.wire import channel, hello
from oriolelock.wire import errors as wire_errors

__all__ = ["Uplink"]

REPORT_INTERVAL_S = 1.0
# Reports of entries below wait at most this long at each hop. Waiting for the next own report
# made them 3.2 s old at control after three hops, which is over its limit for live entries.
PASS_ON_INTERVAL_S = 0.25
UNCONFIRMED_LIMIT_S = 1.5
# A parent that is not cut off confirms a new subscription within a few round trips.
FIRST_CONFIRMATION_LIMIT_S = 1.2
# The same once a configuration is held, so that a change waits behind few unfit parents: a parent
# knows after 0.7 s whether it can confirm.
NEXT_CONFIRMATION_LIMIT_S = 0.8
# Three round trips between far regions, on a busy parent. A frozen one never answers.
CONNECT_LIMIT_S = 0.6
RECV_STEP_S = 0.2
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6
# Calls beyond this number find the connection congested and fail at once.
MAX_QUEUED_SENDS = 4096

# An entry that starts connects to control first and then moves to its parent in the tree.
REBALANCE_AFTER_S = 5.0
AVOID_FAILED_S = 30.0

Address = tuple[str, int]
Parents = collections.abc.Callable[[configuration.Configuration], collections.abc.Sequence[Address]]
log = logs.get_logger("uplink")


class Uplink:
    """Thread-safe. ``report`` returns the entry's current StatusReport, None to send
    none; ``reports_below`` those that have arrived from entries below it since its last call.

    ``parents`` returns the addresses to try for a configuration, best first. An entry that
    had to use another one goes back to the best after ``REBALANCE_AFTER_S``.

    ``on_config`` runs in the uplink's thread after each change of the configuration.
    """

    def __init__(
        self,
        parents: Parents,
        greeting: hello.Hello,
        report: collections.abc.Callable[[], messages.StatusReport | None],
        store: stored_copy.StoredCopy | None = None,
        on_config: collections.abc.Callable[[configuration.Configuration], None] | None = None,
        rng: random.Random | None = None,
        reports_below: collections.abc.Callable[[], tuple[messages.StatusReport, ...]] = tuple,
    ):
        self._parents = parents
        self._greeting = greeting
        self._report = report
        self._reports_below = reports_below
        self._store = store
        self._on_config = on_config or (lambda cfg: None)
        self._rng = rng or random.Random()
        self._calls = calls.Calls()
        self._held = held.Held()
        self.recent = recent_changes.RecentChanges()
        # Address to the time until which it is not the best choice, after a failure.
        self._avoid_until_s: dict[Address, float] = {}
        self._has_copy = False
        self._in_repair = False
        self._confirmed_s: float | None = None
        self._parent: Address | None = None
        self._outbox: queue.Queue | None = None
        self._link: channel.Channel | None = None
        self._past_bytes = (0, 0)
        self._past_messages = (0, 0)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="uplink", daemon=True)

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration in use; neither its index nor its version ever decreases."""
        return self._held.cfg

    @property
    def is_ready(self) -> bool:
        """True once a confirmed configuration or an own stored copy is held."""
        return self._confirmed_s is not None or self._has_copy

    @property
    def parent(self) -> Address | None:
        """The address of the connected parent, or None."""
        return self._parent

    def control_age_s(self, now: float) -> float | None:
        """Return the seconds since the leader last confirmed the configuration, or None.

        ``now`` is of the monotonic clock. No shift starts while this is large or None.
        """
        return None if self._confirmed_s is None else max(0.0, now - self._confirmed_s)

    def traffic(self) -> tuple[int, int]:
        """Return the bytes of messages received and sent on all connections so far."""
        received, sent = self._past_bytes
        link = self._link
        return (
            (received + link.bytes_received, sent + link.bytes_sent) if link else (received, sent)
        )

    def messages(self) -> tuple[int, int]:
        """Return how many messages were received and sent on all connections so far."""
        received, sent = self._past_messages
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
            self._held.cfg = cfg
            self._has_copy = True
            self.recent.restart(cfg)
            self._on_config(cfg)
        self._thread.start()

    def stop(self) -> None:
        """Close the connection; waiting calls end with Disconnected."""
        self._stopping.set()
        self._thread.join()

    def send_report(self) -> None:
        """Send a status report now, for example when the state changes."""
        own = self._report()
        if own is not None:
            self._post(own)

    def call(self, payload: object, timeout_s: float) -> object:
        """Return control's reply to ``payload``, a registered message.

        Raises Disconnected, CallTimeout or CallRefused.
        """
        call_id, fut = self._calls.begin()
        try:
            if not self._post(messages.UplinkCall(call_id, payload)):
                raise errors.Disconnected("no connection to a parent")
            return fut.result(timeout_s)
        except TimeoutError as exc:
            raise errors.CallTimeout(f"no reply within {timeout_s:.3f} s") from exc
        finally:
            self._calls.end(call_id)

    def _post(self, msg):
        outbox = self._outbox
        if outbox is None:
            return False
        try:
            outbox.put_nowait(msg)
        except queue.Full:
            return False
        return True

    def _run(self):
        failures = 0
        while not self._stopping.is_set():
            began_s = clock.monotonic_s()
            address = self._choose(began_s)
            try:
                self._serve_connection(address)
            except (wire_errors.WireError, errors.DistributionError) as exc:
                log.warning("connection to {}:{} ended: {}", *address, exc)
                self._avoid_until_s[address] = clock.monotonic_s() + AVOID_FAILED_S
            except Exception:
                # Without this thread the entry would never see a change again.
                log.exception("uplink failed, connecting again")
            if clock.monotonic_s() - began_s > 2 * UNCONFIRMED_LIMIT_S:
                failures = 0
            failures += 1
            longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(failures, 10))
            self._stopping.wait(self._rng.uniform(BACKOFF_MIN_S / 2, longest_s))

    def _choose(self, now):
        """Return the best parent that has not failed lately, else the one that failed first."""
        order = list(self._parents(self._held.cfg))
        free = [a for a in order if self._avoid_until_s.get(a, 0.0) <= now]
        if free:
            return free[0]
        return min(order, key=lambda a: self._avoid_until_s[a])

    def _serve_connection(self, address):
        link = self._link = channel.connect(address, self._greeting, CONNECT_LIMIT_S)
        outbox = queue.Queue(MAX_QUEUED_SENDS)
        # Callers only queue: a send to a peer that does not read would block them.
        writer = threading.Thread(
            target=outboxes.write_all, args=(link, outbox), name="uplink-writer", daemon=True
        )
        writer.start()
        try:
            self._parent, self._outbox = address, outbox
            log.info("connected to {}:{}", *address)
            self._in_repair = False
            self._subscribe()
            self._read_until_broken(link)
        finally:
            self._parent = self._outbox = None
            past = self.traffic(), self.messages()
            (self._past_bytes, self._past_messages), self._link = past, None
            self._calls.fail_all("connection to the parent ended")
            link.close()
            outboxes.stop_writer(outbox)
            writer.join()

    def _subscribe(self):
        self._post(messages.Subscribe(self._greeting.name, self._held.cfg.index))

    def _read_until_broken(self, link):
        vouched_s, was_vouched = clock.monotonic_s(), False
        first_limit_s = (
            NEXT_CONFIRMATION_LIMIT_S if self._held.cfg.index else FIRST_CONFIRMATION_LIMIT_S
        )
        rebalance_s = vouched_s + self._rng.uniform(1.0, 2.0) * REBALANCE_AFTER_S
        report_due_s = pass_on_due_s = 0.0
        while not self._stopping.is_set():
            now = clock.monotonic_s()
            if now >= min(report_due_s, pass_on_due_s):
                is_due = now >= report_due_s
                self._post_reports(is_due)
                pass_on_due_s = now + PASS_ON_INTERVAL_S
                report_due_s = now + REPORT_INTERVAL_S if is_due else report_due_s
            limit_s = UNCONFIRMED_LIMIT_S if was_vouched else first_limit_s
            if now - vouched_s > limit_s:
                raise errors.Disconnected(f"not confirmed for {limit_s} s")
            if now >= rebalance_s:
                rebalance_s = now + REBALANCE_AFTER_S
                if self._choose(now) != self._parent:
                    log.info("moving to a better parent")
                    return
            due_s = min(report_due_s, pass_on_due_s) - now
            msg = link.recv(max(0.0, min(RECV_STEP_S, due_s)))
            was_ready = self.is_ready
            if msg is not None and self._handle(msg):
                vouched_s, was_vouched = clock.monotonic_s(), True
                if not was_ready:
                    report_due_s = 0.0

    def _post_reports(self, with_own):
        own = self._report() if with_own else None
        below = self._reports_below()
        reports = below if own is None else (own, *below)
        if own is not None and not below:
            self._post(own)
        elif reports:
            self._post(report_packing.pack(reports))

    def _handle(self, msg):
        """Return True if the message confirms the configuration that is now held."""
        if isinstance(msg, messages.UplinkReply):
            self._calls.resolve(msg)
            return False
        if not isinstance(msg, messages.Snapshot | messages.Delta):
            log.info("message {} is not expected from a parent", type(msg).__name__)
            return False
        verdict, cfg = self._held.next_after(msg)
        if verdict is held.Verdict.APPLIED:
            self._in_repair = False
            self._replace(cfg, msg)
            if msg.confirmed:
                self._confirmed_s = clock.monotonic_s()
            return msg.confirmed
        self._repair(verdict, msg)
        return False

    def _replace(self, cfg, msg):
        if cfg.index == self._held.cfg.index and cfg.version == self._held.cfg.version:
            return
        if self._store:
            # Stored before use, so that a restart never goes back behind what was served.
            self._store.save(cfg)
        self._held.cfg = cfg
        if isinstance(msg, messages.Delta):
            self.recent.advance(cfg, msg.changes)
        else:
            self.recent.restart(cfg)
        self._on_config(cfg)

    def _repair(self, verdict, msg):
        log.warning("{} {} at index {}", verdict.value, msg.wire_name, self._held.cfg.index)
        if verdict is held.Verdict.BROKEN:
            self._post(messages.Subscribe(self._greeting.name, 0))
        elif verdict is held.Verdict.GAP and not self._in_repair:
            # Deltas that follow a gap arrive before the repair; one request is enough.
            self._in_repair = True
            self._subscribe()

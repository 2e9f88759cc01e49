"""
oriolelock.control.instance_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Periodic tasks of a replica: relays status reports to the other replicas and, on the leader of
    ``config``, runs the failure detector; starts the reading of the instance list.
"""

import collections.abc
import concurrent.futures
import threading

from oriolelock import clock, logs
from oriolelock.control import (
    failure_detector,
    instance_poller,
    replica,
    silence,
    unavailable,
    witnesses,
)
from oriolelock.control import messages as control_messages
from oriolelock.distribution import messages, report_packing, reports
from oriolelock.model import results
from oriolelock.settings import control as settings

__all__ = ["InstanceMonitor"]

# Upper bound on the delay of a relayed report; well below the 3 s after which an entry counts as
# silent.
RELAY_INTERVAL_S = 0.5
# Between two looks for failures.
CHECK_INTERVAL_S = 0.25
# A new leader sets no entry down for so long: entries whose parent was lost find another one that
# confirms, and their reports are relayed.
SETTLE_S = 1.0
# A change without a result is proposed again afterwards, if it still follows from the reports.
COMMIT_TIMEOUT_S = 3.0
# Rows of a message on silent entries, the longest silence first.
MAX_TOLD = 500

log = logs.get_logger("control.overseer")


class InstanceMonitor:
    """Runs two threads: one for reports and failure detection, one for the instance list."""

    def __init__(
        self,
        cfg: settings.ControlSettings,
        rep: replica.Replica,
        status_reports: reports.Reports,
        report_metrics: collections.abc.Callable[[], None],
        read_instances: instance_poller.Reader | None = None,
    ):
        self._report_metrics = report_metrics
        self._cfg = cfg
        self._replica = rep
        self._reports = status_reports
        self._stopping = threading.Event()
        self._relay_due_s = 0.0
        self._leading_since_s: float | None = None
        self._silence = silence.Silence(cfg.name)
        self._witnesses = witnesses.Witnesses()
        # By instance: the replica that relayed its latest report, its own name for subscribers.
        self._relayed_by: dict[str, str] = {}
        # The latest change of each entry, its future, and when it was proposed.
        self._proposed: dict[str, tuple[object, concurrent.futures.Future, float]] = {}
        self._started_s = clock.wall_s()
        self.held_back: tuple[str, ...] = ()
        # See ``pauses.PauseDetector.lag_s``.
        self.lag_s: collections.abc.Callable[[], float] = lambda: 0.0
        self._threads = [
            threading.Thread(target=self._run_status_rounds, name="watch", daemon=True)
        ]
        self.poller = instance_poller.InstancePoller(
            cfg, rep, status_reports, self._stopping, read_instances
        )
        if cfg.instance_list or read_instances:
            self._threads.append(
                threading.Thread(target=self.poller.run, name="instance-list", daemon=True)
            )

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()

    def take_local(self, batch: messages.StatusBatch) -> None:
        """Store reports of this replica's subscribers and relay them to the other replicas."""
        self._take(batch, self._cfg.name, relay=True)

    def take_relayed(self, batch: messages.StatusBatch, sender: str) -> None:
        """Store reports that the replica ``sender`` has relayed."""
        self._take(batch, sender, relay=False)

    def take_silence(self, rows: collections.abc.Iterable[tuple[str, float]]) -> None:
        """Take over the seconds of silence by entry that another replica has counted."""
        # The rows may have waited, and the entries may have reported meanwhile.
        if not self.lag_s():
            self._silence.take_over(rows)

    def _take(self, batch, relayed_by, relay):
        before = {report.name: self._reports.find(report.name) for report in batch.reports}
        self._reports.take(batch, clock.monotonic_s(), relay)
        for name, previous in before.items():
            if self._reports.find(name) is not previous:
                self._relayed_by[name] = relayed_by

    def record_confirmed(self, started_s: float) -> None:
        """Record that a read that this replica began at ``started_s`` was confirmed."""
        self._silence.record_confirmed(started_s, clock.monotonic_s())

    def _run_status_rounds(self):
        while not self._stopping.wait(CHECK_INTERVAL_S):
            try:
                self._run_status_round(clock.monotonic_s())
            except Exception:
                log.exception("Relaying reports or detecting failures failed.")

    def _run_status_round(self, now):
        if now >= self._relay_due_s:
            # A check that is a little early must not delay the reports by another one.
            self._relay_due_s = now + RELAY_INTERVAL_S - CHECK_INTERVAL_S / 2
            self.take_local(messages.StatusBatch((self._own_report(),)))
            self._replica.broadcast(report_packing.pack(self._reports.take_unrelayed(now).reports))
            self._report_metrics()
        self._detect_failures(now)
        self._tell_of_silence(now)

    def _tell_of_silence(self, now):
        """Tell the others of silent entries: they may have started after their last reports.

        Any of them may lead next, also when this replica, the leader, is lost.
        """
        if self.lag_s():
            return
        silent_s = self._silence.counted_seconds()
        late = failure_detector.find_late(
            self._replica.configuration(), silent_s, self._witnesses.names(now)
        )
        if late:
            longest = sorted(late, key=lambda name: -silent_s[name])[:MAX_TOLD]
            rows = tuple((name, silent_s[name]) for name in longest)
            self._replica.broadcast(control_messages.SilentEntries(rows))

    def _detect_failures(self, now):
        status, cfg = self._replica.status(), self._replica.configuration()
        is_leader = status.is_leader and status.is_caught_up
        entries = {m.name for m in cfg.members.values() if m.role == "entry"}
        members = self._replica.member_names()
        self._witnesses.advance(entries, self._reports, now)
        self._silence.advance(entries, self._reports, self._relayed_by, members, is_leader, now)
        for name in set(self._relayed_by).difference(entries, members):
            self._relayed_by.pop(name, None)
        self._proposed = {n: found for n, found in self._proposed.items() if n in entries}
        # After a pause all entries seem silent, and another replica may lead by now.
        if not is_leader or self.lag_s():
            self._leading_since_s, self.held_back = None, ()
            return
        if self._leading_since_s is None:
            self._leading_since_s = now
        is_settled = now - self._leading_since_s >= SETTLE_S
        silent_s = self._silence.seconds(now) if is_settled else {}
        heard = self._witnesses.names(now)
        detection = failure_detector.find_state_changes(
            cfg, self._reports.ages(now), silent_s, self._reports.leaving(), heard
        )
        if set(detection.held_back) - set(self.held_back):
            log.warning(
                "{} entries are silent at once and stay live, {} others were heard all the while.",
                len(detection.held_back),
                len(heard),
            )
        self.held_back = detection.held_back
        for change in detection.changes:
            self._propose(change, now)

    def _own_report(self):
        status = self._replica.status()
        cfg = self._replica.configuration()
        state = "leader" if status.is_leader else "follower" if status.voter else "learner"
        return messages.StatusReport(
            self._cfg.name, cfg.version, cfg.index, state, self._started_s, 0
        )

    def _propose(self, change, now):
        """Propose a change in this replica's own log.

        Sent to a later leader it would be an old judgement. Its result is not waited for: the other
        replicas would hear nothing of this one meanwhile.
        """
        name, state = change.member.name, change.member.state
        previous, fut, proposed_s = self._proposed.get(name, (None, None, 0.0))
        if previous == change and not fut.done() and now - proposed_s < COMMIT_TIMEOUT_S:
            return
        log.info("Entry {} changes to state {}.", name, state)
        fut = self._replica.propose("config", change)
        self._proposed[name] = change, fut, now
        fut.add_done_callback(lambda done: _log_refusal(change, done.result()))


def _log_refusal(change, result):
    if isinstance(result, (results.Refused, unavailable.Unavailable)):
        log.warning("{} was not applied: {}.", type(change).__name__, result.reason)

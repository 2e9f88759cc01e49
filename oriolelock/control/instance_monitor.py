"""
oriolelock.control.instance_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Periodic tasks of a replica: relays status reports to the other replicas and, on the leader of
    ``config``, runs the failure detector; starts the reading of the instance list.
"""

import collections.abc
import threading

from oriolelock import clock, logs
from oriolelock.control import failure_detector, instance_poller, replica, unavailable
from oriolelock.distribution import messages, report_packing, reports
from oriolelock.model import results
from oriolelock.settings import control as settings

__all__ = ["InstanceMonitor"]

# Upper bound on the delay of a relayed report; well below the 3 s after which an entry counts as
# silent.
RELAY_INTERVAL_S = 0.5
COMMIT_TIMEOUT_S = 3.0
# A reading that took longer may list instances that have left since.
MAX_READING_AGE_S = 3.0

# Readings that changed nothing are logged only if they took longer.
SLOW_READING_S = 1.0

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
        self._leading_since_s: float | None = None
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
        self._reports.take(batch, clock.monotonic_s(), relay=True)

    def take_relayed(self, batch: messages.StatusBatch) -> None:
        """Store reports that another replica has relayed."""
        self._reports.take(batch, clock.monotonic_s(), relay=False)

    def _run_status_rounds(self):
        while not self._stopping.wait(RELAY_INTERVAL_S):
            try:
                self._run_status_round(clock.monotonic_s())
            except Exception:
                log.exception("Relaying reports or detecting failures failed.")

    def _run_status_round(self, now):
        self.take_local(messages.StatusBatch((self._own_report(),)))
        self._replica.broadcast(report_packing.pack(self._reports.take_unrelayed(now).reports))
        self._report_metrics()
        status = self._replica.status()
        # After a pause all entries seem silent, and another replica may lead by now.
        if not (status.is_leader and status.is_caught_up) or self.lag_s():
            self._leading_since_s, self.held_back = None, ()
            return
        if self._leading_since_s is None:
            self._leading_since_s = now
        detection = failure_detector.find_state_changes(
            self._replica.configuration(),
            self._reports.ages(now),
            now - self._leading_since_s,
            self._reports.leaving(),
        )
        if set(detection.held_back) - set(self.held_back):
            log.warning("{} entries are silent at once and stay live.", len(detection.held_back))
        self.held_back = detection.held_back
        for change in detection.changes:
            log.info("Entry {} changes to state {}.", change.member.name, change.member.state)
        self._commit(detection.changes)

    def _own_report(self):
        status = self._replica.status()
        cfg = self._replica.configuration()
        state = "leader" if status.is_leader else "follower" if status.voter else "learner"
        return messages.StatusReport(
            self._cfg.name, cfg.version, cfg.index, state, self._started_s, 0
        )

    def _commit(self, proposed):
        """Propose changes and wait for their results, lest the next round propose them again."""
        futs = [self._replica.call("config", change, COMMIT_TIMEOUT_S) for change in proposed]
        for change, fut in zip(proposed, futs, strict=True):
            result = fut.result()
            if isinstance(result, (results.Refused, unavailable.Unavailable)):
                log.warning("{} was not applied: {}.", type(change).__name__, result.reason)

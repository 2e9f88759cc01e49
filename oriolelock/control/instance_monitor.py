"""
oriolelock.control.instance_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Periodic tasks of a replica: relays status reports to the other replicas and, on the leader of
    ``config``, runs the failure detector and reads the instance list.
"""

import collections.abc
import dataclasses
import threading

from oriolelock import clock, events, logs
from oriolelock.control import failure_detector, instance_list, replica, unavailable
from oriolelock.distribution import messages, report_packing, reports
from oriolelock.model import changes, member, results
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
list_events = events.Events("instances")


class InstanceMonitor:
    """Runs two threads: one for reports and failure detection, one for the instance list."""

    def __init__(
        self,
        cfg: settings.ControlSettings,
        rep: replica.Replica,
        status_reports: reports.Reports,
        report_metrics: collections.abc.Callable[[], None],
        read_instances: collections.abc.Callable[[], dict] | None = None,
    ):
        self._read_instances = read_instances or self._fetch_instance_list
        self._report_metrics = report_metrics
        self._cfg = cfg
        self._replica = rep
        self._reports = status_reports
        self._stopping = threading.Event()
        self._leading_since_s: float | None = None
        self._started_s = clock.wall_s()
        self._last_read_error = ""
        # When the latest reading of the list began, which changes may have followed.
        self._reading_started_s: float | None = None
        self.held_back: tuple[str, ...] = ()
        # See ``pauses.PauseDetector.lag_s``.
        self.lag_s: collections.abc.Callable[[], float] = lambda: 0.0
        self._threads = [
            threading.Thread(target=self._run_status_rounds, name="watch", daemon=True)
        ]
        if cfg.instance_list or read_instances:
            self._threads.append(
                threading.Thread(target=self._poll_instance_list, name="instance-list", daemon=True)
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

    def _poll_instance_list(self):
        names_members = bool(self._cfg.instance_list)
        diff = instance_list.InstanceDiff(names_members)
        while not self._stopping.wait(self._cfg.instance_poll_s):
            status, started_s = self._replica.status(), clock.monotonic_s()
            # A new leader whose state is behind would propose what has been done or undone since.
            if not (status.is_leader and status.is_caught_up):
                diff = instance_list.InstanceDiff(names_members)
                continue
            try:
                listed = self._read_instances()
                if not self._is_current(status.term, started_s, clock.monotonic_s()):
                    log.warning("A reading of the instance list is outdated and discarded.")
                    diff = instance_list.InstanceDiff(names_members)
                    continue
                cfg = self._replica.configuration()
                leaving = self._reports.leaving()
                read_s = clock.monotonic_s()
                proposed = diff.find_changes(cfg, listed, leaving, self._reports.seen(read_s))
                self._log_reading(len(listed), proposed, started_s, read_s, status.term)
                self._commit(proposed)
                self._last_read_error = ""
            except instance_list.ListUnreadable as exc:
                self._log_read_error(str(exc))
            except Exception:
                log.exception("Reading the instance list failed.")

    def _is_current(self, term, started_s, now):
        """Return whether a reading begun as leader of ``term`` may be applied.

        Calls go to whoever leads, so a replica that was paused could undo what its successor did.
        """
        status = self._replica.status()
        is_recent = now - started_s <= MAX_READING_AGE_S
        return status.is_leader and status.term == term and is_recent

    def _fetch_instance_list(self):
        listed = instance_list.parse(instance_list.fetch(self._cfg.instance_list))
        return {name: self._add_link_address(instance) for name, instance in listed.items()}

    def _add_link_address(self, instance):
        """Fill in the link address of a control replica from the settings if the list has none."""
        peer = next((peer for peer in self._cfg.peers if peer.name == instance.name), None)
        if peer is None or not isinstance(instance, member.Member) or instance.link_address:
            return instance
        host, port = peer.link_address
        return dataclasses.replace(instance, link_address=f"{host}:{port}")

    def _log_reading(self, entries, proposed, started_s, read_s, term):
        previous_s, self._reading_started_s = self._reading_started_s, started_s
        if not proposed and read_s - started_s < SLOW_READING_S:
            return
        list_events.notable(
            "list-read",
            entries=entries,
            changes=len(proposed),
            took_s=read_s - started_s,
            since_previous_s=None if previous_s is None else started_s - previous_s,
            term=term,
        )

    def _log_read_error(self, text):
        if text != self._last_read_error:
            log.warning("Cannot read the instance list, the previous one stays in use: {}.", text)
        self._last_read_error = text

    def _commit(self, proposed):
        """Propose changes and wait for their results, lest the next round propose them again."""
        started_s = clock.monotonic_s()
        futs = [self._replica.call("config", change, COMMIT_TIMEOUT_S) for change in proposed]
        for change, fut in zip(proposed, futs, strict=True):
            result = fut.result()
            if isinstance(change, changes.SetEndpoint | changes.RemoveEndpoint):
                _log_endpoint_change(change, result, clock.monotonic_s() - started_s)
            if isinstance(result, (results.Refused, unavailable.Unavailable)):
                log.warning("{} was not applied: {}.", type(change).__name__, result.reason)


def _log_endpoint_change(change, result, after_s):
    """Log what became of a change; entries name the same index."""
    instance = getattr(change, "endpoint", None)
    list_events.notable(
        "endpoint-listed",
        endpoint=instance.name if instance else change.name,
        state=instance.state if instance else "gone",
        cold=instance.cold if instance else False,
        index=getattr(result, "index", None),
        after_s=after_s,
    )

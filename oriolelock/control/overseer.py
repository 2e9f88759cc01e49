"""
oriolelock.control.overseer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The regular work of a replica: relays status reports to the other replicas and, on the
    leader of ``config``, watches entries and reads the instance list.
"""

import collections.abc
import dataclasses
import threading

from oriolelock import clock, logs
from oriolelock.control import detector, instance_list, replica, unavailable
from oriolelock.distribution import messages, report_packing, reports
from oriolelock.model import member, results
from oriolelock.settings import control as settings

__all__ = ["Overseer"]

# A report reaches the leader within this time, well below the 3 s after which an entry
# counts as silent.
ROUND_S = 0.5
COMMIT_TIMEOUT_S = 3.0

log = logs.get_logger("control.overseer")


class Overseer:
    """Owns two threads: one for reports and entries, one for the instance list."""

    def __init__(
        self,
        cfg: settings.ControlSettings,
        rep: replica.Replica,
        heard: reports.Reports,
        report_metrics: collections.abc.Callable[[], None],
        read_instances: collections.abc.Callable[[], dict] | None = None,
    ):
        self._read_instances = read_instances or self._read_list
        self._report_metrics = report_metrics
        self._cfg = cfg
        self._replica = rep
        self._reports = heard
        self._stopping = threading.Event()
        self._leading_since_s: float | None = None
        self._started_s = clock.wall_s()
        self._last_error = ""
        self.held_back: tuple[str, ...] = ()
        self._threads = [threading.Thread(target=self._watch, name="watch", daemon=True)]
        if cfg.instance_list or read_instances:
            self._threads.append(
                threading.Thread(target=self._poll, name="instance-list", daemon=True)
            )

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads."""
        self._stopping.set()

    def take_local(self, batch: messages.StatusBatch) -> None:
        """Keep reports of this replica's subscribers and relay them."""
        self._reports.take(batch, clock.monotonic_s(), relay=True)

    def take_relayed(self, batch: messages.StatusBatch) -> None:
        """Keep reports that another replica relays."""
        self._reports.take(batch, clock.monotonic_s(), relay=False)

    def _watch(self):
        while not self._stopping.wait(ROUND_S):
            try:
                self._watch_once(clock.monotonic_s())
            except Exception:
                log.exception("A round failed.")

    def _watch_once(self, now):
        self.take_local(messages.StatusBatch((self._own_report(),)))
        self._replica.broadcast(report_packing.pack(self._reports.take_unrelayed(now).reports))
        self._report_metrics()
        if not self._replica.status().is_leader:
            self._leading_since_s, self.held_back = None, ()
            return
        if self._leading_since_s is None:
            self._leading_since_s = now
        verdict = detector.judge(
            self._replica.configuration(),
            self._reports.ages(now),
            now - self._leading_since_s,
            self._reports.leaving(),
        )
        if set(verdict.held_back) - set(self.held_back):
            log.warning("{} entries are silent at once, kept.", len(verdict.held_back))
        self.held_back = verdict.held_back
        for change in verdict.changes:
            log.info("Entry {} is {}.", change.member.name, change.member.state)
        self._commit(verdict.changes)

    def _own_report(self):
        status = self._replica.status()
        cfg = self._replica.configuration()
        state = "leader" if status.is_leader else "follower" if status.voter else "learner"
        return messages.StatusReport(
            self._cfg.name, cfg.version, cfg.index, state, self._started_s, 0
        )

    def _poll(self):
        names_members = bool(self._cfg.instance_list)
        diff = instance_list.InstanceDiff(names_members)
        while not self._stopping.wait(self._cfg.instance_poll_s):
            if not self._replica.status().is_leader:
                diff = instance_list.InstanceDiff(names_members)
                continue
            try:
                listed = self._read_instances()
                cfg = self._replica.configuration()
                leaving = self._reports.leaving()
                seen = self._reports.seen(clock.monotonic_s())
                self._commit(diff.find_changes(cfg, listed, leaving, seen))
                self._last_error = ""
            except instance_list.ListUnreadable as exc:
                self._report(str(exc))
            except Exception:
                log.exception("Reading the instance list failed.")

    def _read_list(self):
        listed = instance_list.parse(instance_list.fetch(self._cfg.instance_list))
        return {name: self._complete(item) for name, item in listed.items()}

    def _complete(self, item):
        """Add the websocket address of a replica, which only the settings know."""
        peer = next((peer for peer in self._cfg.peers if peer.name == item.name), None)
        if peer is None or not isinstance(item, member.Member) or item.link_address:
            return item
        host, port = peer.link_address
        return dataclasses.replace(item, link_address=f"{host}:{port}")

    def _report(self, text):
        if text != self._last_error:
            log.warning("The instance list stays as it was: {}.", text)
        self._last_error = text

    def _commit(self, found):
        """Propose changes and wait, so that the next round does not propose them again."""
        futs = [self._replica.call("config", change, COMMIT_TIMEOUT_S) for change in found]
        for change, fut in zip(found, futs, strict=True):
            result = fut.result()
            if isinstance(result, (results.Refused, unavailable.Unavailable)):
                log.warning("{} is not applied: {}.", type(change).__name__, result.reason)

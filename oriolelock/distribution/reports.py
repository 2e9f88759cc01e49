"""
oriolelock.distribution.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The latest status report of each instance, with the time at which it was measured.
"""

import dataclasses
import threading

from oriolelock.distribution import messages

__all__ = ["SEEN_LIMIT_S", "Reports", "aged"]

# An instance counts as seen if its latest report is not older than this.
SEEN_LIMIT_S = 3.0
# Older reports are removed; their instances have probably left.
FORGET_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True)
class MeasuredReport:
    """A report and the monotonic time at which it was measured."""

    report: messages.StatusReport
    measured_s: float


def aged(batch: messages.StatusBatch, lag_s: float) -> messages.StatusBatch:
    """Return the reports ``lag_s`` older, as they may have waited for so long to be read."""
    if not lag_s:
        return batch
    older = (dataclasses.replace(item, age_s=item.age_s + lag_s) for item in batch.reports)
    return messages.StatusBatch(tuple(older))


class Reports:
    """The latest report of each instance; thread-safe. ``now`` is monotonic time in seconds."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._latest: dict[str, MeasuredReport] = {}
        self._unrelayed: set[str] = set()

    def take(self, batch: messages.StatusBatch, now: float, relay: bool) -> None:
        """Store the reports that are newer than the known ones.

        With ``relay`` they are also returned by the next ``take_unrelayed``.
        """
        with self._lock:
            for report in batch.reports:
                measured_s = now - max(0.0, report.age_s)
                previous = self._latest.get(report.name)
                if previous and previous.measured_s >= measured_s:
                    continue
                if previous and _is_outdated(report, previous.report):
                    continue
                self._latest[report.name] = MeasuredReport(report, measured_s)
                if relay:
                    self._unrelayed.add(report.name)

    def take_unrelayed(self, now: float) -> messages.StatusBatch:
        """Return the reports to relay that arrived since the last call, with their current age."""
        with self._lock:
            names, self._unrelayed = self._unrelayed, set()
            for name in [n for n, h in self._latest.items() if now - h.measured_s > FORGET_AFTER_S]:
                del self._latest[name]
            unrelayed = [self._latest[name] for name in sorted(names) if name in self._latest]
        return messages.StatusBatch(
            tuple(dataclasses.replace(h.report, age_s=now - h.measured_s) for h in unrelayed)
        )

    def find(self, name: str) -> MeasuredReport | None:
        """Return the latest report of ``name``, or None."""
        return self._latest.get(name)

    def leaving(self) -> frozenset[str]:
        """Return the names of the instances whose latest report has the state ``leaving``."""
        with self._lock:
            return frozenset(n for n, h in self._latest.items() if h.report.state == "leaving")

    def ages(self, now: float) -> dict[str, float]:
        """Return the age of the latest report of each instance, in seconds."""
        with self._lock:
            return {name: now - heard.measured_s for name, heard in self._latest.items()}

    def seen(self, now: float) -> frozenset[str]:
        """Return the names of the instances that reported within ``SEEN_LIMIT_S``."""
        return frozenset(n for n, age_s in self.ages(now).items() if age_s <= SEEN_LIMIT_S)


def _is_outdated(report, previous):
    """Return whether a report was made before another one of the same process.

    Its age leaves out how long it waited in the socket of a process that did not read.
    """
    return report.since_s == previous.since_s and report.index < previous.index

"""
oriolelock.distribution.reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The latest status report of each instance, with the time at which it was measured.
"""

import dataclasses
import threading

from oriolelock.distribution import messages

__all__ = ["SEEN_LIMIT_S", "Reports"]

# An instance that reported within this time counts as seen.
SEEN_LIMIT_S = 3.0
# Reports of instances that left are dropped after this time.
FORGET_AFTER_S = 3600.0


@dataclasses.dataclass(frozen=True)
class Heard:
    """A report and the monotonic time at which it was measured."""

    report: messages.StatusReport
    measured_s: float


class Reports:
    """Thread-safe. ``now`` is monotonic time in seconds."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: dict[str, Heard] = {}
        self._fresh: set[str] = set()

    def take(self, batch: messages.StatusBatch, now: float, relay: bool) -> None:
        """Keep the reports that are newer; with ``relay`` they go to the other replicas."""
        with self._lock:
            for report in batch.reports:
                measured_s = now - max(0.0, report.age_s)
                old = self._heard.get(report.name)
                if old and old.measured_s >= measured_s:
                    continue
                self._heard[report.name] = Heard(report, measured_s)
                if relay:
                    self._fresh.add(report.name)

    def take_fresh(self, now: float) -> messages.StatusBatch:
        """Return the reports to relay since the last call, with their present age."""
        with self._lock:
            names, self._fresh = self._fresh, set()
            for name in [n for n, h in self._heard.items() if now - h.measured_s > FORGET_AFTER_S]:
                del self._heard[name]
            found = [self._heard[name] for name in sorted(names) if name in self._heard]
        return messages.StatusBatch(
            tuple(dataclasses.replace(h.report, age_s=now - h.measured_s) for h in found)
        )

    def find(self, name: str) -> Heard | None:
        """Return the latest report of ``name``."""
        return self._heard.get(name)

    def leaving(self) -> frozenset[str]:
        """Return the names of instances whose latest report says that they leave."""
        with self._lock:
            return frozenset(n for n, h in self._heard.items() if h.report.state == "leaving")

    def ages(self, now: float) -> dict[str, float]:
        """Return seconds since the latest report of each instance."""
        with self._lock:
            return {name: now - heard.measured_s for name, heard in self._heard.items()}

    def seen(self, now: float) -> frozenset[str]:
        """Return the instances that reported within ``SEEN_LIMIT_S``."""
        return frozenset(n for n, age_s in self.ages(now).items() if age_s <= SEEN_LIMIT_S)

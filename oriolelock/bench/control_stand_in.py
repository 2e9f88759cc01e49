"""
oriolelock.bench.control_stand_in
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A publisher without consensus behind it, for measurements of the relay tree alone.
"""

import concurrent.futures
import threading

from oriolelock import clock
from oriolelock.distribution import messages, publisher, recent_changes
from oriolelock.model import changes, configuration, delta
from oriolelock.wire import channel

__all__ = ["CLUSTER", "TOKEN", "ControlStandIn"]

CLUSTER, TOKEN = "bench", "bench-token"


def _done(value):
    fut = concurrent.futures.Future()
    fut.set_result(value)
    return fut


class ControlStandIn:
    """Publishes ``cfg`` and the changes of ``change``; keeps the oldest age of each report."""

    def __init__(self, address: tuple[str, int], cfg: configuration.Configuration):
        self._recent = recent_changes.RecentChanges()
        self._recent.reset(cfg)
        self._lock = threading.Lock()
        self._measured_s: dict[str, float] = {}
        self._oldest_s: dict[str, float] = {}
        source = publisher.Source(
            index=lambda: self._recent.view().index,
            changes_since=self._recent.since,
            confirm=lambda timeout_s: _done(True),
            call=self._call,
            take_reports=self._take,
        )
        self._publisher = publisher.Publisher(source)
        self._server = channel.serve(address, self._serve)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self._publisher.start()

    def _serve(self, conn):
        accepted = channel.accept(conn, "control", CLUSTER, TOKEN)
        if accepted is not None:
            self._publisher.serve(accepted)

    def _call(self, payload):
        if isinstance(payload, messages.ConfirmIndex):
            return _done((messages.ConfirmedIndex(self._recent.view().index), ""))
        return _done((None, "not a call of this stand-in"))

    def _take(self, batch):
        now = clock.monotonic_s()
        with self._lock:
            for report in batch.reports:
                if (earlier_s := self._measured_s.get(report.name)) is not None:
                    age_s = now - earlier_s
                    self._oldest_s[report.name] = max(self._oldest_s.get(report.name, 0.0), age_s)
                self._measured_s[report.name] = now - report.age_s

    def oldest(self) -> dict[str, float]:
        """Return the greatest age that each instance's report reached since the last call."""
        with self._lock:
            found, self._oldest_s = self._oldest_s, {}
        return found

    def known(self) -> int:
        """Return how many instances have reported."""
        with self._lock:
            return len(self._measured_s)

    def change(self, change: changes.Change) -> int:
        """Publish ``change`` and return its index."""
        cfg = self._recent.view()
        after = configuration.apply(cfg, change, cfg.index + 1, 1000.0)
        committed = delta.CommittedChange(after.index, clock.wall_s(), change)
        self._recent.advance(after, (committed,))
        self._publisher.wake()
        return after.index

    def close(self) -> None:
        """Close all connections."""
        self._publisher.stop()
        self._server.shutdown()

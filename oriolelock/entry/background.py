"""
oriolelock.entry.background
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What an entry does beside requests: follows the configuration, polls loads, lets time pass
    for its decisions, reports deaths of endpoints.
"""

import concurrent.futures
import threading

from oriolelock import clock, logs
from oriolelock.distribution import errors, uplink
from oriolelock.endpoints import load_poller, load_report
from oriolelock.entry import steering
from oriolelock.lookup import blocks, directory
from oriolelock.model import changes, configuration
from oriolelock.routing import result

__all__ = ["Background"]

TICK_INTERVAL_S = 0.05
# Both attempts fall within the time in which control counts them as one death.
REPORT_TIMEOUT_S = 0.9
REPORT_ATTEMPTS = 2
REPORT_THREADS = 8
# A committed change has reached the last of 100 subscribers after 0.3 s at most
# (docs/CAPACITY.md).
SPREAD_S = 0.5
MAX_PENDING_REPORTS = 64

log = logs.get_logger("entry.background")


class Background:
    """Thread-safe. ``link`` is set before ``start``."""

    def __init__(self, decisions: steering.Steering):
        self._decisions = decisions
        self.link: uplink.Uplink | None = None
        self._block_sites = b""
        self._blocks = blocks.BlockTable(b"")
        self.directory = directory.Directory(configuration.EMPTY)
        self._stopping = threading.Event()
        self._reporting = concurrent.futures.ThreadPoolExecutor(REPORT_THREADS, "crash-report")
        self._report_room = threading.BoundedSemaphore(MAX_PENDING_REPORTS)
        self._poller = load_poller.LoadPoller(decisions.unreported, self._on_report)
        self._ticker = threading.Thread(target=self._run, name="ticker", daemon=True)

    def on_config(self, cfg: configuration.Configuration) -> None:
        """Use a configuration."""
        if cfg.block_sites != self._block_sites:
            self._blocks = blocks.BlockTable(cfg.block_sites)
            self._block_sites = cfg.block_sites
        self.directory = directory.Directory(cfg, self.directory)
        self._decisions.configure(cfg, clock.monotonic_s(), clock.wall_s())

    def region_of(self, cfg: configuration.Configuration, client: str) -> str | None:
        """Return the region of the site that a client's address is steered to, or None."""
        site = self._blocks.find_text(client)
        return site.region if site else None

    def report_crash(
        self, fingerprint: str, endpoint_name: str
    ) -> concurrent.futures.Future | None:
        """Tell control of a death in the background.

        The future ends once every entry has probably heard of it. Returns None, and drops the
        report, when too many wait.
        """
        if not self._report_room.acquire(blocking=False):
            log.warning("Too many crash reports wait; one of {} is dropped.", endpoint_name)
            return None
        change = changes.ReportCrash(fingerprint, endpoint_name)
        try:
            return self._reporting.submit(self._report, change)
        except RuntimeError:
            self._report_room.release()
            return None

    def _report(self, change):
        try:
            for _ in range(REPORT_ATTEMPTS):
                try:
                    self.link.call(change, REPORT_TIMEOUT_S)
                    self._stopping.wait(SPREAD_S)
                    return
                except errors.DistributionError as exc:
                    log.warning("A crash report for {} failed: {}.", change.endpoint, exc)
                if self._stopping.wait(TICK_INTERVAL_S):
                    return
        finally:
            self._report_room.release()

    def _on_report(self, name: str, report: load_report.LoadReport, age_s: float):
        news = result.LoadReport(report.in_flight, report.slots, report.queued, report.state, age_s)
        self._decisions.reported(name, news, clock.monotonic_s())

    def _run(self):
        while not self._stopping.wait(TICK_INTERVAL_S):
            now = clock.monotonic_s()
            age_s = self.link.control_age_s(now)
            if age_s is not None:
                self._decisions.control_heard(now - age_s)
            self._decisions.tick(now, clock.wall_s())

    def start(self) -> None:
        """Start the threads."""
        self._ticker.start()
        self._poller.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._poller.stop()
        self._ticker.join()
        self._reporting.shutdown(wait=False, cancel_futures=True)

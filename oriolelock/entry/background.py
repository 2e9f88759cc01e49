"""
oriolelock.entry.background
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An entry's background tasks: applies configurations, polls the load of endpoints, runs the
    periodic updates of the routing state, and reports crashed endpoints.
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
# Both attempts fall within the period in which control counts reports as one crash.
REPORT_TIMEOUT_S = 0.9
REPORT_ATTEMPTS = 2
REPORT_THREADS = 8
# A committed change reaches the last of 100 subscribers within 0.3 s (docs/CAPACITY.md).
PROPAGATION_S = 0.5
MAX_PENDING_REPORTS = 64

log = logs.get_logger("entry.background")


class Background:
    """The background tasks of one entry; thread-safe. ``link`` must be set before ``start``."""

    def __init__(self, decisions: steering.Steering):
        self._steering = decisions
        self.link: uplink.Uplink | None = None
        self._block_sites = b""
        self._blocks = blocks.BlockTable(b"")
        self.directory = directory.Directory(configuration.EMPTY)
        self._stopping = threading.Event()
        self._report_executor = concurrent.futures.ThreadPoolExecutor(
            REPORT_THREADS, "crash-report"
        )
        self._report_permits = threading.BoundedSemaphore(MAX_PENDING_REPORTS)
        self._poller = load_poller.LoadPoller(
            decisions.unreported,
            self._on_load_report,
            on_refused=lambda name: decisions.poll_refused(name, clock.monotonic_s()),
        )
        self._ticker = threading.Thread(target=self._run, name="ticker", daemon=True)

    def on_config(self, cfg: configuration.Configuration) -> None:
        """Apply a configuration."""
        if cfg.block_sites != self._block_sites:
            self._blocks = blocks.BlockTable(cfg.block_sites)
            self._block_sites = cfg.block_sites
        self.directory = directory.Directory(cfg, self.directory)
        self._steering.configure(cfg, clock.monotonic_s(), clock.wall_s())

    def region_of(self, cfg: configuration.Configuration, client: str) -> str | None:
        """Return the region of the site for a client's IP address, or None if unknown."""
        site = self._blocks.find_text(client)
        return site.region if site else None

    def report_crash(
        self, fingerprint: str, endpoint_name: str
    ) -> concurrent.futures.Future | None:
        """Report a crashed endpoint to control in the background.

        The future completes once every entry has probably received the change, or the report has
        failed. Drops the report and returns None if too many are pending.
        """
        if not self._report_permits.acquire(blocking=False):
            log.warning("Too many pending crash reports; dropped one for {}.", endpoint_name)
            return None
        change = changes.ReportCrash(fingerprint, endpoint_name)
        try:
            return self._report_executor.submit(self._send_crash_report, change)
        except RuntimeError:
            self._report_permits.release()
            return None

    def _send_crash_report(self, change):
        try:
            for _ in range(REPORT_ATTEMPTS):
                try:
                    self.link.call(change, REPORT_TIMEOUT_S)
                    self._stopping.wait(PROPAGATION_S)
                    return
                except errors.DistributionError as exc:
                    log.warning("Crash report for {} failed: {}.", change.endpoint, exc)
                if self._stopping.wait(TICK_INTERVAL_S):
                    return
        finally:
            self._report_permits.release()

    def _on_load_report(self, name: str, report: load_report.LoadReport, age_s: float):
        load = result.LoadReport(report.in_flight, report.slots, report.queued, report.state, age_s)
        self._steering.reported(name, load, clock.monotonic_s())

    def _run(self):
        while not self._stopping.wait(TICK_INTERVAL_S):
            now = clock.monotonic_s()
            age_s = self.link.control_age_s(now)
            if age_s is not None:
                self._steering.control_heard(now - age_s)
            self._steering.tick(now, clock.wall_s())

    def start(self) -> None:
        """Start the threads."""
        self._ticker.start()
        self._poller.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._poller.stop()
        self._ticker.join()
        self._report_executor.shutdown(wait=False, cancel_futures=True)

"""
oriolelock.gateway.crash_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Reports of crashed endpoints to control, which survive the loss of a parent.
"""

import collections.abc
import concurrent.futures
import threading

from oriolelock import clock, events
from oriolelock.distribution import errors
from oriolelock.model import changes, crash_record

__all__ = ["MAX_REPORTS", "CrashReports"]

WORKERS = 4
# More reports at once are dropped.
MAX_REPORTS = 64
# From the first call to the end of the last. An entry has another parent by then, and control takes
# what arrives within this time for the same death.
LIMIT_S = 0.9 * crash_record.SAME_DEATH_S
RETRY_DELAY_S = 0.1

log = events.Events("gateway")


class CrashReports:
    """Sends reports in threads of its own. Thread-safe.

    ``call(payload, timeout_s)`` returns control's reply or raises DistributionError.
    """

    def __init__(self, call: collections.abc.Callable[[object, float], object]):
        self._call = call
        self._permits = threading.BoundedSemaphore(MAX_REPORTS)
        self._stopping = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(WORKERS, "crash-report")

    def send(self, key: str, endpoint: str) -> bool:
        """Report in the background that ``endpoint`` crashed; return False if it is dropped.

        ``key`` names the request that is suspected.
        """
        if not self._permits.acquire(blocking=False):
            log.notable("crash-report-dropped", mark=key, endpoint=endpoint)
            return False
        self._executor.submit(self._send, changes.ReportCrash(key, endpoint))
        return True

    def _send(self, change):
        try:
            deadline_s = clock.monotonic_s() + LIMIT_S
            while (left_s := deadline_s - clock.monotonic_s()) > 0.0:
                try:
                    self._call(change, left_s)
                    return
                except errors.DistributionError as exc:
                    reason = str(exc)
                if self._stopping.wait(RETRY_DELAY_S):
                    break
            log.notable("control-call-failed", call=type(change).__name__, reason=reason)
        finally:
            self._permits.release()

    def stop(self) -> None:
        """Drop the reports that are not sent yet."""
        self._stopping.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

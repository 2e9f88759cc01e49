"""
oriolelock.endpoints.load_poller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Polls the load of endpoints that have not reported it with a recent response.

    Without polling, the headroom of other regions, which receive little work from this entry,
    would be unknown, and work could not move there if the own region fails.
"""

import collections.abc
import errno
import io
import json
import threading

import pycurl

from oriolelock import clock, logs
from oriolelock.endpoints import load_report, results
from oriolelock.model import endpoint as endpoints

__all__ = ["INTERVAL_S", "LoadPoller", "poll_once", "poll_after_delay"]

INTERVAL_S = 1.0
TIMEOUT_MS = 800
SELECT_TIMEOUT_S = 0.1
MAX_BODY_BYTES = 4096
SPACING_S = 0.2

OnReport = collections.abc.Callable[[str, load_report.LoadReport, float], None]
log = logs.get_logger("endpoints.load")


class LoadPoller:
    """Polls in one background thread.

    ``due_endpoints(now)`` returns the endpoints to poll; ``on_report(name, report, age_s)`` is
    called with each report, ``on_refused(name)`` with each endpoint where nothing listens.
    """

    def __init__(
        self,
        due_endpoints: collections.abc.Callable[
            [float], collections.abc.Iterable[endpoints.Endpoint]
        ],
        on_report: OnReport,
        interval_s: float = INTERVAL_S,
        on_refused: collections.abc.Callable[[str], None] = lambda name: None,
    ):
        self._due_endpoints = due_endpoints
        self._on_report = on_report
        self._on_refused = on_refused
        self._interval_s = interval_s
        self._multi = pycurl.CurlMulti()
        self._handles: dict[str, pycurl.Curl] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="load-poller", daemon=True)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def poll(self, now: float) -> None:
        """Poll all due endpoints once, in the calling thread."""
        self._poll(now)

    def stop(self) -> None:
        """Stop the thread; pending responses are discarded."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.is_set():
            started_s = clock.monotonic_s()
            try:
                self._poll(started_s)
            except Exception:
                # Log the error and continue with the next round.
                log.exception("Load polling round failed.")
            remaining_s = self._interval_s - (clock.monotonic_s() - started_s)
            self._stopping.wait(max(0.0, remaining_s))

    def _poll(self, now):
        active_handles = []
        for target in self._due_endpoints(now):
            curl = self._handles.get(target.address) or self._make_handle(target.address)
            curl.body = io.BytesIO()
            curl.setopt(pycurl.WRITEDATA, curl.body)
            curl.endpoint = target.name
            self._multi.add_handle(curl)
            active_handles.append(curl)
        try:
            self._perform()
        finally:
            for curl in active_handles:
                self._multi.remove_handle(curl)

    def _make_handle(self, address):
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"http://{address}/load")
        curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
        curl.setopt(pycurl.MAXFILESIZE, MAX_BODY_BYTES)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        self._handles[address] = curl
        return curl

    def _perform(self):
        active = 1
        while active and not self._stopping.is_set():
            code, active = self._multi.perform()
            if code != pycurl.E_CALL_MULTI_PERFORM and active:
                self._multi.select(SELECT_TIMEOUT_S)
        remaining = 1
        while remaining:
            remaining, done, failed = self._multi.info_read()
            for curl in done:
                self._process_response(curl)
            for curl, _, _ in failed:
                if curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED:
                    self._on_refused(curl.endpoint)

    def _process_response(self, curl):
        if curl.getinfo(pycurl.RESPONSE_CODE) not in results.FINAL_STATUSES:
            return
        try:
            data = json.loads(curl.body.getvalue())
            fields = {name: int(data[name]) for name in ("in_flight", "slots", "queued")}
            state = str(data.get("state", "serving"))
            age_s = float(data.get("age_ms", 0.0)) / 1000
        except (ValueError, KeyError, TypeError):
            return
        if state in load_report.STATES and min(*fields.values(), age_s) >= 0:
            self._on_report(curl.endpoint, load_report.LoadReport(**fields, state=state), age_s)


def poll_after_delay(
    targets: collections.abc.Collection[endpoints.Endpoint],
) -> dict[str, load_report.LoadReport]:
    """Like ``poll_once`` after a delay, so that successive calls sample different moments."""
    threading.Event().wait(SPACING_S)
    return poll_once(targets)


def poll_once(
    targets: collections.abc.Collection[endpoints.Endpoint],
) -> dict[str, load_report.LoadReport]:
    """Return the load reports, by name, of the endpoints that respond within ``TIMEOUT_MS``."""
    reports: dict[str, load_report.LoadReport] = {}
    poller = LoadPoller(
        lambda now: targets, lambda name, report, age_s: reports.update({name: report})
    )
    poller.poll(clock.monotonic_s())
    return reports

"""
oriolelock.endpoints.load_poller
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Asks endpoints for their load when no answer has brought a report lately.

    Without it the headroom of other regions, which get little work from here, would be
    unknown, and work could not move there when the own region fails.
"""

import collections.abc
import io
import json
import threading

import pycurl

from oriolelock import clock, logs
from oriolelock.endpoints import load_report
from oriolelock.model import endpoint as endpoints

__all__ = ["INTERVAL_S", "LoadPoller", "poll_once", "poll_spaced"]

INTERVAL_S = 1.0
TIMEOUT_MS = 800
SELECT_TIMEOUT_S = 0.1
MAX_BODY_BYTES = 4096
SPACING_S = 0.2

OnReport = collections.abc.Callable[[str, load_report.LoadReport, float], None]
log = logs.get_logger("endpoints.load")


class LoadPoller:
    """One thread. ``due(now)`` returns the endpoints to ask; ``on_report(name, report, age_s)``
    takes the answers."""

    def __init__(
        self,
        due: collections.abc.Callable[[float], collections.abc.Iterable[endpoints.Endpoint]],
        on_report: OnReport,
        interval_s: float = INTERVAL_S,
    ):
        self._due = due
        self._on_report = on_report
        self._interval_s = interval_s
        self._multi = pycurl.CurlMulti()
        self._handles: dict[str, pycurl.Curl] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="load-poller", daemon=True)

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def poll(self, now: float) -> None:
        """Ask all that are due once, in the caller's thread."""
        self._poll(now)

    def stop(self) -> None:
        """Stop; answers that are under way are dropped."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        while not self._stopping.is_set():
            began_s = clock.monotonic_s()
            try:
                self._poll(began_s)
            except Exception:
                # Polling goes on with the next round; the fault is in the log.
                log.exception("A round failed.")
            left_s = self._interval_s - (clock.monotonic_s() - began_s)
            self._stopping.wait(max(0.0, left_s))

    def _poll(self, now):
        running = []
        for item in self._due(now):
            curl = self._handles.get(item.address) or self._make_handle(item.address)
            curl.body = io.BytesIO()
            curl.setopt(pycurl.WRITEDATA, curl.body)
            curl.endpoint = item.name
            self._multi.add_handle(curl)
            running.append(curl)
        try:
            self._perform()
        finally:
            for curl in running:
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
        waiting = 1
        while waiting:
            waiting, done, _ = self._multi.info_read()
            for curl in done:
                self._take(curl)

    def _take(self, curl):
        try:
            data = json.loads(curl.body.getvalue())
            fields = {name: int(data[name]) for name in ("in_flight", "slots", "queued")}
            state = str(data.get("state", "serving"))
            age_s = float(data.get("age_ms", 0.0)) / 1000
        except (ValueError, KeyError, TypeError):
            return
        if state in load_report.STATES and min(*fields.values(), age_s) >= 0:
            self._on_report(curl.endpoint, load_report.LoadReport(**fields, state=state), age_s)


def poll_spaced(
    found: collections.abc.Collection[endpoints.Endpoint],
) -> dict[str, load_report.LoadReport]:
    """As ``poll_once`` after a pause, so that calls in turn see different moments."""
    threading.Event().wait(SPACING_S)
    return poll_once(found)


def poll_once(
    found: collections.abc.Collection[endpoints.Endpoint],
) -> dict[str, load_report.LoadReport]:
    """Return the load of the endpoints that answer within ``TIMEOUT_MS``, by name."""
    answers: dict[str, load_report.LoadReport] = {}
    poller = LoadPoller(
        lambda now: found, lambda name, report, age_s: answers.update({name: report})
    )
    poller.poll(clock.monotonic_s())
    return answers

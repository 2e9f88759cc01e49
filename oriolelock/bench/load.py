"""
oriolelock.bench.load
~~~~~~~~~~~~~~~~~~~~~

    An open-loop load generator: requests start at their time, whether or not earlier ones
    have been answered, so that a slow system can't slow its own load.
"""

import collections.abc
import heapq
import io
import random
import threading
import uuid

import pycurl

from oriolelock import clock
from oriolelock.bench import stream, stream_result, virtual_caller

__all__ = ["Generator"]

MAX_OPEN_REQUESTS = 2000
GRACE_S = 2.0
SELECT_TIMEOUT_S = 0.005


class Generator:
    """Sends the arrivals of several streams through virtual callers from one thread."""

    def __init__(
        self,
        streams: collections.abc.Sequence[stream.Stream],
        callers: collections.abc.Sequence[virtual_caller.VirtualCaller],
        rng: random.Random,
    ):
        self._streams = {item.name: item for item in streams}
        self._callers = callers
        self._rng = rng
        self._multi = pycurl.CurlMulti()
        self._idle: list[pycurl.Curl] = []
        self._open = 0
        # By how much the generator itself was late; figures of a late one mean nothing.
        self.max_late_s = 0.0
        self._stopping = threading.Event()
        self.results = {item.name: stream_result.StreamResult() for item in streams}
        self.keys: dict[str, list[str]] = {item.name: [] for item in streams}

    def stop(self) -> None:
        """Have ``run``, in another thread, send nothing more and return after the answers."""
        self._stopping.set()

    def run(self, duration_s: float) -> dict[str, stream_result.StreamResult]:
        """Send for ``duration_s`` seconds, wait for the answers and return the results."""
        began_s = clock.monotonic_s()
        arrivals = [(self._gap(s) + s.start_s, s.name) for s in self._streams.values()]
        heapq.heapify(arrivals)
        end_s = began_s + duration_s
        longest_s = max(s.deadline_ms for s in self._streams.values()) / 1000 + GRACE_S
        while True:
            now = clock.monotonic_s()
            if self._stopping.is_set():
                end_s = min(end_s, now)
            while arrivals and arrivals[0][0] + began_s <= min(now, end_s):
                at_s, name = heapq.heappop(arrivals)
                item = self._streams[name]
                if at_s < item.end_s:
                    self._start(item, at_s + began_s, now)
                    heapq.heappush(arrivals, (at_s + self._gap(item), name))
            self._perform()
            if now >= end_s and (not self._open or now >= end_s + longest_s):
                return self.results

    def _gap(self, item):
        return self._rng.expovariate(item.rate_per_s) if item.rate_per_s > 0 else float("inf")

    def _start(self, item, due_s, now):
        result = self.results[item.name]
        result.sent += 1
        self.max_late_s = max(self.max_late_s, clock.monotonic_s() - due_s)
        if self._open >= MAX_OPEN_REQUESTS:
            result.record("failed", "generator-full", 0.0, item.deadline_ms)
            return
        caller = self._rng.choice(self._callers)
        entry = caller.entry_for(item.service, now)
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        curl.reset()
        curl.job = (item, caller, entry, due_s, io.BytesIO(), {})
        self._prepare(curl, item, caller, entry)
        self._multi.add_handle(curl)
        self._open += 1

    def _prepare(self, curl, item, caller, entry):
        fields = [
            f"Oriolelock-Service: {item.service}",
            f"Oriolelock-Operation: {item.operation}",
            f"Oriolelock-Deadline-Ms: {item.deadline_ms}",
            "Expect:",
        ]
        if item.keyed:
            key = f"{int(clock.wall_s())}-{uuid.UUID(int=self._rng.getrandbits(128))}"
            self.keys[item.name].append(key)
            fields.append(f"Idempotency-Key: {key}")
        curl.setopt(pycurl.URL, f"http://{entry}/{item.operation}/{self._rng.randrange(10**9)}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.TIMEOUT_MS, int(item.deadline_ms + GRACE_S * 1000))
        curl.setopt(pycurl.WRITEDATA, curl.job[4])
        curl.setopt(pycurl.HEADERFUNCTION, _header_reader(curl.job[5]))
        if item.keyed:
            # libcurl resends on its own when a kept connection fails; a keyed request that
            # arrives twice would only be a test of the record, not of the load.
            curl.setopt(pycurl.FRESH_CONNECT, 1)
        if item.body or item.keyed:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, item.body or b"{}")
        curl.setopt(pycurl.HTTPHEADER, fields)

    def _perform(self):
        self._multi.select(SELECT_TIMEOUT_S)
        while self._multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
            pass
        while True:
            waiting, done, failed = self._multi.info_read()
            for curl in done:
                self._finish(curl, "")
            for curl, _, text in failed:
                self._finish(curl, text or "error")
            if not waiting:
                return

    def _finish(self, curl, error):
        item, caller, entry, due_s, _, headers = curl.job
        elapsed_s = clock.monotonic_s() - due_s
        if error:
            caller.failed(item.service, entry)
            outcome, reason = "failed", error.split(" ")[0].lower()
        else:
            outcome = headers.get("oriolelock-outcome", "no-outcome")
            reason = headers.get("oriolelock-reason", "")
        if outcome == "complete":
            reason = ""
        self.results[item.name].record(outcome, reason, elapsed_s, item.deadline_ms)
        self._multi.remove_handle(curl)
        self._open -= 1
        self._idle.append(curl)


def _header_reader(fields):
    def read(line):
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()

    return read

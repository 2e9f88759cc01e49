"""
oriolelock.bench.closed_loop
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A closed-loop load generator: each connection sends its next request when the last one has
    been answered. One thread drives all connections.
"""

import collections.abc
import dataclasses
import io

import pycurl

from oriolelock import clock
from oriolelock.bench import stream_result

__all__ = ["Load", "run"]

SELECT_TIMEOUT_S = 0.05
REQUEST_TIMEOUT_MS = 10_000
DEADLINE_MS = 5000


@dataclasses.dataclass(frozen=True)
class Load:
    """``fields()`` returns the header lines of the next request. ``body`` None sends a GET."""

    address: str
    path: str
    connections: int
    fields: collections.abc.Callable[[], list[str]] = list
    body: bytes | None = None


def _make_handle(load):
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{load.address}{load.path}")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.TIMEOUT_MS, REQUEST_TIMEOUT_MS)
    if load.body is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, load.body)
    return curl


def _start(multi, curl, load):
    curl.setopt(pycurl.HTTPHEADER, ["Expect:", *load.fields()])
    curl.setopt(pycurl.WRITEDATA, io.BytesIO())
    curl.began_s = clock.monotonic_s()
    multi.add_handle(curl)


def _finished(multi):
    while multi.perform()[0] == pycurl.E_CALL_MULTI_PERFORM:
        pass
    waiting = 1
    while waiting:
        waiting, done, failed = multi.info_read()
        yield from ((curl, "") for curl in done)
        yield from ((curl, "failed") for curl, _, _ in failed)


def run(load: Load, duration_s: float) -> dict:
    """Return rate, latency percentiles and outcomes by HTTP status."""
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, load.connections)
    result = stream_result.StreamResult()
    began_s = clock.monotonic_s()
    for _ in range(load.connections):
        _start(multi, _make_handle(load), load)
    open_count = load.connections
    while open_count:
        multi.select(SELECT_TIMEOUT_S)
        for curl, failure in _finished(multi):
            now = clock.monotonic_s()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            ok = not failure and status == 200
            outcome = "complete" if ok else failure or f"status {status}"
            result.sent += 1
            result.record(outcome, "", now - curl.began_s, DEADLINE_MS)
            multi.remove_handle(curl)
            if now - began_s < duration_s:
                _start(multi, curl, load)
            else:
                open_count -= 1
                curl.close()
    elapsed_s = clock.monotonic_s() - began_s
    multi.close()
    complete = result.outcomes["complete"]
    return {**result.summary(), "per_s": round(complete / elapsed_s, 1)}

"""
oriolelock.bench.caller
~~~~~~~~~~~~~~~~~~~~~~~

    A caller as the documentation asks for: it looks entries up, caches the answer for its
    time to live, uses the next entry when one can't be reached, and checks its answers.
"""

import dataclasses
import json
import threading
import uuid

from oriolelock import clock
from oriolelock.bench import errors, http
from oriolelock.standin import answers

__all__ = ["Caller", "Result", "new_key"]

# An entry answers by the deadline; the answer may take this long to arrive.
GRACE_S = 2.0


def new_key() -> str:
    """Return a new idempotency key, which carries its creation time."""
    return f"{int(clock.wall_s())}-{uuid.uuid4().hex}"


@dataclasses.dataclass(frozen=True)
class Result:
    """How one request ended. ``outcome``: complete, not-run, unknown, or unreachable.

    ``is_own``: a complete answer belongs to this request. ``run_by``: endpoint and request id
    of the run that the answer reports.
    """

    outcome: str
    reason: str
    status: int
    latency_ms: float
    entry: str
    version: int
    is_own: bool
    run_by: tuple[str, str] | None


class Caller:
    """Thread-safe. ``seeds`` are addresses of entries; ``client`` is the caller's IP address."""

    def __init__(self, seeds: list[str], client: str | None = None):
        self._seeds = seeds
        self._client = client
        self._lock = threading.Lock()
        self._cached: dict[str, tuple[float, list[dict]]] = {}

    def lookup(self, service: str) -> list[dict]:
        """Return the entries for ``service``, best first; raises CallFailed."""
        now = clock.monotonic_s()
        with self._lock:
            until_s, entries = self._cached.get(service, (0.0, []))
        if now < until_s:
            return entries
        data = self._ask_seeds(service)
        with self._lock:
            self._cached[service] = (now + data["ttl_ms"] / 1000, data["entries"])
        return data["entries"]

    def _ask_seeds(self, service):
        path = f"/oriolelock/lookup?service={service}"
        if self._client:
            path += f"&client={self._client}"
        failures = []
        for address in self._seeds:
            try:
                return http.get_json(address, path)
            except errors.CallFailed as exc:
                failures.append(str(exc))
        raise errors.CallFailed("; ".join(failures))

    def send(
        self,
        service: str,
        operation: str,
        body: bytes,
        deadline_ms: int = 5000,
        key: str | None = None,
        skip: int = 0,
    ) -> Result:
        """Send one request; ``skip`` leaves out that many of the looked-up entries."""
        headers = {
            "Oriolelock-Service": service,
            "Oriolelock-Operation": operation,
            "Content-Type": "application/octet-stream",
        }
        if key:
            headers["Idempotency-Key"] = key
        start_s = clock.monotonic_s()
        end_s = start_s + deadline_ms / 1000
        failure = ""
        try:
            entries = self.lookup(service)
        except errors.CallFailed as exc:
            entries, failure = [], str(exc)
        # A request is sent to the next entry also after a lost answer: it is idempotent, or
        # its key keeps it from running twice.
        for item in entries[skip:] + entries[:skip]:
            left_ms = int((end_s - clock.monotonic_s()) * 1000)
            if left_ms <= 0:
                break
            headers["Oriolelock-Deadline-Ms"] = str(left_ms)
            try:
                reply = http.request(
                    "POST", item["address"], "/work", body, headers, left_ms / 1000 + GRACE_S
                )
            except errors.CallFailed as exc:
                failure = str(exc)
                continue
            return _read(reply, item["name"], body, start_s)
        return Result("unreachable", failure, 0, _since_ms(start_s), "", 0, False, None)


def _since_ms(start_s):
    return (clock.monotonic_s() - start_s) * 1000


def _read(reply, entry, body, start_s):
    outcome = reply.headers.get("oriolelock-outcome", "")
    is_own, run_by = False, None
    if outcome == "complete" and reply.status == 200:
        try:
            data = json.loads(reply.body)
            is_own = data["digest"] == answers.digest_of(body)
            run_by = (data["endpoint"], data["request_id"])
        except (ValueError, KeyError, TypeError):
            is_own = False
    return Result(
        outcome,
        reply.headers.get("oriolelock-reason", ""),
        reply.status,
        _since_ms(start_s),
        entry,
        int(reply.headers.get("oriolelock-config-version", 0)),
        is_own,
        run_by,
    )

"""
oriolelock.admission.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Blocks requests that crash endpoints, so that they do not take down one after another.
"""

import collections
import collections.abc

import xxhash

from oriolelock.model import crash_record

__all__ = ["Quarantine", "fingerprint"]

# A fingerprint that completed within this time is not blamed for a crash: if a whole region fails,
# every popular request is in flight on some failing endpoint.
COMPLETED_TRUST_S = 60.0
# A region fails all at once, so deaths after this time are attributed to the request.
IGNORED_DEATHS_WINDOW_S = 5.0
MAX_COMPLETED = 20_000
MAX_SUSPECTS = 1000


def fingerprint(service: str, operation: str, path: str, body: bytes) -> str:
    """Return the xxh3-128 hash of a request as 32 hex digits."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), operation.encode(), path.encode(), body):
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class Quarantine:
    """Crashes observed by this entry, combined with the crash records of control."""

    def __init__(self):
        self._completed: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._first_ignored_death: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The latest deaths per fingerprint, as (endpoint, time).
        self._deaths: collections.OrderedDict[str, list[tuple[str, float]]] = (
            collections.OrderedDict()
        )
        self._blocked_until: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._crashes: collections.abc.Mapping[str, crash_record.CrashRecord] = {}

    def configure(self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord]) -> None:
        """Apply the crash records of a new configuration."""
        self._crashes = crashes

    def record_completion(self, request_fingerprint: str, now: float) -> None:
        """Record that a request with this fingerprint got a complete response."""
        self._completed[request_fingerprint] = now
        self._completed.move_to_end(request_fingerprint)
        self._first_ignored_death.pop(request_fingerprint, None)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def record_death(self, request_fingerprint: str, endpoint: str, now: float) -> bool:
        """Record that an endpoint crashed while running the request.

        Returns whether the request is suspect and must be reported to control.
        """
        if self.completed_recently(request_fingerprint, now):
            if (
                now - self._first_ignored_death.setdefault(request_fingerprint, now)
                <= IGNORED_DEATHS_WINDOW_S
            ):
                return False
            del self._completed[request_fingerprint]
        deaths = [
            d
            for d in self._deaths.pop(request_fingerprint, ())
            if now - d[1] < crash_record.WINDOW_S
        ]
        if not any(d[0] == endpoint and now - d[1] < crash_record.SAME_DEATH_S for d in deaths):
            deaths.append((endpoint, now))
        self._deaths[request_fingerprint] = deaths[-crash_record.QUARANTINE_DEATHS :]
        if len(deaths) >= crash_record.QUARANTINE_DEATHS:
            self.block(request_fingerprint, now)
        for table in (self._deaths, self._first_ignored_death):
            while len(table) > MAX_SUSPECTS:
                table.popitem(last=False)
        return True

    def block(self, request_fingerprint: str, now: float) -> None:
        """Reject the request from now on, for ``QUARANTINE_S``."""
        self._blocked_until.pop(request_fingerprint, None)
        self._blocked_until[request_fingerprint] = now + crash_record.QUARANTINE_S
        while len(self._blocked_until) > MAX_SUSPECTS:
            self._blocked_until.popitem(last=False)

    def may_retry(self, request_fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the entry may retry the request."""
        if self.completed_recently(request_fingerprint, now):
            return True
        deaths = self._deaths.get(request_fingerprint)
        if deaths and now - deaths[-1][1] < crash_record.WINDOW_S:
            return False
        crash = self._crashes.get(request_fingerprint)
        if crash and crash.deaths and wall_s - crash.deaths[-1][1] < crash_record.WINDOW_S:
            return False
        return not self.is_blocked(request_fingerprint, now, wall_s)

    def is_blocked(self, request_fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the request must be rejected as quarantined."""
        blocked_until = self._blocked_until.get(request_fingerprint)
        crash = self._crashes.get(request_fingerprint)
        if blocked_until is None and crash is None:
            return False
        if self.completed_recently(request_fingerprint, now):
            return False
        return (blocked_until is not None and now < blocked_until) or (
            crash is not None and wall_s < crash.until_s
        )

    def completed_recently(self, request_fingerprint: str, now: float) -> bool:
        """Return whether a request with this fingerprint got a complete response lately."""
        completed_at = self._completed.get(request_fingerprint)
        return completed_at is not None and now - completed_at < COMPLETED_TRUST_S

    def dump(self) -> dict[str, int]:
        """Return the sizes of the tables, for the state dump."""
        return {
            "completed": len(self._completed),
            "suspects": len(self._deaths),
            "blocked": len(self._blocked_until),
        }

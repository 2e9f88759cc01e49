"""
oriolelock.admission.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Blocks requests that crash endpoints, so that they do not take down one after another.
"""

import collections
import collections.abc

from oriolelock.admission import crash_index
from oriolelock.admission import fingerprint as fingerprints
from oriolelock.model import crash_record

__all__ = ["Quarantine"]

# A fingerprint that completed within this time is not blamed for a crash: if a whole region fails,
# every popular request is in flight on some failing endpoint.
COMPLETED_TRUST_S = 60.0
# A region fails all at once, so deaths after this time are attributed to the request.
IGNORED_DEATHS_WINDOW_S = 5.0
MAX_COMPLETED = 20_000
MAX_SUSPECTS = 1000
# Between two searches for levels that crash endpoints, which take some milliseconds.
REVIEW_INTERVAL_S = 0.5
CRITERIA = crash_index.Criteria(
    crash_record.QUARANTINE_DEATHS, 1, crash_record.SAME_DEATH_S, crash_record.SAME_DEATH_S
)


class Quarantine:
    """Crashes observed by this entry, combined with the crash records of control.

    A request is blocked at any of the levels of its fingerprint. A complete response to a request
    counts for all levels that comprise it.
    """

    def __init__(self):
        self._completed: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The same of levels that comprise several requests, of which some are always in use.
        self._completed_levels: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._first_ignored_death: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The latest deaths per fingerprint, as (endpoint, time).
        self._deaths: collections.OrderedDict[str, list[tuple[str, float]]] = (
            collections.OrderedDict()
        )
        # By level: when the quarantine began and ends.
        self._blocked: collections.OrderedDict[str, tuple[float, float]] = collections.OrderedDict()
        self._crashes: collections.abc.Mapping[str, crash_record.CrashRecord] = {}
        self._is_review_due = False
        self._reviewed_s = float("-inf")

    def configure(self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord]) -> None:
        """Apply the crash records of a new configuration."""
        if crashes is not self._crashes:
            self._crashes = crashes
            self._is_review_due = True

    def record_completion(self, request_fingerprint: str, now: float) -> None:
        """Record that a request with this fingerprint got a complete response."""
        for level in fingerprints.levels(request_fingerprint):
            table = self._completions(level)
            table[level] = now
            table.move_to_end(level)
            while len(table) > MAX_COMPLETED:
                table.popitem(last=False)
        self._first_ignored_death.pop(request_fingerprint, None)

    def _completions(self, level):
        return self._completed_levels if fingerprints.is_wide(level) else self._completed

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
        self._is_review_due = True
        for table in (self._deaths, self._first_ignored_death):
            while len(table) > MAX_SUSPECTS:
                table.popitem(last=False)
        return True

    def _review(self, now, wall_s):
        """Block the levels that crash endpoints by what is known here, or to control."""
        if not self._is_review_due or now < self._reviewed_s + REVIEW_INTERVAL_S:
            return
        self._is_review_due, self._reviewed_s = False, now
        seen = [
            crash_index.Death(name, endpoint, at_s)
            for name, deaths in self._deaths.items()
            for endpoint, at_s in deaths
            if now - at_s < crash_record.WINDOW_S
        ]
        told = [
            death
            for death in crash_index.deaths_in_records(self._crashes)
            if wall_s - death.at_s < crash_record.WINDOW_S
        ]
        for deaths in (seen, told):
            for level in crash_index.convicted_levels(
                deaths, CRITERIA, lambda name: self._is_convicted(name, now, wall_s)
            ):
                if not self.completed_recently(level, now):
                    self.block(level, now)

    def _is_convicted(self, request_fingerprint, now, wall_s):
        for level in fingerprints.levels(request_fingerprint):
            crash = self._crashes.get(level)
            is_told = crash is not None and wall_s < crash.until_s
            if is_told or now < self._blocked.get(level, (now, now))[1]:
                return True
        return False

    def block(self, level: str, now: float) -> None:
        """Reject the requests of a level from now on, for ``QUARANTINE_S``."""
        self._blocked.pop(level, None)
        self._blocked[level] = (now, now + crash_record.QUARANTINE_S)
        while len(self._blocked) > MAX_SUSPECTS:
            self._blocked.popitem(last=False)

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
        return self.blocked_s(request_fingerprint, now, wall_s) > 0.0

    def blocked_s(self, request_fingerprint: str, now: float, wall_s: float) -> float:
        """Return for how many seconds the request must still be rejected, 0 if it need not be."""
        self._review(now, wall_s)
        if not self._blocked and not self._crashes:
            return 0.0
        levels = fingerprints.levels(request_fingerprint)
        return max(self.level_blocked_s(level, now, wall_s) for level in levels)

    def level_blocked_s(self, level: str, now: float, wall_s: float) -> float:
        """Return for how many seconds a level is still blocked, 0 if it is not."""
        # Other requests of a wide level complete while some crash endpoints.
        if fingerprints.is_wide(level) and self.completed_recently(level, now):
            return 0.0
        # What completed before the latest crash says nothing: a release may have changed endpoints.
        completed_s = self.last_completion_s(level)
        began_s, end_s = self._blocked.get(level, (now, now))
        left_s = end_s - now if completed_s <= began_s else 0.0
        crash = self._crashes.get(level)
        if crash is not None:
            latest_s = now - max(0.0, wall_s - crash.deaths[-1][1]) if crash.deaths else now
            if completed_s <= latest_s:
                left_s = max(left_s, crash.until_s - wall_s)
        return max(0.0, left_s)

    def completed_recently(self, level: str, now: float) -> bool:
        """Return whether a request of a level got a complete response lately."""
        return now - self.last_completion_s(level) < COMPLETED_TRUST_S

    def last_completion_s(self, level: str) -> float:
        """Return when a request of a level was completed last, -inf if that is not known."""
        return self._completions(level).get(level, float("-inf"))

    def dump(self) -> dict[str, int]:
        """Return the sizes of the tables, for the state dump."""
        return {
            "completed": len(self._completed) + len(self._completed_levels),
            "suspects": len(self._deaths),
            "blocked": len(self._blocked),
        }

"""
oriolelock.admission.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Keeps a request that crashes endpoints from reaching one endpoint after another.
"""

import collections
import collections.abc

import xxhash

from oriolelock.model import crash_record

__all__ = ["Quarantine", "fingerprint"]

# A fingerprint that completed lately is not what kills endpoints: when a whole region fails,
# every popular request is in flight on some endpoint that dies.
TRUSTED_S = 60.0
# A region fails at once; deaths that go on after this time are caused by the request.
TRUSTED_DEATHS_S = 5.0
MAX_COMPLETED = 20_000
MAX_SUSPECTS = 1000


def fingerprint(service: str, operation: str, path: str, body: bytes) -> str:
    """Return the xxh3-128 of a request as 32 hex digits."""
    digest = xxhash.xxh3_128()
    for part in (service.encode(), operation.encode(), path.encode(), body):
        # The length keeps ("ab", "c") apart from ("a", "bc").
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class Quarantine:
    """Deaths seen by this entry, together with those that control knows."""

    def __init__(self):
        self._completed: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._excused: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Fingerprint to (endpoint, time) of its latest deaths.
        self._deaths: collections.OrderedDict[str, list[tuple[str, float]]] = (
            collections.OrderedDict()
        )
        self._until: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._crashes: collections.abc.Mapping[str, crash_record.CrashRecord] = {}

    def configure(self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord]) -> None:
        """Use the crash records of a new configuration."""
        self._crashes = crashes

    def completed(self, mark: str, now: float) -> None:
        """Note that a request with this fingerprint got a complete answer."""
        self._completed[mark] = now
        self._completed.move_to_end(mark)
        self._excused.pop(mark, None)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def died(self, mark: str, endpoint: str, now: float) -> bool:
        """Note that an endpoint died while it ran the request.

        Returns whether the request is suspect, and so must be reported to control.
        """
        if self._is_trusted(mark, now):
            if now - self._excused.setdefault(mark, now) <= TRUSTED_DEATHS_S:
                return False
            del self._completed[mark]
        deaths = [d for d in self._deaths.pop(mark, ()) if now - d[1] < crash_record.WINDOW_S]
        if not any(d[0] == endpoint and now - d[1] < crash_record.SAME_DEATH_S for d in deaths):
            deaths.append((endpoint, now))
        self._deaths[mark] = deaths[-crash_record.QUARANTINE_DEATHS :]
        if len(deaths) >= crash_record.QUARANTINE_DEATHS:
            self._until.pop(mark, None)
            self._until[mark] = now + crash_record.QUARANTINE_S
        for table in (self._deaths, self._until, self._excused):
            while len(table) > MAX_SUSPECTS:
                table.popitem(last=False)
        return True

    def may_retry(self, mark: str, now: float, wall_s: float) -> bool:
        """Whether the entry itself may send the request a second time."""
        if self._is_trusted(mark, now):
            return True
        deaths = self._deaths.get(mark)
        if deaths and now - deaths[-1][1] < crash_record.WINDOW_S:
            return False
        known = self._crashes.get(mark)
        if known and known.deaths and wall_s - known.deaths[-1][1] < crash_record.WINDOW_S:
            return False
        return not self.blocked(mark, now, wall_s)

    def blocked(self, mark: str, now: float, wall_s: float) -> bool:
        """Whether the request must be refused as quarantined."""
        until = self._until.get(mark)
        known = self._crashes.get(mark)
        if until is None and known is None:
            return False
        if self._is_trusted(mark, now):
            return False
        return (until is not None and now < until) or (known is not None and wall_s < known.until_s)

    def _is_trusted(self, mark, now):
        at = self._completed.get(mark)
        return at is not None and now - at < TRUSTED_S

    def dump(self) -> dict[str, int]:
        """Return the sizes of the tables, for a state dump."""
        return {
            "completed": len(self._completed),
            "suspects": len(self._deaths),
            "blocked": len(self._until),
        }

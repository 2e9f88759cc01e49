"""
oriolelock.routing.ejection
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Keeps work away from endpoints that fail, and probes them back in.

    A refused connection ejects at once and without a cap, because nothing listens there. Other
    failures may be caused by load, so they eject at most half of a service's endpoints.
"""

import collections.abc

__all__ = ["Ejector"]

MAX_FAILURES = 5
SLOW_RATIO = 3.0
MAX_SLOW = 10
MAX_EJECTED_SHARE = 0.5
REFUSED_BASE_S = 1.0
FAILED_BASE_S = 5.0
REFUSED_MAX_S = 10.0
FAILED_MAX_S = 60.0
# After this time without an ejection the next one is short again.
FORGIVE_S = 60.0
# A probe whose end was never told, for example because its request was dropped.
PROBE_TIMEOUT_S = 30.0
# After this time any request may probe, where a service has no idempotent operation.
OVERDUE_S = 10.0


class _Record:
    def __init__(self):
        self.failures = 0
        self.slow = 0
        self.times = 0
        self.until: float | None = None
        self.returned_at = float("-inf")
        self.refused = False
        self.probe_at: float | None = None


class Ejector:
    """Ejections of the endpoints of one service."""

    def __init__(self):
        self._records: dict[str, _Record] = {}
        self.out: set[str] = set()

    def configure(self, names: collections.abc.Collection[str]) -> None:
        """Keep exactly these endpoints."""
        for name in [name for name in self._records if name not in names]:
            del self._records[name]
            self.out.discard(name)
        for name in names:
            self._records.setdefault(name, _Record())

    def succeeded(self, name: str, ratio: float, now: float) -> bool:
        """Note a complete response, ``ratio`` times as slow as usual.

        Returns whether the endpoint has just come back, and so needs a slow start.
        """
        record = self._records.get(name)
        if record is None:
            return False
        record.failures = 0
        if name in self.out:
            # Only the probe counts: older requests may have run before the failure.
            if record.probe_at is None:
                return False
            if ratio <= SLOW_RATIO:
                self._readmit(name, record, now)
                return True
        record.slow = record.slow + 1 if ratio > SLOW_RATIO else 0
        if record.slow >= MAX_SLOW or record.probe_at is not None:
            self._eject(name, record, now)
        return False

    def failed(self, name: str, now: float) -> None:
        """Note an error, a time-out or a lost connection."""
        record = self._records.get(name)
        if record is None:
            return
        record.failures += 1
        if record.failures >= MAX_FAILURES or record.probe_at is not None:
            self._eject(name, record, now)

    def refused(self, name: str, now: float) -> None:
        """Note that the endpoint refused a connection."""
        record = self._records.get(name)
        if record and (name not in self.out or record.probe_at is not None):
            self._eject(name, record, now, refused=True)

    def crashed(self, name: str, now: float) -> None:
        """Note that a request crashed the endpoint, so that nothing listens for now.

        The next ejection is no longer for it: the endpoint did not fail under load.
        """
        record = self._records.get(name)
        if record:
            times = record.times
            self.refused(name, now)
            record.times = times

    def heard(self, name: str, measured_at: float, now: float) -> bool:
        """Note a load report. One measured after the ejection brings back an endpoint that had
        refused connections, also where no request of this entry would probe it.

        Returns whether the endpoint has just come back, and so needs a slow start.
        """
        if name not in self.out:
            return False
        record = self._records[name]
        if not record.refused or measured_at < record.until or record.probe_at is not None:
            return False
        self._readmit(name, record, now)
        return True

    def probe_ended(self, name: str) -> None:
        """Note that a probe ended without saying anything about the endpoint."""
        record = self._records.get(name)
        if record:
            record.probe_at = None

    def may_probe(self, name: str, idempotent: bool, now: float) -> bool:
        """Whether a request may test an ejected endpoint now; one at a time.

        A request that must not run twice goes only where failure means a refused connection.
        """
        record = self._records[name]
        if record.until is None or now < record.until:
            return False
        if record.probe_at is not None and now - record.probe_at < PROBE_TIMEOUT_S:
            return False
        return idempotent or record.refused or now - record.until > OVERDUE_S

    def probe_started(self, name: str, now: float) -> None:
        """Note that a probe is on its way."""
        record = self._records.get(name)
        if record:
            record.probe_at = now

    def _eject(self, name, record, now, refused=False):
        if name not in self.out and not refused and self._is_at_cap():
            return
        if now - record.returned_at > FORGIVE_S and name not in self.out:
            record.times = 0
        base_s, max_s = (
            (REFUSED_BASE_S, REFUSED_MAX_S) if refused else (FAILED_BASE_S, FAILED_MAX_S)
        )
        record.until = now + min(max_s, base_s * 2 ** min(record.times, 10))
        record.times += 1
        record.refused = refused
        record.probe_at = None
        record.failures = record.slow = 0
        self.out.add(name)

    def _is_at_cap(self):
        return len(self.out) + 1 > int(MAX_EJECTED_SHARE * len(self._records))

    def _readmit(self, name, record, now):
        self.out.discard(name)
        record.until = None
        record.probe_at = None
        record.slow = 0
        record.returned_at = now

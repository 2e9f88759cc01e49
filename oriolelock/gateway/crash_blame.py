"""
oriolelock.gateway.crash_blame
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the requests that crash endpoints among all that were lost with them.

    An endpoint that dies takes all requests with it that it runs, for several entries, and only one
    of them may have crashed it. So each is a suspect, and suspicions are kept in control's records
    apart from convictions: a request is quarantined once it was lost in three deaths, of more than
    one endpoint, without a complete response in between.
"""

import collections
import collections.abc
import dataclasses

from oriolelock import events
from oriolelock.admission import quarantine
from oriolelock.model import crash_record

__all__ = ["CrashBlame", "suspicion_key"]

MIN_DEATHS = 3
MIN_ENDPOINTS = 2
# Connections of a dead endpoint end within this time of each other, as far as this entry sees.
LOSS_WINDOW_S = 2.0
# Control may learn of a death this much later than this entry.
REPORT_DELAY_S = 1.0
# If more endpoints die within ``LOSS_WINDOW_S``, no single request is the cause.
MAX_RELATED_DEATHS = 3
# Reported for one death, those that are under suspicion already first.
MAX_SUSPECTS = 16
MAX_TRACKED = 1000
SUSPICION_PREFIX = "suspect-"

log = events.Events("gateway")

Deaths = tuple[tuple[str, float], ...]


def suspicion_key(fingerprint: str) -> str:
    """Return the key of the crash record that holds suspicions of a request."""
    return SUSPICION_PREFIX + fingerprint


@dataclasses.dataclass(frozen=True)
class Loss:
    """A request that was lost with its connection, at monotonic time ``at_s``."""

    fingerprint: str
    at_s: float


class CrashBlame:
    """Not thread-safe. ``now``: monotonic, ``wall_s``: Unix time, in seconds.

    ``report(key, endpoint)`` adds a death to the crash record of ``key`` in control.
    """

    def __init__(self, report: collections.abc.Callable[[str, str], None]):
        self._report = report
        self._quarantine = quarantine.Quarantine()
        self._crashes: collections.abc.Mapping[str, crash_record.CrashRecord] = {}
        self._losses: dict[str, list[Loss]] = {}
        # The latest death of each endpoint.
        self._died_s: dict[str, float] = {}
        # Deaths by fingerprint that this entry has seen, the latest last.
        self._seen: collections.OrderedDict[str, Deaths] = collections.OrderedDict()

    def configure(self, crashes: collections.abc.Mapping[str, crash_record.CrashRecord]) -> None:
        """Apply the crash records of a new configuration."""
        self._crashes = crashes
        self._quarantine.configure(crashes)

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Record that a request with this fingerprint got a complete response."""
        self._quarantine.record_completion(fingerprint, now)
        self._seen.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the request must be rejected as quarantined."""
        return self._quarantine.is_blocked(fingerprint, now, wall_s)

    def may_retry(self, fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether the entry may retry a request that may have crashed an endpoint."""
        if self._quarantine.completed_recently(fingerprint, now):
            return True
        deaths = self._deaths(fingerprint, now, wall_s)
        is_suspect = bool(deaths) and now - deaths[-1][1] < crash_record.WINDOW_S
        return not is_suspect and not self.is_blocked(fingerprint, now, wall_s)

    def record_loss(self, endpoint: str, fingerprint: str, now: float, wall_s: float) -> None:
        """Record that a request was lost with its connection to an endpoint."""
        self._forget_old(now)
        self._losses.setdefault(endpoint, []).append(Loss(fingerprint, now))
        if endpoint in self._died_s:
            self._blame(endpoint, now, wall_s)

    def record_death(self, endpoint: str, now: float, wall_s: float) -> None:
        """Record that nothing listens any more at the address of an endpoint."""
        self._forget_old(now)
        if endpoint in self._losses:
            self._died_s[endpoint] = now
            self._blame(endpoint, now, wall_s)

    def _forget_old(self, now):
        self._losses = {
            endpoint: recent
            for endpoint, losses in self._losses.items()
            if (recent := [loss for loss in losses if now - loss.at_s < LOSS_WINDOW_S])
        }
        self._died_s = {e: at_s for e, at_s in self._died_s.items() if now - at_s < LOSS_WINDOW_S}

    def _blame(self, endpoint, now, wall_s):
        losses = self._losses.pop(endpoint, ())
        fingerprints = tuple(dict.fromkeys(loss.fingerprint for loss in losses))
        if len(self._died_s) > MAX_RELATED_DEATHS:
            log.notable("endpoints-died-together", endpoints=len(self._died_s))
            return
        trusted = [f for f in fingerprints if self._quarantine.completed_recently(f, now)]
        suspects = [f for f in fingerprints if f not in trusted]
        suspects.sort(key=lambda f: -len(self._deaths(f, now, wall_s)))
        log.notable(
            "endpoint-died", endpoint=endpoint, suspects=len(suspects), trusted=len(trusted)
        )
        for fingerprint in suspects[:MAX_SUSPECTS]:
            self._suspect(fingerprint, endpoint, now, wall_s)

    def _suspect(self, fingerprint, endpoint, now, wall_s):
        known = self._deaths(fingerprint, now, wall_s)
        if _is_among((endpoint, now), known):
            return
        deaths = (*known, (endpoint, now))
        self._remember(fingerprint, (*self._seen.get(fingerprint, ()), (endpoint, now)))
        others = [name for name, _ in known if name != endpoint]
        if len(deaths) < MIN_DEATHS or not others:
            log.notable("crash-suspected", mark=fingerprint, endpoint=endpoint, deaths=len(deaths))
            self._report(suspicion_key(fingerprint), endpoint)
            return
        log.notable("request-quarantined", mark=fingerprint, endpoints=[n for n, _ in deaths])
        self._quarantine.block(fingerprint, now)
        # Control quarantines a request after the deaths of two endpoints.
        for name in (others[-1], endpoint):
            self._report(fingerprint, name)

    def _remember(self, fingerprint, deaths):
        self._seen[fingerprint] = deaths[-MIN_DEATHS:]
        self._seen.move_to_end(fingerprint)
        while len(self._seen) > MAX_TRACKED:
            self._seen.popitem(last=False)

    def _deaths(self, fingerprint, now, wall_s) -> Deaths:
        """Return the deaths that are known here or in control, by monotonic time, latest last."""
        seen = [
            death
            for death in self._seen.get(fingerprint, ())
            if now - death[1] < crash_record.QUARANTINE_S
        ]
        record = self._crashes.get(suspicion_key(fingerprint))
        for name, at_wall_s in record.deaths if record else ():
            death = (name, now - max(0.0, wall_s - at_wall_s))
            if not _is_among(death, seen):
                seen.append(death)
        return tuple(sorted(seen, key=lambda death: death[1]))


def _is_among(death, deaths):
    """Return whether ``deaths`` contains a death of the same endpoint at about the same time."""
    return any(
        death[0] == name and abs(death[1] - at_s) < crash_record.SAME_DEATH_S + REPORT_DELAY_S
        for name, at_s in deaths
    )
